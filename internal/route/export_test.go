package route

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// CheckBookkeeping compares the lists and sums of the shard with a scan of all replicas.
func (s *Shard) CheckBookkeeping() error {
	var local, remote, owned []*replica
	for _, r := range s.replicas {
		if r.needsVisit() && !slices.Contains(s.active, r) {
			return fmt.Errorf("%s needs a visit and is not active", r.entry.Replica)
		}
		if r.expired != slices.Contains(s.expired, r) {
			return fmt.Errorf("%s is expired: %t, listed as such: %t", r.entry.Replica, r.expired, !r.expired)
		}
		if r.candidate != s.acceptsWork(r) && !r.stale {
			return fmt.Errorf("%s accepts work: %t, and is not stale", r.entry.Replica, !r.candidate)
		}
		if want := s.ownerByScan(r); r.owner != want && !slices.Contains(s.moved, r) {
			return fmt.Errorf("%s is owned by %s, by a scan %s", r.entry.Replica, r.owner, want)
		}
		if len(r.loadReports) > 0 && !slices.Contains(s.reported, r) {
			return fmt.Errorf("%s has load reports and is not listed", r.entry.Replica)
		}
		if !slices.Contains(s.byPlace[r.ownerPlace], r) {
			return fmt.Errorf("%s is not listed under %s", r.entry.Replica, r.ownerPlace)
		}
		if r.stale {
			continue
		}
		switch {
		case !r.candidate:
			continue
		case r.entry.Place == s.config.Place:
			local = append(local, r)
		default:
			remote = append(remote, r)
		}
		if s.ownsReplica(r) {
			owned = append(owned, r)
		}
	}
	notStale := func(list []*replica) []*replica {
		return slices.DeleteFunc(slices.Clone(list), func(r *replica) bool { return r.stale })
	}
	if !slices.Equal(notStale(s.local), local) || !slices.Equal(notStale(s.remote), remote) || !slices.Equal(notStale(s.owned), owned) {
		return fmt.Errorf("the lists of replicas that accept work differ from a scan")
	}
	for _, list := range [][]*replica{s.active, s.expired, s.reported} {
		for _, r := range list {
			if s.replica(r.entry.Replica) != r {
				return fmt.Errorf("%s is listed and unknown", r.entry.Replica)
			}
		}
		if !slices.IsSortedFunc(list, compareIDs) {
			return fmt.Errorf("a list of replicas is out of order")
		}
	}
	return nil
}

// ownerByScan returns the replica's owner by the score of each gate.
func (s *Shard) ownerByScan(r *replica) string {
	for _, place := range []string{r.ownerPlace, ""} {
		best := ""
		var bestScore uint64
		for _, g := range s.gates {
			if place != "" && g.Place != place {
				continue
			}
			if score := xxhash.Sum64String(g.ID + "\x00" + string(r.entry.Replica)); best == "" || score > bestScore {
				best, bestScore = g.ID, score
			}
		}
		if best != "" {
			return best
		}
	}
	return s.config.Self
}
