package engine

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// statusCancelled is the response status of a non-streaming request that was
// cancelled, and of a streaming one that was cancelled before it got a slot.
const statusCancelled = 499

// responseFormat holds what differs between the responses to chat and text
// completions.
type responseFormat struct {
	object      string
	chunkObject string
	setText     func(c *choice, text string, streaming bool)
}

var chatFormat = responseFormat{
	object:      "chat.completion",
	chunkObject: "chat.completion.chunk",
	setText: func(c *choice, text string, streaming bool) {
		if streaming {
			c.Delta = &answerMessage{Content: text}
			return
		}
		c.Message = &answerMessage{Role: "assistant", Content: text}
	},
}

var textFormat = responseFormat{
	object:      "text_completion",
	chunkObject: "text_completion",
	setText:     func(c *choice, text string, _ bool) { c.Text = &text },
}

type completion struct {
	ID       string    `json:"id"`
	Object   string    `json:"object"`
	Created  int64     `json:"created"`
	Model    string    `json:"model"`
	Choices  []choice  `json:"choices"`
	Usage    *usage    `json:"usage,omitempty"`
	Slateway *progress `json:"slateway,omitempty"`
}

type choice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *answerMessage `json:"delta,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// progress holds the number of tokens of the answer so far, including those before
// resume_from.
type progress struct {
	Token int `json:"token"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) { e.serve(w, r, chatFormat) }
func (e *Engine) serveText(w http.ResponseWriter, r *http.Request) { e.serve(w, r, textFormat) }

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, format responseFormat) {
	req, err := e.readRequest(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	if !e.hasModel(req.model) {
		writeError(w, http.StatusNotFound, "model_not_found", fmt.Sprintf("model %q is not loaded on this engine", req.model))
		return
	}
	ctx, done := e.track(r.Context(), req.id)
	defer done()
	w.Header().Set(RequestIDHeader, req.id)
	r = r.WithContext(ctx)
	if req.stream {
		e.serveStream(w, r, req, format)
		return
	}
	e.serveBuffered(w, r, req, format)
}

// serveBuffered sends the answer as one JSON response. The answer to a resumed
// request contains only the tokens after resume_from.
func (e *Engine) serveBuffered(w http.ResponseWriter, r *http.Request, req *request, format responseFormat) {
	buffered := &bufferedWriter{header: w.Header()}
	tokens, err := e.generate(r.Context(), req, buffered)
	if errors.Is(err, errCancelled) {
		writeError(w, statusCancelled, "cancelled", fmt.Sprintf("the request was cancelled after %d tokens", tokens))
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	answer := req.completion(format.object)
	last := choice{FinishReason: finishReason("length")}
	format.setText(&last, buffered.text.String(), false)
	answer.Choices = []choice{last}
	answer.Usage = req.usageOf(tokens)
	answer.Slateway = &progress{Token: tokens}
	writeJSON(w, http.StatusOK, answer)
}

// serveStream sends the answer as server-sent events with one token each.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, req *request, format responseFormat) {
	events := &eventWriter{w: w, control: http.NewResponseController(w), request: req, format: format}
	tokens, err := e.generate(r.Context(), req, events)
	switch {
	case err == nil:
		events.finish(tokens, "length")
	case errors.Is(err, errCancelled) && !events.started:
		writeError(w, statusCancelled, "cancelled", "the request was cancelled before it got a slot")
	case errors.Is(err, errCancelled):
		events.finish(tokens, "cancelled")
	default:
		panic(http.ErrAbortHandler)
	}
}

// completion returns a response object without choices.
func (r *request) completion(object string) completion {
	return completion{ID: "cmpl-" + r.id, Object: object, Created: time.Now().Unix(), Model: r.model}
}

// usageOf returns the token counts of an answer. It counts each word of the prompt as
// one token.
func (r *request) usageOf(tokens int) *usage {
	prompt := len(strings.Fields(r.prompt))
	return &usage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens}
}

func finishReason(reason string) *string { return &reason }
