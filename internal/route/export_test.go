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
		if r.announcedLoad != r.entry.Load || r.owned != (r.owner == s.config.Self) || (r.heard && s.ownsReplica(r)) {
			return fmt.Errorf("%s differs from its entry or from the lists that contain it", r.entry.Replica)
		}
		if s.sumOthersReported(); s.isTypical(r) && s.onlineLoad(r) != s.othersReported.estimate(r.entry.Slots) {
			return fmt.Errorf("%s counts as typical and has another load", r.entry.Replica)
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
	if err := s.checkSums(); err != nil {
		return err
	}
	notStale := func(list []*replica) []*replica {
		return slices.DeleteFunc(slices.Clone(list), func(r *replica) bool { return r.stale })
	}
	if !slices.Equal(notStale(s.local), local) || !slices.Equal(notStale(s.remote), remote) || !slices.Equal(notStale(s.owned), owned) {
		return fmt.Errorf("the lists of replicas that accept work differ from a scan")
	}
	for i, r := range s.local {
		if s.localHashes[i] != r.hash {
			return fmt.Errorf("the hash of %s is not at its position", r.entry.Replica)
		}
	}
	if len(s.localHashes) != len(s.local) {
		return fmt.Errorf("%d hashes of %d local replicas", len(s.localHashes), len(s.local))
	}
	for _, list := range [][]*replica{s.active, s.expired, s.reported, s.mine, s.slowStarting} {
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

func (s *Shard) checkSums() error {
	overdue, slots := 0, 0
	for _, a := range s.attempts {
		if a.req.overdue && a.req.Class == Online {
			overdue++
		}
	}
	for _, res := range s.reservations {
		if res.req.overdue {
			overdue++
		}
	}
	if overdue != s.overdueRunning {
		return fmt.Errorf("%d overdue requests run, by a scan %d", s.overdueRunning, overdue)
	}
	reported := reportedLoad{at: s.now}
	for _, r := range s.replicas {
		if r.entry.Ready && !r.entry.Leaving {
			slots += s.slots(r)
		}
		online, batch := 0, 0
		for _, report := range r.loadReports {
			if s.now.Sub(report.at) < reportLifetime {
				online += report.online
				batch += report.batch
			}
		}
		if gotOnline, gotBatch := s.sumLoadReports(r); gotOnline != online || gotBatch != batch {
			return fmt.Errorf("the load reports on %s sum up to %d and %d, by a scan %d and %d", r.entry.Replica, gotOnline, gotBatch, online, batch)
		}
		isRecent := !r.ownerReportAt.IsZero() && s.now.Sub(r.ownerReportAt) < ownerReportLifetime
		if r.heard != (isRecent && !s.ownsReplica(r)) {
			return fmt.Errorf("%s counts as heard: %t, by its report's time %t", r.entry.Replica, r.heard, !r.heard)
		}
		if r.candidate && (isRecent || s.ownsReplica(r)) {
			others := r.othersOnline
			if s.ownsReplica(r) {
				others = online + r.unaccounted
			}
			reported.online += others
			reported.slots += s.slots(r)
		}
	}
	if want := max(1, slots/overdueShare/max(1, len(s.gates), s.expectedGates)); s.maxOverdueRunning() != want {
		return fmt.Errorf("%d overdue requests may run, by a scan %d", s.maxOverdueRunning(), want)
	}
	cached := s.othersReported
	s.othersReported = reportedLoad{}
	s.sumOthersReported()
	sum := s.othersReported
	s.othersReported = cached
	if sum != reported {
		return fmt.Errorf("the owners' reports sum up to %+v, by a scan %+v", sum, reported)
	}
	return nil
}
