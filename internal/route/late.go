package route

// lateShare is the part of the slots that late requests may use: one in so many.
const lateShare = 2

// mayStartLate says whether a late request may start beside those that run here.
//
// It answers the load after an outage of all gates. Thousands of callers come back
// at once, all of them late, and gates that have just started do not know of each
// other's requests: together they fill all slots, and the callers who come next,
// whose answers could still be in time, wait behind them. Each gate therefore runs
// no more late requests than its share of a part of the slots. An answer that has
// lost its use loses little by waiting longer.
func (s *Shard) mayStartLate() bool {
	return s.config.Disabled.LateShare || s.lateRunning() < s.latePlaces()
}

func (s *Shard) lateRunning() int {
	count := 0
	for _, a := range s.attempts {
		if a.req.late && a.req.Class == Online {
			count++
		}
	}
	for _, p := range s.placing {
		if p.req.late {
			count++
		}
	}
	return count
}

// latePlaces gives how many late requests may run at this gate at a time.
func (s *Shard) latePlaces() int {
	slots := 0
	for _, r := range s.replicas {
		if r.entry.Ready && !r.entry.Leaving {
			slots += s.slots(r)
		}
	}
	gates := max(1, len(s.gates), s.expected)
	return max(1, slots/lateShare/gates)
}
