package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/upstream"
)

// Parts of prompts that crash replicas: package crash decides what the end of a process proves
// about them, this file what it means for requests. Requests with a suspect part go to one
// replica, which all gates choose by the same hash, so that a harmful part costs one replica at a
// time without any call between gates; those with a condemned part are refused.

// PartsReported carries records of parts from another VM. Answer is set if it answers a report of
// this gate.
type PartsReported struct {
	Records []crash.Record
	Answer  bool
}

// PartLifted reports that the operator has lifted what speaks against a part.
type PartLifted struct{ Part crash.Part }

// Outputs about parts.
type (
	// ReportParts sends records of parts to the control VMs and, unless ControlOnly is set, to
	// all gates. Nothing waits for it.
	ReportParts struct {
		Records     []crash.Record
		ControlOnly bool
	}
	// AnswerParts answers the records in the input.
	AnswerParts struct{ Records []crash.Record }
	// PartJudged reports that the standing of a part has changed.
	PartJudged struct{ crash.Change }
)

func (ReportParts) output() {}
func (AnswerParts) output() {}
func (PartJudged) output()  {}

// minFlowTime is how long an answer must have flowed to clear the parts of its prompt: content
// that crashes replicas does so as they begin to answer.
const minFlowTime = 250 * time.Millisecond

// hasFlowed reports whether the answer had flowed for a while when its process ended.
func (l *lostRequest) hasFlowed() bool { return l.tokens > 0 && l.flowed >= minFlowTime }

// maxBeginTime is how long nearly all requests wait at a replica for the beginning of their
// answer. A replica that ends while one has waited for longer has probably ended of another.
const maxBeginTime = 400 * time.Millisecond

// isWeakEvidence reports whether the process is less likely to have ended of the request.
func (l *lostRequest) isWeakEvidence() bool { return l.tokens > 0 || l.waited > maxBeginTime }

// accuseParts records the end of a process with the parts of requests that had not begun their
// answer, and returns what other VMs must know.
func (s *Shard) accuseParts(r *replica, lost []lostRequest) []crash.Record {
	var candidates []crash.Candidate
	for i := range lost {
		if lost[i].unsent || lost[i].hasFlowed() {
			continue
		}
		for _, part := range lost[i].parts {
			candidates = append(candidates, crash.Candidate{Part: part, Team: lost[i].team, Weak: lost[i].isWeakEvidence(), Item: lost[i].class == Batch})
		}
	}
	return s.parts.Died(s.now, crash.Process{Replica: string(r.entry.Replica), Incarnation: r.incarnation}, candidates)
}

// recordFlow clears the parts of an attempt whose answer has flowed.
func (s *Shard) recordFlow(a *attempt) {
	if a.flowRecorded || a.firstAt.IsZero() {
		return
	}
	a.flowRecorded = true
	if records := s.parts.Flowed(s.now, a.firstAt, a.req.Parts); len(records) > 0 {
		s.emit(ReportParts{Records: records})
	}
	s.applyJudgements()
}

func (in PartsReported) apply(s *Shard) {
	merged := s.parts.Merge(s.now, in.Records)
	if in.Answer && len(merged.Changed) > 0 {
		s.emit(ReportParts{Records: merged.Changed}) // the other gates have not received the answer
	}
	if len(merged.Condemned) > 0 {
		s.emit(ReportParts{Records: merged.Condemned, ControlOnly: true}) // the other gates judge for themselves
	}
	if len(merged.Cleared) > 0 {
		s.emit(AnswerParts{Records: merged.Cleared})
	}
	s.applyJudgements()
	s.startWaiting()
}

func (in PartLifted) apply(s *Shard) {
	if records, lifted := s.parts.Lift(s.now, in.Part); lifted {
		s.emit(ReportParts{Records: records})
	}
	s.applyJudgements()
	s.startWaiting()
}

// applyJudgements applies changed standings to the current requests.
func (s *Shard) applyJudgements() {
	for _, change := range s.parts.TakeChanges(s.now) {
		s.emit(PartJudged{change})
		s.count(ReasonPartPrefix + apierr.Reason(change.Standing.String()))
		switch change.Standing {
		case crash.Condemned:
			s.refuseCondemned(change.Part)
		case crash.Strong:
			s.stopBesideTrial(change.Part)
		}
	}
}

// refuseCondemned refuses the requests with a condemned part whose answers have not begun.
func (s *Shard) refuseCondemned(part crash.Part) {
	matches := func(req *request) bool {
		standing, because := s.standing(req)
		return standing == crash.Condemned && because == part && !slices.ContainsFunc(req.liveAttempts, hasBegun)
	}
	for _, req := range s.matchingRequests(matches) {
		if req.RetryUntilAnswered {
			s.holdItem(req)
			continue
		}
		s.refuse(req, s.partError(req, part))
	}
}

func hasBegun(a *attempt) bool { return !a.firstAt.IsZero() }

