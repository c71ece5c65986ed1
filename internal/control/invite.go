package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/rpc"
)

const (
	// inviteDelay is how long a VM that has just started waits for the others to
	// tell it of gates that live.
	inviteDelay = 100 * time.Millisecond
	// inviteInterval lies between two calls to a gate that is not back yet.
	inviteInterval = 300 * time.Millisecond
	// inviteTime is how long gates are called.
	inviteTime = 4 * time.Second
	// inviteTimeout bounds one call.
	inviteTimeout = 250 * time.Millisecond
	// maxInvites is how many gates are called at once.
	maxInvites = 16
)

// inviteGates calls the gates that this VM knew before it started and of which it
// has not heard since.
//
// It guards against callers who wait at gates without routes: a gate has no disk and
// knows a few control VMs from its settings. When all VMs lose their power and these
// few are the last ones back, no gate would find any other one.
func (s *Service) inviteGates(ctx context.Context, known []roster.Gate) {
	// Control VMs that are back together begin with different gates.
	order := func(g roster.Gate) uint64 { return xxhash.Sum64String(s.options.Address + "|" + g.VM) }
	slices.SortFunc(known, func(a, b roster.Gate) int { return cmp.Compare(order(a), order(b)) })
	ctx, cancel := context.WithTimeout(ctx, inviteTime)
	defer cancel()
	ticker := time.NewTicker(inviteInterval)
	defer ticker.Stop()
	wait := time.NewTimer(inviteDelay)
	defer wait.Stop()
	for called := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-wait.C:
		case <-ticker.C:
		}
		known = s.unheard(known)
		if len(known) == 0 {
			return
		}
		if called == 0 {
			s.options.Log.Info("calling gates known before the start", zap.Int("gates", len(known)))
		}
		called += s.callAll(ctx, known)
	}
}

// unheard gives those of the gates that no control VM has heard since the start.
func (s *Service) unheard(gates []roster.Gate) []roster.Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(gates, func(g roster.Gate) bool { return s.table.IsAlive(g.VM) })
}

func (s *Service) callAll(ctx context.Context, gates []roster.Gate) (called int) {
	slots := make(chan struct{}, maxInvites)
	var calls sync.WaitGroup
	for _, gate := range gates {
		if len(s.unheard([]roster.Gate{gate})) == 0 {
			continue
		}
		called++
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			s.inviteGate(ctx, &gate)
		})
	}
	calls.Wait()
	return called
}

func (s *Service) inviteGate(ctx context.Context, gate *roster.Gate) {
	ctx, cancel := context.WithTimeout(ctx, inviteTimeout)
	defer cancel()
	_, err := rpc.Call(ctx, s.options.Calls, gate.Peers, controlapi.Invite, &controlapi.InviteRequest{Control: s.options.Address})
	if err != nil {
		s.options.Log.Debug("gate not called", zap.String("gate", gate.VM), zap.Error(err))
	}
}
