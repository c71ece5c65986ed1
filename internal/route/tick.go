package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/upstream"
)

func (in Tick) apply(s *Shard) {
	s.expire()
	s.dropInactive()
	for _, r := range slices.Clone(s.active) {
		s.checkSilence(r)
		s.checkStalls(r)
		s.refreshReport(r)
		if r.health == suspect && !r.probing && !s.now.Before(r.probeAt) {
			r.probeDelay = min(2*r.probeDelay, s.config.ProbeMax)
			s.probe(r)
		}
	}
	s.countBacklog()
	s.checkAwaitedProbes()
	s.checkReservations()
	s.expireBuilds()
	s.refuseBuildsGone()
	s.refuseCondemnedWaiting()
	s.checkWaiting()
	s.refuseLongWaits()
	s.returnUnassigned()
	s.returnForRebalance()
	s.checkHedges()
	s.crashes.Expire(s.now)
	s.expireParts()
	s.expireCopies()
	s.startWaiting()
}

// checkSilence fails the attempts that have made no progress for too long.
//
// A connection is silent forever when a device between its two ends has lost its state:
// no error arrives, and TCP alone would notice only after many minutes. The attempt
// fails and the replica is probed over a new connection.
func (s *Shard) checkSilence(r *replica) {
	if s.config.Disabled.Silence {
		return
	}
	s.failIdle(r, s.silenceTimeout)
	s.probeIfIdle(r)
	s.probeIfAllIdle(r)
}

// failIdle fails the attempts on r that have been idle for their limit.
func (s *Shard) failIdle(r *replica, limit func(*attempt) time.Duration) {
	isSilent := func(a *attempt) bool { return s.idleFor(a) >= limit(a) }
	if s.config.Disabled.Silence || !slices.ContainsFunc(r.attempts, isSilent) {
		return
	}
	for _, a := range slices.Clone(r.attempts) {
		if s.attempts[a.id] != nil && isSilent(a) {
			s.emit(Cancel{ID: a.req.ID, Attempt: a.id, Cause: CancelSilent})
			s.handleFailure(a, s.silenceCause(a))
		}
	}
}

// silenceCause returns CauseUnanswered for a missing first answer that may still arrive
// within firstAnswerTimeout, but is retried over another connection, and CauseSilent
// otherwise.
func (s *Shard) silenceCause(a *attempt) FailureCause {
	if a.tokens == 0 && s.idleFor(a) < s.firstAnswerTimeout(a) {
		return CauseUnanswered
	}
	return CauseSilent
}

// probeIfIdle probes an engine with an idle stream well before the stream's own
// timeout. A frozen process is found early, and a busy one keeps its streams.
func (s *Shard) probeIfIdle(r *replica) {
	if r.health == suspect || r.probing || s.now.Before(r.probeAt) || r.entry.Kind != upstream.KindEngine {
		return
	}
	after := s.idleProbeDelay()
	idleTooLong := func(a *attempt) bool { return s.idleFor(a) >= after }
	if slices.ContainsFunc(r.attempts, idleTooLong) {
		r.probeDelay = after
		s.probe(r)
	}
}

// idleProbeDelay returns how long a stream may be idle before its replica is probed. It
// is longer than nearly all first tokens take, so that a loaded fleet is not probed
// constantly.
func (s *Shard) idleProbeDelay() time.Duration {
	return max(s.config.ProbeAfter, min(s.firstTokenTime.upperBound(), s.config.FirstTimeout))
}

// queuedFactor multiplies the first timeout of a request that was sent to a full
// replica, since a working connection receives nothing until a slot is free.
const queuedFactor = 4

func (s *Shard) silenceTimeout(a *attempt) time.Duration {
	switch {
	case a.tokens > 0 && a.replica.entry.Kind != upstream.KindService:
		return s.config.TokenTimeout
	case a.queued:
		return s.firstAnswerTimeout(a)
	default:
		return s.reconnectTimeout(a, s.firstAnswerTimeout(a))
	}
}

