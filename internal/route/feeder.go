package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ownerOf returns the ID of the replica's owner gate, the only gate that starts batch
// work on it: the live gate in the replica's place with the highest rendezvous score,
// or the best of all gates if the place has none. With a single owner, one gate knows
// all batch work on the replica, and no two gates fill the same free slot.
func (s *Shard) ownerOf(r *replica) string {
	if owner := bestGate(s.gates, r.entry.Place, string(r.entry.Replica)); owner != "" {
		return owner
	}
	if owner := bestGate(s.gates, "", string(r.entry.Replica)); owner != "" {
		return owner
	}
	return s.config.Self
}

// bestGate returns the ID of the gate with the highest score for the key. An empty
// place matches every gate.
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

func (s *Shard) ownsReplica(r *replica) bool {
	return r.owner == s.config.Self || s.config.Disabled.Feeder
}

func (in GatesChanged) apply(s *Shard) {
	s.gates = slices.Clone(in.Gates)
	s.expectedGates = in.Expected
	s.assignOwners()
	s.startWaiting()
}

// assignOwners recomputes the owner of every replica.
//
// A draining gate owns no replica. It still serves its callers for some seconds, and if
// it considered itself the owner, it would not report those requests to the gates that
// have switched to another owner, and these would fill the same slots.
func (s *Shard) assignOwners() {
	if s.draining && len(s.gates) > 1 {
		s.gates = slices.DeleteFunc(s.gates, func(g Gate) bool { return g.ID == s.config.Self })
	}
	for _, r := range s.replicas {
		owner := s.ownerOf(r)
		if owner != r.owner {
			r.ownerReportAt = time.Time{} // the previous owner's report is obsolete
			r.reportedAt = time.Time{}    // the new owner has no report of this gate's requests yet
		}
		if owner != r.owner {
			s.markStale(r)
		}
		r.owner = owner
		if !s.ownsReplica(r) {
			s.preemptAll(r)
		}
		r.loadReports = slices.DeleteFunc(r.loadReports, s.isObsolete)
		if len(r.attempts) > 0 || s.hasReservation(r) {
			s.reportLoad(r)
		}
	}
}
