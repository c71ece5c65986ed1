package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes of requests.
const (
	Answered  Outcome = "answered"  // the complete answer to this request was received
	Refused   Outcome = "refused"   // refused with a reason
	CutOff    Outcome = "cut off"   // the answer started and did not complete
	Failed    Outcome = "failed"    // no answer
	Wrong     Outcome = "wrong"     // not the answer to this request, or malformed
	NotSent   Outcome = "not sent"  // the generator had too many open requests
	Abandoned Outcome = "abandoned" // the run ended before the answer
)

// Result is the result of one request. Times count from its intended arrival.
type Result struct {
	Arrival    time.Duration // intended, since the start of the run
	FirstToken time.Duration // zero if there was no token
	Total      time.Duration
	Gaps       []time.Duration // between tokens
	Tokens     int
	Outcome    Outcome
	Reason     string // of any outcome but Answered
	Retries    int    // failed connection attempts before the result
}

// Client sends streaming requests to gates in turn. It tries the next gate only if it
// cannot connect to one.
type Client struct {
	Targets []string // IP:port
	Token   string   // bearer token of the team
	HTTP    *http.Client
	// Check reports whether a text is the complete answer to a request. It may be nil.
	Check func(request *Request, text string) bool

	next atomic.Uint64
}

// NewClient creates a Client with a connection pool of its own.
func NewClient(targets []string, token string, check func(*Request, string) bool) *Client {
	return &Client{
		Targets: targets,
		Token:   token,
		Check:   check,
		HTTP: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 1024,
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
}

// chatRequest is a chat completion request of the OpenAI API.
type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Stream sends a request and reads its answer. intended is when the request should have
// been sent.
func (c *Client) Stream(ctx context.Context, intended time.Time, request *Request) Result {
	encoded, err := json.Marshal(chatRequest{
		Model:     request.Model,
		Stream:    true,
		MaxTokens: request.MaxTokens,
		Messages:  []chatMessage{{Role: "user", Content: request.Prompt}},
	})
	if err != nil {
		return Result{Outcome: Failed, Reason: err.Error()}
	}
	var result Result
	response, err := c.send(ctx, encoded, &result)
	if err != nil {
		result.recordFailure(ctx, Failed, err)
	} else {
		c.readAnswer(ctx, intended, request, response, &result)
		response.Body.Close()
	}
	result.Total = time.Since(intended)
	return result
}

// send posts the request to the first gate that it can connect to. Each call starts with
// the next gate.
func (c *Client) send(ctx context.Context, encoded []byte, result *Result) (*http.Response, error) {
	first := int(c.next.Add(1))
	var lastErr error
	for i := range c.Targets {
		target := c.Targets[(first+i)%len(c.Targets)]
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/chat/completions", bytes.NewReader(encoded))
		if err != nil {
			return nil, err
		}
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Authorization", "Bearer "+c.Token)
		response, err := c.HTTP.Do(request)
		if err == nil {
			return response, nil
		}
		lastErr = err
		var network *net.OpError
		if !errors.As(err, &network) || network.Op != "dial" {
			return nil, err
		}
		result.Retries++
	}
	return nil, lastErr
}

// chunk is one event of a streamed answer.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *refusal `json:"error"`
}

type refusal struct {
	Message string `json:"message"`
	Reason  string `json:"reason"`
	Code    string `json:"code"`
}

func (r *refusal) reason() string {
	if r.Reason != "" {
		return r.Reason
	}
	return r.Code
}

func (c *Client) readAnswer(ctx context.Context, intended time.Time, request *Request, response *http.Response, result *Result) {
	if response.StatusCode != http.StatusOK {
		result.recordRefusal(response)
		return
	}
	var text strings.Builder
	last := intended
	events := bufio.NewScanner(response.Body)
	for events.Scan() {
		data, ok := strings.CutPrefix(events.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.checkAnswer(c.Check, request, text.String())
			return
		}
		var event chunk
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			result.recordFailure(ctx, Wrong, err)
			return
		}
		if event.Error != nil {
			result.Outcome = CutOff
			result.Reason = event.Error.reason()
			return
		}
		if len(event.Choices) == 0 || event.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		result.recordToken(now.Sub(intended), now.Sub(last))
		last = now
		text.WriteString(event.Choices[0].Delta.Content)
	}
	err := events.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	result.recordFailure(ctx, CutOff, err)
}

// recordToken records a token that was received at a time since the arrival and a gap
// after the previous token.
func (r *Result) recordToken(sinceArrival, gap time.Duration) {
	r.Tokens++
	if r.Tokens == 1 {
		r.FirstToken = sinceArrival
		return
	}
	r.Gaps = append(r.Gaps, gap)
}

func (r *Result) checkAnswer(check func(*Request, string) bool, request *Request, text string) {
	r.Outcome = Answered
	if check != nil && !check(request, text) {
		r.Outcome = Wrong
		r.Reason = "another answer"
	}
}

func (r *Result) recordRefusal(response *http.Response) {
	var parsed struct {
		Error refusal `json:"error"`
	}
	_ = json.NewDecoder(response.Body).Decode(&parsed)
	r.Outcome = Refused
	r.Reason = parsed.Error.reason()
	if r.Reason == "" {
		r.Reason = fmt.Sprint(response.StatusCode)
	}
}

func (r *Result) recordFailure(ctx context.Context, outcome Outcome, err error) {
	r.Outcome = outcome
	r.Reason = failureReason(err)
	if ctx.Err() != nil {
		r.Outcome = Abandoned
		r.Reason = "run ended"
	}
}

// failureReason returns a description of err without addresses, so that errors of the
// same kind are counted together.
func failureReason(err error) string {
	var network *net.OpError
	var timeout net.Error
	switch {
	case errors.As(err, &network):
		return network.Op + " error"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed"
	}
	return "error"
}
