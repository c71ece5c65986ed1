package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/roster"
)

// silenceGrace is how long a gate may take from an answer to its next question, which
// follows at once from a gate that runs: some round trips, and a lost packet. A gate
// that has turned to another control VM is known of by then.
const silenceGrace = 500 * time.Millisecond

// attend notes that a gate's question is held here, and gives what to call when it has
// been answered. A gate without a question anywhere is not named to callers any more,
// long before its lifetime is over: those who are sent to one that is frozen wait a
// second for their connection.
func (s *Service) attend(ctx context.Context, gate *roster.Gate) (answered func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[gate.VM]++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.held[gate.VM]--
		if s.held[gate.VM] > 0 {
			return
		}
		delete(s.held, gate.VM)
		time.AfterFunc(silenceGrace, func() { s.checkSilent(context.WithoutCancel(ctx), gate) })
	}
}

// checkSilent leaves a gate out that has asked nobody since its last report here.
func (s *Service) checkSilent(ctx context.Context, gate *roster.Gate) {
	s.mu.Lock()
	silent := s.held[gate.VM] == 0 && s.table.MarkUnresponsive(gate)
	if silent {
		s.notify()
	}
	s.mu.Unlock()
	if !silent {
		return
	}
	s.options.Metrics.Count("gates.silent")
	s.options.Log.Info("gate silent, not named to callers", zap.String("gate", gate.VM), zap.Uint64("sequence", gate.Sequence))
	s.spread(ctx, &controlapi.ShareRequest{Gates: []roster.GateReport{{Gate: *gate, Unresponsive: true}}})
}

// turnsHere notes a gate's question, and says whether the gate asked elsewhere before.
// The mutex is held.
func (s *Service) turnsHere(gate string, now time.Time) bool {
	last, known := s.asked[gate]
	s.asked[gate] = now
	return !known || now.Sub(last) > 2*maxFollowWait
}
