// Package buffers accounts for the bytes that a gate holds for its callers and for
// items of jobs: request bodies and responses that their callers have not read. It
// applies the decisions of package memory to HTTP requests, and sets the deadlines for
// reading bodies and writing responses.
package buffers

import (
	"context"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/memory"
	"slateway.example/slateway/internal/telemetry"
)

// Reasons for refusing requests and for ending responses.
const (
	ReasonFull        apierr.Reason = "memory_full"
	ReasonTeam        apierr.Reason = "team_memory"
	ReasonBodyTooSlow apierr.Reason = "body_too_slow"
	// ReasonReaderTooSlow ends a response whose caller reads so slowly that the gate
	// had to stop reading from the replica, or that did not read for WriteTimeout.
	ReasonReaderTooSlow apierr.Reason = "reader_too_slow"
	// ReasonReclaimed ends a response whose memory is needed for others.
	ReasonReclaimed apierr.Reason = "memory_reclaimed"
)

// Names of the gauges and of the prefix of the counters of ended responses.
const (
	gaugeHeld   = "memory.held"
	gaugeBudget = "memory.budget"
	gaugePeak   = "memory.peak"
	endedPrefix = "ended."
)

// retryAfter is the Retry-After of refused requests: bodies that make no progress and
// responses that nobody reads end within a few seconds.
const retryAfter = time.Second

// Metrics counts refusals and shows the state of the account.
type Metrics interface {
	Refused(reason apierr.Reason)
	Count(name string)
	Set(name string, value int64)
}

// Options configures an Account.
type Options struct {
	Budget      int64 // bytes; 0: unlimited
	LargestBody int64 // a body of this size is admitted even if it is over an eighth of the budget

	BodyTimeout  time.Duration // a body must make progress within this time; 0: no limit
	WriteTimeout time.Duration // limits each write to a caller; 0: no limit
	// UnackedTimeout is how long sent data may remain unacknowledged by the caller's VM
	// before its connection is closed; 0: the system's timeout. See ConnContext.
	UnackedTimeout time.Duration

	Name    string      // the gate, as shown in its status
	Metrics Metrics     // nil: none
	Log     *zap.Logger // nil: none
}

type noMetrics struct{}

func (noMetrics) Refused(apierr.Reason) {}
func (noMetrics) Count(string)          {}
func (noMetrics) Set(string, int64)     {}

// Account accounts for the bytes that a gate holds. It is safe for concurrent use.
type Account struct {
	options Options
	started time.Time

	// mu is taken a few times for each request, and not for each event: requests
	// reserve in steps.
	mu       sync.Mutex
	core     *memory.Account
	requests map[*memory.Hold]*Request
	searched time.Time // when reclaim last searched for a response to end
}

// searchInterval is the least time between two searches for a response to end. A search
// visits all requests, and many may wait for memory at once.
const searchInterval = 20 * time.Millisecond

// New creates an Account.
func New(o Options) *Account {
	if o.Budget <= 0 {
		o.Budget = math.MaxInt64 / 4
	}
	if o.Metrics == nil {
		o.Metrics = noMetrics{}
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	o.Metrics.Set(gaugeBudget, o.Budget)
	return &Account{options: o, started: time.Now(), core: memory.New(o.Budget, o.LargestBody), requests: make(map[*memory.Hold]*Request)}
}

// Status returns the state of the account.
func (a *Account) Status() memory.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Status()
}

// Requests returns the number of requests that have a hold. It is 0 when no request is
// in progress.
func (a *Account) Requests() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.core.Holds())
}

// publish updates the gauges. a.mu must be held.
func (a *Account) publish() {
	status := a.core.Totals()
	a.options.Metrics.Set(gaugeHeld, status.Held)
	a.options.Metrics.Set(gaugePeak, status.Peak)
}

// watchInterval is how often Run looks for silent callers.
const watchInterval = 250 * time.Millisecond

// Run updates the gauges and closes the connections of silent callers until ctx ends.
func (a *Account) Run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		a.mu.Lock()
		a.publish()
		a.mu.Unlock()
		if a.options.UnackedTimeout > 0 {
			a.closeSilent()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reserve applies a reservation to the request's hold, which it opens first if there is
// none. If there is no room, it ends the response of the slowest reader, if any, so that
// a later attempt succeeds.
func (a *Account) reserve(r *Request, n int64, with func(*memory.Hold, int64) memory.Cause) memory.Cause {
	a.mu.Lock()
	if r.released {
		a.mu.Unlock()
		return memory.Released
	}
	now := time.Now()
	if r.hold == nil {
		r.hold = a.core.Open(now, r.owner)
		r.hold.Allow(r.allowed)
		a.requests[r.hold] = r
	}
	cause := with(r.hold, n)
	if cause != memory.Full && cause != memory.TeamFull {
		a.mu.Unlock()
		return cause
	}
	var victim *Request
	if now.Sub(a.searched) >= searchInterval {
		a.searched = now
		a.updateUnread()
		victim = a.requests[a.core.Reclaim(now, cause, r.owner.Team, n)]
	}
	a.mu.Unlock()
	if victim != nil {
		// Not in this goroutine: the caller may hold a lock that ending a response takes.
		go victim.end(ReasonReclaimed, "the gate needs the memory of the response for others, and the caller did not read it for some time")
	}
	return cause
}

// updateUnread passes to the core since when the caller of each request has read
// nothing. a.mu must be held.
func (a *Account) updateUnread() {
	for hold, r := range a.requests {
		hold.SetUnread(r.unreadSince())
	}
}

// refusal returns the error of a refused reservation of n bytes for a body.
func refusal(cause memory.Cause, n int64) *apierr.Error {
	switch cause {
	case memory.Granted:
		return nil
	case memory.TooLarge:
		return apierr.New(apierr.TooLarge, apierr.ReasonBodyTooLarge,
			"send a smaller body, or ask the operators for gates with more memory", "the body of %d bytes is more than this gate may hold for one request", n)
	case memory.TeamFull:
		return apierr.New(apierr.Overloaded, ReasonTeam, "retry after the given delay, and finish or end other requests of the team",
			"the team's other requests use half of the memory that this gate has for requests").WithRetryAfter(retryAfter)
	default:
		return apierr.New(apierr.Unavailable, ReasonFull, "retry after the given delay, or use another gate",
			"the memory that this gate has for requests is used up").WithRetryAfter(retryAfter)
	}
}

// Logged reports whether a refusal has been logged and counted by this package already.
func Logged(err *apierr.Error) bool {
	return err.Reason == ReasonFull || err.Reason == ReasonTeam || err.Reason == ReasonBodyTooSlow
}

// logRefusal logs and counts that a request was refused.
func (a *Account) logRefusal(r *Request, err *apierr.Error, n int64) {
	owner, held := a.describe(r)
	a.options.Log.Info("request refused", telemetry.RequestID(owner.Request), telemetry.Team(owner.Team), telemetry.Reason(string(err.Reason)),
		zap.Int64("bytes", n), zap.Int64("held", held), zap.Duration("age", time.Since(r.started)))
	a.options.Metrics.Refused(err.Reason)
}

// describe returns the owner of a request and the bytes held for it.
func (a *Account) describe(r *Request) (memory.Owner, int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.hold == nil {
		return r.owner, 0
	}
	return r.owner, r.hold.Bytes()
}
