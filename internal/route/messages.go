package route

import (
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/upstream"
)

// Class separates online requests from batch items.
type Class string

// Classes of requests.
const (
	Online Class = "online"
	Batch  Class = "batch"
)

// AttemptID names one attempt of a request within a shard.
type AttemptID uint64

// Limits bound what one team may have in one service at one gate; zero fields
// mean no limit.
type Limits struct {
	MaxInFlight int     `json:"max_in_flight,omitempty"` // requests admitted and not yet answered
	Rate        float64 `json:"rate,omitempty"`          // requests a second
	Burst       int     `json:"burst,omitempty"`         // requests at once within the rate
}

// Request is what the decisions need to know of a request.
type Request struct {
	ID          string               `json:"id"` // unique within the shard
	Team        string               `json:"team"`
	Class       Class                `json:"class"`
	Kind        upstream.Kind        `json:"kind,omitempty"` // of the upstreams it is for; empty: any
	Model       string               `json:"model,omitempty"`
	Version     string               `json:"version,omitempty"`
	Deadline    time.Time            `json:"deadline"`
	Fingerprint upstream.Fingerprint `json:"fingerprint"`
	Prefix      uint64               `json:"prefix,omitempty"` // hash of the prompt's start; 0: no affinity
	Repeatable  bool                 `json:"repeatable"`
	Resumable   bool                 `json:"resumable"` // its stream can go on at a token on another replica
	Limits      Limits               `json:"limits,omitempty"`
	Priority    int                  `json:"priority,omitempty"` // among waiting online requests; 0 goes first
	Policy      Policy               `json:"policy,omitempty"`   // of batch items
	// Movable: its run can be stopped at an engine and go on there or at another one
	// as the same run, although the request may not run again.
	Movable bool `json:"movable,omitempty"`
	// MaxAttempts bounds the replicas that may run the request; 0: the shard's own.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Reached is the event or token up to which earlier attempts, at other gates,
	// have made the answer.
	Reached int `json:"reached,omitempty"`
	// Patient: the request is held by this gate alone and waits for its result.
	// That replicas died of it delays it, and never refuses it.
	Patient bool `json:"patient,omitempty"`
	// UsefulUntil is when an online answer must begin, or a batch item be done, to
	// be of full use; zero: at any time before the deadline.
	UsefulUntil time.Time `json:"useful_until,omitzero"`
	// Takes is how long batch items like this one take from their start to their
	// end, with the time in which online work has their slots; 0: not known.
	Takes time.Duration `json:"takes,omitzero"`
}

// Gate is a live gate, as the choice of feeding gates needs it.
type Gate struct {
	ID    string `json:"id"`
	Place string `json:"place"`
}

// FailureCause says how an attempt ended without an answer.
type FailureCause string

// Causes of a failed attempt.
const (
	// CauseNotSent: no byte of the request reached the replica, so that it was
	// provably not run.
	CauseNotSent FailureCause = "not_sent"
	// CauseBroken: the connection ended before the whole answer.
	CauseBroken FailureCause = "broken"
	// CauseSilent: nothing arrived on the connection for too long.
	CauseSilent FailureCause = "silent"
	// CauseUnanswered: no first answer came over the connection within half of the
	// caller's time, though answers usually take less.
	CauseUnanswered FailureCause = "unanswered"
	// CauseDied: the replica's process has ended.
	CauseDied FailureCause = "died"
	// CauseSuspect: the attempt was stopped, since another copy of a suspect
	// request is on trial.
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
	// CauseMisdirected: another replica answered at the address, and did not run
	// the request.
	CauseMisdirected FailureCause = "misdirected"
)

// notRun says whether the cause proves that the replica did not run the request.
func (c FailureCause) notRun() bool {
	return c == CauseNotSent || c == CauseDeclined || c == CauseMisdirected
}

// Input is something that happened. The types below are all there are.
type Input interface{ apply(s *Shard) }

// Inputs of a shard.
type (
	// Arrive says that a request has come and waits for its answer.
	Arrive struct{ Request Request }
	// Abandon says that the caller has left or the job was cancelled.
	Abandon struct{ ID string }
	// Progress says that something of the answer arrived; Tokens is the count so far.
	Progress struct {
		Attempt   AttemptID
		Tokens    int
		Delivered bool // the caller has received part of the answer
	}
	// Finished says that the whole answer arrived.
	Finished struct{ Attempt AttemptID }
	// Failed says that the attempt ended without its answer.
	Failed struct {
		Attempt AttemptID
		Cause   FailureCause
	}
	// Queued says that by its own word the replica has put an
	// online request in its queue.
	Queued struct{ Attempt AttemptID }
	// HandedOver is the answer to a HandOver output: the run has stopped, and its
	// memory is kept under a name. Copied says that the other replica has it too. An
	// empty name says that the run was not stopped, as far as is known; NoRoom, that
	// the other replica has no room for it.
	HandedOver struct {
		Attempt AttemptID
		Memory  string
		Copied  bool
		NoRoom  bool
	}
	// Announced carries a valid announcement, from the replica or by way of a gate.
	Announced struct{ Announcement upstream.Announcement }
	// Withdrawn says that a replica is no longer known to the control VMs, up to
	// the incarnation.
	Withdrawn struct {
		Replica     upstream.ReplicaID
		Incarnation uint64
	}
	// Reported carries a load digest from another gate.
	Reported struct{ Digest upstream.LoadDigest }
	// Fed tells what the gate that feeds a replica knows of it. Answers is the number
	// of this gate's word that it answers, which was of Told online requests; 0: none.
	Fed struct {
		Feeding upstream.Feeding
		Answers uint64
		Told    int
	}
	// Struck carries strikes from other gates.
	Struck struct{ Strikes []upstream.Strike }
	// Cached carries a cache event of a replica.
	Cached struct{ Event upstream.CacheEvent }
	// Probed is the answer to a Probe output. Refused means that the VM answered
	// and no process listens; Incarnation is 0 when the replica did not say.
	Probed struct {
		Replica     upstream.ReplicaID
		Alive       bool
		Refused     bool
		Incarnation uint64
	}
	// YieldAsked says how many requests another gate has on a replica that this
	// gate feeds with batch.
	YieldAsked struct {
		Gate          string
		Replica       upstream.ReplicaID
		Online, Batch int
	}
	// GatesChanged lists the live gates, this one included.
	GatesChanged struct {
		Gates []Gate
		// Expected is how many gates there are, if some of them may not be back
		// after a stop of all.
		Expected int
	}
	// Draining says that the gate stops taking batch work.
	Draining struct{}
	// Tick says that time has passed; due every 20 to 50 ms.
	Tick struct{}
)

// Output is something that the shell has to do, in the order given.
type Output interface{ output() }

// DispatchKind says why an attempt is made.
type DispatchKind string

// Kinds of dispatch.
const (
	First  DispatchKind = "first"
	Retry  DispatchKind = "retry"
	Hedge  DispatchKind = "hedge"
	Resume DispatchKind = "resume" // a preempted batch item goes on
)

// CancelCause says why an attempt is stopped.
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

// Outputs of a shard.
type (
	// Dispatch asks to send the request to the replica.
	Dispatch struct {
		ID      string
		Attempt AttemptID
		Kind    DispatchKind
		Target  *upstream.Announcement // read only
		// Resume: continue at the token that the request has reached, instead
		// of from the start.
		Resume bool
		// Queued is how long the request waited for a replica, and Behind how many stood
		// before it when it came; Places is how many feeding gates were asked for a slot.
		Queued         time.Duration
		Behind, Places int
		// Memory names what the engine is to go on from; empty: the request as it came.
		Memory string
	}
	// HandOver asks the replica of a running attempt to stop the run, keep its memory
	// and copy it to another replica, and report HandedOver.
	HandOver struct {
		ID       string
		Attempt  AttemptID
		From, To *upstream.Announcement // read only
	}
	// Cancel asks to stop the attempt and pass nothing more of it on. For names the
	// request, or the gate whose request, it makes room for; empty: none.
	Cancel struct {
		ID      string
		Attempt AttemptID
		Cause   CancelCause
		For     string
	}
	// Believed tells that the gate's belief of a replica has changed. Failures are
	// attempts in a row that failed there, Attempts those that still run, and Quiet is
	// the time since anything came from it; 0 if nothing ever did.
	Believed struct {
		Replica            upstream.ReplicaID
		Belief             Belief
		Evidence           Evidence
		Failures, Attempts int
		Quiet              time.Duration
		Slowly             bool // with few requests at first
	}
	// Refuse asks to give the caller its final answer.
	Refuse struct {
		ID  string
		Err *apierr.Error
	}
	// Probe asks to find out over a fresh connection whether the replica lives, and
	// report Probed.
	Probe struct {
		Replica upstream.ReplicaID
		Address string
	}
	// Reset asks to close the idle connections to the replica; one of them is silent.
	Reset struct{ Replica upstream.ReplicaID }
	// YieldTo asks to tell the gate, at once, how many requests this gate has on
	// the replica that it feeds.
	YieldTo struct {
		Gate          string
		Replica       upstream.ReplicaID
		Online, Batch int
		Word          uint64 // numbers this gate's words on the replica
	}
	// Spread asks to tell all gates of these strikes before doing the outputs after it.
	Spread struct{ Strikes []upstream.Strike }
	// Count asks to add one to the counter of the reason.
	Count struct{ Reason apierr.Reason }
)

func (Dispatch) output() {}
func (HandOver) output() {}
func (Cancel) output()   {}
func (Believed) output() {}
func (Refuse) output()   {}
func (Probe) output()    {}
func (Reset) output()    {}
func (YieldTo) output()  {}
func (Spread) output()   {}
func (Count) output()    {}
