package route

import (
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/upstream"
)

func (s *Shard) dispatch(req *request, r *replica, kind DispatchKind) {
	s.dispatchFrom(req, r, kind, "")
}

// dispatchFrom sends the request to go on from the memory of its run; empty: without.
func (s *Shard) dispatchFrom(req *request, r *replica, kind DispatchKind, memory string) {
	s.nextAttempt++
	a := &attempt{id: s.nextAttempt, req: req, on: r, started: s.at, progress: s.at}
	a.queued = !s.hasSlot(r)
	s.attempts[a.id] = a
	s.copyStarted(req.Fingerprint, r)
	req.live = append(req.live, a)
	req.tried++
	r.attempts = append(r.attempts, a)
	s.countOn(r, req.Class, 1)
	resume := req.tokens > 0 && r.entry.CanResume && (req.Resumable || memory != "")
	s.emit(Dispatch{
		ID: req.ID, Attempt: a.id, Kind: kind, Target: &r.entry.Announcement, Resume: resume, Memory: memory,
		Queued: s.waited(req), Behind: req.behind, Places: req.places,
	})
	req.queuedAt, req.behind, req.places = time.Time{}, 0, 0
	if req.Class == Batch {
		s.lastItem = req
		return
	}
	s.yieldSlots(r, req.ID)
}

// waited is how long the request has waited for the attempt that begins now; 0 if it
// goes on at once after another one, or beside it.
func (s *Shard) waited(req *request) time.Duration {
	if req.queuedAt.IsZero() {
		return 0
	}
	return s.at.Sub(req.queuedAt)
}

func (s *Shard) countOn(r *replica, class Class, by int) {
	if class == Online {
		r.online += by
		s.onlineRunning += by
	} else {
		r.batch += by
	}
	r.feedVersion = s.table.Bump()
	s.noteKnown(r)
	s.tellFeeder(r)
}

// end takes an attempt off its replica.
func (s *Shard) end(a *attempt) {
	delete(s.attempts, a.id)
	a.req.worked += s.at.Sub(a.started)
	s.copyEnded(a.req.Fingerprint)
	a.req.live = without(a.req.live, a)
	a.on.attempts = without(a.on.attempts, a)
	s.countOn(a.on, a.req.Class, -1)
}

func without(list []*attempt, a *attempt) []*attempt {
	for i, other := range list {
		if other == a {
			copy(list[i:], list[i+1:])
			list[len(list)-1] = nil
			return list[:len(list)-1]
		}
	}
	return list
}

// cancel stops an attempt.
func (s *Shard) cancel(a *attempt, cause CancelCause) { s.cancelFor(a, cause, "") }

// cancelFor stops an attempt to make room for a request or gate.
func (s *Shard) cancelFor(a *attempt, cause CancelCause, forWhom string) {
	s.end(a)
	s.count(ReasonCancelPrefix + apierr.Reason(cause))
	s.emit(Cancel{ID: a.req.ID, Attempt: a.id, Cause: cause, For: forWhom})
}

// forget ends all that is known of a request.
func (s *Shard) forget(req *request, cause CancelCause) {
	for len(req.live) > 0 {
		s.cancel(req.live[0], cause)
	}
	if req.awaiting != nil {
		req.awaiting.orphans = append(req.awaiting.orphans, req.Fingerprint)
		s.settled(req)
	}
	s.waiting.remove(req)
	s.batch.remove(req)
	s.withdrawPlace(req)
	delete(s.requests, req.ID)
	if req.Class == Online {
		s.team(req.Team).inFlight--
	}
}

// refuse gives a request its final answer.
func (s *Shard) refuse(req *request, err *apierr.Error) {
	if len(req.live) > 0 {
		err = err.WithRan(apierr.RanUnknown)
	}
	s.forget(req, CancelAbandoned)
	s.count(err.Reason)
	s.emit(Refuse{ID: req.ID, Err: err})
}

func (in Abandon) apply(s *Shard) {
	if req := s.requests[in.ID]; req != nil {
		s.forget(req, CancelAbandoned)
		s.pump()
	}
}

func (in Progress) apply(s *Shard) {
	a := s.attempts[in.Attempt]
	if a == nil {
		return
	}
	if a.tokens > 0 {
		s.observeGap(s.at.Sub(a.progress))
	}
	a.progress = s.at
	a.on.heardAt = s.at
	if in.Tokens > 0 && a.tokens == 0 {
		s.firstToken.observe(s.at.Sub(a.started))
		s.settle(a)
	}
	a.tokens = max(a.tokens, in.Tokens)
	a.req.tokens = max(a.req.tokens, in.Tokens)
	a.req.delivered = a.req.delivered || in.Delivered
}

// settle stops the other attempts of a request: the first to answer wins.
//
// Without it two attempts would write into one answer, each with its own words.
func (s *Shard) settle(winner *attempt) {
	if s.config.Disabled.Settle {
		return
	}
	for _, other := range append([]*attempt(nil), winner.req.live...) {
		if other != winner {
			s.cancel(other, CancelHedgeLost)
		}
	}
}

func (in Finished) apply(s *Shard) {
	a := s.attempts[in.Attempt]
	if a == nil {
		return
	}
	req := a.req
	a.on.failures = 0
	a.on.heardAt = s.at
	s.end(a)
	s.forget(req, CancelHedgeLost)
	switch {
	case req.Class == Online:
		s.answer.observe(s.at.Sub(a.started))
	case req.Reached == 0:
		s.itemWork.observe(req.worked)
	}
	s.copyProven(req.Fingerprint)
	s.clearStrikes(req)
	s.pump()
}

func (s *Shard) clearStrikes(req *request) {
	if s.strikes.Standing(s.at, req.Fingerprint) == upstream.StandingClear {
		return
	}
	if cleared := s.strikes.Clear(req.Fingerprint); len(cleared) > 0 {
		s.emit(Spread{Strikes: cleared})
	}
}
