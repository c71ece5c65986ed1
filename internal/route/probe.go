package route

import (
	"slices"
	"time"
)

// suspectReplica takes a replica out of use until it answers a probe. Otherwise new
// requests would be sent to a dead or frozen process and wait there until they time
// out.
func (s *Shard) suspectReplica(r *replica, evidence Evidence) {
	s.doubtBuild(r)
	if s.config.Disabled.Probe || r.health == suspect {
		return
	}
	r.health = suspect
	r.missedProbe = false
	if r.failures >= maxFailures {
		// Shorter than a request waits in an outage: the only replica of a service is
		// worth another attempt.
		r.penaltyUntil = s.now.Add(s.config.OutageWait / 2)
	}
	r.probeDelay = s.config.ProbeMin
	s.markStale(r)
	s.markActive(r)
	s.count(ReasonReplicaSuspect)
	s.emitState(r, StateSuspect, evidence)
	s.probe(r)
}

// probe checks whether a replica is alive. It receives no new requests until the
// answer: a live replica answers within milliseconds, so the pause costs little, and a
// frozen one is out of use from now on.
func (s *Shard) probe(r *replica) {
	r.probing = true
	s.markStale(r)
	s.markActive(r)
	r.probeAt = s.now.Add(r.probeDelay)
	if s.now.Before(r.penaltyUntil) && r.penaltyUntil.Before(r.probeAt) {
		r.probeAt = r.penaltyUntil
	}
	s.emit(Probe{Replica: r.entry.Replica, Address: r.entry.Address})
}

func (in Probed) apply(s *Shard) {
	r := s.replica(in.Replica)
	if r == nil {
		return
	}
	r.probing = false
	s.markStale(r)
	restarted := in.Alive && in.Incarnation > r.entry.Incarnation
	switch {
	case in.Alive && !restarted:
		abandoned := r.abandoned
		released := s.releaseAwaiting(r)
		r.keepBroken(s.now, abandoned, released)
		s.sendHeldErrors(released)
		s.handleReturn(r)
	case restarted || in.Refused || s.isAwaited(r):
		evidence := in.evidence(restarted)
		s.suspectReplica(r, evidence)
		r.missedProbe = true
		s.handleDeath(r, evidence)
	default:
		s.handleUnansweredProbe(r)
	}
	s.startWaiting()
}

func (in Probed) evidence(restarted bool) Evidence {
	switch {
	case restarted:
		return EvidenceReplaced
	case in.Refused:
		return EvidenceRefused
	default:
		return EvidenceUnanswered
	}
}

// handleUnansweredProbe handles a probe without an answer. After the first, the replica
// receives nothing new; after the second it counts as frozen, and its idle attempts
// fail without waiting for their own timeouts.
func (s *Shard) handleUnansweredProbe(r *replica) {
	if r.health == suspect {
		r.missedProbe = true
		s.failIdle(r, func(*attempt) time.Duration { return s.idleProbeDelay() })
		return
	}
	s.suspectReplica(r, EvidenceUnanswered)
	r.missedProbe = true
	if s.config.StallMin > 0 {
		s.moveIdle(r)
	}
}

func (s *Shard) isAwaited(r *replica) bool {
	awaited := func(req *request) bool { return req.awaitedReplica == r }
	return slices.ContainsFunc(s.onlineQueue.list, awaited) || slices.ContainsFunc(s.batchQueue.list, awaited)
}

// handleReturn handles a suspect replica's answer to a probe. A replica that answered
// the first probe only had a bad connection and returns to use without a slow start.
func (s *Shard) handleReturn(r *replica) {
	if r.health != suspect || s.now.Before(r.penaltyUntil) {
		return
	}
	s.count(ReasonReplicaReturned)
	s.recover(r, r.missedProbe || r.failures >= maxFailures, EvidenceAnswered)
}

// recover returns a replica to use, with few requests at first if slowly is set.
func (s *Shard) recover(r *replica, slowly bool, evidence Evidence) {
	r.health = healthy
	r.dead = false
	s.markStale(r)
	if slowly {
		r.slowStartFrom = s.now
		s.slowStarting = insertReplica(s.slowStarting, r)
	}
	s.emitState(r, StateReturned, evidence)
}

// sendHeldErrors sends the final errors that were held until a probe ended.
func (s *Shard) sendHeldErrors(released []*request) {
	for _, req := range released {
		if req.heldError != nil && s.requests[req.ID] == req {
			s.refuse(req, req.heldError)
		}
	}
}

// releaseAwaiting ends the wait of the requests that awaited the probe of a replica and
// returns them.
func (s *Shard) releaseAwaiting(r *replica) []*request {
	var released []*request
	r.abandoned = nil
	for _, queue := range []*waitQueue{&s.onlineQueue, &s.batchQueue} {
		for _, req := range queue.list {
			if req.awaitedReplica == r {
				s.endAwait(req)
				released = append(released, req)
			}
		}
	}
	return released
}

// handleDeath records a crash for all requests that ran on a dead replica: those whose
// connections broke and those whose attempts are still open.
func (s *Shard) handleDeath(r *replica, evidence Evidence) {
	lost := r.abandoned
	if evidence.provesEnd() {
		lost = append(lost, r.takeEnded(s.now)...)
	}
	held := s.releaseAwaiting(r)
	for _, req := range held {
		lost = append(lost, req.lost)
	}
	for _, a := range r.attempts {
		lost = append(lost, s.lostOf(a))
	}
	if !r.dead {
		r.dead = true
		s.count(ReasonReplicaDied)
		s.emitState(r, StateDead, evidence)
	}
	if len(lost) > 0 {
		s.emitProcessDied(r, evidence, lost)
	}
	s.recordCrashes(r, lost, evidence)
	s.sendHeldErrors(held)
	for _, a := range slices.Clone(r.attempts) {
		if s.attempts[a.id] != nil {
			s.emit(Cancel{ID: a.req.ID, Attempt: a.id, Cause: CancelDied})
			s.handleFailure(a, CauseDied)
		}
	}
}
