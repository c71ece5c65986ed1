package route

import (
	"time"

	"slateway.example/slateway/internal/apierr"
)

func (in Failed) apply(s *Shard) {
	a := s.attempts[in.Attempt]
	if a == nil {
		return
	}
	if a.handedTo != nil && in.Cause == CauseBroken {
		a.broke = true // maybe since its run was stopped; what comes of that decides
		return
	}
	s.failed(a, in.Cause)
	s.pump()
}

// failed handles the end of an attempt without its answer.
func (s *Shard) failed(a *attempt, cause FailureCause) {
	req, r := a.req, a.on
	s.end(a)
	if cause.notRun() {
		req.tried--
		req.declined++
	} else {
		req.maybeRan = true
	}
	req.avoidReplica(r.entry.Replica)
	s.judge(r, cause)
	if cause == CauseSilent || cause == CauseUnanswered || (cause == CauseBroken && len(req.live) > 0) {
		// Not held back, and struck all the same if the replica proves dead.
		r.orphans = append(r.orphans, req.Fingerprint)
	}
	if len(req.live) > 0 {
		return // a hedge still runs
	}
	if cause == CauseBroken && !s.config.Disabled.Poison {
		s.await(req, r)
	}
	s.tryAgain(req, cause)
}

// maxFailures is the number of failed attempts in a row after which a replica
// stays out of use for a while, even if it answers probes. One that fails at
// once would otherwise look idle and draw all requests to it.
const maxFailures = 3

// judge draws conclusions about the replica from a failed attempt.
func (s *Shard) judge(r *replica, cause FailureCause) {
	if cause == CauseDeclined {
		r.fullUntil = s.at.Add(fullPause)
		s.stale = true
		return
	}
	if cause == CauseUnanswered {
		// The connection has gone silent, which says little of the process: the probe
		// tells whether that lives.
		s.suspectReplica(r, Evidence(cause))
		s.emit(Reset{Replica: r.entry.Replica})
		return
	}
	r.failures++
	switch cause {
	case CauseMisdirected:
		// Its process has ended and another one has the address. The next
		// announcement brings it back.
		s.withdraw(r.entry.Replica, r.incarnation)
		return
	case CauseNotSent, CauseBroken, CauseSilent, CauseDied:
		s.suspectReplica(r, Evidence(cause))
		s.emit(Reset{Replica: r.entry.Replica})
		return
	case CauseMismatch:
		// The connection may carry the answer of an earlier request.
		s.emit(Reset{Replica: r.entry.Replica})
	}
	if r.failures >= maxFailures {
		s.suspectReplica(r, Evidence(cause))
	}
}

// tryAgain queues a request for its next attempt, or refuses it if it may not
// have one.
func (s *Shard) tryAgain(req *request, cause FailureCause) {
	req.verdict = s.mayRetry(req, cause)
	if req.verdict != nil {
		if req.awaiting == nil {
			s.refuse(req, req.verdict)
			return
		}
		s.enqueue(req)
		return
	}
	s.count(ReasonRetryPrefix + apierr.Reason(cause))
	req.next = Retry
	if req.Class == Batch {
		req.notBefore = s.at.Add(s.config.BatchBackoff)
	}
	s.enqueue(req)
}

// mayRetry allows a retry only when the request was provably not run or may be
// repeated, and what was delivered can be continued.
func (s *Shard) mayRetry(req *request, cause FailureCause) *apierr.Error {
	if s.config.Disabled.Retry {
		return failedError(req, cause)
	}
	if !req.Repeatable && req.maybeRan {
		return failedError(req, cause)
	}
	if req.delivered && !req.Resumable {
		return apierr.New(apierr.BadUpstream, ReasonCannotResume,
			"send the request again if repeating it is harmless",
			"the stream broke (%s) after part of it was delivered", cause).WithRan(apierr.RanUnknown)
	}
	if !s.at.Before(req.Deadline) {
		return deadlineError(req)
	}
	if req.Patient {
		return nil
	}
	if req.tried >= s.maxAttempts(req) || req.declined >= maxDeclined {
		return apierr.New(apierr.BadUpstream, ReasonAttemptsSpent,
			"see the counters by reason and the replicas' logs under the request ID",
			"%d attempts failed, the last one by %s", req.tried+req.declined, cause).
			WithRan(req.ran()).WithRetryAfter(time.Second)
	}
	if !s.budget.take(0) && !s.config.Disabled.Budget {
		return apierr.New(apierr.Unavailable, ReasonRetryBudget,
			"come back after the time given; many requests are failing",
			"an attempt failed by %s and the retry budget is spent", cause).
			WithRan(req.ran()).WithRetryAfter(time.Second)
	}
	return nil
}

// fullPause is how long a replica that declined a request gets no other: a slot
// frees within a few steps of its engine, some tens of milliseconds.
const fullPause = 50 * time.Millisecond

// maxDeclined bounds how often a request is declined or finds no process before
// it is given up, so that a fleet without room is not asked over and over.
const maxDeclined = 6

// maxAttempts is how many replicas may run the request.
func (s *Shard) maxAttempts(req *request) int {
	if req.MaxAttempts > 0 {
		return req.MaxAttempts
	}
	return s.config.MaxAttempts
}

func failedError(req *request, cause FailureCause) *apierr.Error {
	return apierr.New(apierr.BadUpstream, ReasonUpstreamFailed,
		"the request is not marked repeatable: find out whether it ran before sending it again",
		"the upstream failed by %s", cause).WithRan(req.ran())
}
