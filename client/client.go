// Package client connects callers to slateway without a load balancer in between.
//
// A Client fetches the list of gates to use from a gate that it knows, caches the
// list for its lifetime and sends requests to the first gate. If a gate cannot be
// reached, it fails over to the next one. It resends a request only if the request
// provably did not run or may safely run twice.
//
// A Client is an http.RoundTripper: pass HTTPClient to any OpenAI client library
// and use BaseURL as its base address.
package client

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// Headers that determine whether a request may be resent.
const (
	// HeaderIdempotencyKey carries a key that identifies a request. Slateway runs a
	// key at most once if the request is also marked non-idempotent.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNonIdempotent, set to "true", marks a request that must not run twice.
	HeaderNonIdempotent = "Slateway-Non-Idempotent"
	// HeaderRepeatable, set to "true", marks a call to a plain service that may run
	// twice.
	HeaderRepeatable = "Slateway-Repeatable"
)

// BaseURL is the base address for client libraries. A Client replaces its host
// with the address of a gate.
const BaseURL = "http://slateway/v1"

// Defaults of Options.
const (
	DefaultDialTimeout    = time.Second
	DefaultMaxReplayBytes = 16 << 20
)

// keepAlive configures TCP keep-alive probes, which fail a dead connection after
// about ten seconds. Without them a caller would wait forever for an answer on a
// connection whose state a device between the two ends has dropped.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 4 * time.Second, Interval: 2 * time.Second, Count: 3}

// idleTimeout is how long an unused connection stays in the pool.
const idleTimeout = 30 * time.Second

// Options configure a Client.
type Options struct {
	Gates       []string // IP:port of gates to fetch the entries from first; one reachable gate is enough
	Place       string   // the caller's place, if known; gates there are listed first
	Token       string   // the team's token, set on requests without an Authorization header
	DialTimeout time.Duration
	// MaxReplayBytes is the size limit of request bodies that are buffered for a
	// resend. A request with a larger body is sent only once.
	MaxReplayBytes int64
}

// Client sends requests to gates. It is safe for concurrent use.
type Client struct {
	options Options
	pooled  *http.Transport // reuses connections
	// unpooled opens a new connection for each request that may not be resent. If a gate
	// is killed while a request uses a pooled connection, the request fails after it
	// was written and may or may not have run; a new connection is refused.
	unpooled *http.Transport
	entries  entryCache
}

// New returns a Client that uses options.
func New(options Options) (*Client, error) {
	if len(options.Gates) == 0 {
		return nil, errors.New("client: Options.Gates is empty; set the caller address of at least one gate")
	}
	for _, gate := range options.Gates {
		if _, _, err := net.SplitHostPort(gate); err != nil {
			return nil, errors.New("client: gate " + gate + " is not IP:port; use an address such as 10.0.0.1:8080")
		}
	}
	if options.DialTimeout <= 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.MaxReplayBytes <= 0 {
		options.MaxReplayBytes = DefaultMaxReplayBytes
	}
	dialer := &net.Dialer{Timeout: options.DialTimeout, KeepAliveConfig: keepAlive}
	pooled := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idleTimeout,
	}
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	return &Client{options: options, pooled: pooled, unpooled: unpooled}, nil
}

// HTTPClient returns an http.Client that sends its requests to gates.
func (c *Client) HTTPClient() *http.Client { return &http.Client{Transport: c} }

// Close closes idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }
