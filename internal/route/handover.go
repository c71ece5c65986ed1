package route

import "slices"

// handOver asks for a stalled answer that may not run again to go on as the same
// run: its engine stops it and keeps its memory, from which it goes on over another
// connection.
//
// Failure guarded against: as for answers that can be resumed, a packet between
// replica and gate is lost, and the text stands still until TCP sends it again. Sent
// once more, the request would run twice. The engine copies the memory to another
// replica, so that the answer goes on there, or where it was if that failed.
func (s *Shard) handOver(a *attempt) {
	to := s.handOverTo(a)
	if to == nil || !s.budget.take(hedgeReserve*s.config.RetryReserve*startShare) {
		return
	}
	a.req.stalls++
	s.count(ReasonHandOver)
	s.askHandOver(a, to)
}

func (s *Shard) askHandOver(a *attempt, to *replica) {
	a.handedTo = to
	a.offeredTo = append(a.offeredTo, to)
	s.emit(HandOver{ID: a.req.ID, Attempt: a.id, From: &a.on.entry.Announcement, To: &to.entry.Announcement})
}

// maxHandOvers bounds the replicas that a run is offered to. Each offer takes a round
// trip; after some of them the lost packet has been sent again.
const maxHandOvers = 4

// handOverTo gives the other replica with the most free slots, of the attempt's
// place if there is one. The copy takes a slot, also from batch, which does not give
// way to it.
func (s *Shard) handOverTo(a *attempt) *replica {
	s.rebuild()
	var best *replica
	bestFree := 0
	for _, list := range [...][]*replica{s.local, s.remote} {
		for _, r := range list {
			free := s.slots(r) - s.totalLoad(r)
			if r.entry.Place != a.on.entry.Place {
				free -= s.slots(r) // any of the place goes first
			}
			mayTake := r != a.on && s.mayServe(a.req, r) && !slices.Contains(a.offeredTo, r)
			if mayTake && (best == nil || free > bestFree) {
				best, bestFree = r, free
			}
		}
	}
	return best
}

func (in HandedOver) apply(s *Shard) {
	a := s.attempts[in.Attempt]
	if a == nil {
		return // it has ended meanwhile
	}
	to := a.handedTo
	a.handedTo = nil
	switch {
	case in.Memory != "":
		s.goOn(a, to, in)
	case a.broke:
		s.failed(a, CauseBroken)
		s.pump()
	case in.NoRoom && len(a.offeredTo) < maxHandOvers && s.isOverdue(a):
		if next := s.handOverTo(a); next != nil {
			s.askHandOver(a, next)
		}
	}
}

// goOn goes on with a run that was stopped.
func (s *Shard) goOn(a *attempt, to *replica, in HandedOver) {
	req, on := a.req, a.on
	if in.Copied && s.takesWork(to) {
		on = to
	}
	s.cancel(a, CancelStalled)
	req.tried-- // the same run
	req.maybeRan = true
	s.dispatchFrom(req, on, Resume, in.Memory)
}
