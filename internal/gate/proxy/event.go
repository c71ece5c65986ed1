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
	Raw  []byte // as it is passed on, with the empty line at its end
	Done bool   // the answer is whole with it
	// Token is the number of the event, or of the last token in it; 0 when it has
	// none.
	Token int
	Text  string
	// Numbered: events are numbered one by one, so that one is missing if its
	// number does not follow the last.
	Numbered bool

	chunk chunk
	err   json.RawMessage // the engine's error object
}

// repeats says whether the event tells what the first tokens told already:
// the opening event of a resumed stream, or a token that came twice.
func (e *Event) repeats(tokens int) bool {
	switch {
	case tokens == 0 || e.Done:
		return false
	case e.Numbered:
		return e.Token <= tokens
	case e.Text == "":
		return !e.chunk.closes()
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

// closes says whether the chunk ends the text or reports its usage.
func (c *chunk) closes() bool {
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
// engine: it has its last event but is not whole.
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
	// ErrMalformed says that what came is not of the protocol, so that the
	// connection cannot be trusted.
	ErrMalformed = errors.New("the stream holds an event that is not one of the protocol")
	errTooLong   = errors.New("the answer is longer than the gate holds")
)

// eventReader reads the events of a stream (server-sent events).
type eventReader struct {
	lines  *bufio.Reader
	tokens int // counted here when the engine does not count
}

// readBuffer is the size of a stream's read buffer; most events are shorter.
const readBuffer = 4096

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(body, readBuffer)}
}

// Next reads the next event. A stream that ends before its last event gives
// errTruncated.
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
		return e, nil // a comment that keeps the connection alive
	}
	if bytes.Equal(data, doneMarker) {
		e.Done = true
		return e, nil
	}
	if err := json.Unmarshal(data, &e.chunk); err != nil {
		return nil, ErrMalformed
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

// tokenOf gives the engine's token count or, when it does not count, one for
// each event with text.
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
