package route

import (
	"slices"
	"time"
)

// suspectReplica takes a replica out of use until a probe is answered. A new
// request would otherwise be sent to a process that has died or frozen, and
// wait there until its timeout.
func (s *Shard) suspectReplica(r *replica, evidence Evidence) {
	if s.config.Disabled.Probe || r.health == suspect {
		return
	}
	r.health = suspect
	r.missed = false
	if r.failures >= maxFailures {
		// Shorter than a request waits in an outage: the only replica of a
		// service is worth another try.
		r.penalty = s.at.Add(s.config.OutageWait / 2)
	}
	r.probeGap = s.config.ProbeMin
	s.stale = true
	s.count(ReasonReplicaSuspect)
	s.believe(r, BeliefSuspect, evidence)
	s.probe(r)
}

// probe asks a replica whether it lives. A live one answers within milliseconds,
// so that it is hardly missed, and a frozen one gets nothing new from now on.
func (s *Shard) probe(r *replica) {
	r.probing = true
	s.stale = true
	r.probeAt = s.at.Add(r.probeGap)
	if s.at.Before(r.penalty) && r.penalty.Before(r.probeAt) {
		r.probeAt = r.penalty
	}
	s.emit(Probe{Replica: r.entry.Replica, Address: r.entry.Address})
}

func (in Probed) apply(s *Shard) {
	r := s.replica(in.Replica)
	if r == nil {
		return
	}
	r.probing = false
	s.stale = true
	restarted := in.Alive && in.Incarnation > r.entry.Incarnation
	switch {
	case in.Alive && !restarted:
		s.answerHeld(s.release(r))
		s.returned(r)
	case restarted || in.Refused || s.isAwaited(r):
		evidence := in.evidence(restarted)
		s.suspectReplica(r, evidence)
		r.missed = true
		s.died(r, evidence)
	default:
		s.unanswered(r)
	}
	s.pump()
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

// unanswered handles a probe that got no answer. After the first one the
// replica gets nothing new; after the second it counts as frozen, and its quiet
// attempts need not wait for their own timeouts.
func (s *Shard) unanswered(r *replica) {
	if r.health == suspect {
		r.missed = true
		s.failQuiet(r, func(*attempt) time.Duration { return s.quietAfter() })
		return
	}
	s.suspectReplica(r, EvidenceUnanswered)
	r.missed = true
	if s.config.StallMin > 0 {
		s.moveQuiet(r)
	}
}

func (s *Shard) isAwaited(r *replica) bool {
	awaited := func(req *request) bool { return req.awaiting == r }
	return slices.ContainsFunc(s.waiting.list, awaited) || slices.ContainsFunc(s.batch.list, awaited)
}

// returned handles the answer of a suspect replica to a probe. One that
// answered the first probe only had a bad connection and is used as before.
func (s *Shard) returned(r *replica) {
	if r.health != suspect || s.at.Before(r.penalty) {
		return
	}
	s.count(ReasonReplicaReturned)
	s.recover(r, r.missed || r.failures >= maxFailures, EvidenceAnswered)
}

// recover puts a replica back into use, with few requests at first if slowly.
func (s *Shard) recover(r *replica, slowly bool, evidence Evidence) {
	r.health = healthy
	r.dead = false
	s.stale = true
	if slowly {
		r.rampFrom = s.at
	}
	s.believe(r, BeliefReturned, evidence)
}

// answerHeld gives the final answers that waited for a probe.
func (s *Shard) answerHeld(released []*request) {
	for _, req := range released {
		if req.verdict != nil && s.requests[req.ID] == req {
			s.refuse(req, req.verdict)
		}
	}
}

// release lets the requests go on that waited for the probe of a replica.
func (s *Shard) release(r *replica) []*request {
	var released []*request
	r.orphans = nil
	for _, queue := range []*waitQueue{&s.waiting, &s.batch} {
		for _, req := range queue.list {
			if req.awaiting == r {
				s.settled(req)
				released = append(released, req)
			}
		}
	}
	return released
}

// died records a replica's death against all requests that ran on it: those
// whose connections broke and those that have not noticed yet.
func (s *Shard) died(r *replica, evidence Evidence) {
	orphans := r.orphans
	held := s.release(r)
	suspects := slices.Clone(held)
	for _, a := range r.attempts {
		suspects = append(suspects, a.req)
	}
	if !r.dead {
		r.dead = true
		s.count(ReasonReplicaDied)
		s.believe(r, BeliefDead, evidence)
	}
	s.strike(r, suspects, orphans)
	s.answerHeld(held)
	for _, a := range slices.Clone(r.attempts) {
		if s.attempts[a.id] != nil {
			s.emit(Cancel{ID: a.req.ID, Attempt: a.id, Cause: CancelDied})
			s.failed(a, CauseDied)
		}
	}
}
