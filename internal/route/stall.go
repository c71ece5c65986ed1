package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/upstream"
)

// maxStallResumes is how often one answer is resumed after a stall. A second lost
// packet in one answer is rare; a slow replica is the likelier cause.
const maxStallResumes = 1

// stallFactor multiplies the time that nearly all pauses stay below; a longer pause is
// a stall.
const stallFactor = 1.5

// checkStalls resumes answers whose connection has stalled. After a packet loss, later
// events wait in the kernel until TCP's retransmission timeout and the caller's text stops,
// while the replica still answers others. Over another connection to it the answer
// continues at the next event, with the prompt still cached. A stall is longer than nearly
// all normal pauses, so that few answers are resumed unnecessarily.
func (s *Shard) checkStalls(r *replica) {
	if s.config.StallMin <= 0 || len(r.attempts) == 0 || !s.acceptsWork(r) {
		return
	}
	after := s.stallThreshold()
	for _, a := range slices.Clone(r.attempts) {
		switch {
		case !s.isResumableStall(a, after), s.hasBacklog() && s.totalLoad(r) >= s.slots(r):
		case a.req.Resumable:
			s.resumeStalled(a)
		default:
			s.handOver(a)
		}
	}
}

func (s *Shard) stallThreshold() time.Duration {
	usual := time.Duration(stallFactor * float64(s.tokenGap.upperBound()))
	return max(s.config.StallMin, usual)
}

// observeGap records a pause between two events. Stalls count at most as the limit, so
// that single ones do not raise it, but a slower engine does.
func (s *Shard) observeGap(gap time.Duration) {
	if s.config.StallMin > 0 {
		s.tokenGap.observe(min(gap, s.stallThreshold()))
	}
}

func (s *Shard) isResumableStall(a *attempt, after time.Duration) bool {
	req := a.req
	mayResume := req.Class == Online && req.delivered && (req.Resumable || req.Movable) && a.replica.entry.CanResume &&
		a.tokens > 0 && len(req.liveAttempts) == 1 && req.stalls < maxStallResumes
	return mayResume && s.idleFor(a) >= after &&
		s.continuesAt(req, a.replica) &&
		s.crashes.Status(s.now, req.Fingerprint) == upstream.StatusClear && s.othersProgress(a, after)
}

// othersProgress reports whether other streams of the replica make progress, or there
// are none. If all of its answers are idle, the replica itself is stalled, and another
// connection would not help.
func (s *Shard) othersProgress(a *attempt, after time.Duration) bool {
	others := 0
	for _, other := range a.replica.attempts {
		if other == a || other.tokens == 0 || other.paused {
			continue
		}
		if s.now.Sub(other.lastProgress) < after {
			return true
		}
		others++
	}
	return others == 0
}

// resumeStalled resumes a stalled answer on the same replica. It does not count towards
// the replicas that may run the request.
func (s *Shard) resumeStalled(a *attempt) {
	if !s.budget.spend(hedgeReserve * s.config.RetryReserve * startShare) {
		return
	}
	req, r := a.req, a.replica
	s.cancel(a, CancelStalled)
	s.count(ReasonStalled)
	req.stalls++
	req.tried--
	req.maybeRan = true
	s.dispatch(req, r, Resume)
}
