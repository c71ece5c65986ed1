package route

import (
	"slices"

	"slateway.example/slateway/internal/upstream"
)

// sampleTries bounds the random draws for one candidate before the list is scanned; the
// draws fail only when most replicas do not fit the request.
const sampleTries = 6

// pick returns the replica for an online attempt, or nil if none has room. In order of
// preference: the replica preferred by the prompt's prefix if its load is near that of the
// sampled one, the less loaded of two samples from the gate's own place, and a replica of
// another place if the own place is loaded and the other replica clearly less so.
//
// While all replicas are full, several waiting requests look for one in each step. Those
// with equal needs look once, until something changes.
func (s *Shard) pick(req *request) *replica {
	s.rebuild()
	need, comparable := s.needOf(req)
	if comparable && s.noRoom.found && s.noRoom.need == need {
		return nil
	}
	chosen := s.choose(req)
	if chosen == nil && comparable {
		s.noRoom.found, s.noRoom.need = true, need
	}
	return chosen
}

func (s *Shard) choose(req *request) *replica {
	chosen := s.sampleTwo(req, s.local)
	if preferred := s.affinityReplica(req, chosen); preferred != nil {
		return preferred
	}
	if chosen != nil && s.loadRatio(chosen) < s.config.SpillAt && !s.isSlow(chosen) {
		return chosen
	}
	chosen = s.chooseSpill(chosen, s.sampleTwo(req, s.remote))
	if chosen != nil && !s.hasSlot(chosen) {
		// The request would wait in an engine's queue; both samples may be full while
		// another replica is not.
		return s.leastLoaded(req, chosen)
	}
	return chosen
}

// leastLoaded scans all replicas for one with less load than chosen. While all replicas
// are full, each request that looks for a slot runs this scan. Most replicas are typical
// ones, of which those with equally many slots have the same cost.
func (s *Shard) leastLoaded(req *request, chosen *replica) *replica {
	s.sumOthersReported()
	lowest := s.expectedCost(chosen)
	typicalSlots, typicalCost := 0, 0.0
	for _, list := range [...][]*replica{s.local, s.remote} {
		for _, r := range list {
			if s.isTypical(r) && s.paceOf(r) == 1 {
				if slots := r.announcedLoad.Slots; slots != typicalSlots {
					typicalSlots, typicalCost = slots, s.typicalCost(slots)
				}
				if typicalCost >= lowest {
					continue
				}
			}
			if cost := s.expectedCost(r); cost < lowest && s.fits(req, r) {
				chosen, lowest = r, cost
			}
		}
	}
	return chosen
}

func (s *Shard) chooseSpill(near, far *replica) *replica {
	switch {
	case far == nil:
		return near
	case near == nil:
		return far
	case s.expectedCost(far)+s.config.SpillPenalty < s.expectedCost(near):
		return far
	default:
		return near
	}
}

// sampleTwo draws two replicas that fit and returns the less loaded.
func (s *Shard) sampleTwo(req *request, from []*replica) *replica {
	first := s.sample(req, from, nil)
	if first == nil {
		return nil
	}
	second := s.sample(req, from, first)
	if second != nil && s.expectedCost(second) < s.expectedCost(first) {
		return second
	}
	return first
}

// sample draws a replica that fits and is not equal to not. If a few draws find none,
// it scans the list from a random position.
func (s *Shard) sample(req *request, from []*replica, not *replica) *replica {
	if len(from) == 0 {
		return nil
	}
	for range sampleTries {
		if r := from[s.rng.IntN(len(from))]; r != not && s.fits(req, r) {
			return r
		}
	}
	if s.config.ReservationWait > 0 {
		s.sumOthersReported() // for isTypicallyFull
	}
	start := s.rng.IntN(len(from))
	for i := range from {
		if r := from[(start+i)%len(from)]; r != not && !s.isTypicallyFull(r) && s.fits(req, r) {
			return r
		}
	}
	return nil
}

// isTypicallyFull reports whether the replica is a typical one that fits no request now:
// it is full, and its owner was asked recently. Other replicas may be full as well. While
// all replicas are full, most are rejected by this check, which is quicker than fits.
func (s *Shard) isTypicallyFull(r *replica) bool {
	if !s.isTypical(r) || s.now.Sub(r.reportedAt) >= staleReportAge {
		return false
	}
	slots := r.announcedLoad.Slots
	return s.othersReported.estimate(slots) >= slots+s.overcommit(slots)
}

