package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/apierr"
)

func (in Draining) apply(s *Shard) {
	s.draining = true
	for _, req := range slices.Clone(s.batchQueue.list) {
		s.refuse(req, drainingError(req))
	}
	for _, r := range slices.Clone(s.active) {
		for _, a := range slices.Clone(r.attempts) {
			if a.isPreemptible() {
				s.refuse(a.req, drainingError(a.req))
			}
		}
	}
	s.assignOwners(s.gates)
}

func drainingError(req *request) *apierr.Error {
	return apierr.New(apierr.Unavailable, ReasonDraining, "run the item through another gate",
		"the gate is shutting down").WithRan(req.ran())
}

// unassignedLimit is how long a batch item waits in a gate that owns no replica for it.
// Ownership may change briefly while gates join and leave.
const unassignedLimit = time.Second

// returnUnassigned returns waiting batch items that this gate cannot start, so that another
// gate can lease them. A starting gate assumes that it owns every replica until it receives
// the list of gates, and leases items for all of them; a joining gate takes over replicas
// from a gate that holds items for them. Such items would wait here forever, and their job
// would not finish although every replica is idle.
func (s *Shard) returnUnassigned() {
	if s.config.Disabled.Unfed {
		return
	}
	s.rebuild()
	for _, req := range slices.Clone(s.batchQueue.list) {
		switch {
		case slices.ContainsFunc(s.owned, func(r *replica) bool { return r.serves(req) }) && !s.isTriedElsewhere(req):
			req.unassignedSince = time.Time{}
		case req.unassignedSince.IsZero():
			req.unassignedSince = s.now
		case s.now.Sub(req.unassignedSince) >= unassignedLimit && (req.Repeatable || !req.maybeRan):
			s.refuse(req, apierr.New(apierr.Unavailable, ReasonNotOwner, "run the item through another gate",
				"another gate owns the replicas that could run the item").WithRan(req.ran()))
		}
	}
}

func (s *Shard) admitBatch(req *request) *apierr.Error {
	if s.draining {
		return drainingError(req)
	}
	return nil
}

// freeBatchSlots returns the slots of an owned replica that batch work under the policy may
// take now. Engines admit requests in order of arrival, so a batch request in an engine's
// queue would delay every online request behind it. Batch work therefore goes only to free
// slots, counting all requests that may be on their way to the replica.
func (s *Shard) freeBatchSlots(r *replica, policy Policy) int {
	if s.now.Before(r.holdUntil) || s.now.Before(r.fullUntil) {
		return 0
	}
	slots := s.slots(r)
	return slots - max(policy.headroomSlots(slots), s.backlogHeadroom(slots)) - s.totalLoad(r)
}

// BatchCapacity returns the number of batch items that could start now under the policy.
func (s *Shard) BatchCapacity(policy Policy) int {
	if s.draining {
		return 0
	}
	s.rebuild()
	room := 0
	for _, r := range s.owned {
		room += max(0, s.freeBatchSlots(r, policy))
	}
	return max(0, room-(s.batchQueue.len()-s.countCondemnedItems()))
}

// prefetchShare sets how many batch items wait in the gate, so that a slot that becomes
// free is filled at once: one for every four slots used or available for batch.
const prefetchShare = 4

// BatchTarget returns the number of batch items that the gate should hold: those that
// run, those that could start, and a few that wait for the next free slots.
func (s *Shard) BatchTarget(policy Policy) int {
	if s.draining {
		return 0
	}
	s.rebuild()
	if len(s.owned) == 0 {
		return 0
	}
	items := 0
	for _, r := range s.owned {
		items += r.batch + max(0, s.freeBatchSlots(r, policy)-s.reservedForNext(r))
	}
	return items + items/prefetchShare + 1 + s.countCondemnedItems()
}

// remainingTime estimates how long an item still runs: its expected run time, reduced
// by the share of the mean work that it has already done.
func (s *Shard) remainingTime(req *request) time.Duration {
	if s.itemRunTime.mean == 0 {
		return req.ExpectedRunTime
	}
	left := 1 - float64(req.runTime)/float64(s.itemRunTime.mean)
	return time.Duration(max(0, left) * float64(req.ExpectedRunTime))
}

func (s *Shard) startBatch(req *request) startResult {
	if !s.mayRunNow(req) {
		return held
	}
	if result, narrowed := s.startSuspectItem(req); narrowed {
		return result
	}
	if r := s.replicaOfCopy(req); r != nil {
		return s.startBatchOn(req, r)
	}
	r := s.pickOwned(req)
	switch {
	case r != nil:
		s.dispatch(req, r, req.nextKind)
		return started
	case s.isTriedAlone(req):
		return held
	default:
		return noRoom
	}
}

