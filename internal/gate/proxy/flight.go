package proxy

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/route"
)

// flight is one request in progress: its attempts fill it, and the goroutine
// that serves the caller empties it. A slow caller therefore never makes a
// healthy stream look silent.
type flight struct {
	shard    *shard
	request  route.Request
	protocol Protocol
	started  time.Time
	held     func() *apierr.Error // see BatchItem; nil: always

	attempts sync.WaitGroup
	sent     atomic.Bool   // an attempt was begun
	wake     chan struct{} // holds one token when there is something to do

	mu       sync.Mutex
	pending  bytes.Buffer // stream events that the caller has not been given yet
	text     strings.Builder
	tokens   int    // the number of the last event or token that text holds
	head     *Reply // of the first answer that was used, of a stream
	reply    *Reply // the whole answer, of a request that is not streamed
	err      *apierr.Error
	finished bool
	// restarted: an attempt began at the start after another had made something.
	restarted bool
	meta      answerMeta
	lastAt    time.Time     // when the last event came
	pause     time.Duration // the longest between two events
}

func newFlight(s *shard, request route.Request, p Protocol) *flight {
	return &flight{
		shard: s, request: request, protocol: p, started: time.Now(),
		tokens: p.Start(), wake: make(chan struct{}, 1),
	}
}

func (f *flight) newAttempt(o route.Dispatch) *attempt {
	f.attempts.Add(1)
	f.sent.Store(true)
	return newAttempt(f, o)
}

// longestPause gives the longest time between two events.
func (f *flight) longestPause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pause
}

// wasSent says whether any attempt was begun.
func (f *flight) wasSent() bool { return f.sent.Load() }

func (f *flight) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// end gives the flight its final answer; only the first one counts.
func (f *flight) end(err *apierr.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finish(err)
}

// finish is end with the lock held.
func (f *flight) finish(err *apierr.Error) {
	if f.finished {
		return
	}
	f.finished = true
	f.err = err
	f.signal()
}

// ReasonAnswerTooLong counts answers that were given up because the gate does not
// hold so much for one caller: an endless stream, or a caller that reads slowly.
const ReasonAnswerTooLong apierr.Reason = "answer_too_long"

func tooLong() *apierr.Error {
	return apierr.New(apierr.BadUpstream, ReasonAnswerTooLong, "ask for fewer tokens, and read the stream as it comes",
		"the answer is longer than a gate holds for one request").WithRan(apierr.RanUnknown)
}

// succeed gives the flight its whole answer.
func (f *flight) succeed(r *Reply) {
	f.mu.Lock()
	f.reply = r
	f.mu.Unlock()
	f.end(nil)
}

// reached tells a new attempt where to go on.
func (f *flight) reached() (tokens int, prefix string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tokens, f.text.String()
}

// restart forgets what an earlier attempt generated, when the next one begins
// at the start. It is only called while nothing has been delivered.
func (f *flight) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tokens = f.protocol.Start()
	f.restarted = true
	f.text.Reset()
	f.meta = answerMeta{}
}

// open notes the head of an attempt's answer; the first one stays.
func (f *flight) open(a *attempt, head *Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.head == nil && !a.stopped.Load() {
		f.head = head
	}
}

// hasBegun says whether the caller of a stream has its head, and may have part of it.
//
// Failure guarded against: an attempt that was to go on with the stream is answered by
// a failure that is no stream. Taken for the request's whole answer, it would end the
// stream as if it were complete.
func (f *flight) hasBegun() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.protocol.Streams() && f.head != nil
}

// errUnused says that the attempt was stopped, so that nothing of it is used.
var errUnused = errors.New("the attempt was stopped")

// add takes in one stream event of an attempt.
func (f *flight) add(a *attempt, e *Event) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.stopped.Load() || f.finished {
		return errUnused
	}
	if e.repeats(f.tokens) {
		return nil
	}
	if e.Numbered && !e.Done && e.Token != f.tokens+1 {
		return ErrMalformed
	}
	if f.text.Len()+f.pending.Len()+len(e.Raw) > f.shard.router.options.MaxAnswerBytes {
		f.finish(tooLong())
		return errUnused
	}
	now := time.Now()
	if !f.lastAt.IsZero() {
		f.pause = max(f.pause, now.Sub(f.lastAt))
	}
	f.lastAt = now
	f.tokens = max(f.tokens, e.Token)
	f.text.WriteString(e.Text)
	f.meta.take(e)
	if f.protocol.Streams() {
		f.pending.Write(e.Raw)
		f.signal()
	}
	return nil
}

// progress gives what the attempts have given so far.
func (f *flight) progress() *Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &Progress{Head: f.head, Tokens: f.tokens, Text: f.text.String(), meta: f.meta}
}

// take returns what the caller has not been given yet, and whether it is all.
func (f *flight) take(into *bytes.Buffer) (head *Reply, finished bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	into.Reset()
	_, _ = f.pending.WriteTo(into)
	f.pending.Reset()
	return f.head, f.finished
}

// outcome returns the final answer; call it after the flight has finished.
func (f *flight) outcome() (*Reply, *apierr.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reply, f.err
}
