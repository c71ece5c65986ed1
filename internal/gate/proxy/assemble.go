package proxy

import (
	"encoding/json"
	"net/http"
)

// answerMeta is what a stream contains in addition to its text.
type answerMeta struct {
	id      string
	created int64
	model   string
	finish  string
	usage   json.RawMessage
}

func (m *answerMeta) update(e *Event) {
	if m.id == "" {
		m.id, m.created, m.model = e.chunk.ID, e.chunk.Created, e.chunk.Model
	}
	if len(e.chunk.Usage) > 0 && string(e.chunk.Usage) != "null" {
		m.usage = e.chunk.Usage
	}
	for _, choice := range e.chunk.Choices {
		if choice.FinishReason != nil {
			m.finish = *choice.FinishReason
		}
	}
}

// completion is an unstreamed answer in the OpenAI protocol.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Message      *completionMessage `json:"message,omitempty"` // chat completions only
	Text         *string            `json:"text,omitempty"`    // text completions only
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// usage is the token count that the gate reports if the engine reported none.
type usage struct {
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Assemble builds an unstreamed answer from a stream, for a caller that did not
// ask for one.
func (f *httpProtocol) Assemble(p *Progress) (*Reply, error) {
	text := p.Text
	choice := completionChoice{FinishReason: p.meta.finish}
	answer := completion{
		ID:      p.meta.id,
		Object:  "text_completion",
		Created: p.meta.created,
		Model:   p.meta.model,
		Usage:   p.meta.usage,
	}
	if f.path == PathChat {
		answer.Object = "chat.completion"
		choice.Message = &completionMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	answer.Choices = []completionChoice{choice}
	if answer.Usage == nil {
		counted, err := json.Marshal(usage{CompletionTokens: p.Tokens, TotalTokens: p.Tokens})
		if err != nil {
			return nil, err
		}
		answer.Usage = counted
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return nil, err
	}
	return &Reply{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}, nil
}
