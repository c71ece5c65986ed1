package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/upstream"
)

func (in Tick) apply(s *Shard) {
	s.expire()
	for _, r := range s.replicas {
		s.checkSilence(r)
		s.checkStalls(r)
		s.refreshUsage(r)
		if r.health == suspect && !r.probing && !s.at.Before(r.probeAt) {
			r.probeGap = min(2*r.probeGap, s.config.ProbeMax)
			s.probe(r)
		}
	}
	s.checkVerdicts()
	s.checkPlaces()
	s.checkWaiting()
	s.refuseHopeless()
	s.checkUnfed()
	s.checkRebalance()
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
	s.askIfAllQuiet(r)
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
			s.failed(a, s.silenceOf(a))
		}
	}
}

// silenceOf tells a first answer that is looked for over another connection from the
// silence of a replica.
func (s *Shard) silenceOf(a *attempt) FailureCause {
	if a.tokens == 0 && s.at.Sub(a.progress) < s.firstLimit(a) {
		return CauseUnanswered
	}
	return CauseSilent
}

// askIfQuiet probes an engine on which a stream is quiet, well before the
// stream's own timeout: a frozen process is found soon, and a busy one is left
// alone.
func (s *Shard) askIfQuiet(r *replica) {
	if r.health == suspect || r.probing || s.at.Before(r.probeAt) || r.entry.Kind != upstream.KindEngine {
		return
	}
	after := s.quietAfter()
	isQuiet := func(a *attempt) bool { return s.at.Sub(a.progress) >= after }
	if slices.ContainsFunc(r.attempts, isQuiet) {
		r.probeGap = after
		s.probe(r)
	}
}

// quietAfter is how long a stream may be quiet before its replica is asked:
// longer than nearly all first tokens take, so that a loaded fleet is not asked
// all the time.
func (s *Shard) quietAfter() time.Duration {
	return max(s.config.ProbeAfter, min(s.firstToken.high(), s.config.FirstTimeout))
}

// queuedFactor stretches the first timeout of a request that was sent to a full
// replica: until a slot is free, nothing comes on a connection in good order.
const queuedFactor = 4

func (s *Shard) silenceLimit(a *attempt) time.Duration {
	switch {
	case a.tokens > 0 && a.on.entry.Kind != upstream.KindService:
		return s.config.TokenTimeout
	case a.queued:
		return s.firstLimit(a)
	default:
		return s.patienceLimit(a, s.firstLimit(a))
	}
}

// firstLimit is how long a first answer, or the whole one of a plain service, may take
// at most.
func (s *Shard) firstLimit(a *attempt) time.Duration {
	switch {
	case a.on.entry.Kind == upstream.KindService:
		return s.config.ServiceTimeout
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
		s.died(r, EvidenceNoVerdict)
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

// hopelessMargin: a late request is refused when its wait is estimated at over twice
// the time that it has left. The estimate is made of means and may be off by half;
// one that is refused too soon loses an answer, one that is refused late only time.
const hopelessMargin = 2

// refuseHopeless refuses late requests that will not have their turn in time, as
// soon as that is known. The late ones behind them are looked at again at the
// next tick, when the queue is shorter.
func (s *Shard) refuseHopeless() {
	ahead := s.waiting.firstLate()
	for i := s.waiting.len() - 1; i >= ahead; i-- {
		req := s.waiting.list[i]
		turns := i - ahead + 1
		before := turns + min(ahead, (lateTurn-1)*turns)
		wait := s.waitOf(before)
		if left := req.Deadline.Sub(s.at); req.awaiting != nil || wait <= hopelessMargin*left {
			continue
		}
		s.refuse(req, apierr.New(apierr.Overloaded, ReasonWaitTooLong,
			"come back after the time given, or give a later deadline",
			"the queue of %d requests takes about %s, longer than the deadline allows", s.waiting.len(), wait.Round(time.Millisecond)).
			WithRan(req.ran()).WithRetryAfter(s.retryAfter(before)))
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
