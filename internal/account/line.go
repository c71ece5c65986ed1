// Package account reads the log lines of a site's processes and says what became of
// each request: served in time or, if not, by which one cause. It joins the lines of
// a request by its ID, and those of a batch item over all gates that ran it.
package account

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Messages of the log lines that are read.
const (
	msgServing   = "serving"
	msgRouted    = "request routed"
	msgAttempt   = "attempt"
	msgFailed    = "attempt failed"
	msgStopped   = "attempt stopped"
	msgAnswered  = "request answered"
	msgRefused   = "request refused"
	msgBrokenOff = "answer broken off"
	msgLeft      = "caller left"
	msgItemEnds  = "item ends"
)

// duration is a time.Duration as log lines write it, such as 1.5s.
type duration time.Duration

// UnmarshalJSON reads a duration; what is none makes the line unreadable.
func (d *duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = duration(parsed)
	return err
}

// line is what is read of a log line.
type line struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Request  string    `json:"request_id"`
	Job      string    `json:"job"` // of an item's lines that name it by its own ID
	VM       string    `json:"vm"`
	Route    string    `json:"route"`
	Target   duration  `json:"target"`   // until when the first event is of full use
	MaxPause duration  `json:"pause"`    // between events, of full use
	Waited   duration  `json:"waited"`   // the caller, before this request
	Upstream string    `json:"upstream"` // a replica
	Queued   duration  `json:"queued"`   // in the gate, before the attempt
	Resume   bool      `json:"resume"`   // the attempt goes on where the last one was
	Reason   string    `json:"reason"`
	After    duration  `json:"after"`
	Status   int       `json:"status"` // of an answer
	First    duration  `json:"first"`  // from the request to the first event; 0: it was no stream
	Pause    duration  `json:"longest_pause"`
	Outcome  string    `json:"outcome"` // of an item
	Late     duration  `json:"late"`    // an item, after its job was due
}

// maxLineBytes bounds a line; the longest of the product have a few KB.
const maxLineBytes = 1 << 20

// LineError is a line that is none of the product's.
type LineError struct {
	File    string `json:"file"`
	Number  int    `json:"number"` // from 1
	Problem string `json:"problem"`
}

func (e LineError) Error() string {
	return fmt.Sprintf("%s:%d: not a log line of slatewayd: %s", e.File, e.Number, e.Problem)
}

var errNoMessage = errors.New("it has no time or no message")

// read gives the lines of a file to take, and those that cannot be read to foreign.
// A last line without its end is one of these: its process was stopped in it.
func read(name string, from io.Reader, take func(*line), foreign func(LineError)) error {
	reader := bufio.NewReaderSize(from, maxLineBytes)
	for number := 1; ; number++ {
		text, err := reader.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			foreign(LineError{name, number, err.Error()})
			if err := skipLine(reader); err != nil {
				return ignoreEnd(err)
			}
			continue
		case len(text) == 0 && err != nil:
			return ignoreEnd(err)
		}
		var read line
		if err := decode(text, &read); err != nil {
			foreign(LineError{name, number, err.Error()})
			continue
		}
		take(&read)
	}
}

func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func ignoreEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func decode(text []byte, into *line) error {
	if err := json.Unmarshal(text, into); err != nil {
		return err
	}
	if into.Message == "" || into.Time.IsZero() {
		return errNoMessage
	}
	return nil
}
