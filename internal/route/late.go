package route

// overdueShare limits overdue requests to one in this many slots.
const overdueShare = 2

// mayStartOverdue reports whether this gate may run another request that is past its
// target.
//
// After an outage of all gates, thousands of callers return at once, all overdue, and
// restarted gates do not yet know of each other's requests. Together they would fill
// all slots, and new callers, who could still be answered in time, would wait behind
// them. Each gate therefore limits overdue requests to its share of a part of the
// slots. An answer that has missed its target loses little by waiting longer.
func (s *Shard) mayStartOverdue() bool {
	return s.config.Disabled.LateShare || s.countOverdueRunning() < s.maxOverdueRunning()
}

func (s *Shard) countOverdueRunning() int {
	count := 0
	for _, a := range s.attempts {
		if a.req.overdue && a.req.Class == Online {
			count++
		}
	}
	for _, res := range s.reservations {
		if res.req.overdue {
			count++
		}
	}
	return count
}

// maxOverdueRunning returns how many overdue requests may run at this gate at a time.
func (s *Shard) maxOverdueRunning() int {
	slots := 0
	for _, r := range s.replicas {
		if r.entry.Ready && !r.entry.Leaving {
			slots += s.slots(r)
		}
	}
	gates := max(1, len(s.gates), s.expectedGates)
	return max(1, slots/overdueShare/gates)
}
