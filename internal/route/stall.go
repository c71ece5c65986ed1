package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/upstream"
)

// maxStalls is how often one answer is taken up again after a stall. A second lost
// packet of one answer is rare, and a slow replica is the likelier cause.
const maxStalls = 1

// stallFactor is how much longer than nearly all pauses a stall is.
const stallFactor = 1.5

// checkStalls takes up answers again whose connection has stalled.
//
// Failure guarded against: a packet between a replica and the gate is lost. TCP
// sends it again only after its retransmission timeout, and until then every later
// event of the answer waits in the kernel; a caller who reads along sees the text
// stop. The replica answers others meanwhile. Over another connection to it the
// answer goes on at the next event, with the prompt still cached there. A pause that
// counts as a stall is longer than nearly all pauses in good order, so that few
// answers are taken up in vain.
func (s *Shard) checkStalls(r *replica) {
	if s.config.StallMin <= 0 || len(r.attempts) == 0 || !s.takesWork(r) {
		return
	}
	after := s.stallAfter()
	for _, a := range slices.Clone(r.attempts) {
		switch {
		case !s.hasStalled(a, after):
		case a.req.Resumable:
			s.resumeStalled(a)
		default:
			s.handOver(a)
		}
	}
}

func (s *Shard) stallAfter() time.Duration {
	usual := time.Duration(stallFactor * float64(s.tokenGap.high()))
	return max(s.config.StallMin, usual)
}

// observeGap takes in a pause between two events. Stalls count for no more than
// the limit, so that single ones do not move it and a slower engine does.
func (s *Shard) observeGap(gap time.Duration) {
	if s.config.StallMin > 0 {
		s.tokenGap.observe(min(gap, s.stallAfter()))
	}
}

func (s *Shard) hasStalled(a *attempt, after time.Duration) bool {
	req := a.req
	mayGoOn := req.Class == Online && req.delivered && (req.Resumable || req.Movable) && a.on.entry.CanResume &&
		a.tokens > 0 && len(req.live) == 1 && req.stalls < maxStalls
	return mayGoOn && s.at.Sub(a.progress) >= after &&
		s.strikes.Standing(s.at, req.Fingerprint) == upstream.StandingClear && s.othersMove(a, after)
}

// othersMove says whether the replica makes events for others: if all its answers
// are quiet, the replica is, and another connection to it would not help.
func (s *Shard) othersMove(a *attempt, after time.Duration) bool {
	others := 0
	for _, other := range a.on.attempts {
		if other == a || other.tokens == 0 {
			continue
		}
		if s.at.Sub(other.progress) < after {
			return true
		}
		others++
	}
	return others == 0
}

// resumeStalled goes on with a stalled answer on the same replica. It is no further
// replica, so that it does not count against those that may run the request.
func (s *Shard) resumeStalled(a *attempt) {
	if !s.budget.take(hedgeReserve * s.config.RetryReserve * startShare) {
		return
	}
	req, r := a.req, a.on
	s.cancel(a, CancelStalled)
	s.count(ReasonStalled)
	req.stalls++
	req.tried--
	req.maybeRan = true
	s.dispatch(req, r, Resume)
}
