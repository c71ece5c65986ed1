package proxy

import (
	"context"
	"net/http"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// Protocol says how the attempts of one request speak to upstreams: it builds
// what is sent and reads what comes back. What is sent where and when is decided
// elsewhere. The OpenAI protocol is one implementation; an adapter brings others.
type Protocol interface {
	// Kind is the kind of upstream that may be asked.
	Kind() upstream.Kind
	// Check refuses a request that no upstream may be sent.
	Check() *apierr.Error
	// Streams says whether the caller is given the answer event by event.
	Streams() bool
	// Resumable says whether another upstream can go on with an answer.
	Resumable() bool
	// Start is the number of the last event that the caller has already; 0 for a
	// request from the start.
	Start() int
	// Request builds the request of one try.
	Request(ctx context.Context, try *Try) (*http.Request, error)
	// Judge says what the head of an answer means.
	Judge(answer *http.Response, try *Try) Verdict
	// Events reads the answer as a stream; nil if it is to be read whole.
	Events(answer *http.Response) EventSource
	// EndsByClose says whether an answer that only the end of its connection
	// delimits counts as whole.
	EndsByClose() bool
	// Assemble makes the whole answer of a stream that is not passed on event by
	// event.
	Assemble(p *Progress) (*Reply, error)
}

// Mover is a Protocol whose upstreams can stop a run and keep its memory, so that
// the answer goes on as the same run over another connection or elsewhere.
type Mover interface {
	// Move builds the call that asks replica from to stop the request's run and to
	// copy its memory to replica to.
	Move(ctx context.Context, from, to *upstream.Announcement) (*http.Request, error)
	// Moved reads the answer to it.
	Moved(answer *http.Response, from *upstream.Announcement) (Move, error)
}

// Move says what became of a run that was to be stopped.
type Move struct {
	Memory string // names what to go on from
	Copied bool   // the other replica has it too
	NoRoom bool   // the other replica has no room, and the run goes on where it was
}

// Try is one attempt of a request at one upstream.
type Try struct {
	RequestID string
	Attempt   route.AttemptID
	Target    *upstream.Announcement
	Deadline  time.Time
	// After is the number of the last event that earlier attempts gave, and Text
	// what they gave; 0 and empty to begin at the start.
	After int
	Text  string
	// Memory names the memory of the request's run to go on from; empty: none.
	Memory string
}

// Left gives the time until the deadline; never less than zero.
func (t *Try) Left() time.Duration { return max(0, time.Until(t.Deadline)) }

// Verdict is what the head of an answer means.
type Verdict struct {
	// Cause says why the answer must not reach the caller; empty if it may.
	Cause route.FailureCause
	// Queued: by the upstream's word the request waited for a slot.
	Queued bool
}

// EventSource gives the events of a stream, the last of them with Done set. A
// stream that ends before its last event gives an error.
type EventSource interface {
	Next() (*Event, error)
}

// Progress is what the attempts of a request have given so far.
type Progress struct {
	Head   *Reply // status and headers of the first answer that was used
	Tokens int    // number of the last event or token
	Text   string
	meta   answerMeta
}

// Reply is an answer as an upstream gave it or as it was assembled.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte // empty in the head of a stream
}

// Caller is given the answer of a request, from one goroutine.
type Caller interface {
	// Begin opens a streamed answer under the head of its first upstream.
	Begin(head *Reply)
	// Events passes events on; false if the caller has left.
	Events(data []byte) bool
	// End closes a streamed answer that is whole.
	End()
	// Break ends a streamed answer that cannot be made whole.
	Break(err *apierr.Error)
	// Whole gives an answer that is not streamed.
	Whole(answer *Reply)
	// Refuse gives the final answer of a request that has no other.
	Refuse(err *apierr.Error)
}
