package route

import (
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/upstream"
)

// Class separates online requests from batch items.
type Class string

// Classes of requests.
const (
	Online Class = "online"
	Batch  Class = "batch"
)

// AttemptID identifies an attempt of a request within a shard.
type AttemptID uint64

// Limits bound one team's requests to one service at one gate; zero fields mean no
// limit.
type Limits struct {
	MaxInFlight int     `json:"max_in_flight,omitempty"` // requests admitted and not yet answered
	Rate        float64 `json:"rate,omitempty"`          // requests per second
	Burst       int     `json:"burst,omitempty"`         // maximum burst within the rate
}

// Request holds the properties of a request that routing depends on.
type Request struct {
	ID          string               `json:"id"` // unique within the shard
	Team        string               `json:"team"`
	Class       Class                `json:"class"`
	Kind        upstream.Kind        `json:"kind,omitempty"` // required kind of upstream; empty: any
	Model       string               `json:"model,omitempty"`
	Version     string               `json:"version,omitempty"`
	Deadline    time.Time            `json:"deadline"`
	Fingerprint upstream.Fingerprint `json:"fingerprint"`
	Prefix      uint64               `json:"prefix,omitempty"` // hash of the start of the prompt; 0: no affinity
	Parts       []crash.Part         `json:"parts,omitempty"`  // of the prompt, that other requests may share
	Repeatable  bool                 `json:"repeatable"`
	Resumable   bool                 `json:"resumable"` // another replica can continue its stream at a given token
	Limits      Limits               `json:"limits,omitempty"`
	Priority    int                  `json:"priority,omitempty"` // among waiting online requests; 0 goes first
	Policy      Policy               `json:"policy,omitempty"`   // of batch items
	// Movable marks a request that may not run again, but whose run an engine can stop
	// and continue, there or on another replica.
	Movable bool `json:"movable,omitempty"`
	// MaxAttempts bounds the replicas that may run the request; 0: the shard's limit.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Reached is the number of the event or token that earlier attempts, at other
	// gates, have reached.
	Reached int `json:"reached,omitempty"`
	// Continues marks a stream whose caller holds events of an earlier request already.
	Continues bool `json:"continues,omitempty"`
	// Build wrote the events that the caller or earlier attempts, at other gates, hold. Only
	// replicas of the same build continue them.
	Build string `json:"build,omitempty"`
	// RetryUntilAnswered marks a request that this gate alone holds until it has a
	// result. Crashes of the replicas that ran it delay it, but never refuse it.
	RetryUntilAnswered bool `json:"patient,omitempty"`
	// UsefulUntil is the target for the start of an online answer or the end of a batch
	// item; zero: any time before the deadline.
	UsefulUntil time.Time `json:"useful_until,omitzero"`
	// ExpectedRunTime is how long similar batch items take from start to end, including
	// the time during which online work has their slots; 0: unknown.
	ExpectedRunTime time.Duration `json:"takes,omitzero"`
	// Share orders waiting online requests of different teams.
	Share Share `json:"share,omitzero"`
}

// Gate identifies a live gate for the choice of replica owners.
type Gate struct {
	ID    string `json:"id"`
	Place string `json:"place"`
}

// FailureCause is why an attempt ended without an answer.
type FailureCause string

// Causes of a failed attempt.
const (
	// CauseNotSent: no byte of the request reached the replica, so it was provably not
	// run.
	CauseNotSent FailureCause = "not_sent"
	// CauseBroken: the connection ended before the whole answer arrived.
	CauseBroken FailureCause = "broken"
	// CauseSilent: nothing arrived on the connection for too long.
	CauseSilent FailureCause = "silent"
	// CauseUnanswered: no first answer arrived within half of the caller's time,
	// although answers usually take less.
	CauseUnanswered FailureCause = "unanswered"
	// CauseDied: the replica's process has ended.
	CauseDied FailureCause = "died"
	// CauseSuspect: the attempt was stopped because another copy of a suspect request
	// is on trial.
	CauseSuspect FailureCause = "suspect"
	// CauseMismatch: the answer belonged to another request or was malformed.
	CauseMismatch FailureCause = "mismatch"
	// CauseStatus: the replica answered that it failed.
	CauseStatus FailureCause = "status"
	// CauseBusy: the replica answered that it takes no work now.
	CauseBusy FailureCause = "busy"
	// CauseDeclined: the replica answered that it has no room and did not run the
	// request.
	CauseDeclined FailureCause = "declined"
	// CauseMisdirected: another replica answered at the address and did not run the
	// request.
	CauseMisdirected FailureCause = "misdirected"
)

