package proxy

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/route"
)

// flight is one request in progress: its attempts fill it, and the goroutine
// that serves the caller empties it. A slow caller therefore never makes a
// healthy stream look silent.
type flight struct {
	shard   *shard
	request route.Request
	form    form
	started time.Time

	attempts sync.WaitGroup
	wake     chan struct{} // holds one token when there is something to do

	mu       sync.Mutex
	pending  bytes.Buffer // stream events that the caller has not been given yet
	text     strings.Builder
	tokens   int    // the number of tokens that text holds
	reply    *reply // the whole answer, of a request that is not streamed
	err      *apierr.Error
	finished bool
	meta     answerMeta
}

// reply is a whole answer as an upstream gave it or as it was assembled.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func newFlight(s *shard, request route.Request, f form) *flight {
	return &flight{shard: s, request: request, form: f, started: time.Now(), wake: make(chan struct{}, 1)}
}

func (f *flight) newAttempt(o route.Dispatch) *attempt {
	f.attempts.Add(1)
	return newAttempt(f, o)
}

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
func (f *flight) succeed(r *reply) {
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
	f.tokens = 0
	f.text.Reset()
	f.meta = answerMeta{}
}

// add takes in one stream event of an attempt. It returns false if the attempt
// was stopped meanwhile; then nothing of it is used.
func (f *flight) add(a *attempt, e *event) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.stopped.Load() || f.finished {
		return false
	}
	if e.repeats(f.tokens) {
		return true
	}
	if f.text.Len()+f.pending.Len()+len(e.raw) > f.shard.router.options.MaxAnswerBytes {
		f.finish(tooLong())
		return false
	}
	f.tokens = max(f.tokens, e.token)
	f.text.WriteString(e.text)
	f.meta.take(e)
	if f.form.stream {
		f.pending.Write(e.raw)
		f.signal()
	}
	return true
}

// take returns what the caller has not been given yet, and whether it is all.
func (f *flight) take(into *bytes.Buffer) (finished bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	into.Reset()
	_, _ = f.pending.WriteTo(into)
	f.pending.Reset()
	return f.finished
}

// outcome returns the final answer; call it after the flight has finished.
func (f *flight) outcome() (*reply, *apierr.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reply, f.err
}
