package route

import (
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/crash"
)

func (in Failed) apply(s *Shard) {
	a := s.attempts[in.Attempt]
	if a == nil {
		return
	}
	if a.handoverTarget != nil && in.Cause == CauseBroken {
		a.disconnected = true // possibly because its run was stopped; the HandedOver input decides
		return
	}
	s.handleFailure(a, in.Cause)
	s.startWaiting()
}

// handleFailure ends an attempt that produced no answer, then retries or refuses its
// request.
func (s *Shard) handleFailure(a *attempt, cause FailureCause) {
	req, r := a.req, a.replica
	s.endAttempt(a)
	if cause.provesNotRun() {
		req.tried--
		req.declined++
	} else {
		req.maybeRan = true
	}
	req.avoidReplica(r.entry.Replica)
	s.updateHealth(r, cause)
	if cause == CauseSilent || cause == CauseUnanswered || (cause == CauseBroken && len(req.liveAttempts) > 0) {
		// The request does not wait for the probe, but gets a crash record if the probe
		// finds the process dead.
		r.abandoned = append(r.abandoned, s.lostOf(a))
	}
	if len(req.liveAttempts) > 0 {
		return // a hedge still runs
	}
	if cause == CauseBroken && !s.config.Disabled.Poison {
		s.awaitProbe(req, r, s.lostOf(a))
	}
	s.retryOrRefuse(req, cause)
}

// maxFailures is the number of consecutive failed attempts after which a replica is
// taken out of use for a while, even if it answers probes. A replica that fails at once
// would otherwise look idle and attract all requests.
const maxFailures = 3

// updateHealth updates the health of a replica after a failed attempt.
func (s *Shard) updateHealth(r *replica, cause FailureCause) {
	if cause == CauseDeclined {
		r.fullUntil = s.now.Add(fullPause)
		return
	}
	if cause == CauseUnanswered {
		// A silent connection says little about the process; a probe shows whether it
		// is alive.
		s.suspectReplica(r, Evidence(cause))
		s.emit(Reset{Replica: r.entry.Replica})
		return
	}
	r.failures++
	switch cause {
	case CauseMisdirected:
		// The process has ended and another one uses its address. The next announcement
		// returns the replica to use.
		if lost := r.takeEnded(s.now); len(lost) > 0 {
			s.emitProcessDied(r, EvidenceMisdirected, lost)
			s.recordCrashes(r, lost, EvidenceMisdirected)
		}
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

// retryOrRefuse queues a request for its next attempt, or refuses it if it may not have
// one.
func (s *Shard) retryOrRefuse(req *request, cause FailureCause) {
	req.heldError = s.retryError(req, cause)
	if req.heldError != nil {
		if req.awaitedReplica == nil {
			s.refuse(req, req.heldError)
			return
		}
		s.enqueue(req)
		return
	}
	s.count(ReasonRetryPrefix + apierr.Reason(cause))
	req.nextKind = Retry
	if req.Class == Batch {
		req.notBefore = s.now.Add(s.config.BatchBackoff)
	}
	s.enqueue(req)
}

// retryError returns why the request may not be retried, or nil. A retry requires that
// the request was provably not run or may be repeated, and that a partially delivered
// answer can be resumed.
func (s *Shard) retryError(req *request, cause FailureCause) *apierr.Error {
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
	if err := s.buildError(req); err != nil {
		return err
	}
	if !s.now.Before(req.Deadline) {
		return deadlineError(req)
	}
	if req.RetryUntilAnswered {
		return nil
	}
	if standing, part := s.standing(req); standing == crash.Condemned {
		return s.partError(req, part)
	}
	if req.tried >= s.maxAttempts(req) || req.declined >= maxDeclined {
		return apierr.New(apierr.BadUpstream, ReasonAttemptsSpent,
			"see the counters by reason and the replicas' logs under the request ID",
			"%d attempts failed, the last one with cause %s", req.tried+req.declined, cause).
			WithRan(req.ran()).WithRetryAfter(time.Second)
	}
	if !s.budget.spend(0) && !s.config.Disabled.Budget {
		return apierr.New(apierr.Unavailable, ReasonRetryBudget,
			"retry after the given delay; many requests are failing",
			"an attempt failed with cause %s and the retry budget is spent", cause).
			WithRan(req.ran()).WithRetryAfter(time.Second)
	}
	return nil
}

// fullPause is how long a replica that declined a request receives no other one. An
// engine frees a slot within a few steps, some tens of milliseconds.
const fullPause = 50 * time.Millisecond

// maxDeclined bounds how often a request may be declined or find no process before it
// is refused, so that a full fleet is not asked repeatedly.
const maxDeclined = 6

// maxAttempts returns how many replicas may run the request.
func (s *Shard) maxAttempts(req *request) int {
	if req.MaxAttempts > 0 {
		return req.MaxAttempts
	}
	return s.config.MaxAttempts
}

func failedError(req *request, cause FailureCause) *apierr.Error {
	return apierr.New(apierr.BadUpstream, ReasonUpstreamFailed,
		"the request is not marked repeatable: find out whether it ran before sending it again",
		"the upstream failed with cause %s", cause).WithRan(req.ran())
}
