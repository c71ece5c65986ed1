// Package client connects callers to slateway without a balancer in between.
//
// A Client asks the gates it knows which gates to use, keeps that answer for its
// lifetime and sends requests to the first of them. When a gate cannot be
// reached it uses the next one, and it sends a request again only if that cannot
// run it twice: it was provably not run, or it may be repeated.
//
// A Client is an http.RoundTripper: give HTTPClient to any OpenAI client
// library and use BaseURL as its base address.
package client

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// Headers that decide whether a request may be sent again.
const (
	// HeaderIdempotencyKey names a request: slateway runs one key at most once
	// if the request is marked non-idempotent.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNonIdempotent marks a request that must not run twice: "true".
	HeaderNonIdempotent = "Slateway-Non-Idempotent"
	// HeaderRepeatable marks a call of a plain service that may run twice: "true".
	HeaderRepeatable = "Slateway-Repeatable"
)

// BaseURL is the base address for client libraries. The host is replaced by
// that of a gate.
const BaseURL = "http://slateway/v1"

// Defaults of Options.
const (
	DefaultDialTimeout    = time.Second
	DefaultMaxReplayBytes = 16 << 20
)

// keepAlive notices connections that have gone silent because something between
// the two ends forgot them: the caller would wait for its answer for good.
// Probes of the operating system fail them after about ten seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 4 * time.Second, Interval: 2 * time.Second, Count: 3}

// idleTimeout closes connections that no request used for a while.
const idleTimeout = 30 * time.Second

// Options configure a Client.
type Options struct {
	Gates       []string // IP:port of gates to ask first; one that answers is enough
	Place       string   // the caller's place, if known; its gates come first
	Token       string   // the team's token, set on requests that have none
	DialTimeout time.Duration
	// MaxReplayBytes bounds the bodies that are kept to be sent again. Larger
	// ones are sent once.
	MaxReplayBytes int64
}

// Client sends requests to gates. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
	// fresh opens a connection for each request that may not be sent again. On a
	// pooled one whose gate is killed at that moment the request fails after it
	// was written, and whether it ran is not known; a new one is refused.
	fresh   *http.Transport
	entries entryCache
}

// New makes a Client.
func New(options Options) (*Client, error) {
	if len(options.Gates) == 0 {
		return nil, errors.New("client: no gate given; name the caller address of at least one")
	}
	for _, gate := range options.Gates {
		if _, _, err := net.SplitHostPort(gate); err != nil {
			return nil, errors.New("client: gate " + gate + " is not IP:port; write for example 10.0.0.1:8080")
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
	fresh := pooled.Clone()
	fresh.DisableKeepAlives = true
	return &Client{options: options, transport: pooled, fresh: fresh}, nil
}

// HTTPClient gives an http.Client whose requests go to gates.
func (c *Client) HTTPClient() *http.Client { return &http.Client{Transport: c} }

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
