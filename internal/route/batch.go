package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/apierr"
)

func (in Draining) apply(s *Shard) {
	s.draining = true
	for _, req := range slices.Clone(s.batch.list) {
		s.refuse(req, drainingError(req))
	}
	for _, r := range s.replicas {
		for _, a := range slices.Clone(r.attempts) {
			if a.preemptible() {
				s.refuse(a.req, drainingError(a.req))
			}
		}
	}
	s.chooseFeeders()
}

func drainingError(req *request) *apierr.Error {
	return apierr.New(apierr.Unavailable, ReasonDraining, "run the item through another gate",
		"the gate is shutting down").WithRan(req.ran())
}

// unfedLimit is how long a batch item waits in a gate that feeds no replica for
// it. Who feeds a replica may change for a moment as gates come and go.
const unfedLimit = time.Second

// checkUnfed gives waiting batch items back that this gate cannot start.
//
// A gate that starts up takes all replicas for its own until it has heard of
// the others, and leases items for them; a gate that joins takes replicas over
// from one that holds items for them. Those items would wait here for good, and
// their job would stop short of its end though every replica is idle.
func (s *Shard) checkUnfed() {
	if s.config.Disabled.Unfed {
		return
	}
	s.rebuild()
	for _, req := range slices.Clone(s.batch.list) {
		switch {
		case slices.ContainsFunc(s.fed, func(r *replica) bool { return r.serves(req) }):
			req.unfedAt = time.Time{}
		case req.unfedAt.IsZero():
			req.unfedAt = s.at
		case s.at.Sub(req.unfedAt) >= unfedLimit && (req.Repeatable || !req.maybeRan):
			s.refuse(req, apierr.New(apierr.Unavailable, ReasonNotFed, "run the item through another gate",
				"another gate feeds the replicas that could run the item").WithRan(req.ran()))
		}
	}
}

func (s *Shard) admitBatch(req *request) *apierr.Error {
	if s.draining {
		return drainingError(req)
	}
	return nil
}

// batchFree gives the slots of a fed replica that batch under the policy may
// take now.
//
// Engines admit in the order of arrival, so that a batch request in an
// engine's queue would hold up each online request behind it. Batch therefore
// goes only where a slot is free, counting all that may be under way to it.
func (s *Shard) batchFree(r *replica, policy Policy) int {
	if s.at.Before(r.holdUntil) || s.at.Before(r.fullUntil) {
		return 0
	}
	slots := s.slots(r)
	return slots - policy.reserve(slots) - s.totalLoad(r)
}

// BatchRoom gives the number of batch items that could start now.
func (s *Shard) BatchRoom(policy Policy) int {
	if s.draining {
		return 0
	}
	s.rebuild()
	room := 0
	for _, r := range s.fed {
		room += max(0, s.batchFree(r, policy))
	}
	return max(0, room-s.batch.len())
}

// prefetchShare is the part of the batch on the fed replicas that waits in the
// gate, so that a slot that becomes free is filled at once: one in four.
const prefetchShare = 4

// BatchTarget gives the number of batch items that the gate should hold:
// those that run, those that could start, and a few that wait for the next free
// slots.
func (s *Shard) BatchTarget(policy Policy) int {
	if s.draining {
		return 0
	}
	s.rebuild()
	if len(s.fed) == 0 {
		return 0
	}
	places := 0
	for _, r := range s.fed {
		places += r.batch + max(0, s.batchFree(r, policy)-s.spareOfNext(r))
	}
	return places + places/prefetchShare + 1
}

// itemLead estimates how long an item still takes: its share of the work that is
// left, of the time that items take.
func (s *Shard) itemLead(req *request) time.Duration {
	if s.itemWork.mean == 0 {
		return req.Takes
	}
	left := 1 - float64(req.worked)/float64(s.itemWork.mean)
	return time.Duration(max(0, left) * float64(req.Takes))
}

