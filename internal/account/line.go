// Package account analyses the logs of a site's processes. It determines for each
// request whether it was served in time and, if not, the one cause. It joins the lines
// of a request by its ID, and those of a batch item across all gates that ran it.
package account

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Messages of the log lines that are evaluated.
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

// duration is a time.Duration in the format of log lines, such as 1.5s.
type duration time.Duration

// UnmarshalJSON parses a duration. A value in another format makes the line
// unreadable.
func (d *duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = duration(parsed)
	return err
}

// line holds the fields of a log line that are evaluated.
type line struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Request  string    `json:"request_id"`
	Job      string    `json:"job"` // in lines whose request_id is the item's own ID
	VM       string    `json:"vm"`
	Route    string    `json:"route"`
	Target   duration  `json:"target"`   // target for the time until the first event
	MaxPause duration  `json:"pause"`    // target for the time between two events
	Waited   duration  `json:"waited"`   // how long the caller had tried before this request
	Upstream string    `json:"upstream"` // the replica
	Queued   duration  `json:"queued"`   // time in the gate's queue before the attempt
	Resume   bool      `json:"resume"`   // the attempt resumes where the previous one ended
	Reason   string    `json:"reason"`
	After    duration  `json:"after"`
	Status   int       `json:"status"` // HTTP status of the answer
	First    duration  `json:"first"`  // time from the request to the first event; 0 if not a stream
	Pause    duration  `json:"longest_pause"`
	Outcome  string    `json:"outcome"` // outcome of an item
	Late     duration  `json:"late"`    // by how much an item missed its job's deadline
}

// maxLineBytes is the maximum length of a line; slatewayd's longest have a few KB.
const maxLineBytes = 1 << 20

// LineError reports a line that is not a log line of slatewayd.
type LineError struct {
	File    string `json:"file"`
	Number  int    `json:"number"` // from 1
	Problem string `json:"problem"`
}

func (e LineError) Error() string {
	return fmt.Sprintf("%s:%d: not a log line of slatewayd: %s", e.File, e.Number, e.Problem)
}

var errNoMessage = errors.New("it has no time or no message")

// read passes the lines of a file to take, and unreadable lines to foreign. Unreadable
// lines include an incomplete last line, left by a process that was stopped while
// writing it.
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
