package account

import (
	"net/http"
	"time"
)

// Cause is why a request was not served in time.
type Cause string

// Causes. Refusals are RefusedPrefix and the reason.
const (
	InTime       Cause = "in time"
	CameLate     Cause = "its caller had tried for longer than the target before"
	Queued       Cause = "waited in the gate's queue"
	ReplicaDown  Cause = "sent to a replica that did not take a connection"
	ReplicaDied  Cause = "held by a replica that died or fell silent"
	ReplicaFull  Cause = "declined by a replica without room"
	ReplicaError Cause = "failed at a replica"
	AtReplica    Cause = "waited at the replica for its first event"
	Stalled      Cause = "paused between two events"
	Cut          Cause = "broken off"
	CallerLeft   Cause = "its caller left"
	GateLost     Cause = "its gate ended"
)

// RefusedPrefix begins the cause of a request that a gate refused.
const RefusedPrefix = "refused: "

// causeOfFailure gives the cause behind the reason of a failed or stopped attempt.
func causeOfFailure(reason string) Cause {
	switch reason {
	case "not_sent", "misdirected":
		return ReplicaDown
	case "broken", "silent", "unanswered", "died":
		return ReplicaDied
	case "declined", "busy":
		return ReplicaFull
	default:
		return ReplicaError
	}
}

// request is what the lines say of a caller's request.
type request struct {
	at       time.Time
	vm       string
	route    string
	target   time.Duration
	maxPause time.Duration
	waited   time.Duration

	queued  time.Duration
	lost    []verdict // attempts that gave no answer
	current *line     // the attempt that runs
}

// verdict is what became of a request, or of an attempt that gave no answer.
type verdict struct {
	cause   Cause
	replica string        // where the time went, if at a replica
	took    time.Duration // what the cause took; 0 if that is not known
}

// answered judges a request by its answer: of the parts of its time, the longest is
// the cause of its being late.
func (r *request) answered(in *line) verdict {
	first, pause := time.Duration(in.First), time.Duration(in.Pause)
	if first == 0 {
		first = time.Duration(in.After) // not a stream
	}
	if in.Status >= http.StatusBadRequest {
		return verdict{cause: ReplicaError, replica: r.replica(), took: first}
	}
	if r.target > 0 && r.waited+first > r.target {
		return r.lateBy(first)
	}
	if r.maxPause > 0 && pause > r.maxPause {
		return verdict{cause: Stalled, replica: r.replica(), took: pause}
	}
	return verdict{cause: InTime}
}

func (r *request) replica() string {
	if r.current == nil {
		return ""
	}
	return r.current.Upstream
}

func (r *request) lateBy(first time.Duration) verdict {
	longest := verdict{cause: CameLate, took: r.waited}
	consider := func(v verdict) {
		if v.took > longest.took {
			longest = v
		}
	}
	consider(verdict{cause: Queued, took: r.queued})
	rest := first - r.queued
	for _, try := range r.lost {
		rest -= try.took
		consider(try)
	}
	consider(verdict{cause: AtReplica, replica: r.replica(), took: rest})
	return longest
}

// ended judges a request that got no whole answer: by its longest lost attempt if
// that is what it died of, else by what the line says.
func (r *request) ended(otherwise Cause, after time.Duration) verdict {
	result := verdict{cause: otherwise, replica: r.replica(), took: after}
	for _, try := range r.lost {
		if 2*try.took > after {
			result = try
		}
	}
	return result
}
