package api

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/job"
)

// Reasons for refusing a part.
const (
	ReasonBadLine   apierr.Reason = "bad_line"
	ReasonEmptyPart apierr.Reason = "empty_part"
)

// itemLine is one line of a part, in the format of OpenAI batch files.
type itemLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"` // POST or empty
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// parseItems parses the NDJSON lines of a part. If a line is invalid, the whole part
// is refused with that line's number, so that the caller can correct and resend it.
func parseItems(body io.Reader, limits Limits) ([]job.Item, error) {
	lines := bufio.NewScanner(http.MaxBytesReader(nil, io.NopCloser(body), limits.MaxPartBytes))
	lines.Buffer(make([]byte, 0, 64<<10), limits.MaxItemBytes)
	var items []job.Item
	for number := 1; lines.Scan(); number++ {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		item, err := parseItem(line)
		if err != nil {
			return nil, badLineError(number, err)
		}
		items = append(items, item)
	}
	if err := lines.Err(); err != nil {
		return nil, partReadError(err, len(items)+1, limits)
	}
	if len(items) == 0 {
		return nil, apierr.New(apierr.Invalid, ReasonEmptyPart, "send at least one line", "the part has no items")
	}
	return items, nil
}

func partReadError(err error, line int, limits Limits) error {
	if errors.Is(err, bufio.ErrTooLong) {
		return apierr.New(apierr.TooLarge, ReasonBadLine,
			"shorten it or ask the operators to raise limits.max_item_bytes; no item of the part was accepted",
			"line %d is over the limit of %d bytes", line, limits.MaxItemBytes)
	}
	return err
}

func badLineError(number int, err error) error {
	return apierr.New(apierr.Invalid, ReasonBadLine,
		"correct the line and send the part again; none of its items was accepted", "line %d: %v", number, err)
}

func parseItem(line []byte) (job.Item, error) {
	var parsed itemLine
	if err := json.Unmarshal(line, &parsed); err != nil {
		return job.Item{}, err
	}
	switch {
	case parsed.Method != "" && parsed.Method != http.MethodPost:
		return job.Item{}, errors.New("method must be POST")
	case !strings.HasPrefix(parsed.URL, "/"):
		return job.Item{}, errors.New(`url must be a path, such as "/v1/chat/completions"`)
	case len(parsed.Body) == 0 || parsed.Body[0] != '{':
		return job.Item{}, errors.New("body must be a JSON object")
	}
	return job.Item{CustomID: parsed.CustomID, Endpoint: parsed.URL, Body: bytes.Clone(parsed.Body)}, nil
}

// resultJSON is one line of results.
type resultJSON struct {
	Index    uint32           `json:"index"`
	CustomID string           `json:"custom_id"`
	Status   string           `json:"status"` // succeeded, failed or unknown
	Attempt  int              `json:"attempt"`
	Response *responseJSON    `json:"response,omitempty"`
	Error    *resultLineError `json:"error,omitempty"`
}

type responseJSON struct {
	StatusCode int             `json:"status_code"`
	Body       json.RawMessage `json:"body"`
}

type resultLineError struct {
	Reason  apierr.Reason `json:"reason"`
	Message string        `json:"message"`
}

func resultLine(stored *job.StoredResult) resultJSON {
	line := resultJSON{
		Index:    stored.Item,
		CustomID: stored.CustomID,
		Status:   string(stored.Outcome),
		Attempt:  stored.Attempt,
	}
	if len(stored.Body) > 0 {
		line.Response = &responseJSON{StatusCode: stored.Status, Body: asJSON(stored.Body)}
	}
	if stored.Reason != "" {
		line.Error = &resultLineError{Reason: stored.Reason, Message: stored.Message}
	}
	return line
}

// asJSON returns body unchanged if it is valid JSON, else encoded as a JSON string.
func asJSON(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	text, err := json.Marshal(string(body))
	if err != nil {
		return json.RawMessage("null")
	}
	return text
}
