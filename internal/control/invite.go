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
	// inviteDelay is how long a VM that has just started waits for the other control
	// VMs to report the gates that are alive.
	inviteDelay = 100 * time.Millisecond
	// inviteInterval is the time between two calls to a gate that has not reported yet.
	inviteInterval = 300 * time.Millisecond
	// inviteDuration is how long after the start gates are called.
	inviteDuration = 4 * time.Second
	// inviteTimeout bounds one call.
	inviteTimeout = 250 * time.Millisecond
	// maxInvites is the number of concurrent calls.
	maxInvites = 16
)

// inviteGates calls the gates that this VM knew before its restart and that have not
// reported since. A gate has no disk and knows only the few control VMs in its settings. If
// all VMs lose power and these few are the last to come back, the gates would find no
// control VM and keep their callers waiting without routes.
func (s *Service) inviteGates(ctx context.Context, known []roster.Gate) {
	// Control VMs that start at the same time begin with different gates.
	order := func(g roster.Gate) uint64 { return xxhash.Sum64String(s.options.Address + "|" + g.VM) }
	slices.SortFunc(known, func(a, b roster.Gate) int { return cmp.Compare(order(a), order(b)) })
	ctx, cancel := context.WithTimeout(ctx, inviteDuration)
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
		known = s.withoutReport(known)
		if len(known) == 0 {
			return
		}
		if called == 0 {
			s.options.Log.Info("inviting gates that were known before the restart and have not reported", zap.Int("gates", len(known)))
		}
		called += s.inviteAll(ctx, known)
	}
}

// withoutReport returns the gates that no control VM is known to have received a report
// from since the start. It reuses the slice.
func (s *Service) withoutReport(gates []roster.Gate) []roster.Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(gates, func(g roster.Gate) bool { return s.table.IsAlive(g.VM) })
}

func (s *Service) inviteAll(ctx context.Context, gates []roster.Gate) (called int) {
	slots := make(chan struct{}, maxInvites)
	var calls sync.WaitGroup
	for _, gate := range gates {
		if len(s.withoutReport([]roster.Gate{gate})) == 0 {
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
		s.options.Log.Debug("cannot invite gate", zap.String("gate", gate.VM), zap.Error(err))
	}
}
