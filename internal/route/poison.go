package route

import (
	"fmt"
	"slices"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/upstream"
)

// suspectRetryAfter is how long a caller waits while another gate finds out whether its
// request crashes replicas.
const suspectRetryAfter = time.Second

// checkStanding returns an error for requests that have crashed replicas. A request that
// crashes every replica that runs it would take down the fleet one replica at a time if it
// were sent repeatedly. After the first crash only one gate may try it, on one replica at a
// time; after the second it is refused permanently, before it reaches any replica.
func (s *Shard) checkStanding(req *request) *apierr.Error {
	if s.config.Disabled.Poison || req.RetryUntilAnswered {
		return nil
	}
	if err := s.checkParts(req); err != nil {
		return err
	}
	switch s.crashes.Status(s.now, req.Fingerprint) {
	case upstream.StatusRefused:
		return s.poisonError(req)
	case upstream.StatusSuspect:
		return s.checkRetryGate(req)
	default:
		return nil
	}
}

func (s *Shard) poisonError(req *request) *apierr.Error {
	crashed := s.crashes.CrashedReplicas(s.now, req.Fingerprint)
	return apierr.New(apierr.Refused, ReasonPoison,
		"change the request: sending it again does not help",
		"replicas died while they ran this request: %s", fmt.Sprint(crashed)).WithRan(req.ran())
}

func (s *Shard) checkRetryGate(req *request) *apierr.Error {
	if s.config.Disabled.Holder {
		return nil
	}
	able := func(gate string) bool { return s.isLiveGate(gate) && s.mayStartAt(gate, req) }
	retryGate := s.crashes.RetryGate(s.now, req.Fingerprint, able)
	if retryGate == "" {
		gates := slices.DeleteFunc(slices.Clone(s.ownerGates.all), func(gate string) bool { return !able(gate) })
		retryGate, _ = s.scores.best(gates, fmt.Sprint(uint64(req.Fingerprint)))
	}
	if retryGate == "" || retryGate == s.config.Self {
		return nil
	}
	return apierr.New(apierr.Unavailable, ReasonSuspect,
		"retry after the given delay, when it is known whether the request is harmful",
		"a replica died while it ran this request; only gate %s may try it again", retryGate).
		WithRan(req.ran()).WithRetryAfter(suspectRetryAfter)
}

// mayStartAt reports whether a gate can start the request: batch items start only at a
// gate that owns a replica for them.
func (s *Shard) mayStartAt(gate string, req *request) bool {
	if req.Class != Batch {
		return true
	}
	for _, r := range s.replicas {
		if r.owner == gate && r.serves(req) {
			return true
		}
	}
	return false
}

func (s *Shard) isLiveGate(gate string) bool {
	_, live := s.ownerGates.ids[gate]
	return live || gate == s.config.Self
}

// mayRunNow reports whether a request may start now. A suspect request may not while
// another attempt with its fingerprint runs; the replicas that it crashed are added to
// those that it avoids.
func (s *Shard) mayRunNow(req *request) bool {
	if s.isCopyAwaitingProbe(req) {
		return false
	}
	if !s.isSuspect(req) {
		return true
	}
	if s.runningCopies(req.Fingerprint) > 0 || s.now.Before(s.crashBackoffUntil(req)) {
		return false
	}
	for _, id := range s.crashes.CrashedReplicas(s.now, req.Fingerprint) {
		req.avoidReplica(id)
	}
	return true
}

// crashBackoffUntil returns when a suspect request that is retried until answered may
// run again. It may be the cause of the crashes, and each attempt may cost a replica.
func (s *Shard) crashBackoffUntil(req *request) time.Time {
	deaths, last := s.crashes.CrashCount(s.now, req.Fingerprint)
	if !req.RetryUntilAnswered || deaths == 0 {
		return time.Time{}
	}
	return last.Add(crash.OwedPause(deaths))
}

// isOwedNow reports whether an item may be tried on any replica, whatever speaks against it.
func (s *Shard) isOwedNow(req *request) bool {
	return req.RetryUntilAnswered && !s.now.Before(s.crashBackoffUntil(req)) && !s.now.Before(s.parts.OwedAt(req.Parts, s.gateTurn))
}

// isTriedAlone reports whether the request may crash replicas as far as this gate can tell, so that it
// is tried on a replica without another such one. An item is, whatever else explains the crashes under
// it: it is tried until it is answered, and must not be accused with another one again.
func (s *Shard) isTriedAlone(req *request) bool {
	if req.RetryUntilAnswered && !s.config.Disabled.Poison {
		return req.owed || s.crashes.HasCrashed(s.now, req.Fingerprint)
	}
	return s.isSuspect(req)
}

func (s *Shard) isSuspect(req *request) bool {
	return !s.config.Disabled.Poison && s.crashes.Status(s.now, req.Fingerprint) != upstream.StatusClear
}

