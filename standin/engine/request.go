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

// maxBody bounds a request's body.
const maxBody = 8 << 20

// request is one completion to generate.
type request struct {
	id             string
	itemID         string
	idempotencyKey string

	model      string
	prompt     string
	maxTokens  int
	stream     bool
	usage      bool
	resumeFrom int
	crashes    bool
}

// completionBody holds the fields of both OpenAI requests that matter here.
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

// readRequest parses a chat or text completion. Its error is for the caller.
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
		usage:          body.StreamOptions.IncludeUsage,
		resumeFrom:     body.Slateway.ResumeFrom,
	}
	if req.id == "" {
		req.id = uuid.NewString()
	}
	req.crashes = e.options.CrashMarker != "" && bytes.Contains(raw, []byte(e.options.CrashMarker))
	return req, e.checkResume(req, body.Slateway.Prefix)
}

func (e *Engine) checkResume(req *request, prefix string) error {
	switch {
	case req.resumeFrom == 0:
		return nil
	case !e.options.CanResume:
		return errors.New("this engine cannot resume; send the request without resume_from")
	case req.resumeFrom < 0 || req.resumeFrom > req.maxTokens:
		return fmt.Errorf("resume_from %d is outside the answer's %d tokens", req.resumeFrom, req.maxTokens)
	case prefix != Answer(req.prompt, req.resumeFrom):
		return fmt.Errorf("the prefix is not the first %d tokens of the answer to this request", req.resumeFrom)
	}
	return nil
}

func (e *Engine) tokenLimit(body *completionBody) int {
	switch {
	case body.MaxCompletionTokens > 0:
		return body.MaxCompletionTokens
	case body.MaxTokens > 0:
		return body.MaxTokens
	}
	return e.options.MaxTokens
}

// promptText joins the contents of all messages, or gives the prompt.
func (b *completionBody) promptText() string {
	if len(b.Messages) == 0 {
		return plainText(b.Prompt)
	}
	contents := make([]string, len(b.Messages))
	for i, message := range b.Messages {
		contents[i] = plainText(message.Content)
	}
	return strings.Join(contents, "\n")
}

// plainText gives the value of a JSON string, or other JSON as it stands.
func plainText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

func (r *request) entry() *RunEntry {
	return &RunEntry{
		RequestID:      r.id,
		ItemID:         r.itemID,
		IdempotencyKey: r.idempotencyKey,
		Prompt:         r.prompt[:min(len(r.prompt), maxLoggedPrompt)],
		ResumeFrom:     r.resumeFrom,
		Started:        time.Now(),
	}
}

// hasModel says whether a model is loaded, named alone or as name@version.
func (e *Engine) hasModel(wanted string) bool {
	return slices.ContainsFunc(e.Models(), func(model announce.Model) bool {
		return wanted == model.Name || wanted == model.Name+"@"+model.Version
	})
}

func decodeJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_json", err.Error())
		return false
	}
	return true
}