// pickOwned chooses an owned replica for an item. If there are only replicas that the item avoids,
// it avoids none any more. Only owned ones count: an item that failed on the only replica that this
// gate owns would wait here forever while replicas that the gate may not use are free.
func (s *Shard) pickOwned(req *request) *replica {
	r := s.pickBatch(req)
	if r == nil && s.onlyAvoided(req, s.owned) {
		req.avoid = nil
		r = s.pickBatch(req)
	}
	return r
}

func (s *Shard) startBatchOn(req *request, r *replica) startResult {
	if !s.ownsReplica(r) || s.freeBatchSlots(r, req.Policy)-s.reservedSlots(req, r) <= 0 || !s.mayServe(req, r) {
		return held
	}
	s.dispatch(req, r, req.nextKind)
	return started
}

// pickBatch chooses the owned replica with the most free slots, or with the fewest if
// the policy packs. Slow replicas are chosen after all others, and replicas that cannot
// continue what the item has reached after those that can.
func (s *Shard) pickBatch(req *request) *replica {
	s.rebuild()
	var best *replica
	bestFree, bestSlow, bestContinues := 0, false, false
	for _, r := range s.owned {
		free := s.freeBatchSlots(r, req.Policy) - s.reservedSlots(req, r)
		if free <= 0 || !s.mayServe(req, r) || (s.isTriedAlone(req) && s.hasTrial(r)) {
			continue
		}
		slow := s.isSlow(r)
		better := free > bestFree
		if req.Policy.Pack {
			better = free < bestFree
		}
		continues := s.continuesAt(req, r) // elsewhere the item would start anew
		if best != nil && continues != bestContinues {
			better = continues
		} else {
			better = best == nil || bestSlow && !slow || bestSlow == slow && better
		}
		if better {
			best, bestFree, bestSlow, bestContinues = r, free, slow, continues
		}
	}
	return best
}

// preemptionTime is how long an engine may take to free the slot of a preempted batch
// request.
const preemptionTime = 200 * time.Millisecond

// apply handles an online request that the replica queued although it seemed to have
// room. One batch request is preempted, unless one was preempted so recently that its
// slot is still being freed.
func (in Queued) apply(s *Shard) {
	a := s.attempts[in.Attempt]
	if a == nil || a.req.Class == Batch {
		return
	}
	a.queued = true
	s.count(ReasonQueuedAtEngine)
	if s.config.Disabled.Preempt || s.now.Sub(a.replica.preemptedAt) < preemptionTime {
		return
	}
	if victim := s.chooseVictim(a.replica); victim != nil {
		s.preempt(victim, a.req.ID)
	}
}

// freeSlots preempts batch work on r until every remaining batch request leaves the
// slots free that its policy requires. forWhom is the request or gate that takes the
// slots.
func (s *Shard) freeSlots(r *replica, forWhom string) {
	if s.config.Disabled.Preempt {
		return
	}
	for {
		victim := s.chooseVictim(r)
		if victim == nil || s.totalLoad(r) <= s.slots(r)-victim.req.Policy.MinFree {
			return
		}
		s.preempt(victim, forWhom)
	}
}

// isPreemptible reports whether an attempt may be preempted: only batch items that may be
// repeated.
func (a *attempt) isPreemptible() bool { return a.req.Class == Batch && a.req.Repeatable }

// chooseVictim returns the batch attempt to preempt: first those whose policy keeps the
// most slots free, then by the policy's victim rule.
func (s *Shard) chooseVictim(r *replica) *attempt {
	var worst *attempt
	for _, a := range r.attempts {
		if a.isPreemptible() && (worst == nil || s.isPreemptedBefore(a, worst)) {
			worst = a
		}
	}
	return worst
}

func (s *Shard) isPreemptedBefore(a, b *attempt) bool {
	if a.req.Policy.MinFree != b.req.Policy.MinFree {
		return a.req.Policy.MinFree > b.req.Policy.MinFree
	}
	if a.req.overdue != b.req.overdue {
		return a.req.overdue // already past its target, so waiting costs it little
	}
	if a.req.Policy.Victim == VictimLeastWork && a.tokens != b.tokens {
		return a.tokens < b.tokens
	}
	return a.id > b.id
}

// preempt stops a batch attempt and queues its item to be resumed later.
func (s *Shard) preempt(a *attempt, forWhom string) {
	req := a.req
	a.replica.preemptedAt = s.now
	a.replica.holdUntil = s.now.Add(req.Policy.Hold)
	s.cancelFor(a, CancelPreempted, forWhom)
	req.maybeRan = true
	req.tried-- // a preemption does not count as a failed attempt
	req.nextKind = Resume
	s.enqueue(req)
}

func (s *Shard) preemptAll(r *replica) {
	for _, a := range slices.Clone(r.attempts) {
		if a.isPreemptible() {
			s.preempt(a, "")
		}
	}
}
