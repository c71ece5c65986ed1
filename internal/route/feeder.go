package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// feederOf names the gate that feeds a replica with batch: of the live gates
// in the replica's place, or of all if there is none, the one with the highest
// rendezvous score. One feeder for each replica means that one gate knows all
// batch on it, and that no two gates fill the same free slot.
func (s *Shard) feederOf(r *replica) string {
	if feeder := bestGate(s.gates, r.entry.Place, string(r.entry.Replica)); feeder != "" {
		return feeder
	}
	if feeder := bestGate(s.gates, "", string(r.entry.Replica)); feeder != "" {
		return feeder
	}
	return s.config.Self
}

// bestGate gives the gate with the highest score for the key; an empty place
// stands for any.
func bestGate(gates []Gate, place, key string) string {
	best := ""
	var bestScore uint64
	for _, g := range gates {
		if place != "" && g.Place != place {
			continue
		}
		score := xxhash.Sum64String(g.ID + "\x00" + key)
		if best == "" || score > bestScore {
			best, bestScore = g.ID, score
		}
	}
	return best
}

func (s *Shard) feeds(r *replica) bool {
	return r.feeder == s.config.Self || s.config.Disabled.Feeder
}

func (in GatesChanged) apply(s *Shard) {
	s.gates = slices.Clone(in.Gates)
	s.expected = in.Expected
	s.chooseFeeders()
	s.pump()
}

// chooseFeeders names the feeder of each replica anew.
//
// A gate that drains feeds nothing, also in its own eyes. It serves its callers for
// seconds more, and if it took itself for the feeder, it would tell nobody of their
// requests: the gates that have turned to another feeder would fill the same slots.
func (s *Shard) chooseFeeders() {
	if s.draining && len(s.gates) > 1 {
		s.gates = slices.DeleteFunc(s.gates, func(g Gate) bool { return g.ID == s.config.Self })
	}
	s.stale = true
	for _, r := range s.replicas {
		feeder := s.feederOf(r)
		if feeder != r.feeder {
			r.fedAt = time.Time{}  // the old feeder's word is void
			r.toldAt = time.Time{} // and the new one has not been told
		}
		r.feeder = feeder
		if !s.feeds(r) {
			s.preemptAll(r)
		}
		r.usage = slices.DeleteFunc(r.usage, s.isVoid)
		if len(r.attempts) > 0 || s.isPlacedOn(r) {
			s.tellFeeder(r)
		}
	}
}
