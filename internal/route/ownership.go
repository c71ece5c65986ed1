package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ownerGates are the live gates from which the owners of replicas are chosen. Each list
// is in the order in which the gates were reported.
type ownerGates struct {
	all     []string
	byPlace map[string][]string
	ids     map[string]struct{}
}

func newOwnerGates(gates []Gate) ownerGates {
	g := ownerGates{byPlace: make(map[string][]string), ids: make(map[string]struct{}, len(gates))}
	for _, gate := range gates {
		g.all = append(g.all, gate.ID)
		g.byPlace[gate.Place] = append(g.byPlace[gate.Place], gate.ID)
		g.ids[gate.ID] = struct{}{}
	}
	return g
}

// candidates returns the gates that may own the replicas of a place: those of the place,
// or all if it has none.
func (g *ownerGates) candidates(place string) []string {
	if local := g.byPlace[place]; len(local) > 0 {
		return local
	}
	return g.all
}

// ownerScores computes rendezvous scores without allocations: the hash of the gate's ID, a
// zero byte and the key. All gates of a site must compute the same scores.
type ownerScores struct {
	buffer []byte
	prefix int
}

func (h *ownerScores) setGate(id string) {
	h.buffer = append(append(h.buffer[:0], id...), 0)
	h.prefix = len(h.buffer)
}

func (h *ownerScores) of(key string) uint64 {
	h.buffer = append(h.buffer[:h.prefix], key...)
	return xxhash.Sum64(h.buffer)
}

// best returns the gate with the highest score for the key, and its score. The first wins
// among equals.
func (h *ownerScores) best(gates []string, key string) (gate string, score uint64) {
	for _, id := range gates {
		h.setGate(id)
		if s := h.of(key); gate == "" || s > score {
			gate, score = id, s
		}
	}
	return gate, score
}

// rank returns the number of gates with a higher score for the key than the given one.
func (h *ownerScores) rank(gates []string, gate, key string) (higher int) {
	h.setGate(gate)
	score := h.of(key)
	for _, id := range gates {
		h.setGate(id)
		if h.of(key) > score {
			higher++
		}
	}
	return higher
}

// chooseOwner chooses the replica's owner gate, the only gate that starts batch work on
// it: the live gate in the replica's place with the highest rendezvous score, or the best
// of all gates if the place has none. With a single owner, one gate knows all batch work on
// the replica, and no two gates fill the same free slot.
func (s *Shard) chooseOwner(r *replica) {
	if place := r.entry.Place; place != r.ownerPlace {
		s.byPlace[r.ownerPlace] = removeReplica(s.byPlace[r.ownerPlace], r)
		s.byPlace[place] = insertReplica(s.byPlace[place], r)
		r.ownerPlace = place
	}
	owner, score := s.scores.best(s.ownerGates.candidates(r.ownerPlace), string(r.entry.Replica))
	if owner == "" {
		owner = s.config.Self
	}
	s.setOwner(r, owner, score)
}

func (s *Shard) setOwner(r *replica, owner string, score uint64) {
	r.ownerScore = score
	if owner == r.owner {
		return
	}
	r.owner = owner
	r.ownerReportAt = time.Time{} // the previous owner's report is obsolete
	s.setHeard(r, false)
	r.reportedAt = time.Time{} // the new owner has no report of this gate's requests yet
	s.markStale(r)
	r.owned = owner == s.config.Self
	if s.ownsReplica(r) {
		s.mine = insertReplica(s.mine, r)
	} else {
		s.mine = removeReplica(s.mine, r)
	}
}

func (s *Shard) ownsReplica(r *replica) bool {
	return r.owned || s.config.Disabled.Feeder
}

func (in GatesChanged) apply(s *Shard) {
	s.expectedGates = in.Expected
	s.assignOwners(in.Gates)
	s.startWaiting()
}

// assignOwners applies a list of live gates and updates the owners of the replicas.
//
// A draining gate owns no replica. It still serves its callers for some seconds, and if
// it considered itself the owner, it would not report those requests to the gates that
// have switched to another owner, and these would fill the same slots.
func (s *Shard) assignOwners(gates []Gate) {
	gates = slices.Clone(gates)
	if s.draining && len(gates) > 1 {
		gates = slices.DeleteFunc(gates, func(g Gate) bool { return g.ID == s.config.Self })
	}
	for _, r := range s.moved {
		s.chooseOwner(r)
	}
	s.moved = nil
	if !slices.Equal(gates, s.gates) {
		s.replaceGates(gates)
	}
	for _, r := range slices.Clone(s.active) {
		if !s.ownsReplica(r) {
			s.preemptAll(r)
		}
		if len(r.attempts) > 0 || s.hasReservation(r) {
			s.reportLoad(r)
		}
	}
	s.dropObsoleteReports()
}

// replaceGates replaces the live gates and updates the owners of the replicas in places
// whose gates have changed.
func (s *Shard) replaceGates(gates []Gate) {
	before := s.ownerGates
	s.gates = gates
	s.ownerGates = newOwnerGates(gates)
	for place, replicas := range s.byPlace {
		// A place that gets its first gate or loses its last one has other candidates
		// than before, so that all of its replicas are compared.
		old, now := before.candidates(place), s.ownerGates.candidates(place)
		if len(old) == 0 || len(now) == 0 || (len(before.byPlace[place]) == 0) != (len(s.ownerGates.byPlace[place]) == 0) {
			for _, r := range replicas {
				s.chooseOwner(r)
			}
			continue
		}
		s.updateOwners(replicas, without(old, now), without(now, old))
	}
}

// without returns the elements of list that are not in other.
func without(list, other []string) []string {
	if slices.Equal(list, other) {
		return nil
	}
	known := make(map[string]struct{}, len(other))
	for _, id := range other {
		known[id] = struct{}{}
	}
	var rest []string
	for _, id := range list {
		if _, found := known[id]; !found {
			rest = append(rest, id)
		}
	}
	return rest
}

// updateOwners updates the owners of replicas whose candidates have changed: a replica
// whose owner is gone gets the best of the others, and one with a higher score for a gate
// that was added gets that gate.
func (s *Shard) updateOwners(replicas []*replica, gone, added []string) {
	if len(gone) > 0 {
		for _, r := range replicas {
			if slices.Contains(gone, r.owner) {
				s.chooseOwner(r)
			}
		}
	}
	for _, gate := range added {
		s.scores.setGate(gate)
		for _, r := range replicas {
			switch score := s.scores.of(string(r.entry.Replica)); {
			case score > r.ownerScore:
				s.setOwner(r, gate, score)
			case score == r.ownerScore && gate != r.owner:
				s.chooseOwner(r) // the order of the gates decides
				s.scores.setGate(gate)
			}
		}
	}
}
