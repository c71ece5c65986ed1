package route

// spareShare is the part of a replica's slots that items with time to spare leave
// free when they start: one in eight, and at least one.
const spareShare = 0.125

// spare gives the slots of a replica beyond its policy in which an item does not
// start now.
//
// It answers online requests that come and go one by one on replicas full of batch.
// Each of them would stop an item that began a moment ago, whose connection ends and
// whose prompt is read again, while the request waits until its slot is free. With a
// slot to spare the request finds one, and the item runs on. An item that is short of
// time takes each free slot.
func (s *Shard) spare(req *request, r *replica) int {
	if !s.hasTime(req) {
		return 0
	}
	return max(1, int(spareShare*float64(s.slots(r))+0.5))
}

// hasTime says whether an item would be in time if it took twice as long as items
// like it do.
func (s *Shard) hasTime(req *request) bool {
	if req.UsefulUntil.IsZero() || req.late {
		return false
	}
	return s.at.Add(2 * s.itemLead(req)).Before(req.UsefulUntil)
}

// spareOfNext gives the same for the next item: the first one that waits, else one
// like that which was sent last.
func (s *Shard) spareOfNext(r *replica) int {
	next := s.lastItem
	if s.batch.len() > 0 {
		next = s.batch.list[0]
	}
	if next == nil {
		return 0
	}
	return s.spare(next, r)
}
