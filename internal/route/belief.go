package route

// Belief is what a gate takes a replica's process for.
type Belief string

// Beliefs.
const (
	BeliefSuspect  Belief = "suspect"  // it gets nothing new until it answers a probe
	BeliefDead     Belief = "dead"     // its process has ended with what ran there
	BeliefReturned Belief = "returned" // it is in use again
)

// Evidence is what a belief comes from: the cause of a failed attempt, or one of these.
type Evidence string

// Evidence beside failed attempts.
const (
	EvidenceUnanswered Evidence = "probe_unanswered"
	EvidenceRefused    Evidence = "probe_refused"   // the VM answers and no process listens
	EvidenceAnswered   Evidence = "probe_answered"  // by the process that was known
	EvidenceReplaced   Evidence = "probe_replaced"  // by another process
	EvidenceAnnounced  Evidence = "announced_again" // as another process
	EvidenceNoVerdict  Evidence = "verdict_overdue" // a connection broke and no probe was answered since
)

// believe tells that the gate's belief of a replica has changed.
func (s *Shard) believe(r *replica, belief Belief, evidence Evidence) {
	told := Believed{
		Replica: r.entry.Replica, Belief: belief, Evidence: evidence, Failures: r.failures,
		Attempts: len(r.attempts), Slowly: belief == BeliefReturned && !r.rampFrom.IsZero(),
	}
	if !r.heardAt.IsZero() {
		told.Quiet = s.at.Sub(r.heardAt)
	}
	s.emit(told)
}
