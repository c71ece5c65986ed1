// Package keeperclient calls the keepers on behalf of gates and operators. It
// finds the leader of each group and retries a call with the same IDs until it is
// answered or its context ends.
package keeperclient

import (
	"context"
	"errors"
	"sync"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
)

const (
	// attemptTimeout limits the first attempt, in addition to the wait of a long
	// poll. A frozen keeper or a dead connection never answers, and the call then
	// goes to another keeper instead of waiting for its deadline. The timeout
	// doubles with each attempt, up to maxAttemptTimeout, for keepers that are only
	// slow.
	attemptTimeout    = time.Second
	maxAttemptTimeout = 8 * time.Second
	// retryDelay is the initial delay between attempts. It doubles up to
	// maxRetryDelay. An election takes several such delays.
	retryDelay    = 20 * time.Millisecond
	maxRetryDelay = 320 * time.Millisecond
	// skipUnanswered is how long a call avoids a keeper that did not answer, if there
	// are others. The election after a leader froze takes up to 0.8 s. After that a
	// leader that was only slow is called again.
	skipUnanswered = 800 * time.Millisecond
)

// Client calls the keepers. It is safe for concurrent use.
type Client struct {
	rpc          *rpc.Client
	addresses    func() []string
	metrics      *telemetry.Metrics // nil: retries are not counted
	firstTimeout time.Duration      // timeout of the first attempt of a call
	hint         func(group uint32) string

	mu      sync.Mutex
	leaders map[uint32]string // last known, by group
	groups  uint32            // zero until known
	next    int               // index of the next address to try when no leader is known
}

// New creates a client of the keepers at the given peer addresses.
func New(client *rpc.Client, addresses []string) *Client {
	return NewDynamic(client, func() []string { return addresses })
}

// NewDynamic creates a client of a changing set of keepers. addresses returns the
// peer addresses to try when no leader is known, at least one.
func NewDynamic(client *rpc.Client, addresses func() []string) *Client {
	return &Client{
		rpc: client, addresses: addresses, leaders: make(map[uint32]string), firstTimeout: attemptTimeout,
		hint: func(uint32) string { return "" },
	}
}

// SetFirstAttemptTimeout limits the first attempt of each call, for clients whose
// own callers wait for the result. It must be called before the first call.
func (c *Client) SetFirstAttemptTimeout(timeout time.Duration) { c.firstTimeout = timeout }

// SetLeaderHint sets a function that returns the address of a group's leader, empty
// if it is not known. A VM that is a member of the group learns of a new leader
// earlier than by the answer to a call. It must be called before the first call.
func (c *Client) SetLeaderHint(hint func(group uint32) string) { c.hint = hint }

// CountRetries makes the client count its retries by reason. It must be called
// before the first call.
func (c *Client) CountRetries(metrics *telemetry.Metrics) { c.metrics = metrics }

// countRetry counts a retry. An error without a reason is a broken connection or a
// keeper that did not answer.
func (c *Client) countRetry(err error) {
	if c.metrics == nil {
		return
	}
	reason := keeperapi.ReasonUnavailable
	var known *apierr.Error
	if errors.As(err, &known) {
		reason = known.Reason
	}
	c.metrics.Retried("keeper_" + reason)
}

// call sends a request to the leader of a group and retries it until it is answered
// or ctx ends. wait is how long the keeper may delay the answer of a long poll.
func call[Req, Res any](ctx context.Context, c *Client, group uint32, wait time.Duration, p rpc.Procedure[Req, keeperapi.Reply[Res]], request *Req) (*Res, error) {
	attempts := attempts{ran: apierr.RanNo, delay: retryDelay, timeout: c.firstTimeout}
	for ctx.Err() == nil {
		address, hinted := c.chooseAddress(group, attempts.addressToSkip(time.Now()))
		attempt, cancel := context.WithTimeout(ctx, attempts.timeout+wait)
		reply, err := rpc.Call(attempt, c.rpc, address, p, request)
		cancel()
		if err == nil && reply.NotLeader == nil {
			c.setLeader(group, address)
			return reply.Value, nil
		}
		if err == nil {
			c.updateLeader(group, address, reply.NotLeader.Address)
			// While a call skips the leader, the other keepers redirect it to the leader
			// at once. The delay prevents a busy loop.
			if hinted || reply.NotLeader.Address == "" || reply.NotLeader.Address == attempts.failedAddress {
				attempts.backOff(ctx)
			}
			continue
		}
		if isPermanent(err) {
			return nil, err
		}
		attempts.recordFailure(address, err)
		c.countRetry(err)
		c.updateLeader(group, address, "")
		attempts.backOff(ctx)
	}
	return nil, attempts.finalError(ctx)
}

