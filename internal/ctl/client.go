package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Backoff between rounds over all servers, doubled after each round.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// answerTimeout limits the wait for one server's answer. It is then treated as lost,
// because the request may have been received.
const answerTimeout = 15 * time.Second

// maxAnswerBytes limits the size of an answer's body, which is read into memory.
const maxAnswerBytes = 64 << 20

// Client calls the HTTP APIs of slatewayd. It tries its servers in order, and repeats
// such rounds until one serves the call or the retry time is over.
type Client struct {
	servers  []string
	token    string
	retryFor time.Duration
	http     *http.Client
}

// call describes a request, which may be sent several times.
type call struct {
	method      string
	path        string
	query       url.Values
	contentType string
	body        []byte
	// noResend forbids a resend once a server may have received the request.
	noResend bool
}

func (c *call) String() string { return c.method + " " + c.path }

// NewClient returns a Client for servers, each an IP:port or an HTTP URL. A call is
// retried for retryFor while no server can serve it.
func NewClient(servers []string, token string, retryFor time.Duration) *Client {
	return &Client{
		servers:  servers,
		token:    token,
		retryFor: retryFor,
		http:     &http.Client{Timeout: answerTimeout},
	}
}

// get reads an object into into, and also returns the JSON as received.
func (c *Client) get(ctx context.Context, path string, query url.Values, into any) (json.RawMessage, error) {
	return c.json(ctx, &call{method: http.MethodGet, path: path, query: query}, into)
}

// send sends body as JSON and reads the answer into into.
func (c *Client) send(ctx context.Context, method, path string, body, into any) (json.RawMessage, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return c.json(ctx, &call{method: method, path: path, contentType: "application/json", body: encoded}, into)
}

func (c *Client) json(ctx context.Context, request *call, into any) (json.RawMessage, error) {
	response, err := c.do(ctx, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("%s: read the answer: %w", request, err)
	}
	if into == nil || len(raw) == 0 {
		return raw, nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return nil, fmt.Errorf("%s: unexpected answer: %w; use the version of slatectl that matches the servers", request, err)
	}
	return raw, nil
}

// do sends a call to one server after the other until one accepts it or refuses it
// permanently.
func (c *Client) do(ctx context.Context, request *call) (*http.Response, error) {
	deadline := time.Now().Add(c.retryFor)
	backoff := minBackoff
	for {
		response, wait, err := c.tryServers(ctx, request)
		if err == nil {
			return response, nil
		}
		var retry *retryError
		if !errors.As(err, &retry) {
			return nil, err
		}
		wait = max(wait, backoff)
		if time.Now().Add(wait).After(deadline) {
			return nil, &UnreachableError{Call: request.String(), Servers: c.servers, Last: retry.cause}
		}
		if err := sleep(ctx, wait); err != nil {
			return nil, err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// retryError wraps an error after which the call may be retried.
type retryError struct{ cause error }

func (e *retryError) Error() string { return e.cause.Error() }

// tryServers tries each server once. It also returns how long the servers asked to wait
// before a retry.
func (c *Client) tryServers(ctx context.Context, request *call) (*http.Response, time.Duration, error) {
	last := errors.New("no --server given")
	var wait time.Duration
	for _, server := range c.servers {
		response, err := c.attempt(ctx, server, request)
		if err == nil {
			return response, 0, nil
		}
		var retry *retryError
		if !errors.As(err, &retry) {
			return nil, 0, err
		}
		last = retry.cause
		var refusal *APIError
		if errors.As(last, &refusal) {
			wait = max(wait, refusal.RetryAfter)
		}
	}
	return nil, wait, &retryError{last}
}

// attempt sends a call to one server.
func (c *Client) attempt(ctx context.Context, server string, request *call) (*http.Response, error) {
	httpRequest, err := c.newRequest(ctx, server, request)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, c.lostAnswer(ctx, request, err)
	}
	if response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, c.lostAnswer(ctx, request, err)
	}
	refusal := parseAPIError(response.StatusCode, body)
	switch {
	case refusal == nil:
		text := strings.TrimSpace(string(body[:min(len(body), 200)]))
		return nil, &retryError{fmt.Errorf("%s answered %s: %s", server, response.Status, text)}
	case refusal.retryable() && !(request.noResend && refusal.Ran == "unknown"):
		return nil, &retryError{refusal}
	}
	return nil, refusal
}

// lostAnswer returns the error for a call without an answer. A call with noResend set
// is retried only if no connection was established.
func (c *Client) lostAnswer(ctx context.Context, request *call, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var network *net.OpError
	connected := !errors.As(err, &network) || network.Op != "dial"
	if request.noResend && connected {
		return fmt.Errorf("%s: the answer was lost: %w; check whether it took effect before sending it again", request, err)
	}
	return &retryError{err}
}

func (c *Client) newRequest(ctx context.Context, server string, request *call) (*http.Request, error) {
	base := server
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	target, err := url.Parse(base)
	if err != nil {
		return nil, &UsageError{Message: fmt.Sprintf("--server %q is not IP:PORT: %v", server, err)}
	}
	target.Path = request.path
	target.RawQuery = request.query.Encode()
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, target.String(), bytes.NewReader(request.body))
	if err != nil {
		return nil, err
	}
	if request.contentType != "" {
		httpRequest.Header.Set("Content-Type", request.contentType)
	}
	if c.token != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+c.token)
	}
	return httpRequest, nil
}

func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
