package route

import "slices"

// overdueShare limits overdue requests to one in this many slots.
const overdueShare = 2

// mayStartOverdue reports whether this gate may run another overdue request. After an
// outage of all gates, thousands of overdue callers return at once, and restarted gates do
// not yet know of each other's requests. Each gate limits them to its share of a part of
// the slots, because they would fill all slots ahead of new callers, who can still be
// answered in time. An overdue answer loses little by waiting longer.
func (s *Shard) mayStartOverdue() bool {
	return s.config.Disabled.LateShare || s.overdueRunning < s.maxOverdueRunning()
}

// takesOverdueShare reports whether the request counts towards overdueRunning while it has
// an attempt or a reservation. It does not become overdue meanwhile: only waiting requests
// do.
func (r *request) takesOverdueShare() bool { return r.overdue && r.Class == Online }

// addOverdue updates the number of overdue requests that run.
func (s *Shard) addOverdue(req *request, by int) {
	if req.takesOverdueShare() {
		s.overdueRunning += by
	}
}

// maxOverdueRunning returns how many overdue requests may run at this gate at a time.
func (s *Shard) maxOverdueRunning() int {
	slots := s.readySlots
	for _, r := range s.currentSlowStarts() {
		if r.readySlots > 0 {
			slots -= r.readySlots - s.slots(r)
		}
	}
	gates := max(1, len(s.gates), s.expectedGates)
	return max(1, slots/overdueShare/gates)
}

// currentSlowStarts returns the replicas whose slow start is under way.
func (s *Shard) currentSlowStarts() []*replica {
	s.slowStarting = slices.DeleteFunc(s.slowStarting, func(r *replica) bool { return !s.isSlowStarting(r) })
	return s.slowStarting
}

// updateReadySlots updates the sum of the slots of ready replicas. It must be called after
// each change of the replica's entry.
func (s *Shard) updateReadySlots(r *replica) {
	slots := 0
	if r.entry.Ready && !r.entry.Leaving {
		slots = r.entry.Slots
	}
	s.setReadySlots(r, slots)
}

func (s *Shard) setReadySlots(r *replica, slots int) {
	s.readySlots += slots - r.readySlots
	r.readySlots = slots
}