// need is what the choice of a replica depends on for requests that avoid none and are not
// suspect.
type need struct {
	kind               upstream.Kind
	model, version     string
	overdue, delivered bool
	reservationTries   int
	holdsEvents        bool
	build              string // that may continue the events
	mayBeTakenUp       bool
}

// needOf returns the need of a request, and false if its choice depends on more.
func (s *Shard) needOf(req *request) (need, bool) {
	if len(req.avoid) > 0 || s.isSuspect(req) || req.origin.known && !req.origin.isConfirmed(s.now) {
		return need{}, false
	}
	return need{
		req.Kind, req.Model, req.Version, req.overdue, req.delivered, req.reservationTries,
		req.holdsEvents(), req.origin.build, req.mayBeTakenUp(),
	}, true
}

// fits reports whether the replica may run the request now.
func (s *Shard) fits(req *request, r *replica) bool {
	if !s.mayServe(req, r) {
		return false
	}
	if s.mayReserveOnFull(req, r) {
		return !s.isSuspect(req) || !s.hasTrial(r)
	}
	if !s.hasRoom(r) {
		return false
	}
	if req.overdue && !s.hasSlot(r) {
		// An overdue request waits in the gate: in the engine's queue, which admits in
		// order of arrival, it would delay requests that can still meet their targets.
		return false
	}
	return !s.isSuspect(req) || !s.hasTrial(r)
}

// serves reports whether the replica has the kind and the model that the request needs.
// A call to a plain service must never reach an engine, where its path could be a
// command.
func (r *replica) serves(req *request) bool {
	if req.Kind != "" && req.Kind != r.entry.Kind {
		return false
	}
	return r.entry.Serves(req.Model, req.Version)
}

// mayServe reports whether the replica can run the request and has not failed it
// before.
func (s *Shard) mayServe(req *request, r *replica) bool {
	if !r.serves(req) {
		return false
	}
	if req.delivered && !r.entry.CanResume {
		return false
	}
	return s.mayWrite(req, r) && !slices.Contains(req.avoid, r.entry.Replica)
}

// affinityReplica returns the replica preferred by the request's prefix, so that
// prompts with a common start share one cache. The bound on its load, relative to a
// sampled replica, keeps a popular prefix from overloading one replica.
func (s *Shard) affinityReplica(req *request, sampled *replica) *replica {
	if req.Prefix == 0 || sampled == nil {
		return nil
	}
	bound := s.loadRatio(sampled) + s.config.AffinityBound
	for i, at := range s.affinityOrder(req.Prefix) {
		if at < 0 {
			break
		}
		r := s.local[at]
		if i < s.config.AffinityTries && s.hasSlot(r) && !s.isSlow(r) && s.loadRatio(r) <= bound && s.fits(req, r) {
			return r
		}
	}
	return nil
}

// affinityOrder returns the positions in the list of local replicas of the two that a prefix
// prefers: first those that probably cache it, then by score; -1 if there are fewer.
func (s *Shard) affinityOrder(prefix uint64) [2]int {
	const cached = 1 << 63
	anyCached := s.hints.AnyHolds(prefix)
	best, second := -1, -1
	var bestScore, secondScore uint64
	for i, hash := range s.localHashes {
		score := rendezvousScore(prefix, hash) &^ cached
		if anyCached && s.hints.Holds(s.local[i].entry.Replica, prefix) {
			score |= cached
		}
		switch {
		case best < 0 || score > bestScore:
			second, secondScore = best, bestScore
			best, bestScore = i, score
		case second < 0 || score > secondScore:
			second, secondScore = i, score
		}
	}
	return [2]int{best, second}
}

// rendezvousScore returns a replica's score for a key; the highest score wins
// (rendezvous hashing).
func rendezvousScore(key, replica uint64) uint64 {
	const prime = 0x9E3779B185EBCA87
	h := (replica ^ key) * prime
	return h ^ h>>29
}

// readiness is whether any replica can run a request's model.
type readiness int

const (
	unknownModel readiness = iota // no replica has the model
	noneReady                     // some have it, but none takes work now
	someReady
)

func (s *Shard) readinessFor(req *request) readiness {
	s.rebuild()
	for _, list := range [...][]*replica{s.local, s.remote} {
		for _, r := range list {
			if r.serves(req) {
				return someReady
			}
		}
	}
	for _, r := range s.replicas {
		if r.serves(req) {
			return noneReady
		}
	}
	return unknownModel
}
