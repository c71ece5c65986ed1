package engine

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// statusCancelled answers a plain request that was cancelled.
const statusCancelled = 499

// shape is what differs between chat and text completions.
type shape struct {
	object      string
	chunkObject string
	fill        func(c *choice, text string, streaming bool)
}

var chatShape = shape{
	object:      "chat.completion",
	chunkObject: "chat.completion.chunk",
	fill: func(c *choice, text string, streaming bool) {
		if streaming {
			c.Delta = &answerMessage{Content: text}
			return
		}
		c.Message = &answerMessage{Role: "assistant", Content: text}
	},
}

var textShape = shape{
	object:      "text_completion",
	chunkObject: "text_completion",
	fill:        func(c *choice, text string, _ bool) { c.Text = &text },
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

// progress counts the tokens of the whole answer so far, resumed ones too.
type progress struct {
	Token int `json:"token"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) { e.serve(w, r, chatShape) }
func (e *Engine) serveText(w http.ResponseWriter, r *http.Request) { e.serve(w, r, textShape) }

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, shape shape) {
	req, err := e.readRequest(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	if !e.hasModel(req.model) {
		writeError(w, http.StatusNotFound, "model_not_found", fmt.Sprintf("model %q is not loaded here", req.model))
		return
	}
	ctx, done := e.track(r.Context(), req.id)
	defer done()
	w.Header().Set(RequestIDHeader, req.id)
	r = r.WithContext(ctx)
	if req.stream {
		e.serveStream(w, r, req, shape)
		return
	}
	e.servePlain(w, r, req, shape)
}

// servePlain answers in one piece. A resumed request is answered with the
// tokens after resume_from only.
func (e *Engine) servePlain(w http.ResponseWriter, r *http.Request, req *request, shape shape) {
	whole := &wholeAnswer{header: w.Header()}
	tokens, err := e.generate(r.Context(), req, whole)
	if errors.Is(err, errCancelled) {
		writeError(w, statusCancelled, "cancelled", fmt.Sprintf("cancelled after %d tokens", tokens))
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	answer := req.completion(shape.object)
	last := choice{FinishReason: finishReason("length")}
	shape.fill(&last, whole.text.String(), false)
	answer.Choices = []choice{last}
	answer.Usage = req.usageOf(tokens)
	answer.Slateway = &progress{Token: tokens}
	writeJSON(w, http.StatusOK, answer)
}

// serveStream answers with server-sent events, one token each.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, req *request, shape shape) {
	events := &eventWriter{w: w, control: http.NewResponseController(w), request: req, shape: shape}
	tokens, err := e.generate(r.Context(), req, events)
	switch {
	case err == nil:
		events.finish(tokens, "length")
	case errors.Is(err, errCancelled) && !events.started:
		writeError(w, statusCancelled, "cancelled", "cancelled before it got a slot")
	case errors.Is(err, errCancelled):
		events.finish(tokens, "cancelled")
	default:
		panic(http.ErrAbortHandler)
	}
}

func (r *request) completion(object string) completion {
	return completion{ID: "cmpl-" + r.id, Object: object, Created: time.Now().Unix(), Model: r.model}
}

// usageOf counts a prompt's words as its tokens.
func (r *request) usageOf(tokens int) *usage {
	prompt := len(strings.Fields(r.prompt))
	return &usage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens}
}

func finishReason(reason string) *string { return &reason }