func (s *Shard) startBatch(req *request) startResult {
	if !s.mayRunNow(req) {
		return held
	}
	if r := s.boundTo(req); r != nil {
		return s.startBatchOn(req, r)
	}
	r := s.pickBatch(req)
	if r == nil && s.onlyAvoided(req, s.fed) {
		// Only fed replicas count: an item that failed on the one replica that
		// this gate feeds would wait here for good, while others that it may not
		// use are free.
		req.avoid = nil
		r = s.pickBatch(req)
	}
	switch {
	case r != nil:
		s.dispatch(req, r, req.next)
		return started
	case s.isSuspect(req):
		return held
	default:
		return noRoom
	}
}

func (s *Shard) startBatchOn(req *request, r *replica) startResult {
	if !s.feeds(r) || s.batchFree(r, req.Policy)-s.spare(req, r) <= 0 || !s.mayServe(req, r) {
		return held
	}
	s.dispatch(req, r, req.next)
	return started
}

// pickBatch chooses the fed replica with the most free slots, or the fewest if
// the policy packs.
func (s *Shard) pickBatch(req *request) *replica {
	s.rebuild()
	var best *replica
	bestFree := 0
	for _, r := range s.fed {
		free := s.batchFree(r, req.Policy) - s.spare(req, r)
		if free <= 0 || !s.mayServe(req, r) || (s.isSuspect(req) && s.sharesTrial(r)) {
			continue
		}
		if best == nil || (req.Policy.Pack && free < bestFree) || (!req.Policy.Pack && free > bestFree) {
			best, bestFree = r, free
		}
	}
	return best
}

// yieldTime is how long an engine may take to free the slot of a batch request
// that was stopped.
const yieldTime = 200 * time.Millisecond

// Queued comes when the replica was full although it seemed to have room. One
// batch request gives way, unless one was stopped a moment ago and its slot is
// on its way.
func (in Queued) apply(s *Shard) {
	a := s.attempts[in.Attempt]
	if a == nil || a.req.Class == Batch {
		return
	}
	a.queued = true
	s.count(ReasonBatchBehind)
	if s.config.Disabled.Preempt || s.at.Sub(a.on.yieldedAt) < yieldTime {
		return
	}
	if victim := s.victim(a.on); victim != nil {
		s.preempt(victim, a.req.ID)
	}
}

// yieldSlots preempts batch on r until each batch request's policy has the
// slots that it keeps free. ForWhom names the request or gate that takes them.
func (s *Shard) yieldSlots(r *replica, forWhom string) {
	if s.config.Disabled.Preempt {
		return
	}
	for {
		victim := s.victim(r)
		if victim == nil || s.totalLoad(r) <= s.slots(r)-victim.req.Policy.MinFree {
			return
		}
		s.preempt(victim, forWhom)
	}
}

// preemptible says whether an attempt may be stopped: an item that may not be
// repeated runs to its end.
func (a *attempt) preemptible() bool { return a.req.Class == Batch && a.req.Repeatable }

// victim chooses the batch attempt to stop: those of the policy that keeps the
// most slots free first, then by the policy's rule.
func (s *Shard) victim(r *replica) *attempt {
	var worst *attempt
	for _, a := range r.attempts {
		if a.preemptible() && (worst == nil || s.yieldsBefore(a, worst)) {
			worst = a
		}
	}
	return worst
}

func (s *Shard) yieldsBefore(a, b *attempt) bool {
	if a.req.Policy.MinFree != b.req.Policy.MinFree {
		return a.req.Policy.MinFree > b.req.Policy.MinFree
	}
	if a.req.late != b.req.late {
		return a.req.late // it has nothing to lose by waiting
	}
	if a.req.Policy.Victim == VictimLeastWork && a.tokens != b.tokens {
		return a.tokens < b.tokens
	}
	return a.id > b.id
}

// preempt stops a batch attempt; its item waits and goes on later.
func (s *Shard) preempt(a *attempt, forWhom string) {
	req := a.req
	a.on.yieldedAt = s.at
	a.on.holdUntil = s.at.Add(req.Policy.Hold)
	s.cancelFor(a, CancelPreempted, forWhom)
	req.maybeRan = true
	req.tried-- // a preemption is not the item's failure
	req.next = Resume
	s.enqueue(req)
}

func (s *Shard) preemptAll(r *replica) {
	for _, a := range slices.Clone(r.attempts) {
		if a.preemptible() {
			s.preempt(a, "")
		}
	}
}
