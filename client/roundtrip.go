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

// UnreachableError is returned when no gate gave an answer.
type UnreachableError struct {
	// NotRun is true if the request provably reached no upstream.
	NotRun bool
	Cause  error
}

// Error tells whether the request ran and the last failures.
func (e *UnreachableError) Error() string {
	if e.NotRun {
		return fmt.Sprintf("slateway: the request was not run: %v", e.Cause)
	}
	return fmt.Sprintf("slateway: the request may have run; send it again only if it may run twice, or with %s and %s: %v",
		HeaderNonIdempotent, HeaderIdempotencyKey, e.Cause)
}

// Unwrap gives the failures.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// RoundTrip sends request to a gate, and to the next one if that is safe.
func (c *Client) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Body != nil {
		defer func() { _ = request.Body.Close() }() // the interface asks for it; all was read or is given up
	}
	body, replayable, err := c.keepBody(request)
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
	run := &run{client: c, request: request, body: body, whole: replayable, repeatable: repeatable(request)}
	for i, entry := range entries {
		response, done := run.try(entry.Address, i == len(entries)-1)
		if done {
			return response, run.failure()
		}
	}
	return nil, run.failure()
}

// keepBody reads the body, if it is small enough, so that it can be sent again.
func (c *Client) keepBody(request *http.Request) (body []byte, replayable bool, err error) {
	if request.Body == nil || request.Body == http.NoBody {
		return nil, true, nil
	}
	body, err = io.ReadAll(io.LimitReader(request.Body, c.options.MaxReplayBytes+1))
	if err != nil {
		return nil, false, fmt.Errorf("read the request's body: %w", err)
	}
	return body, int64(len(body)) <= c.options.MaxReplayBytes, nil
}

// repeatable reports whether running the request twice does no harm, or cannot
// happen because slateway runs a marked request with a key once. A key without
// the mark is not claimed by the gates and promises nothing.
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

// run is one request on its way over several gates.
type run struct {
	client     *Client
	request    *http.Request
	body       []byte
	whole      bool // body holds all of it
	repeatable bool
	sent       bool // some gate may have received it whole
	failures   []error
}

// try sends the request to one gate. Done means that no further gate is tried:
// there is a response, or failure tells why not.
func (r *run) try(address string, last bool) (response *http.Response, done bool) {
	var connected atomic.Bool
	transport := r.client.transport
	if !r.repeatable {
		transport = r.client.fresh
	}
	response, err := transport.RoundTrip(r.build(address, &connected))
	if err != nil {
		r.failures = append(r.failures, fmt.Errorf("gate %s: %w", address, err))
		if r.request.Context().Err() == nil {
			r.client.entries.markFailed(address)
		}
		// A connection that was never made carried nothing. Any later failure
		// leaves open whether the gate has read the request.
		if connected.Load() {
			r.sent = true
		}
		return nil, r.request.Context().Err() != nil || (r.sent && !r.repeatable)
	}
	if !last && refusedByGate(response) {
		r.failures = append(r.failures, fmt.Errorf("gate %s: refused, not run", address))
		r.client.entries.markFailed(address)
		_ = response.Body.Close() // the answer is used up
		return nil, false
	}
	r.failures = nil
	return response, true
}

func (r *run) failure() error {
	if len(r.failures) == 0 {
		return nil
	}
	return &UnreachableError{NotRun: !r.sent, Cause: errors.Join(r.failures...)}
}

func (r *run) build(address string, connected *atomic.Bool) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request := r.request.Clone(httptrace.WithClientTrace(r.request.Context(), trace))
	request.URL.Scheme = "http"
	request.URL.Host = address
	request.Host = address
	if token := r.client.options.Token; token != "" && request.Header.Get("Authorization") == "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	r.setBody(request)
	return request
}

// setBody hides from the transport that the body can be read again: the
// transport would otherwise repeat some requests by itself on a broken
// connection, past the rules of this package.
func (r *run) setBody(request *http.Request) {
	request.GetBody = nil
	switch {
	case len(r.body) == 0:
		request.Body = nil
		request.ContentLength = 0
	case !r.whole:
		request.Body = io.NopCloser(io.MultiReader(bytes.NewReader(r.body), r.request.Body))
	default:
		request.Body = io.NopCloser(bytes.NewReader(r.body))
		request.ContentLength = int64(len(r.body))
	}
}

// maxRefusal bounds the refusal that is read to see whether it is final.
const maxRefusal = 64 << 10

// gateReasons are the refusals that concern the gate and not the request: the
// next gate may well serve it. Any other refusal would come from each gate
// alike, and asking them all would multiply the load when it is highest.
var gateReasons = []string{"gate_draining", "draining", "no_configuration", "configuration_lease_expired", "keepers_unavailable"}

type refusal struct {
	Error struct {
		Reason string `json:"reason"`
		Ran    string `json:"ran"`
	} `json:"error"`
}

// refusedByGate reports whether the gate did not run the request for a reason
// of its own. The body stays readable.
func refusedByGate(response *http.Response) bool {
	if response.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusal))
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

// Ping checks that a gate answers, so that a wrong address shows at start.
func (c *Client) Ping(ctx context.Context) error {
	_, err := c.Entries(ctx)
	return err
}
