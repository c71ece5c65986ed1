package proxy

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// Event is one event of a stream.
type Event struct {
	Raw  []byte // as forwarded, including the empty line at its end
	Done bool   // last event of a complete answer
	// Unconfirmed reports that the end of the connection alone stands for Done. The answer is
	// complete only if the process that wrote it still runs (see package framing).
	Unconfirmed bool
	// Token is the number of the event, or of the last token in it; 0 if it has
	// none.
	Token int
	Text  string
	// Numbered is set if events are numbered consecutively, so that a gap in the
	// numbers means a missing event.
	Numbered bool

	chunk chunk
	err   json.RawMessage // the engine's error object
}

// isDuplicate reports whether the event's content is among the first tokens: the
// opening event of a resumed stream, or a token received twice.
func (e *Event) isDuplicate(tokens int) bool {
	switch {
	case tokens == 0 || e.Done:
		return false
	case e.Numbered:
		return e.Token <= tokens
	case e.Text == "":
		return !e.chunk.isFinal()
	default:
		return e.Token > 0 && e.Token <= tokens
	}
}

// chunk is the part of an event's data that the gate reads.
type chunk struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
	Error   json.RawMessage `json:"error"`
	Gate    struct {
		Token int `json:"token"`
	} `json:"slateway"`
}

type chunkChoice struct {
	Text  string `json:"text"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// isFinal reports whether the chunk ends the text or reports its usage.
func (c *chunk) isFinal() bool {
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		return true
	}
	for _, choice := range c.Choices {
		if choice.FinishReason != nil {
			return true
		}
	}
	return false
}

// finishCancelled is the finish reason of a stream that was cancelled at the
// engine. Such a stream has its last event but is incomplete.
const finishCancelled = "cancelled"

func (c *chunk) cancelled() bool {
	for _, choice := range c.Choices {
		if choice.FinishReason != nil && *choice.FinishReason == finishCancelled {
			return true
		}
	}
	return false
}

var (
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// Errors of a stream.
var (
	errTruncated = errors.New("the stream ended before its last event")
	// ErrMalformedEvent means that the data violates the protocol, so that the
	// connection cannot be trusted.
	ErrMalformedEvent = errors.New("the stream contains an event that violates the protocol")
	errTooLong        = errors.New("the answer exceeds the gate's buffer for one answer")
	errEventTooLong   = errors.New("the stream has more bytes without the end of an event than one may have")
)

// eventReader reads a stream of server-sent events.
type eventReader struct {
	lines  *bufio.Reader
	tokens int // counted here if the engine does not number tokens
}

// readBuffer is the size of a stream's read buffer; most events are shorter.
const readBuffer = 4096

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(body, readBuffer)}
}

// Next returns the next event, or errTruncated if the stream ends before its last
// event.
func (r *eventReader) Next() (*Event, error) {
	var raw []byte
	for {
		line, err := r.lines.ReadBytes('\n')
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = errTruncated
			}
			return nil, err
		}
		content := bytes.TrimRight(line, "\r\n")
		switch {
		case len(content) > 0:
			raw = append(raw, line...)
		case len(raw) > 0:
			return r.parse(append(raw, '\n'))
		}
	}
}

func (r *eventReader) parse(raw []byte) (*Event, error) {
	e := &Event{Raw: raw}
	data := dataOf(raw)
	if len(data) == 0 {
		return e, nil // a keep-alive comment
	}
	if bytes.Equal(data, doneMarker) {
		e.Done = true
		return e, nil
	}
	if err := json.Unmarshal(data, &e.chunk); err != nil {
		return nil, ErrMalformedEvent
	}
	e.err = e.chunk.Error
	if e.err == nil && e.chunk.cancelled() {
		e.err = json.RawMessage(`"the request was cancelled"`)
	}
	if len(e.chunk.Choices) > 0 {
		e.Text = e.chunk.Choices[0].Text + e.chunk.Choices[0].Delta.Content
	}
	e.Token = r.tokenOf(e)
	return e, nil
}

// tokenOf returns the engine's token number. If the engine does not number tokens,
// each event with text counts as one.
func (r *eventReader) tokenOf(e *Event) int {
	if e.chunk.Gate.Token > 0 {
		return e.chunk.Gate.Token
	}
	if e.Text == "" {
		return 0
	}
	r.tokens++
	return r.tokens
}

func dataOf(raw []byte) []byte {
	var data []byte
	for line := range bytes.Lines(raw) {
		if after, found := bytes.CutPrefix(line, dataField); found {
			data = append(data, bytes.TrimSpace(after)...)
		}
	}
	return data
}