// refuseCondemnedWaiting refuses waiting requests with parts that have become condemned for their
// team.
func (s *Shard) refuseCondemnedWaiting() {
	if !s.parts.AnyCondemned() {
		return
	}
	for _, req := range slices.Clone(s.onlineQueue.list) {
		if standing, part := s.standing(req); standing == crash.Condemned && !req.isTried(part) {
			s.refuse(req, s.partError(req, part))
		}
	}
}

// holdItem stops the attempts of a batch item, which then waits.
func (s *Shard) holdItem(req *request) {
	if len(req.liveAttempts) == 0 {
		return
	}
	for len(req.liveAttempts) > 0 {
		s.cancel(req.liveAttempts[0], CancelSuspect)
	}
	req.maybeRan = true
	req.nextKind = Retry
	s.enqueue(req)
}

// stopBesideTrial stops the attempts with a strong suspect that have not begun their answer on
// other replicas than the one on which it is tried, so that it costs no further ones.
func (s *Shard) stopBesideTrial(part crash.Part) {
	if s.config.Disabled.Narrow {
		return
	}
	for _, a := range s.notBegun(part) {
		req := a.req
		if !req.Repeatable || a.replica == s.trialReplica(req, part) {
			continue
		}
		req.maybeRan = true
		s.cancel(a, CancelSuspect)
		if len(req.liveAttempts) == 0 {
			s.retryOrRefuse(req, CauseSuspect)
		}
	}
}

// notBegun returns the attempts with a part that have not begun their answer.
func (s *Shard) notBegun(part crash.Part) []*attempt {
	var found []*attempt
	for _, r := range s.active {
		for _, a := range r.attempts {
			if !hasBegun(a) && a.req.hasPart(part) {
				found = append(found, a)
			}
		}
	}
	return found
}

func (r *request) hasPart(part crash.Part) bool { return slices.Contains(r.Parts, part) }

// standing returns the gravest standing of the request's parts, and the part that has it.
func (s *Shard) standing(req *request) (crash.Standing, crash.Part) {
	if s.config.Disabled.Parts {
		return crash.Clear, 0
	}
	return s.parts.Check(req.Share.Team, req.Parts)
}

func (s *Shard) isClear(req *request) bool {
	standing, _ := s.standing(req)
	return standing == crash.Clear
}

// checkParts returns an error for a request with a condemned part, unless it may be tried. Each
// such request prolongs the verdict.
func (s *Shard) checkParts(req *request) *apierr.Error {
	standing, part := s.standing(req)
	if standing != crash.Condemned || req.RetryUntilAnswered || s.beginTrial(req, part) {
		return nil
	}
	if records := s.parts.Seen(s.now, part); len(records) > 0 {
		s.emit(ReportParts{Records: records})
	}
	return s.partError(req, part)
}

// beginTrial makes the request the trial of a condemned part if one is due. One gate tries for
// all, so that a harmful part costs one replica.
func (s *Shard) beginTrial(req *request, part crash.Part) bool {
	if !s.parts.TrialDue(s.now, part) {
		return false
	}
	if !s.isFirstGate(part) {
		return false
	}
	s.count(ReasonPartTrial)
	s.reportCrashes(nil, s.parts.BeginTrial(s.now, part))
	req.trialOf, req.isTrial = part, true
	return true
}

// isFirstGate reports whether this gate tries a part before or instead of the others.
func (s *Shard) isFirstGate(part crash.Part) bool {
	gate, _ := s.scores.best(s.ownerGates.all, "part "+part.String())
	return gate == "" || gate == s.config.Self
}

// gateTurn returns how many gates try a part before this one.
func (s *Shard) gateTurn(part crash.Part) int {
	return s.scores.rank(s.ownerGates.all, s.config.Self, "part "+part.String())
}

// isTried reports whether the request is the trial of the part and has not been sent yet.
func (r *request) isTried(part crash.Part) bool { return r.isTrial && r.trialOf == part }

func (s *Shard) partError(req *request, part crash.Part) *apierr.Error {
	return apierr.New(apierr.Refused, ReasonPart,
		"change the prompt: sending requests with this part again does not help; `slatectl part list` shows why",
		"part %s of the prompt crashed replicas: %v", part, s.parts.Deaths(part)).WithRan(req.ran())
}

// trialReplica returns the replica to which requests with a suspect part go: the first in an order
// that depends on the part and the replicas only, so that gates agree on it without a call. Strong
// suspects are tried on different replicas, in turn if there are too few.
func (s *Shard) trialReplica(req *request, part crash.Part) *replica {
	s.rebuild()
	var taken []*replica
	for _, other := range s.parts.StrongInTurn() {
		if other == part {
			break
		}
		if !req.hasPart(other) {
			taken = append(taken, s.firstReplica(req, other, taken))
		}
	}
	return s.firstReplica(req, part, taken)
}

// firstReplica returns the first replica for a part, without the given ones.
func (s *Shard) firstReplica(req *request, part crash.Part, without []*replica) *replica {
	var best *replica
	var bestScore uint64
	for _, list := range [...][]*replica{s.local, s.remote} {
		for _, r := range list {
			if score := rendezvousScore(uint64(part), r.hash); (best == nil || score > bestScore) && !slices.Contains(without, r) && s.mayServe(req, r) {
				best, bestScore = r, score
			}
		}
	}
	return best
}

