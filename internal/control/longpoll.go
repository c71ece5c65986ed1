package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/roster"
)

// pollGrace is the maximum time from a response to the gate's next long poll. A running
// gate polls again at once, so this allows for a few round trips and a lost packet. By
// then, a gate that has switched to another control VM has been reported by that one.
const pollGrace = 500 * time.Millisecond

// maxTimerLateness is how late a timer of this VM may fire for the VM to judge gates by the times
// of their polls: it also reads the polls late.
const maxTimerLateness = 50 * time.Millisecond

// trackLongPoll records that a gate's long poll is open and returns the function to call
// when it ends. A gate without a long poll at any control VM is removed from the answers
// to callers well before its lifetime expires: a caller that is sent to a frozen gate
// waits a second for its connection.
func (s *Service) trackLongPoll(ctx context.Context, gate *roster.Gate) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longPolls[gate.VM]++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.longPolls[gate.VM]--
		if s.longPolls[gate.VM] > 0 {
			return
		}
		delete(s.longPolls, gate.VM)
		s.planCheck(context.WithoutCancel(ctx), gate, pollGrace)
	}
}

// planCheck checks a gate whose long poll has ended after a delay.
func (s *Service) planCheck(ctx context.Context, gate *roster.Gate, delay time.Duration) {
	due := time.Now().Add(delay)
	time.AfterFunc(delay, func() { s.checkUnresponsive(ctx, gate, due, time.Now()) })
}

// checkUnresponsive marks a gate unresponsive if it has not polled any control VM since
// its last report here. If the check runs late it is repeated; the gate's lifetime ends it.
func (s *Service) checkUnresponsive(ctx context.Context, gate *roster.Gate, due, now time.Time) {
	s.mu.Lock()
	silent := s.longPolls[gate.VM] == 0
	if silent && now.Sub(due) > maxTimerLateness && s.table.IsLatest(gate) {
		s.mu.Unlock()
		s.options.Metrics.Count("gates.silent_check_late")
		s.planCheck(ctx, gate, pollGrace/2)
		return
	}
	unresponsive := silent && s.table.MarkUnresponsive(gate)
	if unresponsive {
		s.notify()
	}
	s.mu.Unlock()
	if !unresponsive {
		return
	}
	s.options.Metrics.Count("gates.silent")
	s.options.Log.Info("gate unresponsive, callers are not sent to it", zap.String("gate", gate.VM), zap.Uint64("sequence", gate.Sequence))
	s.broadcast(ctx, &controlapi.ShareRequest{Gates: []roster.GateReport{{Gate: *gate, Unresponsive: true}}})
}

// recordFollow records the time of a gate's poll and reports whether the gate has
// switched to this control VM. The caller holds the mutex.
func (s *Service) recordFollow(gate string, now time.Time) bool {
	last, known := s.lastFollow[gate]
	s.lastFollow[gate] = now
	return !known || now.Sub(last) > 2*maxFollowWait
}
