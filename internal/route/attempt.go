package route

import (
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/upstream"
)

func (s *Shard) dispatch(req *request, r *replica, kind DispatchKind) {
	s.dispatchFrom(req, r, kind, "")
}

// dispatchFrom sends the request to a replica. A non-empty memory is the name of the
// kept memory from which the replica resumes the run.
func (s *Shard) dispatchFrom(req *request, r *replica, kind DispatchKind, memory string) {
	s.nextAttempt++
	confirm := memory == "" && s.mustConfirm(req, r)
	a := &attempt{
		id: s.nextAttempt, req: req, replica: r, build: r.entry.Build, doubted: s.isDoubted(r) && !confirm,
		started: s.now, lastProgress: s.now, unsent: s.delays, unidentified: s.mustIdentify(req, r, confirm),
	}
	a.queued = !s.hasSlot(r)
	s.attempts[a.id] = a
	s.addOverdue(req, 1)
	s.recordCopyStart(req.Fingerprint, r)
	req.liveAttempts = append(req.liveAttempts, a)
	req.tried++
	r.attempts = append(r.attempts, a)
	s.markActive(r)
	s.addLoad(r, req.Class, 1)
	if !req.holdsEvents() && !s.continuesAt(req, r) {
		req.discardEvents()
	}
	resume := req.tokens > 0 && r.entry.CanResume && (req.Resumable || memory != "")
	req.isTrial = false
	s.emit(Dispatch{
		ID: req.ID, Attempt: a.id, Kind: kind, Target: &r.entry.Announcement, Resume: resume, Memory: memory,
		Unconfirmed: a.doubted || a.unidentified, Confirm: confirm,
		Queued: s.queueWait(req), AheadInQueue: req.aheadInQueue, ReservationTries: req.reservationTries,
		Share: s.dispatchShare(req),
	})
	req.queuedAt, req.aheadInQueue, req.reservationTries = time.Time{}, 0, 0
	if req.Class == Batch {
		s.lastBatchItem = req
		return
	}
	s.freeSlots(r, req.ID)
}

// queueWait returns how long the request was queued before the attempt that starts now,
// or 0 if the attempt directly follows another one or runs beside it.
func (s *Shard) queueWait(req *request) time.Duration {
	if req.queuedAt.IsZero() {
		return 0
	}
	return s.now.Sub(req.queuedAt)
}

func (s *Shard) addLoad(r *replica, class Class, by int) {
	if class == Online {
		r.online += by
		s.onlineRunning += by
	} else {
		r.batch += by
	}
	s.noRoom.found = false
	r.loadVersion = s.table.NextVersion()
	s.updateKnownPeak(r)
	s.reportLoad(r)
}

// endAttempt removes an attempt from its replica's load.
func (s *Shard) endAttempt(a *attempt) {
	delete(s.attempts, a.id)
	s.addOverdue(a.req, -1)
	a.req.runTime += s.now.Sub(a.started)
	s.recordCopyEnd(a.req.Fingerprint)
	a.req.liveAttempts = removeAttempt(a.req.liveAttempts, a)
	a.replica.attempts = removeAttempt(a.replica.attempts, a)
	s.addLoad(a.replica, a.req.Class, -1)
}

func removeAttempt(list []*attempt, a *attempt) []*attempt {
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

// cancelFor stops an attempt to make room for the request or gate named in forWhom.
func (s *Shard) cancelFor(a *attempt, cause CancelCause, forWhom string) {
	s.keepStopped(a)
	s.endAttempt(a)
	s.count(ReasonCancelPrefix + apierr.Reason(cause))
	s.emit(Cancel{ID: a.req.ID, Attempt: a.id, Cause: cause, For: forWhom})
}

// removeRequest cancels the attempts of a request and deletes its state.
func (s *Shard) removeRequest(req *request, cause CancelCause) {
	for len(req.liveAttempts) > 0 {
		s.cancel(req.liveAttempts[0], cause)
	}
	if req.awaitedReplica != nil {
		req.awaitedReplica.abandoned = append(req.awaitedReplica.abandoned, req.lost)
		s.endAwait(req)
	}
	s.onlineQueue.remove(req)
	s.batchQueue.remove(req)
	s.cancelReservation(req)
	delete(s.requests, req.ID)
	if req.Class == Online {
		s.team(req.Team).inFlight--
	}
}

// refuse sends a request its final error.
func (s *Shard) refuse(req *request, err *apierr.Error) {
	if len(req.liveAttempts) > 0 {
		err = err.WithRan(apierr.RanUnknown)
	}
	s.removeRequest(req, CancelAbandoned)
	s.count(err.Reason)
	s.emit(Refuse{ID: req.ID, Err: err})
}

func (in Abandon) apply(s *Shard) {
	if req := s.requests[in.ID]; req != nil {
		s.removeRequest(req, CancelAbandoned)
		s.startWaiting()
	}
}

func (in Progress) apply(s *Shard) {
	a := s.attempts[in.Attempt]
	if a == nil {
		return
	}
	if a.tokens > 0 && !a.wasPaused {
		s.observeGap(s.now.Sub(a.lastProgress))
	}
	a.lastProgress = s.now
	a.replica.lastContact = s.now
	if in.Tokens > 0 && a.tokens == 0 {
		s.firstTokenTime.observe(s.now.Sub(a.started))
		a.firstAt, a.firstToken = s.now, in.Tokens
		s.recordOrigin(a, in.Delivered)
		s.cancelOthers(a)
	}
	a.tokens = max(a.tokens, in.Tokens)
	a.req.tokens = max(a.req.tokens, in.Tokens)
	a.req.delivered = a.req.delivered || in.Delivered
	if a.flowTime() >= minFlowTime {
		s.recordFlow(a)
	}
}

// cancelOthers stops the other attempts of a request once one has answered.
//
// Otherwise two attempts would write their different texts into one answer.
func (s *Shard) cancelOthers(winner *attempt) {
	if s.config.Disabled.Settle {
		return
	}
	for _, other := range append([]*attempt(nil), winner.req.liveAttempts...) {
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
	a.replica.failures = 0
	a.replica.lastContact = s.now
	s.recordFlow(a)
	s.checkPace(a)
	s.endAttempt(a)
	s.removeRequest(req, CancelHedgeLost)
	switch {
	case req.Class == Online:
		s.answerTime.observe(s.now.Sub(a.started))
	case req.Reached == 0:
		s.itemRunTime.observe(req.runTime)
	}
	s.recordCompletion(req.Fingerprint)
	s.clearCrashes(req)
	s.startWaiting()
}

func (s *Shard) clearCrashes(req *request) {
	if s.crashes.Status(s.now, req.Fingerprint) == upstream.StatusClear {
		return
	}
	if cleared := s.crashes.Clear(req.Fingerprint); len(cleared) > 0 {
		s.emit(ReportCrashes{Crashes: cleared})
	}
}