// provesNotRun reports whether the cause proves that the replica did not run the request.
func (c FailureCause) provesNotRun() bool {
	return c == CauseNotSent || c == CauseDeclined || c == CauseMisdirected
}

// Input is an event. The set of inputs is closed.
type Input interface{ apply(s *Shard) }

// Inputs of a shard.
type (
	// Arrive is a new request that needs an answer.
	Arrive struct{ Request Request }
	// Abandon reports that the caller has disconnected or the job was cancelled.
	Abandon struct{ ID string }
	// Progress reports that part of the answer arrived; Tokens is the count so far.
	Progress struct {
		Attempt   AttemptID
		Tokens    int
		Delivered bool // the caller has received part of the answer
	}
	// Paused reports that the gate reads nothing from the replica for now, because the
	// caller does not read or there is no memory; or, if Paused is false, that it reads
	// again. The replica is not taken for stalled or silent meanwhile.
	Paused struct {
		Attempt AttemptID
		Paused  bool
	}
	// Finished reports that the whole answer arrived.
	Finished struct{ Attempt AttemptID }
	// Failed reports that the attempt ended without its answer.
	Failed struct {
		Attempt AttemptID
		Cause   FailureCause
	}
	// Queued reports that the replica has announced that it queued an online request.
	Queued struct{ Attempt AttemptID }
	// HandedOver is the result of a HandOver output: the run has stopped, and its
	// memory is kept under the name in Memory. Copied means that the other replica has
	// the memory too. An empty name means that the run was not stopped as far as is
	// known; NoRoom, that the other replica has no room for it.
	HandedOver struct {
		Attempt AttemptID
		Memory  string
		Copied  bool
		NoRoom  bool
	}
	// Announced carries a valid announcement, received from the replica or through a
	// gate.
	Announced struct{ Announcement upstream.Announcement }
	// Withdrawn reports that the control VMs no longer know the replica, up to the
	// incarnation.
	Withdrawn struct {
		Replica     upstream.ReplicaID
		Incarnation uint64
	}
	// Reported carries a load digest from another gate.
	Reported struct{ Digest upstream.LoadDigest }
	// OwnerReported carries the load that the owner of a replica knows of. Acknowledges
	// is the number of this gate's load report that it answers, and ReportedOnline that
	// report's online requests; Acknowledges is 0 if it answers none.
	OwnerReported struct {
		Load           upstream.OwnerLoad
		Acknowledges   uint64
		ReportedOnline int
	}
	// CrashesReported carries crash records from other gates.
	CrashesReported struct{ Crashes []upstream.CrashRecord }
	// Cached carries a cache event of a replica.
	Cached struct{ Event upstream.CacheEvent }
	// Probed is the result of a Probe output. Refused means that the VM answered but no
	// process listens; Incarnation is 0 if the replica did not send it.
	Probed struct {
		Replica     upstream.ReplicaID
		Alive       bool
		Refused     bool
		Incarnation uint64
	}
	// LoadReported carries the number of requests that another gate has on a replica
	// that this gate owns.
	LoadReported struct {
		Gate          string
		Replica       upstream.ReplicaID
		Online, Batch int
		Pace          upstream.Pace // newest that the replica told the gate
		Waiting       int           // online requests that wait for capacity at the gate
	}
	// GatesChanged lists the live gates, including this one.
	GatesChanged struct {
		Gates []Gate
		// Expected is the number of gates in the fleet when some of them may not have
		// returned after a stop of all gates.
		Expected int
	}
	// ShareCharged reports the cost of requests that other gates have started for a team.
	ShareCharged struct {
		Team string
		Cost float64
	}
	// Draining reports that the gate stops accepting batch work.
	Draining struct{}
	// Tick reports that time has passed; it must arrive every 20 to 50 ms.
	Tick struct{}
)

// Output is an action for the caller of Step, to be carried out in the order given.
type Output interface{ output() }

// DispatchKind is why an attempt is made.
type DispatchKind string

