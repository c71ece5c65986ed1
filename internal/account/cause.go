package account

import (
	"net/http"
	"time"
)

// Cause is the reason why a request was not served in time, or InTime.
type Cause string

// Causes. The cause of a refused request is RefusedPrefix followed by the reason.
const (
	InTime          Cause = "in time"
	CallerWaited    Cause = "its caller had tried for longer than the target before"
	Queued          Cause = "waited in the gate's queue"
	ReplicaDown     Cause = "sent to a replica that did not take a connection"
	ReplicaDied     Cause = "held by a replica that died or fell silent"
	ReplicaFull     Cause = "declined by a replica without room"
	ReplicaError    Cause = "failed at a replica"
	WaitedAtReplica Cause = "waited at the replica for its first event"
	Stalled         Cause = "paused between two events"
	BrokenOff       Cause = "broken off"
	CallerLeft      Cause = "its caller left"
	GateLost        Cause = "its gate ended"
)

// RefusedPrefix is the prefix of the cause of a request that a gate refused.
const RefusedPrefix = "refused: "

// causeOfFailure returns the cause for the logged reason of a failed or stopped
// attempt.
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

// request holds what the log lines read so far report about a caller's request.
type request struct {
	at       time.Time
	vm       string
	route    string
	target   time.Duration
	maxPause time.Duration
	waited   time.Duration

	queued         time.Duration
	failedAttempts []attribution // attempts without an answer
	current        *line         // the attempt in progress
}

// attribution attributes the end of a request, or a failed attempt, to a cause.
type attribution struct {
	cause   Cause
	replica string        // the replica where the time was spent, if any
	took    time.Duration // the time due to the cause; 0 if unknown
}

// attributeAnswer attributes an answered request to a cause. If the answer was overdue, the
// cause is the longest part of the time until its first event.
func (r *request) attributeAnswer(in *line) attribution {
	first, pause := time.Duration(in.First), time.Duration(in.Pause)
	if first == 0 {
		first = time.Duration(in.After) // the answer is not a stream
	}
	if in.Status >= http.StatusBadRequest {
		return attribution{cause: ReplicaError, replica: r.replica(), took: first}
	}
	if r.target > 0 && r.waited+first > r.target {
		return r.longestDelay(first)
	}
	if r.maxPause > 0 && pause > r.maxPause {
		return attribution{cause: Stalled, replica: r.replica(), took: pause}
	}
	return attribution{cause: InTime}
}

func (r *request) replica() string {
	if r.current == nil {
		return ""
	}
	return r.current.Upstream
}

// longestDelay returns the longest part of the time until the first event.
func (r *request) longestDelay(first time.Duration) attribution {
	longest := attribution{cause: CallerWaited, took: r.waited}
	consider := func(v attribution) {
		if v.took > longest.took {
			longest = v
		}
	}
	consider(attribution{cause: Queued, took: r.queued})
	rest := first - r.queued
	for _, attempt := range r.failedAttempts {
		rest -= attempt.took
		consider(attempt)
	}
	consider(attribution{cause: WaitedAtReplica, replica: r.replica(), took: rest})
	return longest
}

// attributeFailure attributes a request that got no complete answer to a cause: to the failed
// attempt that took more than half of its time, if there is one, else to otherwise.
func (r *request) attributeFailure(otherwise Cause, after time.Duration) attribution {
	result := attribution{cause: otherwise, replica: r.replica(), took: after}
	for _, attempt := range r.failedAttempts {
		if 2*attempt.took > after {
			result = attempt
		}
	}
	return result
}
