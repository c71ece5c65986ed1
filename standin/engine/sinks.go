package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// QueuedHeader is 1 in a response if the request had to wait for a slot, else 0.
const QueuedHeader = "Slateway-Queued"

func setQueued(header http.Header, queued bool) {
	value := "0"
	if queued {
		value = "1"
	}
	header.Set(QueuedHeader, value)
}

// bufferedWriter collects the answer to a non-streaming request.
type bufferedWriter struct {
	header http.Header
	text   strings.Builder
}

func (a *bufferedWriter) admitted(queued bool) error {
	setQueued(a.header, queued)
	return nil
}

func (a *bufferedWriter) writeToken(_ int, text string) error {
	a.text.WriteString(text)
	return nil
}

// eventWriter sends an answer as server-sent events and flushes after each.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	request *request
	format  responseFormat
	started bool
}

// admitted sends the response headers, which notify the gate that the request runs.
func (e *eventWriter) admitted(queued bool) error {
	e.started = true
	setQueued(e.w.Header(), queued)
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-cache")
	e.w.WriteHeader(http.StatusOK)
	return e.control.Flush()
}

func (e *eventWriter) writeToken(n int, text string) error {
	return e.write(e.chunk(choice{}, text, n))
}

// finish sends the events after the last token: the finish reason, the usage if it
// was requested, and [DONE].
func (e *eventWriter) finish(tokens int, reason string) {
	if e.write(e.chunk(choice{FinishReason: finishReason(reason)}, "", tokens)) != nil {
		return
	}
	if e.request.includeUsage {
		total := e.request.completion(e.format.chunkObject)
		total.Choices = []choice{}
		total.Usage = e.request.usageOf(tokens)
		if e.write(total) != nil {
			return
		}
	}
	_ = e.send([]byte("[DONE]"))
}

func (e *eventWriter) chunk(part choice, text string, token int) completion {
	chunk := e.request.completion(e.format.chunkObject)
	e.format.setText(&part, text, true)
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
