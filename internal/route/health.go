package route

// ReplicaState is a gate's conclusion about a replica's process.
type ReplicaState string

// States of a replica.
const (
	StateSuspect  ReplicaState = "suspect"  // receives no new requests until it answers a probe
	StateDead     ReplicaState = "dead"     // the process has ended, and the requests on it are lost
	StateReturned ReplicaState = "returned" // back in use
)

// Evidence is the cause of a state change: the cause of a failed attempt, or one of the
// values below.
type Evidence string

// Evidence other than failed attempts.
const (
	EvidenceUnanswered  Evidence = "probe_unanswered"
	EvidenceRefused     Evidence = "probe_refused"   // the VM answers, but no process listens
	EvidenceAnswered    Evidence = "probe_answered"  // by the known process
	EvidenceReplaced    Evidence = "probe_replaced"  // by another process
	EvidenceAnnounced   Evidence = "announced_again" // by another process
	EvidenceMisdirected Evidence = "misdirected"     // another process has its address
	EvidenceNoVerdict   Evidence = "verdict_overdue" // a connection broke, and no probe has been answered since
)

// provesEnd reports whether the process has ended. A replica that does not answer may also be
// out of reach.
func (e Evidence) provesEnd() bool {
	switch e {
	case EvidenceRefused, EvidenceReplaced, EvidenceAnnounced, EvidenceMisdirected:
		return true
	}
	return false
}

// emitState reports that the gate's conclusion about a replica has changed.
func (s *Shard) emitState(r *replica, state ReplicaState, evidence Evidence) {
	change := StateChanged{
		Replica: r.entry.Replica, State: state, Evidence: evidence, Failures: r.failures,
		Attempts: len(r.attempts), SlowStart: state == StateReturned && s.isSlowStarting(r),
	}
	if !r.lastContact.IsZero() {
		change.Idle = s.now.Sub(r.lastContact)
	}
	s.emit(change)
}
