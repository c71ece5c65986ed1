package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// QueuedHeader is 1 in an answer whose request had to wait for a slot, else 0.
const QueuedHeader = "Slateway-Queued"

func setQueued(header http.Header, queued bool) {
	value := "0"
	if queued {
		value = "1"
	}
	header.Set(QueuedHeader, value)
}

// wholeAnswer collects an answer that is sent in one piece.
type wholeAnswer struct {
	header http.Header
	text   strings.Builder
}

func (a *wholeAnswer) admitted(queued bool) error {
	setQueued(a.header, queued)
	return nil
}

func (a *wholeAnswer) token(_ int, text string) error {
	a.text.WriteString(text)
	return nil
}

// eventWriter sends an answer as server-sent events and flushes each.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	request *request
	shape   shape
	started bool
}

// admitted sends the headers: they tell the gate that the request runs.
func (e *eventWriter) admitted(queued bool) error {
	e.started = true
	setQueued(e.w.Header(), queued)
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-cache")
	e.w.WriteHeader(http.StatusOK)
	return e.control.Flush()
}

func (e *eventWriter) token(n int, text string) error {
	return e.write(e.chunk(choice{}, text, n))
}

// finish sends the last events of a stream after its last token.
func (e *eventWriter) finish(tokens int, reason string) {
	if e.write(e.chunk(choice{FinishReason: finishReason(reason)}, "", tokens)) != nil {
		return
	}
	if e.request.usage {
		total := e.request.completion(e.shape.chunkObject)
		total.Choices = []choice{}
		total.Usage = e.request.usageOf(tokens)
		if e.write(total) != nil {
			return
		}
	}
	_ = e.send([]byte("[DONE]"))
}

func (e *eventWriter) chunk(part choice, text string, token int) completion {
	chunk := e.request.completion(e.shape.chunkObject)
	e.shape.fill(&part, text, true)
	chunk.Choices = []choice{part}
	chunk.Slateway = &progress{Token: token}
	return chunk
}

func (e *eventWriter) write(event completion) error {
	encoded, err := json.Marshal(event)
	if err != nil {
		return err
	}
	return e.send(encoded)
}

func (e *eventWriter) send(data []byte) error {
	if _, err := fmt.Fprintf(e.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return e.control.Flush()
}
