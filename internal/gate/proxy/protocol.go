package proxy

import (
	"context"
	"net/http"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// Protocol builds the messages of one request's attempts to upstreams and reads the
// answers. Package route decides what is sent where and when. The OpenAI protocol
// is one implementation; adapters supply others.
type Protocol interface {
	// Kind returns the kind of upstream that may serve the request.
	Kind() upstream.Kind
	// Check returns an error if the request must not be sent to any upstream.
	Check() *apierr.Error
	// Streams reports whether the caller receives the answer event by event.
	Streams() bool
	// Resumable reports whether another upstream can continue a partial answer.
	Resumable() bool
	// PromptParts returns the parts of the prompt that other requests may share, in their order.
	PromptParts() []crash.Part
	// LastReceived returns the number of the last event that the caller already has;
	// 0 for a request from the start.
	LastReceived() int
	// Request builds the HTTP request of one attempt.
	Request(ctx context.Context, try *AttemptInfo) (*http.Request, error)
	// InspectHead interprets the status line and headers of an answer.
	InspectHead(answer *http.Response, try *AttemptInfo) HeadResult
	// Events returns the events of a streamed answer, or nil if the answer is to be
	// read whole.
	Events(answer *http.Response) EventSource
	// AllowsCloseDelimited reports whether an answer without a length, which ends
	// when its connection closes, counts as complete if its process still runs. Such a
	// Protocol should be an Identifier.
	AllowsCloseDelimited() bool
	// Assemble builds the whole answer from a stream that is not forwarded event by
	// event.
	Assemble(p *Progress) (*Reply, error)
}

// Mover is a Protocol whose upstreams can stop a run and keep its memory, so that
// the same run can continue over another connection or on another replica.
type Mover interface {
	// MoveRequest builds the call that asks replica from to stop the request's run
	// and to copy its memory to replica to.
	MoveRequest(ctx context.Context, from, to *upstream.Announcement) (*http.Request, error)
	// ParseMoveResult reads the answer to that call.
	ParseMoveResult(answer *http.Response, from *upstream.Announcement) (MoveResult, error)
}

// MoveResult is the result of a request to stop a run.
type MoveResult struct {
	Memory string // identifies the run's memory; empty: the run was not stopped
	Copied bool   // the other replica has the memory too
	NoRoom bool   // the other replica has no capacity; the run continues where it was
}

// AttemptInfo describes one attempt of a request to the Protocol.
type AttemptInfo struct {
	RequestID string
	Attempt   route.AttemptID
	Target    *upstream.Announcement
	Deadline  time.Time
	// After is the number of the last event received by earlier attempts, and Text
	// the text of their events; zero to begin at the start.
	After int
	Text  string
	// Memory identifies the memory of the run to continue; empty: none.
	Memory string
}

// TimeLeft returns the time until the deadline; never less than zero.
func (t *AttemptInfo) TimeLeft() time.Duration { return max(0, time.Until(t.Deadline)) }

// HeadResult is the meaning of an answer's status line and headers.
type HeadResult struct {
	// Cause is why the answer must not reach the caller; empty if it may.
	Cause route.FailureCause
	// Queued reports whether the request waited for a slot at the upstream.
	Queued bool
	// Pace is how long work takes on the upstream now, in percent of the usual; 0: the
	// answer does not tell.
	Pace int
}

// EventSource reads the events of a stream. The last event has Done set; a stream
// that ends before it yields an error.
type EventSource interface {
	Next() (*Event, error)
}

// Progress is the part of an answer received so far by a request's attempts.
type Progress struct {
	Head   *Reply // status and headers of the first answer that was used
	Tokens int    // number of the last event or token
	Text   string
	meta   answerMeta
}

// Reply is an upstream's answer or one assembled from a stream.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte // empty in the head of a stream
}

// Caller receives the answer of a request. Its methods are called from one
// goroutine.
type Caller interface {
	// Begin starts a streamed answer with the head of the first upstream's answer.
	Begin(head *Reply)
	// Events forwards events; it returns false if the caller has disconnected.
	Events(data []byte) bool
	// End ends a complete streamed answer.
	End()
	// Abort ends a streamed answer that cannot be completed.
	Abort(err *apierr.Error)
	// Respond sends an answer that is not streamed.
	Respond(answer *Reply)
	// Refuse answers a request with an error.
	Refuse(err *apierr.Error)
}
