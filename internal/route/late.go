package route

// overdueShare limits overdue requests to one in this many slots.
const overdueShare = 2

// mayStartOverdue reports whether this gate may run another overdue request. After an
// outage of all gates, thousands of overdue callers return at once, and restarted gates do
// not yet know of each other's requests. Each gate limits them to its share of a part of
// the slots, because they would fill all slots ahead of new callers, who can still be
// answered in time. An overdue answer loses little by waiting longer.
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
