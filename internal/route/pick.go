package route

import "slices"

// sampleTries bounds the random draws for one candidate before the list is scanned; the
// draws fail only when most replicas do not fit the request.
const sampleTries = 6

// pick returns the replica for an online attempt, or nil if none has room. In order of
// preference: the replica preferred by the prompt's prefix if its load is near that of the
// sampled one, the less loaded of two samples from the gate's own place, and a replica of
// another place if the own place is loaded and the other replica clearly less so.
func (s *Shard) pick(req *request) *replica {
	s.rebuild()
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

// leastLoaded scans all replicas for one with less load than chosen.
func (s *Shard) leastLoaded(req *request, chosen *replica) *replica {
	for _, list := range [...][]*replica{s.local, s.remote} {
		for _, r := range list {
			if s.expectedCost(r) < s.expectedCost(chosen) && s.fits(req, r) {
				chosen = r
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
	start := s.rng.IntN(len(from))
	for i := range from {
		if r := from[(start+i)%len(from)]; r != not && s.fits(req, r) {
			return r
		}
	}
	return nil
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
	return !slices.Contains(req.avoid, r.entry.Replica)
}

// affinityReplica returns the replica preferred by the request's prefix, so that
// prompts with a common start share one cache. The bound on its load, relative to a
// sampled replica, keeps a popular prefix from overloading one replica.
func (s *Shard) affinityReplica(req *request, sampled *replica) *replica {
	if req.Prefix == 0 || sampled == nil {
		return nil
	}
	bound := s.loadRatio(sampled) + s.config.AffinityBound
	var best, second *replica
	var bestScore, secondScore uint64
	for _, r := range s.local {
		score := rendezvousScore(req.Prefix, r.hash)
		if s.hints.Holds(r.entry.Replica, req.Prefix) {
			score |= 1 << 63
		} else {
			score &^= 1 << 63
		}
		switch {
		case best == nil || score > bestScore:
			second, secondScore = best, bestScore
			best, bestScore = r, score
		case second == nil || score > secondScore:
			second, secondScore = r, score
		}
	}
	for i, r := range [...]*replica{best, second} {
		if r != nil && i < s.config.AffinityTries && s.hasSlot(r) && !s.isSlow(r) && s.loadRatio(r) <= bound && s.fits(req, r) {
			return r
		}
	}
	return nil
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
