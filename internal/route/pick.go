package route

import "slices"

// sampleTries bounds the random draws for one candidate before the list is
// scanned; it fails only when most replicas do not fit the request.
const sampleTries = 6

// pick chooses the replica for an online attempt; nil when none has room.
//
// The order is: the replica that the prompt's prefix prefers if its load is
// near that of the sampled one, the less loaded of two samples of the own
// place, and another place if the own is loaded and the other clearly less.
func (s *Shard) pick(req *request) *replica {
	s.rebuild()
	chosen := s.sampleTwo(req, s.local)
	if preferred := s.affine(req, chosen); preferred != nil {
		return preferred
	}
	if chosen != nil && s.ratio(chosen) < s.config.SpillAt {
		return chosen
	}
	chosen = s.spill(chosen, s.sampleTwo(req, s.remote))
	if chosen != nil && !s.hasSlot(chosen) {
		// The request would wait in an engine's queue; two samples may both be
		// full while another replica is not.
		return s.leastLoaded(req, chosen)
	}
	return chosen
}

// leastLoaded looks at all replicas for one that is less loaded than chosen.
func (s *Shard) leastLoaded(req *request, chosen *replica) *replica {
	for _, list := range [...][]*replica{s.local, s.remote} {
		for _, r := range list {
			if s.ratio(r) < s.ratio(chosen) && s.fits(req, r) {
				chosen = r
			}
		}
	}
	return chosen
}

func (s *Shard) spill(near, far *replica) *replica {
	switch {
	case far == nil:
		return near
	case near == nil:
		return far
	case s.ratio(far)+s.config.SpillPenalty < s.ratio(near):
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
	if second != nil && s.ratio(second) < s.ratio(first) {
		return second
	}
	return first
}

// sample draws a replica that fits, other than not. When a few draws find
// none, it scans from a random place on.
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

// fits says whether the replica may run the request now.
func (s *Shard) fits(req *request, r *replica) bool {
	if !s.mayServe(req, r) {
		return false
	}
	if s.mayAsk(req, r) {
		return !s.isSuspect(req) || !s.sharesTrial(r)
	}
	if !s.hasRoom(r) {
		return false
	}
	if req.late && !s.hasSlot(r) {
		// It waits here: in the engine's queue, which admits in the order of
		// arrival, one that can be in time would stand behind it.
		return false
	}
	return !s.isSuspect(req) || !s.sharesTrial(r)
}

// serves says whether the replica is of the kind that the request is for and
// has its model. A call to a plain service must never reach an engine, where its
// path could be an order.
func (r *replica) serves(req *request) bool {
	if req.Kind != "" && req.Kind != r.entry.Kind {
		return false
	}
	return r.entry.Serves(req.Model, req.Version)
}

// mayServe says whether the replica has the model and has not failed the
// request before.
func (s *Shard) mayServe(req *request, r *replica) bool {
	if !r.serves(req) {
		return false
	}
	if req.delivered && !r.entry.CanResume {
		return false
	}
	return !slices.Contains(req.avoid, r.entry.Replica)
}

// affine gives the replica that the request's prefix prefers, so that prompts
// with a common start meet in one cache. The bound on its load, relative to a
// sampled replica, keeps a popular prefix from overloading one replica.
func (s *Shard) affine(req *request, sampled *replica) *replica {
	if req.Prefix == 0 || sampled == nil {
		return nil
	}
	bound := s.ratio(sampled) + s.config.AffinityBound
	var best, second *replica
	var bestScore, secondScore uint64
	for _, r := range s.local {
		score := mix(req.Prefix, r.hash)
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
		if r != nil && i < s.config.AffinityTries && s.hasSlot(r) && s.ratio(r) <= bound && s.fits(req, r) {
			return r
		}
	}
	return nil
}

// mix scores a replica for a key; the highest score wins (rendezvous hashing).
func mix(key, replica uint64) uint64 {
	const prime = 0x9E3779B185EBCA87
	h := (replica ^ key) * prime
	return h ^ h>>29
}

// readiness says whether any replica has a request's model.
type readiness int

const (
	unknownModel readiness = iota // no replica has it
	noneReady                     // some have it, and none takes work now
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
