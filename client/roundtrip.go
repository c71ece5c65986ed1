package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
)

// UnreachableError is returned if no gate answered the request.
type UnreachableError struct {
	// NotRun is true if the request provably did not reach an upstream.
	NotRun bool
	Cause  error
}

// Error reports whether the request may have run, and the failures of the gates.
func (e *UnreachableError) Error() string {
	if e.NotRun {
		return fmt.Sprintf("slateway: the request did not run: %v", e.Cause)
	}
	return fmt.Sprintf("slateway: the request may have run; resend it only if it may run twice, or with the headers %s and %s: %v",
		HeaderNonIdempotent, HeaderIdempotencyKey, e.Cause)
}

// Unwrap returns the failures of the gates.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// RoundTrip sends request to a gate. On failure it sends it to the next gate if
// that is safe.
func (c *Client) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Body != nil {
		defer func() { _ = request.Body.Close() }() // required by http.RoundTripper; the body was read or is no longer needed
	}
	body, replayable, err := c.bufferBody(request)
	if err != nil {
		return nil, err
	}
	entries, err := c.Entries(request.Context())
	if err != nil {
		return nil, err
	}
	if !replayable {
		entries = entries[:1]
	}
	delivery := &delivery{client: c, request: request, body: body, bodyComplete: replayable, repeatable: repeatable(request)}
	for i, entry := range entries {
		response, done := delivery.attempt(entry.Address, i == len(entries)-1)
		if done {
			return response, delivery.failure()
		}
	}
	return nil, delivery.failure()
}

// bufferBody reads the body so that it can be resent. A body of more than
// MaxReplayBytes is not replayable; the rest of it stays in request.Body.
func (c *Client) bufferBody(request *http.Request) (body []byte, replayable bool, err error) {
	if request.Body == nil || request.Body == http.NoBody {
		return nil, true, nil
	}
	body, err = io.ReadAll(io.LimitReader(request.Body, c.options.MaxReplayBytes+1))
	if err != nil {
		return nil, false, fmt.Errorf("read the request body: %w", err)
	}
	return body, int64(len(body)) <= c.options.MaxReplayBytes, nil
}

// repeatable reports whether the request may be resent: either running it twice is
// harmless, or slateway runs it at most once because it has both the non-idempotent
// mark and a key. Gates ignore a key without the mark, so it gives no guarantee.
func repeatable(request *http.Request) bool {
	if isTrue(request.Header.Get(HeaderNonIdempotent)) {
		return request.Header.Get(HeaderIdempotencyKey) != ""
	}
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true // RFC 9110, 9.2.2
	}
	inference := strings.HasPrefix(request.URL.Path, "/v1/")
	return inference || isTrue(request.Header.Get(HeaderRepeatable))
}

func isTrue(text string) bool {
	value, err := strconv.ParseBool(text)
	return err == nil && value
}

// delivery is the state of sending one request to one gate after another.
type delivery struct {
	client       *Client
	request      *http.Request
	body         []byte
	bodyComplete bool // body holds the complete request body
	repeatable   bool
	mayHaveRun   bool // a gate may have received the complete request
	failures     []error
}

// attempt sends the request to one gate. It returns done if no other gate is to be
// tried: there is a response, or failure returns the error.
func (d *delivery) attempt(address string, last bool) (response *http.Response, done bool) {
	var connected atomic.Bool
	transport := d.client.pooled
	if !d.repeatable {
		transport = d.client.unpooled
	}
	response, err := transport.RoundTrip(d.buildRequest(address, &connected))
	if err != nil {
		d.failures = append(d.failures, fmt.Errorf("gate %s: %w", address, err))
		if d.request.Context().Err() == nil {
			d.client.entries.markFailed(address)
		}
		// If no connection was established, the gate received nothing. After any
		// later failure the gate may have read the request.
		if connected.Load() {
			d.mayHaveRun = true
		}
		return nil, d.request.Context().Err() != nil || (d.mayHaveRun && !d.repeatable)
	}
	if !last && refusedByGate(response) {
		d.failures = append(d.failures, fmt.Errorf("gate %s refused the request before running it", address))
		d.client.entries.markFailed(address)
		_ = response.Body.Close() // the next gate's response replaces it
		return nil, false
	}
	d.failures = nil
	return response, true
}

// failure returns an UnreachableError with the failures so far, or nil if there are
// none.
func (d *delivery) failure() error {
	if len(d.failures) == 0 {
		return nil
	}
	return &UnreachableError{NotRun: !d.mayHaveRun, Cause: errors.Join(d.failures...)}
}

// buildRequest returns a copy of the request for the gate at address. It sets
// connected once the copy has a connection.
func (d *delivery) buildRequest(address string, connected *atomic.Bool) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request := d.request.Clone(httptrace.WithClientTrace(d.request.Context(), trace))
	request.URL.Scheme = "http"
	request.URL.Host = address
	request.Host = address
	if token := d.client.options.Token; token != "" && request.Header.Get("Authorization") == "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	d.setBody(request)
	return request
}

// setBody sets the body and clears GetBody. With GetBody, http.Transport would
// resend some requests by itself after a broken connection, even those that this
// package must not resend.
func (d *delivery) setBody(request *http.Request) {
	request.GetBody = nil
	switch {
	case len(d.body) == 0:
		request.Body = nil
		request.ContentLength = 0
	case !d.bodyComplete:
		request.Body = io.NopCloser(io.MultiReader(bytes.NewReader(d.body), d.request.Body))
	default:
		request.Body = io.NopCloser(bytes.NewReader(d.body))
		request.ContentLength = int64(len(d.body))
	}
}

// maxRefusalBytes is how much of a refusal's body is read to decide whether to try the
// next gate.
const maxRefusalBytes = 64 << 10

// gateReasons are the refusal reasons that concern the gate and not the request, so
// that another gate may serve it. All gates would give any other refusal alike, and
// trying each of them would multiply the load when it is highest.
var gateReasons = []string{"gate_draining", "draining", "no_configuration", "configuration_lease_expired", "keepers_unavailable"}

// refusal is the part of a gate's error response that this package reads.
type refusal struct {
	Error struct {
		Reason string `json:"reason"`
		Ran    string `json:"ran"`
	} `json:"error"`
}

// refusedByGate reports whether the gate did not run the request for one of
// gateReasons. The response body stays readable.
func refusedByGate(response *http.Response) bool {
	if response.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	response.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(body), response.Body), response.Body}
	var parsed refusal
	if err != nil || json.Unmarshal(body, &parsed) != nil {
		return false
	}
	return parsed.Error.Ran == "no" && slices.Contains(gateReasons, parsed.Error.Reason)
}

var _ http.RoundTripper = (*Client)(nil)

// Ping checks that a gate answers. Call it at startup to detect a wrong address.
func (c *Client) Ping(ctx context.Context) error {
	_, err := c.Entries(ctx)
	return err
}
