package route

import "slices"

// handOver moves a stalled answer that may not run again. Its stream stalls until TCP
// retransmits a lost packet, and sending the request again would run it twice. The engine
// therefore stops the run, keeps its memory and copies it to another replica, where the
// answer continues over another connection, or on the same replica if the copy failed.
func (s *Shard) handOver(a *attempt) {
	to := s.chooseHandoverTarget(a)
	if to == nil || !s.budget.spend(hedgeReserve*s.config.RetryReserve*startShare) {
		return
	}
	a.req.stalls++
	s.count(ReasonHandOver)
	s.requestHandOver(a, to)
}

func (s *Shard) requestHandOver(a *attempt, to *replica) {
	a.handoverTarget = to
	a.handoverOffers = append(a.handoverOffers, to)
	s.emit(HandOver{ID: a.req.ID, Attempt: a.id, From: &a.replica.entry.Announcement, To: &to.entry.Announcement})
}

// maxHandOvers bounds the replicas that are asked to take over a run. Each request
// takes a round trip; after several of them TCP has retransmitted the lost packet.
const maxHandOvers = 4

// chooseHandoverTarget returns the other replica with the most free slots, preferring
// the attempt's place. The copy needs a free slot, because batch work is not preempted
// for it.
func (s *Shard) chooseHandoverTarget(a *attempt) *replica {
	s.rebuild()
	var best *replica
	bestFree := 0
	for _, list := range [...][]*replica{s.local, s.remote} {
		for _, r := range list {
			free := s.slots(r) - s.totalLoad(r)
			if r.entry.Place != a.replica.entry.Place {
				free -= s.slots(r) // prefer any replica of the same place
			}
			mayTake := r != a.replica && s.mayServe(a.req, r) && s.continuesAt(a.req, r) && !slices.Contains(a.handoverOffers, r)
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
		return // the attempt has ended
	}
	to := a.handoverTarget
	a.handoverTarget = nil
	switch {
	case in.Memory != "":
		s.resumeRun(a, to, in)
	case a.disconnected:
		s.handleFailure(a, CauseBroken)
		s.startWaiting()
	case in.NoRoom && len(a.handoverOffers) < maxHandOvers && s.isIdle(a):
		if next := s.chooseHandoverTarget(a); next != nil {
			s.requestHandOver(a, next)
		}
	}
}

// resumeRun continues a stopped run.
func (s *Shard) resumeRun(a *attempt, to *replica, in HandedOver) {
	req, target := a.req, a.replica
	if in.Copied && s.acceptsWork(to) && s.continuesAt(req, to) {
		target = to
	}
	s.cancel(a, CancelStalled)
	req.tried-- // the run continues, so it is not a further attempt
	req.maybeRan = true
	s.dispatchFrom(req, target, Resume, in.Memory)
}