// firstAnswerTimeout returns the maximum time for a first answer, or for the whole
// answer of a plain service.
func (s *Shard) firstAnswerTimeout(a *attempt) time.Duration {
	switch {
	case a.replica.entry.Kind == upstream.KindService:
		return s.config.ServiceTimeout
	case a.queued:
		return queuedFactor * s.config.FirstTimeout
	default:
		return s.config.FirstTimeout
	}
}

// checkAwaitedProbes ends the wait for unanswered probes: a replica that broke a
// connection and does not answer a new one counts as dead.
func (s *Shard) checkAwaitedProbes() {
	var unanswered []*replica
	for _, queue := range []*waitQueue{&s.onlineQueue, &s.batchQueue} {
		for _, req := range queue.list {
			expired := req.awaitedReplica != nil && s.now.Sub(req.awaitingSince) >= s.config.VerdictTimeout
			if expired && !slices.Contains(unanswered, req.awaitedReplica) {
				unanswered = append(unanswered, req.awaitedReplica)
			}
		}
	}
	for _, r := range unanswered {
		s.handleDeath(r, EvidenceNoVerdict)
	}
}

// checkWaiting refuses requests whose deadline has passed, or that have waited for
// OutageWait without a ready replica.
func (s *Shard) checkWaiting() {
	for i := 0; i < len(s.onlineQueue.list); {
		req := s.onlineQueue.list[i]
		err := s.waitError(req)
		if err == nil {
			i++
			continue
		}
		s.refuse(req, err)
	}
	for s.batchQueue.len() > 0 && !s.now.Before(s.batchQueue.list[0].Deadline) {
		s.refuse(s.batchQueue.list[0], deadlineError(s.batchQueue.list[0]))
	}
}

// waitMargin: an overdue request is refused when its estimated wait exceeds twice its
// remaining time. The estimate is based on means and may be off by half; refusing too
// early loses an answer, refusing late only time.
const waitMargin = 2

// refuseLongWaits refuses overdue requests as soon as they are not expected to start
// before their deadline. The remaining ones are checked again at the next tick, when
// the queue is shorter.
func (s *Shard) refuseLongWaits() {
	count, earliest := s.onlineQueue.fair.summarizeOverdue()
	ahead := s.onlineQueue.len() - count
	startsUntil := func(turns int) int { return turns + min(ahead, (overdueTurn-1)*turns) }
	if count == 0 || s.estimateWait(startsUntil(count)) <= waitMargin*earliest.Sub(s.now) {
		return // the order need not be known
	}
	overdue := s.onlineQueue.overdueInOrder()
	for turns := count; turns > 0; turns-- {
		req := overdue[turns-1]
		before := startsUntil(turns)
		wait := s.estimateWait(before)
		if left := req.Deadline.Sub(s.now); req.awaitedReplica != nil || wait <= waitMargin*left {
			continue
		}
		s.refuse(req, apierr.New(apierr.Overloaded, ReasonWaitTooLong,
			"retry after the given delay, or send the request with a later deadline",
			"the queue of %d requests takes about %s, longer than the deadline allows", s.onlineQueue.len(), wait.Round(time.Millisecond)).
			WithRan(req.ran()).WithRetryAfter(s.retryAfter(before)))
	}
}

func (s *Shard) waitError(req *request) *apierr.Error {
	if !s.now.Before(req.Deadline) {
		return deadlineError(req)
	}
	if s.now.Sub(req.queuedAt) < s.config.OutageWait {
		return nil
	}
	if s.readinessFor(req) != someReady {
		return noReadyError(req)
	}
	return nil
}

func noReadyError(req *request) *apierr.Error {
	return apierr.New(apierr.Unavailable, ReasonNoReadyUpstream,
		"retry after the given delay; `slatectl upstream list` shows what the replicas report",
		"no replica with model %q can take work now", req.Model).
		WithRan(req.ran()).WithRetryAfter(time.Second)
}
