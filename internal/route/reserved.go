package route

// reservedShare is the share of a replica's slots that batch items with slack (hasSlack)
// leave free when they start: one in eight, but at least one slot.
const reservedShare = 0.125

// reservedSlots returns the slots beyond the policy's headroom in which an item does not
// start now. Without them, online requests that arrive one by one on replicas full of batch
// work would each preempt an item that has just started: its connection would end, its
// prompt be processed again, and the request would wait for the slot. An item that is short
// of time takes every free slot.
func (s *Shard) reservedSlots(req *request, r *replica) int {
	if !s.hasSlack(req) {
		return 0
	}
	return max(1, int(reservedShare*float64(s.slots(r))+0.5))
}

// hasSlack reports whether an item would meet its target if it took twice its expected
// time.
func (s *Shard) hasSlack(req *request) bool {
	if req.UsefulUntil.IsZero() || req.overdue {
		return false
	}
	return s.now.Add(2 * s.remainingTime(req)).Before(req.UsefulUntil)
}

// reservedForNext returns the reserved slots for the next item: the first waiting one,
// or one like the last that was dispatched.
func (s *Shard) reservedForNext(r *replica) int {
	next := s.lastBatchItem
	if s.batchQueue.len() > 0 {
		next = s.batchQueue.list[0]
	}
	if next == nil {
		return 0
	}
	return s.reservedSlots(next, r)
}