// isPermanent reports whether a retry would fail with the same error.
func isPermanent(err error) bool {
	var known *apierr.Error
	if !errors.As(err, &known) {
		return false
	}
	switch known.Reason {
	case keeperapi.ReasonUnavailable, keeperapi.ReasonOutcomeUnknown, keeperapi.ReasonOverloaded:
		return false
	default:
		return true
	}
}

// attempts is the retry state of a call.
type attempts struct {
	ran           apierr.Ran // whether a keeper may have executed the call
	lastError     error
	delay         time.Duration // before the next attempt
	timeout       time.Duration // of the next attempt
	failedAddress string        // address that failed last
	failedAt      time.Time     // time of that failure
}

// addressToSkip returns the address that should not be called now, empty if none.
func (a *attempts) addressToSkip(now time.Time) string {
	if now.Sub(a.failedAt) >= skipUnanswered {
		return ""
	}
	return a.failedAddress
}

func (a *attempts) recordFailure(address string, err error) {
	a.lastError = err
	a.failedAddress, a.failedAt = address, time.Now()
	a.timeout = min(2*a.timeout, maxAttemptTimeout)
	// A keeper that did not answer may have committed the call before the connection
	// broke.
	if apierr.From(err).Ran != apierr.RanNo {
		a.ran = apierr.RanUnknown
	}
}

func (a *attempts) backOff(ctx context.Context) {
	timer := time.NewTimer(a.delay)
	defer timer.Stop()
	a.delay = min(2*a.delay, maxRetryDelay)
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (a *attempts) finalError(ctx context.Context) error {
	cause := a.lastError
	if cause == nil {
		cause = ctx.Err()
	}
	return apierr.New(apierr.Unavailable, keeperapi.ReasonUnavailable, "send the call again with the same IDs",
		"no keeper answered in time: %v", cause).WithRan(a.ran).WithRetryAfter(maxRetryDelay)
}

// chooseAddress returns the address to call: the known leader, the hinted leader or else
// the next address in turn, for which hinted is false. It skips the failed address if there
// is another one: a frozen leader remains the last known leader, and a second attempt, with
// twice the timeout, would exceed the deadline of a caller that waits for one second.
func (c *Client) chooseAddress(group uint32, failed string) (address string, hinted bool) {
	hint := c.hint(group)
	known := c.addresses()
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader, found := c.leaders[group]; found && leader != failed {
		return leader, true
	}
	if hint != "" && hint != failed {
		return hint, true
	}
	for range known {
		address = known[c.next%len(known)]
		c.next++
		if address != failed {
			break
		}
	}
	return address, false
}

func (c *Client) setLeader(group uint32, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaders[group] = address
}

// updateLeader records the leader that the called keeper returned as a hint. Without
// a hint, it forgets the leader if that was the called keeper.
func (c *Client) updateLeader(group uint32, called, hint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hint != "" && hint != called {
		c.leaders[group] = hint
		return
	}
	if c.leaders[group] == called {
		delete(c.leaders, group)
	}
}

// Groups returns the number of groups of the replicated state.
func (c *Client) Groups(ctx context.Context) (uint32, error) {
	c.mu.Lock()
	known := c.groups
	c.mu.Unlock()
	if known > 0 {
		return known, nil
	}
	// Any keeper answers this call. The group only selects the first address to try.
	info, err := call(ctx, c, keeperapi.ConfigGroup, 0, keeperapi.Info, &keeperapi.InfoRequest{})
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.groups = info.Groups
	return info.Groups, nil
}
