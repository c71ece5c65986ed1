package proxy

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/buffers"
	"slateway.example/slateway/internal/route"
)

// flight is one request in progress. Its attempts append to its buffer, and the
// goroutine that serves the caller drains it, so that a slow caller never makes a
// healthy stream appear stalled. When too much of a stream waits for the caller, the
// attempt stops reading and reports a pause (see backpressure.go).
type flight struct {
	shard      *shard
	request    route.Request
	protocol   Protocol
	started    time.Time
	checkLease func() *apierr.Error // see BatchItem; nil: no check

	attempts  sync.WaitGroup
	attempted atomic.Bool   // at least one attempt was started
	wake      chan struct{} // holds one value when there is something to do
	memory    *buffers.Request

	mu          sync.Mutex
	pending     bytes.Buffer  // stream events not yet delivered to the caller
	delivering  int           // bytes that are being written to the caller
	whole       int           // bytes of whole answers that attempts read
	reserved    int           // bytes reserved in memory for the answer
	resumed     chan struct{} // closed when a paused attempt may go on; nil: none is paused
	text        strings.Builder
	tokens      int    // number of the last event or token in text
	build       string // that wrote text
	unconfirmed bool   // a process of another build may have written text
	head        *Reply // of a stream, from the first answer used
	reply       *Reply // whole answer of a request that is not streamed
	err         *apierr.Error
	finished    bool
	restarted   bool // an attempt started over after another had produced output
	meta        answerMeta
	lastEventAt time.Time     // arrival of the last event
	maxGap      time.Duration // longest time between two events
}

func newFlight(s *shard, request route.Request, p Protocol, memory *buffers.Request) *flight {
	return &flight{
		shard: s, request: request, protocol: p, memory: memory, started: time.Now(),
		tokens: p.LastReceived(), wake: make(chan struct{}, 1),
	}
}

func (f *flight) newAttempt(o route.Dispatch) *attempt {
	f.attempts.Add(1)
	f.attempted.Store(true)
	return newAttempt(f, o)
}

// longestGap returns the longest time between two events.
func (f *flight) longestGap() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxGap
}

// wasAttempted reports whether any attempt was started.
func (f *flight) wasAttempted() bool { return f.attempted.Load() }

func (f *flight) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// finish ends the flight with an error, or with its answer if err is nil. Only the
// first call has an effect.
func (f *flight) finish(err *apierr.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finishLocked(err)
}

// finishLocked is finish with the lock held.
func (f *flight) finishLocked(err *apierr.Error) {
	if f.finished {
		return
	}
	f.finished = true
	f.err = err
	f.signal()
}

// ReasonAnswerTooLong counts answers aborted because they exceed the buffer that a
// gate keeps for one request: an endless stream, or a caller that reads slowly.
const ReasonAnswerTooLong apierr.Reason = "answer_too_long"

func answerTooLong() *apierr.Error {
	return apierr.New(apierr.BadUpstream, ReasonAnswerTooLong, "ask for fewer tokens, and read the stream as it comes",
		"the answer exceeds the buffer that a gate keeps for one request").WithRan(apierr.RanUnknown)
}

// succeed ends the flight with its answer.
func (f *flight) succeed(r *Reply) {
	f.mu.Lock()
	f.reply = r
	f.mu.Unlock()
	f.finish(nil)
}

// resumePoint returns the event or token up to which the answer has been received,
// and its text.
func (f *flight) resumePoint() (tokens int, prefix string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tokens, f.text.String()
}

// writer returns the build that wrote the text, and whether that is certain.
func (f *flight) writer() (build string, confirmed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.build, !f.unconfirmed
}

// restart discards the output of earlier attempts before an attempt that starts
// over. It is only called while nothing has been delivered.
func (f *flight) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tokens = f.protocol.LastReceived()
	f.restarted = true
	f.build, f.unconfirmed = "", false
	f.text.Reset()
	f.meta = answerMeta{}
}

// setHead records the head of an attempt's answer; the first one is kept.
func (f *flight) setHead(a *attempt, head *Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.head == nil && !a.stopped.Load() {
		f.head = head
	}
}

// streamStarted reports whether the caller of a stream has received its head.
// Afterwards an attempt that is answered without a stream, for example with an
// error, must not become the request's whole answer: that would end the caller's
// stream as if it were complete.
func (f *flight) streamStarted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.protocol.Streams() && f.head != nil
}

// streamHead returns the head of a stream; nil if no replica has answered with one.
func (f *flight) streamHead() *Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head
}

// errAttemptStopped means that the attempt was cancelled and its answer must not be used.
var errAttemptStopped = errors.New("the attempt was cancelled")

// addEvent adds one stream event of an attempt to the answer.
func (f *flight) addEvent(a *attempt, e *Event) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.stopped.Load() || f.finished {
		return errAttemptStopped
	}
	if e.isDuplicate(f.tokens) {
		return nil
	}
	if e.Numbered && !e.Done && e.Token != f.tokens+1 {
		return ErrMalformedEvent
	}
	if f.text.Len()+f.pending.Len()+len(e.Raw) > f.shard.router.options.MaxAnswerBytes {
		f.finishLocked(answerTooLong())
		return errAttemptStopped
	}
	if !f.reserveLocked(len(e.Raw) + len(e.Text)) {
		return errNoRoom
	}
	if f.tokens == f.protocol.LastReceived() {
		f.build, f.unconfirmed = a.target.Build, a.unconfirmed
	}
	now := time.Now()
	if !f.lastEventAt.IsZero() {
		f.maxGap = max(f.maxGap, now.Sub(f.lastEventAt))
	}
	f.lastEventAt = now
	f.tokens = max(f.tokens, e.Token)
	f.text.WriteString(e.Text)
	f.meta.update(e)
	if f.protocol.Streams() {
		f.pending.Write(e.Raw)
		unread := f.unreadLocked()
		a.mustPause = unread > f.shard.router.options.UnreadBytes
		f.memory.SetQueued(unread)
		f.signal()
	}
	return nil
}

// progress returns the part of the answer received so far.
func (f *flight) progress() *Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &Progress{Head: f.head, Tokens: f.tokens, Text: f.text.String(), meta: f.meta}
}

// pieceBytes is the size of the pieces in which a stream is written to its caller. What
// the caller has read is known only after each piece.
const pieceBytes = 4 << 10

// takePending moves the next events or parts of them to into. It returns the stream's
// head, whether more waits, and whether the flight has finished and nothing waits any
// more.
func (f *flight) takePending(into *bytes.Buffer) (head *Reply, more, finished bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	into.Reset()
	into.Write(f.pending.Next(pieceBytes))
	f.delivering = into.Len()
	return f.head, f.pending.Len() > 0 || f.finished, f.finished && f.delivering == 0
}

// delivered records that the caller has taken what takePending returned last.
func (f *flight) delivered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delivering = 0
	f.memory.Taken()
	f.memory.SetQueued(f.unreadLocked())
	f.resumeLocked()
	f.returnLocked()
}

// outcome returns the answer or error of a finished flight.
func (f *flight) outcome() (*Reply, *apierr.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reply, f.err
}
