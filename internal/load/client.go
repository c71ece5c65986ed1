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

// Outcome says how a request ended for its caller.
type Outcome string

// Outcomes of requests.
const (
	Answered  Outcome = "answered"  // the whole answer, and the request's own
	Refused   Outcome = "refused"   // a typed refusal
	CutOff    Outcome = "cut off"   // the answer began and did not end
	Failed    Outcome = "failed"    // no answer at all
	Wrong     Outcome = "wrong"     // not the answer to this request
	NotSent   Outcome = "not sent"  // the generator had too many open
	Abandoned Outcome = "abandoned" // the run ended first
)

// Result is what one request came to. Times count from its intended arrival.
type Result struct {
	Arrival    time.Duration // intended, from the start of the run
	FirstToken time.Duration // zero without a token
	Total      time.Duration
	Gaps       []time.Duration // between tokens
	Tokens     int
	Outcome    Outcome
	Reason     string // of a refusal or failure
	Retries    int    // further gates that were tried
}

// Client sends streaming requests to gates in turn. It goes on to the next
// gate only if no connection came about.
type Client struct {
	Targets []string // IP:port
	Token   string   // bearer token of the team
	HTTP    *http.Client
	// Check says whether a text is the whole answer to a request. May be nil.
	Check func(request *Request, text string) bool

	next atomic.Uint64
}

// NewClient makes a Client with connections of its own.
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

// body is a chat completion in OpenAI's form.
type body struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Stream sends a request and reads its answer. intended is when it should have
// been sent.
func (c *Client) Stream(ctx context.Context, intended time.Time, request *Request) Result {
	encoded, err := json.Marshal(body{
		Model:     request.Model,
		Stream:    true,
		MaxTokens: request.MaxTokens,
		Messages:  []message{{Role: "user", Content: request.Prompt}},
	})
	if err != nil {
		return Result{Outcome: Failed, Reason: err.Error()}
	}
	var result Result
	response, err := c.send(ctx, encoded, &result)
	if err != nil {
		result.fail(ctx, Failed, err)
	} else {
		c.read(ctx, intended, request, response, &result)
		response.Body.Close()
	}
	result.Total = time.Since(intended)
	return result
}

// send posts to the gates in turn, from a different one each time.
func (c *Client) send(ctx context.Context, encoded []byte, result *Result) (*http.Response, error) {
	first := int(c.next.Add(1))
	var last error
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
		last = err
		var network *net.OpError
		if !errors.As(err, &network) || network.Op != "dial" {
			return nil, err
		}
		result.Retries++
	}
	return nil, last
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

func (c *Client) read(ctx context.Context, intended time.Time, request *Request, response *http.Response, result *Result) {
	if response.StatusCode != http.StatusOK {
		result.refuse(response)
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
			result.judge(c.Check, request, text.String())
			return
		}
		var event chunk
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			result.fail(ctx, Wrong, err)
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
		result.token(now.Sub(intended), now.Sub(last))
		last = now
		text.WriteString(event.Choices[0].Delta.Content)
	}
	err := events.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	result.fail(ctx, CutOff, err)
}

// token notes a token at a time since the arrival, and gap after the last one.
func (r *Result) token(sinceArrival, gap time.Duration) {
	r.Tokens++
	if r.Tokens == 1 {
		r.FirstToken = sinceArrival
		return
	}
	r.Gaps = append(r.Gaps, gap)
}

func (r *Result) judge(check func(*Request, string) bool, request *Request, text string) {
	r.Outcome = Answered
	if check != nil && !check(request, text) {
		r.Outcome = Wrong
		r.Reason = "another answer"
	}
}

func (r *Result) refuse(response *http.Response) {
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

func (r *Result) fail(ctx context.Context, outcome Outcome, err error) {
	r.Outcome = outcome
	r.Reason = failureReason(err)
	if ctx.Err() != nil {
		r.Outcome = Abandoned
		r.Reason = "run ended"
	}
}

// failureReason groups errors whose texts differ by address.
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
