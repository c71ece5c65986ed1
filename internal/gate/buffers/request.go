package buffers

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/memory"
	"slateway.example/slateway/internal/telemetry"
)

// Request accounts for the bytes held for one request of a caller, or for one item of a
// job. A nil Request has no limits.
type Request struct {
	account *Account
	started time.Time

	// Guarded by account.mu.
	owner    memory.Owner
	hold     *memory.Hold // nil until the first reservation
	allowed  int64        // size of a body that operators allow; 0: no limit of theirs
	released bool

	silence silence // used by Account.Run only, but for its connection

	armedAt time.Time // when the write deadline was set; used by the handler's goroutine only

	interrupted atomic.Bool // the response was ended; set under mu

	queued  atomic.Int64 // response bytes that wait in a flight
	writing atomic.Int64 // response bytes that are being written
	since   atomic.Int64 // when the caller read last, or bytes began to wait; nanoseconds after account.started

	mu          sync.Mutex
	control     *http.ResponseController // nil: no connection, or its handler has ended
	multiplexed bool                     // HTTP/2
	refused     *apierr.Error            // why its body was not read; nil: it was, or still is
	onEnd       func(*apierr.Error)      // ends the response; nil: the connection is interrupted only
}

// NewRequest returns a Request without a connection. It must be released.
func (a *Account) NewRequest(team, id string) *Request {
	return &Request{account: a, started: time.Now(), owner: memory.Owner{Team: team, Request: id}}
}

type requestKey struct{}

// FromContext returns the Request of a caller's HTTP request, or nil if its handler is
// not wrapped by Account.Handler.
func FromContext(ctx context.Context) *Request {
	r, _ := ctx.Value(requestKey{}).(*Request)
	return r
}

// Identify sets the team and the ID of the request. It must be called before the first
// reservation.
func (r *Request) Identify(team, id string) {
	if r == nil {
		return
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	if r.hold == nil {
		r.owner = memory.Owner{Team: team, Request: id}
	}
}

// allow allows a body of up to n bytes. It must be called before the first reservation.
func (r *Request) allow(n int64) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.allowed = n
}

// Admit reserves n bytes that are held until the request ends, or returns the refusal.
// The refusal is true only while nothing has been run for the request.
func (r *Request) Admit(n int64) *apierr.Error {
	if r == nil || n <= 0 {
		return nil
	}
	cause := r.account.reserve(r, n, r.account.core.ReserveBody)
	err := refusal(cause, n)
	if err != nil && Logged(err) {
		r.account.logRefusal(r, err, n)
	}
	return err
}

// ReserveResponse reserves n bytes of a response. If there is no room, it returns false,
// and the response of the slowest reader ends, if any.
func (r *Request) ReserveResponse(n int64) bool {
	return r.account.reserve(r, n, r.account.core.ReserveResponse) == memory.Granted
}

// ReturnResponse returns n bytes of a response.
func (r *Request) ReturnResponse(n int64) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	if r.hold != nil && n > 0 {
		r.account.core.ReturnResponse(r.hold, n)
	}
}

// returnBody returns n bytes that were reserved for the body and not used.
func (r *Request) returnBody(n int64) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	if r.hold != nil && n > 0 {
		r.account.core.ReturnBody(r.hold, n)
	}
}

// Release returns all bytes of the request. Nothing can be reserved afterwards.
func (r *Request) Release() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.released = true
	if r.hold != nil {
		r.account.core.Release(r.hold)
		delete(r.account.requests, r.hold)
		r.hold = nil
	}
}

// SetQueued records how many bytes of the response wait for the caller.
func (r *Request) SetQueued(n int) { r.setUnread(&r.queued, int64(n)) }

// setUnread changes the number of bytes that wait.
func (r *Request) setUnread(counter *atomic.Int64, n int64) {
	if n > 0 && r.queued.Load() == 0 && r.writing.Load() == 0 {
		r.Taken()
	}
	counter.Store(n)
}

// Taken records that the caller has read a part of the response.
func (r *Request) Taken() { r.since.Store(int64(time.Since(r.account.started))) }

// unreadSince returns since when the caller has read nothing of the bytes that wait, or
// the zero time if none wait.
func (r *Request) unreadSince() time.Time {
	if r.queued.Load() == 0 && r.writing.Load() == 0 {
		return time.Time{}
	}
	return r.account.started.Add(time.Duration(r.since.Load()))
}

// LastTaken returns a value that changes when the caller reads a part of the response.
func (r *Request) LastTaken() int64 { return r.since.Load() }

// sinceTaken returns how long the caller has read nothing of the bytes that wait, or 0 if
// none wait.
func (r *Request) sinceTaken() time.Duration {
	since := r.unreadSince()
	if since.IsZero() {
		return 0
	}
	return time.Since(since)
}

// Refusal returns why the body of the request was refused while it was read, or nil. It
// is for handlers whose decoder hides the error.
func (r *Request) Refusal() *apierr.Error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused
}

// OnEnd sets the function that ends the response early; nil removes it. It must not
// block.
func (r *Request) OnEnd(end func(*apierr.Error)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onEnd = end
}

// EndSlowReader ends the response because the gate reads no more from the replica and
// the caller has read nothing for some time.
func (r *Request) EndSlowReader() {
	r.end(ReasonReaderTooSlow, "the caller read nothing for some time, and the gate held as much of the response as it may")
}

// end ends the response early: it is logged and counted, and the write to the caller, if
// any, is interrupted.
func (r *Request) end(reason apierr.Reason, message string) {
	r.mu.Lock()
	onEnd := r.onEnd
	already := r.interrupted.Swap(true)
	if r.control != nil {
		_ = r.control.SetWriteDeadline(past) // fails only where no write can be waiting
	}
	r.mu.Unlock()
	if already {
		return
	}
	if onEnd != nil {
		onEnd(apierr.New(apierr.BadUpstream, reason, "read the response as it comes, or ask for a shorter one", "%s", message).WithRan(apierr.RanUnknown))
	}
	r.account.logEnded(r, reason)
}

// past is a deadline that has passed. It interrupts reads and writes in progress.
var past = time.Unix(1, 0)

func (a *Account) logEnded(r *Request, reason apierr.Reason) {
	owner, held := a.describe(r)
	a.options.Log.Info("response ended early", telemetry.RequestID(owner.Request), telemetry.Team(owner.Team), telemetry.Reason(string(reason)),
		zap.Int64("held", held), zap.Int64("unread", r.queued.Load()+r.writing.Load()),
		zap.Duration("idle", r.sinceTaken()), zap.Duration("age", time.Since(r.started)))
	a.options.Metrics.Count(endedPrefix + string(reason))
}
