package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/upstream"
)

func (in Failed) apply(s *Shard) {
	a := s.attempts[in.Attempt]
	if a == nil {
		return
	}
	s.failed(a, in.Cause)
	s.pump()
}

// failed handles the end of an attempt without its answer.
func (s *Shard) failed(a *attempt, cause FailureCause) {
	req, r := a.req, a.on
	s.end(a)
	if cause != CauseNotSent {
		req.maybeRan = true
	}
	req.avoidReplica(r.entry.Replica)
	s.judge(r, cause)
	if cause == CauseSilent || (cause == CauseBroken && len(req.live) > 0) {
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
	r.failures++
	switch cause {
	case CauseNotSent, CauseBroken, CauseSilent, CauseDied:
		s.suspectReplica(r)
		s.emit(Reset{Replica: r.entry.Replica})
		return
	case CauseMismatch:
		// The connection may carry the answer of an earlier request.
		s.emit(Reset{Replica: r.entry.Replica})
	}
	if r.failures >= maxFailures {
		s.suspectReplica(r)
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
	if req.tried >= s.config.MaxAttempts {
		return apierr.New(apierr.BadUpstream, ReasonAttemptsSpent,
			"see the counters by reason and the replicas' logs under the request ID",
			"%d attempts failed, the last one by %s", req.tried, cause).
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

func failedError(req *request, cause FailureCause) *apierr.Error {
	return apierr.New(apierr.BadUpstream, ReasonUpstreamFailed,
		"the request is not marked repeatable: find out whether it ran before sending it again",
		"the upstream failed by %s", cause).WithRan(req.ran())
}

// suspectReplica takes a replica out of use until a probe is answered. A new
// request would otherwise be sent to a process that has died or frozen, and
// wait there until its timeout.
func (s *Shard) suspectReplica(r *replica) {
	if s.config.Disabled.Probe || r.health == suspect {
		return
	}
	r.health = suspect
	r.missed = false
	if r.failures >= maxFailures {
		// Shorter than a request waits in an outage: the only replica of a
		// service is worth another try.
		r.penalty = s.at.Add(s.config.OutageWait / 2)
	}
	r.probeGap = s.config.ProbeMin
	s.stale = true
	s.count(ReasonReplicaSuspect)
	s.probe(r)
}

func (s *Shard) probe(r *replica) {
	r.probing = true
	r.probeAt = s.at.Add(r.probeGap)
	s.emit(Probe{Replica: r.entry.Replica, Address: r.entry.Address})
}

func (in Probed) apply(s *Shard) {
	r := s.replica(in.Replica)
	if r == nil {
		return
	}
	r.probing = false
	restarted := in.Alive && in.Incarnation > r.entry.Incarnation
	switch {
	case in.Alive && !restarted:
		s.answerHeld(s.release(r))
		s.returned(r)
	case restarted || in.Refused || s.isAwaited(r):
		s.suspectReplica(r)
		r.missed = true
		s.died(r)
	default:
		s.unanswered(r)
	}
	s.pump()
}

// unanswered handles a probe that got no answer. After the first one the
// replica gets nothing new; after the second it counts as frozen, and its quiet
// attempts need not wait for their own timeouts.
func (s *Shard) unanswered(r *replica) {
	if r.health == suspect {
		r.missed = true
		s.failQuiet(r, func(*attempt) time.Duration { return s.config.ProbeAfter })
		return
	}
	s.suspectReplica(r)
	r.missed = true
}

func (s *Shard) isAwaited(r *replica) bool {
	awaited := func(req *request) bool { return req.awaiting == r }
	return slices.ContainsFunc(s.waiting.list, awaited) || slices.ContainsFunc(s.batch.list, awaited)
}

// returned handles the answer of a suspect replica to a probe. One that
// answered the first probe only had a bad connection and is used as before.
func (s *Shard) returned(r *replica) {
	if r.health != suspect || s.at.Before(r.penalty) {
		return
	}
	s.count(ReasonReplicaReturned)
	s.recover(r, r.missed || r.failures >= maxFailures)
}

// recover puts a replica back into use, with few requests at first if slowly.
func (s *Shard) recover(r *replica, slowly bool) {
	r.health = healthy
	r.dead = false
	s.stale = true
	if slowly {
		r.rampFrom = s.at
	}
}

// answerHeld gives the final answers that waited for a probe.
func (s *Shard) answerHeld(released []*request) {
	for _, req := range released {
		if req.verdict != nil && s.requests[req.ID] == req {
			s.refuse(req, req.verdict)
		}
	}
}

// release lets the requests go on that waited for the probe of a replica.
func (s *Shard) release(r *replica) []*request {
	var released []*request
	r.orphans = nil
	for _, queue := range []*waitQueue{&s.waiting, &s.batch} {
		for _, req := range queue.list {
			if req.awaiting == r {
				s.settled(req)
				released = append(released, req)
			}
		}
	}
	return released
}

// died records a replica's death against all requests that ran on it: those
// whose connections broke and those that have not noticed yet.
func (s *Shard) died(r *replica) {
	orphans := r.orphans
	held := s.release(r)
	suspects := slices.Clone(held)
	for _, a := range r.attempts {
		suspects = append(suspects, a.req)
	}
	if !r.dead {
		r.dead = true
		s.count(ReasonReplicaDied)
	}
	s.strike(r, suspects, orphans)
	s.answerHeld(held)
	for _, a := range slices.Clone(r.attempts) {
		if s.attempts[a.id] != nil {
			s.emit(Cancel{ID: a.req.ID, Attempt: a.id, Cause: CancelDied})
			s.failed(a, CauseDied)
		}
	}
}

func (in Tick) apply(s *Shard) {
	s.expire()
	for _, r := range s.replicas {
		s.checkSilence(r)
		s.refreshUsage(r)
		if r.health == suspect && !s.at.Before(r.probeAt) {
			r.probeGap = min(2*r.probeGap, s.config.ProbeMax)
			s.probe(r)
		}
	}
	s.checkVerdicts()
	s.checkWaiting()
	s.checkHedges()
	s.strikes.Expire(s.at)
	s.expireCopies()
	s.pump()
}

// checkSilence fails the attempts that have had no progress for too long.
//
// A connection can go silent for good when something between its two ends has
// lost track of it: no error ever comes, and TCP alone would notice after many
// minutes. The attempt is given up and the replica asked over a new connection.
func (s *Shard) checkSilence(r *replica) {
	if s.config.Disabled.Silence {
		return
	}
	s.failQuiet(r, s.silenceLimit)
	s.askIfQuiet(r)
}

// failQuiet fails the attempts on r that have been quiet for their limit.
func (s *Shard) failQuiet(r *replica, limit func(*attempt) time.Duration) {
	isSilent := func(a *attempt) bool { return s.at.Sub(a.progress) >= limit(a) }
	if s.config.Disabled.Silence || !slices.ContainsFunc(r.attempts, isSilent) {
		return
	}
	for _, a := range slices.Clone(r.attempts) {
		if s.attempts[a.id] != nil && isSilent(a) {
			s.emit(Cancel{ID: a.req.ID, Attempt: a.id, Cause: CancelSilent})
			s.failed(a, CauseSilent)
		}
	}
}

// askIfQuiet probes an engine on which a stream is quiet, well before the
// stream's own timeout: a frozen process is found soon, and a busy one is left
// alone.
func (s *Shard) askIfQuiet(r *replica) {
	if r.health == suspect || s.at.Before(r.probeAt) || r.entry.Kind != upstream.KindEngine {
		return
	}
	isQuiet := func(a *attempt) bool { return s.at.Sub(a.progress) >= s.config.ProbeAfter }
	if slices.ContainsFunc(r.attempts, isQuiet) {
		r.probeGap = s.config.ProbeAfter
		s.probe(r)
	}
}

// queuedFactor stretches the first timeout of a request that was sent to a full
// replica: until a slot is free, nothing comes on a connection in good order.
const queuedFactor = 4

func (s *Shard) silenceLimit(a *attempt) time.Duration {
	switch {
	case a.on.entry.Kind == upstream.KindService:
		return s.config.ServiceTimeout
	case a.tokens > 0:
		return s.config.TokenTimeout
	case a.queued:
		return queuedFactor * s.config.FirstTimeout
	default:
		return s.config.FirstTimeout
	}
}

// checkVerdicts stops waiting for a probe that is not answered: a replica that
// broke a connection and does not answer a new one counts as dead.
func (s *Shard) checkVerdicts() {
	var overdue []*replica
	for _, queue := range []*waitQueue{&s.waiting, &s.batch} {
		for _, req := range queue.list {
			late := req.awaiting != nil && s.at.Sub(req.since) >= s.config.VerdictTimeout
			if late && !slices.Contains(overdue, req.awaiting) {
				overdue = append(overdue, req.awaiting)
			}
		}
	}
	for _, r := range overdue {
		s.died(r)
	}
}

// checkWaiting gives up, at once, requests whose deadline has passed or that
// have waited long enough for any replica to come back.
func (s *Shard) checkWaiting() {
	for i := 0; i < len(s.waiting.list); {
		req := s.waiting.list[i]
		err := s.overdue(req)
		if err == nil {
			i++
			continue
		}
		s.refuse(req, err)
	}
	for s.batch.len() > 0 && !s.at.Before(s.batch.list[0].Deadline) {
		s.refuse(s.batch.list[0], deadlineError(s.batch.list[0]))
	}
}

func (s *Shard) overdue(req *request) *apierr.Error {
	if !s.at.Before(req.Deadline) {
		return deadlineError(req)
	}
	if s.at.Sub(req.queuedAt) < s.config.OutageWait {
		return nil
	}
	if s.readinessFor(req) != someReady {
		return noReadyError(req)
	}
	return nil
}

func noReadyError(req *request) *apierr.Error {
	return apierr.New(apierr.Unavailable, ReasonNoReadyUpstream,
		"come back after the time given; `slatectl upstream list` shows what the replicas report",
		"no replica with model %q can take work now", req.Model).
		WithRan(req.ran()).WithRetryAfter(time.Second)
}

// hedgeReserve is the part of the retry budget that hedges leave to retries.
const hedgeReserve = 0.5

// checkHedges sends a second attempt for repeatable requests whose first token
// is later than nearly all others were.
func (s *Shard) checkHedges() {
	if s.config.HedgeMin == 0 || s.firstToken.mean == 0 {
		return
	}
	after := max(s.config.HedgeMin, s.firstToken.high())
	for _, r := range s.replicas {
		for _, a := range slices.Clone(r.attempts) {
			if s.mayHedge(a, after) {
				s.hedge(a.req, r)
			}
		}
	}
}

func (s *Shard) mayHedge(a *attempt, after time.Duration) bool {
	req := a.req
	return req.Class == Online && req.Repeatable && !req.delivered && a.tokens == 0 &&
		len(req.live) == 1 && req.tried < s.config.MaxAttempts && s.at.Sub(a.started) >= after &&
		s.strikes.Standing(s.at, req.Fingerprint) == upstream.StandingClear
}

func (s *Shard) hedge(req *request, slow *replica) {
	req.avoid = append(req.avoid, slow.entry.Replica)
	r := s.pick(req)
	req.avoid = req.avoid[:len(req.avoid)-1]
	if r == nil || !s.budget.take(hedgeReserve*s.config.RetryReserve*startShare) {
		return
	}
	s.count(ReasonHedged)
	s.dispatch(req, r, Hedge)
}
