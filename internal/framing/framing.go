// Package framing decides whether an HTTP answer whose body ends with its connection is
// complete.
//
// A body with neither a length nor chunks ends when its connection closes (RFC 9112, section
// 6.3). The system of a process that crashes closes its connections in the same way, so the end
// alone proves nothing. The answer is complete if the process that wrote it still runs
// afterwards. The package says what proves that; callers do the I/O and pass times in.
package framing

import "time"

// Delimiter is what marks the end of an answer's body.
type Delimiter string

// Delimiters.
const (
	NoBody     Delimiter = "no_body"
	Length     Delimiter = "length"
	Chunks     Delimiter = "chunks"
	Connection Delimiter = "connection" // the body ends with its connection
)

// Methods and statuses whose answers have no body (RFC 9110).
const (
	methodHead        = "HEAD"
	statusNoContent   = 204
	statusNotModified = 304
)

// Head is the part of an answer that determines its Delimiter.
type Head struct {
	Method  string // of the request
	Status  int
	Length  int64 // -1 if the answer names none
	Chunked bool
}

// Delimiter returns what marks the end of the body.
func (h Head) Delimiter() Delimiter {
	switch {
	case h.Method == methodHead, h.Status == statusNoContent, h.Status == statusNotModified:
		return NoBody
	case h.Chunked:
		return Chunks
	case h.Length >= 0:
		return Length
	default:
		return Connection
	}
}

// Writer is the process that an answer was requested from, as announced.
type Writer struct {
	Replica     string
	Incarnation uint64 // 0: the announcement names none
}

// Outcome is how a question about the process at a replica's address ended.
type Outcome string

// Outcomes of a question.
const (
	Answered   Outcome = "answered"
	Refused    Outcome = "refused"    // the machine answers, and no process listens
	Unanswered Outcome = "unanswered" // no answer in time, or a broken connection
	NotAsked   Outcome = "not_asked"  // the replica offers no call that could be asked
)

// Identity is what an answer says of the process that gave it.
type Identity struct {
	Replica     string // empty: it names none
	Incarnation uint64 // 0: it names none
	// Misdirected means that another replica has rejected a question that named this one.
	Misdirected bool
}

// Finding is the result of one question, asked after the end of an answer.
type Finding struct {
	Outcome Outcome
	Identity
	// Held means that the connection of the question was open before the answer was
	// requested, so that one process has served it since.
	Held bool
}

// Evidence is the reason for a Verdict. It names a counter.
type Evidence string

// Evidence that the process still runs.
const (
	HeldConnection  Evidence = "held_connection"
	SameIncarnation Evidence = "same_incarnation"
)

// Evidence that it does not, or none that it does.
const (
	OtherIncarnation Evidence = "other_incarnation"
	OtherReplica     Evidence = "other_replica"
	NoProcess        Evidence = "no_process"
	NoAnswer         Evidence = "no_answer"
	// Unproven: the answer does not tell the process. Its replica's next process has the same ID.
	Unproven   Evidence = "unproven"
	NoQuestion Evidence = "no_question"
)

// Verdict is whether an answer is complete.
type Verdict struct {
	Complete bool
	// Final means that another question cannot change the verdict.
	Final    bool
	Evidence Evidence
}

// Judge decides whether the process that wrote an answer still runs, from one Finding.
func Judge(w Writer, f Finding) Verdict {
	switch {
	case f.Outcome == NotAsked:
		return incomplete(NoQuestion)
	case f.Outcome == Refused:
		return incomplete(NoProcess)
	case f.Outcome != Answered:
		return Verdict{Evidence: NoAnswer}
	case f.Held:
		return complete(HeldConnection)
	case f.Misdirected, f.Replica != "" && f.Replica != w.Replica:
		return incomplete(OtherReplica)
	case f.Incarnation != 0 && f.Incarnation == w.Incarnation:
		return complete(SameIncarnation)
	case f.Incarnation != 0:
		return incomplete(OtherIncarnation)
	default:
		return Verdict{Evidence: Unproven}
	}
}

func complete(e Evidence) Verdict { return Verdict{Complete: true, Final: true, Evidence: e} }

func incomplete(e Evidence) Verdict { return Verdict{Final: true, Evidence: e} }

const (
	// repeatablePatience is how long the process is asked for if the request may run
	// elsewhere instead. A replica that is not full answers within milliseconds.
	repeatablePatience = 300 * time.Millisecond
	// QuestionTimeout limits one question that may be asked again over another connection.
	QuestionTimeout = 300 * time.Millisecond
	// RetryDelay is the pause between two questions.
	RetryDelay = 20 * time.Millisecond
)

// Patience returns for how long the process is asked for. left is the time until the request's
// deadline; what may not run again is worth all of it.
func Patience(repeatable bool, left time.Duration) time.Duration {
	if repeatable {
		return min(left, repeatablePatience)
	}
	return left
}

// habitLifetime is how long a service is expected to delimit answers as it did last.
const habitLifetime = time.Minute

// Habits remembers the services whose answers ended with their connections. It is not safe for
// concurrent use.
type Habits struct{ seen map[string]time.Time }

// Saw records an answer of a service that ends with its connection.
func (h *Habits) Saw(service string, now time.Time) {
	if h.seen == nil {
		h.seen = make(map[string]time.Time)
	}
	for known, at := range h.seen {
		if now.Sub(at) >= habitLifetime {
			delete(h.seen, known)
		}
	}
	h.seen[service] = now
}

// Expects reports whether a connection for questions should be open before a request to a service
// is sent: its answer may end with its connection, as one did lately, or the request may not run
// again if that is not proved whole.
func (h *Habits) Expects(service string, repeatable bool, now time.Time) bool {
	at, seen := h.seen[service]
	return !repeatable || seen && now.Sub(at) < habitLifetime
}

// IdleLimit is how long a connection for questions may be idle. Replicas close idle connections
// after some seconds.
const IdleLimit = 4 * time.Second