// hasTrial reports whether another suspect request is on trial on the replica. When a
// replica dies, all requests on it become suspects. If two of them met on the next replica
// that dies, the harmless one would be refused for good with the other. Each suspect is
// therefore tried on a separate replica until it is past the token at which its first
// replica died.
func (s *Shard) hasTrial(r *replica) bool {
	if s.config.Disabled.Trial {
		return false
	}
	for _, a := range r.attempts {
		if s.isTriedAlone(a.req) && !a.isPastTrial() {
			return true
		}
	}
	return false
}

// isPastTrial reports whether the attempt has got further than the one that was running
// when a replica died. For a request that arrived after the crash that point is
// unknown, and the trial lasts until the whole answer has arrived, or an item's answer has flowed.
func (a *attempt) isPastTrial() bool {
	if a.req.RetryUntilAnswered && a.flowRecorded {
		return true
	}
	return a.req.replicaDied && a.tokens > a.req.tokensAtDeath
}

// recordCrashes adds crash records for the requests that were lost when a replica died.
func (s *Shard) recordCrashes(r *replica, lost []lostRequest, evidence Evidence) {
	if s.config.Disabled.Poison {
		return
	}
	var records []crash.Record
	if evidence.provesEnd() {
		records = s.accuseParts(r, lost)
	}
	var added []upstream.CrashRecord
	for i := range lost {
		if req := s.requests[lost[i].id]; req != nil {
			req.tokensAtDeath = req.tokens
			req.replicaDied = true
		}
		if record := s.crashRecordOf(r, &lost[i]); s.crashes.Add(record) {
			added = append(added, record)
		}
	}
	if len(added)+len(records) > 0 {
		s.reportCrashes(added, records)
	}
	s.applyJudgements()
	s.applyCrashes(added)
}

// reportCrashes lets the outputs that follow wait until other gates have the records.
func (s *Shard) reportCrashes(crashes []upstream.CrashRecord, parts []crash.Record) {
	s.emit(ReportCrashes{Crashes: crashes, Parts: parts})
	s.delays = true
}

// Sent reports that an attempt that had to wait for the reports of crashes is being sent.
type Sent struct{ Attempt AttemptID }

func (in Sent) apply(s *Shard) {
	if a := s.attempts[in.Attempt]; a != nil {
		a.unsent = false
	}
}

func (in CrashesReported) apply(s *Shard) {
	var added []upstream.CrashRecord
	for _, crash := range in.Crashes {
		if s.crashes.Add(crash) {
			added = append(added, crash)
		}
	}
	s.applyCrashes(added)
	s.startWaiting()
}

// applyCrashes applies new crash records to the current requests: those with too many
// crashes are refused, and of a suspect request only the oldest attempt continues.
func (s *Shard) applyCrashes(added []upstream.CrashRecord) {
	if s.config.Disabled.Poison {
		return
	}
	for _, crash := range added {
		switch s.crashes.Status(s.now, crash.Fingerprint) {
		case upstream.StatusRefused:
			s.refuseAll(crash.Fingerprint)
		case upstream.StatusSuspect:
			s.keepOldest(crash.Fingerprint, crash.Replica)
		}
	}
}

func (s *Shard) refuseAll(print upstream.Fingerprint) {
	matches := func(req *request) bool { return req.Fingerprint == print && !req.RetryUntilAnswered }
	for _, req := range s.matchingRequests(matches) {
		s.refuse(req, s.poisonError(req))
	}
}

// matchingRequests returns the matching requests: waiting ones, then reserved ones,
// then running ones.
func (s *Shard) matchingRequests(matches func(*request) bool) []*request {
	var found []*request
	for _, req := range slices.Concat(s.onlineQueue.list, s.batchQueue.list) {
		if matches(req) {
			found = append(found, req)
		}
	}
	for _, res := range s.reservations {
		if matches(res.req) {
			found = append(found, res.req)
		}
	}
	for _, r := range s.active {
		for _, a := range r.attempts {
			if matches(a.req) && !slices.Contains(found, a.req) {
				found = append(found, a.req)
			}
		}
	}
	return found
}

// keepOldest stops all attempts of a suspect request on live replicas except the
// oldest, so that several replicas do not crash at once.
func (s *Shard) keepOldest(print upstream.Fingerprint, dead upstream.ReplicaID) {
	var live []*attempt
	for _, r := range s.active {
		for _, a := range r.attempts {
			if a.req.Fingerprint == print && r.entry.Replica != dead {
				live = append(live, a)
			}
		}
	}
	slices.SortFunc(live, func(a, b *attempt) int { return int(a.id) - int(b.id) })
	for _, a := range live[min(1, len(live)):] {
		req := a.req
		req.maybeRan = true
		s.cancel(a, CancelSuspect)
		if len(req.liveAttempts) == 0 {
			s.retryOrRefuse(req, CauseSuspect)
		}
	}
}
