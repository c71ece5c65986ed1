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

// Pauses between rounds over all servers, doubling from the first to the last.
const (
	firstPause = 100 * time.Millisecond
	lastPause  = 2 * time.Second
)

// answerTimeout bounds the wait for one server's answer. A server that takes a
// connection and never answers looks the same as a lost answer.
const answerTimeout = 15 * time.Second

// maxAnswer bounds the body of an answer that is read as a whole.
const maxAnswer = 64 << 20

// Client calls slatewayd. It tries its servers in order, round after round.
type Client struct {
	servers  []string
	token    string
	retryFor time.Duration
	http     *http.Client
}

// call is one request that may be sent several times.
type call struct {
	method      string
	path        string
	query       url.Values
	contentType string
	body        []byte
	// once forbids sending again after the request may have been received.
	once bool
}

func (c *call) String() string { return c.method + " " + c.path }

// NewClient makes a Client for servers (IP:port, or http URLs). A call is
// repeated for retryFor while no server can serve it.
func NewClient(servers []string, token string, retryFor time.Duration) *Client {
	return &Client{
		servers:  servers,
		token:    token,
		retryFor: retryFor,
		http:     &http.Client{Timeout: answerTimeout},
	}
}

// get reads an object, and returns the JSON as it came too.
func (c *Client) get(ctx context.Context, path string, query url.Values, into any) (json.RawMessage, error) {
	return c.json(ctx, &call{method: http.MethodGet, path: path, query: query}, into)
}

// send sends body as JSON and reads the answer.
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
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, fmt.Errorf("%s: read the answer: %w", request, err)
	}
	if into == nil || len(raw) == 0 {
		return raw, nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return nil, fmt.Errorf("%s: the answer is not what this slatectl expects: %w; use the slatectl of the servers' version", request, err)
	}
	return raw, nil
}

// do sends a call to one server after the other until one accepts it or
// refuses it for good.
func (c *Client) do(ctx context.Context, request *call) (*http.Response, error) {
	deadline := time.Now().Add(c.retryFor)
	pause := firstPause
	for {
		response, wait, err := c.round(ctx, request)
		if err == nil {
			return response, nil
		}
		var retry *retryError
		if !errors.As(err, &retry) {
			return nil, err
		}
		wait = max(wait, pause)
		if time.Now().Add(wait).After(deadline) {
			return nil, &UnreachableError{Call: request.String(), Servers: c.servers, Last: retry.cause}
		}
		if err := sleep(ctx, wait); err != nil {
			return nil, err
		}
		pause = min(2*pause, lastPause)
	}
}

// retryError marks a failure after which the call may be sent again.
type retryError struct{ cause error }

func (e *retryError) Error() string { return e.cause.Error() }

// round tries each server once. It returns how long the servers asked to wait.
func (c *Client) round(ctx context.Context, request *call) (*http.Response, time.Duration, error) {
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
	message, err := c.message(ctx, server, request)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(message)
	if err != nil {
		return nil, c.lost(ctx, request, err)
	}
	if response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, c.lost(ctx, request, err)
	}
	refusal := parseAPIError(response.StatusCode, body)
	switch {
	case refusal == nil:
		text := strings.TrimSpace(string(body[:min(len(body), 200)]))
		return nil, &retryError{fmt.Errorf("%s answered %s: %s", server, response.Status, text)}
	case refusal.temporary() && !(request.once && refusal.Ran == "unknown"):
		return nil, &retryError{refusal}
	}
	return nil, refusal
}

// lost judges a call whose answer did not come. One that must not be repeated
// is repeated only if no connection came about.
func (c *Client) lost(ctx context.Context, request *call, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var network *net.OpError
	connected := !errors.As(err, &network) || network.Op != "dial"
	if request.once && connected {
		return fmt.Errorf("%s: the answer was lost: %w; look whether it took effect before sending it again", request, err)
	}
	return &retryError{err}
}

func (c *Client) message(ctx context.Context, server string, request *call) (*http.Request, error) {
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
	message, err := http.NewRequestWithContext(ctx, request.method, target.String(), bytes.NewReader(request.body))
	if err != nil {
		return nil, err
	}
	if request.contentType != "" {
		message.Header.Set("Content-Type", request.contentType)
	}
	if c.token != "" {
		message.Header.Set("Authorization", "Bearer "+c.token)
	}
	return message, nil
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