// Kinds of dispatch.
const (
	First  DispatchKind = "first"
	Retry  DispatchKind = "retry"
	Hedge  DispatchKind = "hedge"
	Resume DispatchKind = "resume" // continues a preempted batch item, a stalled stream or a stopped run
)

// CancelCause is why an attempt is stopped.
type CancelCause string

// Causes of a cancel.
const (
	CancelPreempted CancelCause = "preempted"
	CancelHedgeLost CancelCause = "hedge_lost"
	CancelSilent    CancelCause = "silent"
	CancelStalled   CancelCause = "stalled"
	CancelDied      CancelCause = "died"
	CancelAbandoned CancelCause = "abandoned"
	CancelDeadline  CancelCause = "deadline"
	CancelSuspect   CancelCause = "suspect"
	CancelDraining  CancelCause = "draining"
)

// DispatchShare is the state of a team's share when one of its requests starts.
type DispatchShare struct {
	Team         string
	Lead         float64 // of its virtual time to the least one of the teams that wait
	TeamsWaiting int
}

// Outputs of a shard.
type (
	// Dispatch sends the request to the replica.
	Dispatch struct {
		ID      string
		Attempt AttemptID
		Kind    DispatchKind
		Target  *upstream.Announcement // read only
		// Resume continues at the token that the request has reached, instead of
		// starting again.
		Resume bool
		// Queued is how long the request waited for a replica, AheadInQueue the number
		// of requests ahead of it when it was queued, and ReservationTries the number
		// of owners that were asked for a slot.
		Queued                         time.Duration
		AheadInQueue, ReservationTries int
		// Unconfirmed reports that the replica's process may have been replaced by one of
		// another build since Target was announced.
		Unconfirmed bool
		// Confirm reports that the replica must first be asked whether its process is still
		// the announced one.
		Confirm bool
		// Memory is the name of the kept memory that the engine resumes from; empty:
		// run the request as received.
		Memory string
		// Share is the state of the team's share; zero for batch items.
		Share DispatchShare
	}
	// HandOver asks the replica of a running attempt to stop the run, keep its memory
	// and copy it to another replica. The result is a HandedOver input.
	HandOver struct {
		ID       string
		Attempt  AttemptID
		From, To *upstream.Announcement // read only
	}
	// Cancel stops the attempt and discards the rest of its answer. For is the request
	// that the attempt makes room for, or the gate of that request; empty: none.
	Cancel struct {
		ID      string
		Attempt AttemptID
		Cause   CancelCause
		For     string
	}
	// StateChanged reports that the gate's conclusion about a replica has changed.
	// Failures counts consecutive failed attempts, Attempts those that still run, and
	// Idle is the time since the last progress there, 0 if there was none.
	StateChanged struct {
		Replica            upstream.ReplicaID
		State              ReplicaState
		Evidence           Evidence
		Failures, Attempts int
		Idle               time.Duration
		SlowStart          bool // with few requests at first
	}
	// Refuse sends the caller its final error.
	Refuse struct {
		ID  string
		Err *apierr.Error
	}
	// Probe checks over a new connection whether the replica is alive. The result is a
	// Probed input.
	Probe struct {
		Replica upstream.ReplicaID
		Address string
	}
	// Reset closes the idle connections to the replica, because one connection was
	// silent.
	Reset struct{ Replica upstream.ReplicaID }
	// ReportLoad sends the number of this gate's requests on a replica to the replica's
	// owner at once.
	ReportLoad struct {
		Gate          string
		Replica       upstream.ReplicaID
		Online, Batch int
		ReportNumber  uint64 // number of this gate's load report on the replica
		Pace          upstream.Pace
		Waiting       int // online requests that wait for capacity at this gate
	}
	// ReportCrashes sends these crash records and records of parts to all gates before the
	// outputs that follow.
	ReportCrashes struct {
		Crashes []upstream.CrashRecord
		Parts   []crash.Record
	}
	// Count increments the counter of the reason.
	Count struct{ Reason apierr.Reason }
)

func (Dispatch) output()      {}
func (HandOver) output()      {}
func (Cancel) output()        {}
func (StateChanged) output()  {}
func (Refuse) output()        {}
func (Probe) output()         {}
func (Reset) output()         {}
func (ReportLoad) output()    {}
func (ReportCrashes) output() {}
func (Count) output()         {}
