package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"slateway.example/slateway/standin/announce"
)

// Headers of the engine protocol.
const (
	RequestIDHeader      = "Slateway-Request-Id"
	ItemIDHeader         = "Slateway-Item-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
)

// maxBody is the size limit of a request body in bytes.
const maxBody = 8 << 20

// request is a parsed completion request.
type request struct {
	id             string
	itemID         string
	idempotencyKey string

	model         string
	prompt        string
	maxTokens     int
	stream        bool
	includeUsage  bool
	resumeFrom    int
	triggersCrash bool
}

// completionBody holds the fields of OpenAI chat and text completion requests that the
// engine uses.
type completionBody struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Slateway struct {
		ResumeFrom int    `json:"resume_from"`
		Prefix     string `json:"prefix"`
	} `json:"slateway"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// readRequest parses a chat or text completion request. Its error is sent to the
// caller.
func (e *Engine) readRequest(r *http.Request) (*request, error) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return nil, err
	}
	var body completionBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, err
	}
	req := &request{
		id:             r.Header.Get(RequestIDHeader),
		itemID:         r.Header.Get(ItemIDHeader),
		idempotencyKey: r.Header.Get(IdempotencyKeyHeader),
		model:          body.Model,
		prompt:         body.promptText(),
		maxTokens:      e.tokenLimit(&body),
		stream:         body.Stream,
		includeUsage:   body.StreamOptions.IncludeUsage,
		resumeFrom:     body.Slateway.ResumeFrom,
	}
	if req.id == "" {
		req.id = uuid.NewString()
	}
	req.triggersCrash = e.options.CrashMarker != "" && bytes.Contains(raw, []byte(e.options.CrashMarker))
	return req, e.validateResume(req, body.Slateway.Prefix)
}

// validateResume checks resume_from and the prefix that was already received.
func (e *Engine) validateResume(req *request, prefix string) error {
	switch {
	case req.resumeFrom == 0:
		return nil
	case !e.options.CanResume:
		return errors.New("this engine cannot resume an answer; send the request without resume_from")
	case req.resumeFrom < 0 || req.resumeFrom > req.maxTokens:
		return fmt.Errorf("resume_from %d is outside the answer's range of 0 to %d tokens", req.resumeFrom, req.maxTokens)
	case prefix != Answer(req.prompt, req.resumeFrom):
		return fmt.Errorf("prefix does not match the first %d tokens of the answer to this request", req.resumeFrom)
	}
	return nil
}

// tokenLimit returns the number of tokens to generate.
func (e *Engine) tokenLimit(body *completionBody) int {
	switch {
	case body.MaxCompletionTokens > 0:
		return body.MaxCompletionTokens
	case body.MaxTokens > 0:
		return body.MaxTokens
	}
	return e.options.MaxTokens
}

// promptText returns the contents of all messages joined by newlines, or the prompt if
// there are no messages.
func (b *completionBody) promptText() string {
	if len(b.Messages) == 0 {
		return stringOrRaw(b.Prompt)
	}
	contents := make([]string, len(b.Messages))
	for i, message := range b.Messages {
		contents[i] = stringOrRaw(message.Content)
	}
	return strings.Join(contents, "\n")
}

// stringOrRaw returns the value of a JSON string, and any other JSON unchanged.
func stringOrRaw(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// newRunEntry returns a RunEntry for a run that starts now.
func (r *request) newRunEntry() *RunEntry {
	return &RunEntry{
		RequestID:      r.id,
		ItemID:         r.itemID,
		IdempotencyKey: r.idempotencyKey,
		Prompt:         r.prompt[:min(len(r.prompt), maxLoggedPrompt)],
		ResumeFrom:     r.resumeFrom,
		Started:        time.Now(),
	}
}

// hasModel reports whether a model is loaded. wanted is a name or name@version.
func (e *Engine) hasModel(wanted string) bool {
	return slices.ContainsFunc(e.Models(), func(model announce.Model) bool {
		return wanted == model.Name || wanted == model.Name+"@"+model.Version
	})
}

// decodeJSON decodes the request body into target. On failure it sends an error
// response and returns false.
func decodeJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(target); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_json", err.Error())
		return false
	}
	return true
}