// placeSuspect chooses the replica of an online request with a suspect part. It returns nil if
// the request must wait, and false if the request may run anywhere.
func (s *Shard) placeSuspect(req *request) (r *replica, narrowed bool) {
	standing, part := s.standing(req)
	switch {
	case standing == crash.Clear, standing < crash.Condemned && s.config.Disabled.Narrow:
		return nil, false
	case standing == crash.Condemned && !req.isTried(part):
		return nil, true
	}
	if standing == crash.Suspect {
		if r = s.firstReplica(req, part, nil); r != nil && s.fits(req, r) {
			return r, true
		}
		return nil, false // a sound request must not wait for one replica
	}
	r = s.trialReplica(req, part)
	if r == nil && s.onlyAvoided(req, s.local, s.remote) {
		req.avoid = nil
		r = s.trialReplica(req, part)
	}
	switch {
	case r == nil || !s.fits(req, r) || !s.mayTry(req, part):
		return nil, true
	default:
		return r, true
	}
}

// mayTry reports whether a request with a strong suspect may be sent: one at a time, and after a
// pause.
func (s *Shard) mayTry(req *request, part crash.Part) bool {
	return len(s.notBegun(part)) == 0 && s.parts.MayTry(s.now, req.Parts, s.gateTurn)
}

// startSuspectItem starts a batch item with a strong suspect on the replica where that is tried,
// if this gate owns it, and one that is owed on any replica. It returns false for an item that may
// start anywhere.
func (s *Shard) startSuspectItem(req *request) (result startResult, narrowed bool) {
	standing, part := s.standing(req)
	req.owed = standing >= crash.Strong && s.isOwedNow(req)
	switch {
	case standing < crash.Strong:
		return noRoom, false
	case req.owed:
		return s.startOwedItem(req, part), true
	case standing == crash.Condemned && !req.isTried(part) && !s.beginTrial(req, part):
		return held, true
	}
	r := s.trialReplica(req, part)
	if r == nil || !s.mayTry(req, part) {
		return held, true
	}
	return s.startBatchOn(req, r), true
}

// startOwedItem starts an item although a part of it is a strong suspect or condemned: one at a time,
// and on a replica on which no other one is tried.
func (s *Shard) startOwedItem(req *request, part crash.Part) startResult {
	if len(s.notBegun(part)) > 0 {
		return held
	}
	r := s.pickOwned(req)
	if r == nil {
		return held
	}
	s.parts.TryOwed(s.now, req.Parts)
	s.count(ReasonOwedTried)
	s.dispatch(req, r, req.nextKind)
	return started
}

// isTriedElsewhere reports whether only another gate may start a batch item, because it owns the
// replica where a part of it is tried.
func (s *Shard) isTriedElsewhere(req *request) bool {
	standing, part := s.standing(req)
	if standing != crash.Strong {
		return false
	}
	r := s.trialReplica(req, part)
	return r != nil && !s.ownsReplica(r) && !s.isOwedNow(req)
}

// countCondemnedItems returns the waiting batch items that hold a condemned part.
func (s *Shard) countCondemnedItems() int {
	if !s.parts.AnyCondemned() {
		return 0
	}
	count := 0
	for _, req := range s.batchQueue.list {
		if s.isCondemnedItem(req) {
			count++
		}
	}
	return count
}

func (s *Shard) isCondemnedItem(req *request) bool {
	standing, _ := s.standing(req)
	return standing == crash.Condemned
}

// partCheckInterval is how often records that have become too old are looked for.
const partCheckInterval = time.Second

func (s *Shard) expireParts() {
	if records := s.parts.Rejudge(s.now); len(records) > 0 {
		s.emit(ReportParts{Records: records})
		s.applyJudgements()
	}
	if s.now.Sub(s.partsCheckedAt) >= partCheckInterval {
		s.partsCheckedAt = s.now
		s.parts.Expire(s.now)
		s.applyJudgements()
	}
}

// LastingParts returns the records of parts that a VM needs that has just started.
func (s *Shard) LastingParts(now time.Time) []crash.Record { return s.parts.Lasting(now) }

// PartsHash returns a hash of LastingParts without ages; 0 if there are none.
func (s *Shard) PartsHash() uint64 { return s.parts.Hash() }

// Parts lists the parts against which something speaks.
func (s *Shard) Parts(now time.Time) []crash.Status { return s.parts.List(now) }

// explainsCrash reports whether a process ended of a part that a request with the given ones does
// not hold.
func (s *Shard) explainsCrash(process crash.Process, parts []crash.Part) bool {
	return !s.config.Disabled.Parts && s.parts.Explains(process, parts)
}

// crashRecordOf returns the crash record of a request that was lost with a process.
func (s *Shard) crashRecordOf(r *replica, lost *lostRequest) upstream.CrashRecord {
	return upstream.CrashRecord{
		Fingerprint: lost.fingerprint, Replica: r.entry.Replica, Incarnation: r.incarnation, Gate: s.config.Self, At: s.now,
		Begun: lost.hasFlowed(), Parts: lost.parts,
	}
}
