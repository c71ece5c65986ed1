// Package keeperclient calls the keepers on behalf of gates and operators. It
// finds the leader of each group and repeats a call, under the same IDs, until
// it is answered or its context ends.
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
	// attemptTimeout bounds the first attempt, beside the wait of a long poll;
	// it doubles with each further one up to maxAttemptTimeout, for keepers that
	// are slow and not gone. A frozen keeper, or a connection that went silent
	// for good, shows as no answer at all; the call then goes to another keeper
	// in place of waiting for its own deadline.
	attemptTimeout    = time.Second
	maxAttemptTimeout = 8 * time.Second
	// retryDelay is the pause before asking again; an election takes a few.
	retryDelay    = 20 * time.Millisecond
	maxRetryDelay = 320 * time.Millisecond
	// passOver is how long a keeper that did not answer is not asked again by the
	// same call while there are others: an election after a leader froze takes up
	// to 0.8 s here. A leader that was only slow is asked again after it.
	passOver = 800 * time.Millisecond
)

// Client calls the keepers. It is safe for concurrent use.
type Client struct {
	rpc       *rpc.Client
	addresses func() []string
	metrics   *telemetry.Metrics // nil: retries are not counted
	patience  time.Duration      // for the first attempt of a call
	hint      func(group uint32) string

	mu      sync.Mutex
	leaders map[uint32]string // last known, by group
	groups  uint32            // zero until known
	next    int               // address to ask when no leader is known
}

// New makes a client of the keepers at the given peer addresses.
func New(client *rpc.Client, addresses []string) *Client {
	return NewDynamic(client, func() []string { return addresses })
}

// NewDynamic makes a client of keepers that come and go: addresses gives at
// least one peer address to ask when no leader is known.
func NewDynamic(client *rpc.Client, addresses func() []string) *Client {
	return &Client{
		rpc: client, addresses: addresses, leaders: make(map[uint32]string), patience: attemptTimeout,
		hint: func(uint32) string { return "" },
	}
}

// SetPatience bounds the first attempt of each call, for callers that are
// themselves waited for. It is called before the first call.
func (c *Client) SetPatience(patience time.Duration) { c.patience = patience }

// SetHint lets the client ask where the leader of a group is, empty if that is
// not known: a VM that is a member itself learns of a new leader before any call
// tells it. It is called before the first call.
func (c *Client) SetHint(hint func(group uint32) string) { c.hint = hint }

// CountRetries makes the client count its retries by reason. It is called
// before the first call.
func (c *Client) CountRetries(metrics *telemetry.Metrics) { c.metrics = metrics }

// retried counts a retry. An error without a reason is a broken connection or a
// keeper that did not answer.
func (c *Client) retried(err error) {
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

// call sends a request to the leader of a group. Wait is how long the keeper
// may hold it.
func call[Req, Res any](ctx context.Context, c *Client, group uint32, wait time.Duration, p rpc.Procedure[Req, keeperapi.Reply[Res]], request *Req) (*Res, error) {
	attempts := attempts{ran: apierr.RanNo, delay: retryDelay, timeout: c.patience}
	for ctx.Err() == nil {
		address, hinted := c.target(group, attempts.avoided(time.Now()))
		attempt, cancel := context.WithTimeout(ctx, attempts.timeout+wait)
		reply, err := rpc.Call(attempt, c.rpc, address, p, request)
		cancel()
		if err == nil && reply.NotLeader == nil {
			c.setLeader(group, address)
			return reply.Value, nil
		}
		if err == nil {
			c.follow(group, address, reply.NotLeader.Address)
			// Without the pause, a call that passes over the leader would be sent in
			// circles by the other keepers as fast as they answer.
			if hinted || reply.NotLeader.Address == "" || reply.NotLeader.Address == attempts.failed {
				attempts.pause(ctx)
			}
			continue
		}
		if final(err) {
			return nil, err
		}
		attempts.note(address, err)
		c.retried(err)
		c.follow(group, address, "")
		attempts.pause(ctx)
	}
	return nil, attempts.giveUp(ctx)
}

// final reports whether asking again would give the same error.
func final(err error) bool {
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

// attempts keeps what is known of a call that is repeated.
type attempts struct {
	ran     apierr.Ran // whether a keeper may have acted on it
	last    error
	delay   time.Duration // before the next one
	timeout time.Duration // of the next one
	failed  string        // address that did not answer the last one
	since   time.Time     // when that was
}

// avoided is the address to pass over; empty: none.
func (a *attempts) avoided(now time.Time) string {
	if now.Sub(a.since) >= passOver {
		return ""
	}
	return a.failed
}

func (a *attempts) note(address string, err error) {
	a.last = err
	a.failed, a.since = address, time.Now()
	a.timeout = min(2*a.timeout, maxAttemptTimeout)
	// Without an answer the keeper may have committed the call before the
	// connection broke.
	if apierr.From(err).Ran != apierr.RanNo {
		a.ran = apierr.RanUnknown
	}
}

func (a *attempts) pause(ctx context.Context) {
	timer := time.NewTimer(a.delay)
	defer timer.Stop()
	a.delay = min(2*a.delay, maxRetryDelay)
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (a *attempts) giveUp(ctx context.Context) error {
	cause := a.last
	if cause == nil {
		cause = ctx.Err()
	}
	return apierr.New(apierr.Unavailable, keeperapi.ReasonUnavailable, "send it again with the same IDs",
		"no keeper answered in time: %v", cause).WithRan(a.ran).WithRetryAfter(maxRetryDelay)
}

// target gives the address to ask; hinted is false if it is only the next one.
//
// The one that has just not answered is passed over for a while if there is
// another: a frozen leader is still the one that everybody remembers, and asked
// twice, the second time with twice the patience, it outlasts a caller that waits
// a second.
func (c *Client) target(group uint32, failed string) (address string, hinted bool) {
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

// follow takes the hint of a keeper that does not lead the group, or forgets
// the leader if that keeper was thought to be it.
func (c *Client) follow(group uint32, asked, hint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hint != "" && hint != asked {
		c.leaders[group] = hint
		return
	}
	if c.leaders[group] == asked {
		delete(c.leaders, group)
	}
}

// Groups gives the number of groups of the replicated state.
func (c *Client) Groups(ctx context.Context) (uint32, error) {
	c.mu.Lock()
	known := c.groups
	c.mu.Unlock()
	if known > 0 {
		return known, nil
	}
	// Any keeper answers; the group only names a hint to start from.
	info, err := call(ctx, c, keeperapi.ConfigGroup, 0, keeperapi.Info, &keeperapi.InfoRequest{})
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.groups = info.Groups
	return info.Groups, nil
}
