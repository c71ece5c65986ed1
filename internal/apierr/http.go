package apierr

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Body is the JSON body of an error response: the format of the OpenAI API with
// additional fields.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error object of a Body.
type BodyError struct {
	Message      string `json:"message"`
	Type         string `json:"type"` // the kind
	Code         Reason `json:"code"` // the reason, in the field that OpenAI clients read
	Reason       Reason `json:"reason"`
	Ran          Ran    `json:"ran"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Remedy       string `json:"remedy,omitempty"`
}

// BodyOf returns the body of the error response for e.
func BodyOf(e *Error) Body {
	return Body{Error: BodyError{
		Message:      e.Message,
		Type:         string(e.Kind),
		Code:         e.Reason,
		Reason:       e.Reason,
		Ran:          e.Ran,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		Remedy:       e.Remedy,
	}}
}

// JSON returns the encoded body of the error response.
func (e *Error) JSON() []byte {
	data, err := json.Marshal(BodyOf(e))
	if err != nil {
		panic(err) // cannot happen: strings and a number can always be encoded
	}
	return data
}

// SetRetryAfter sets the Retry-After header, in whole seconds, if a retry may help.
func SetRetryAfter(header http.Header, e *Error) {
	if e.RetryAfter <= 0 {
		return
	}
	seconds := math.Ceil(e.RetryAfter.Seconds())
	header.Set("Retry-After", strconv.Itoa(int(seconds)))
}

// WriteHTTP writes err as an HTTP response: the status of its kind, a Retry-After
// header if a retry may help, and the JSON body.
func WriteHTTP(w http.ResponseWriter, err error) {
	known := From(err)
	w.Header().Set("Content-Type", "application/json")
	SetRetryAfter(w.Header(), known)
	w.WriteHeader(known.Kind.HTTPStatus())
	_, _ = w.Write(known.JSON())
}

// ParseHTTP decodes the body of an error response. It returns nil if data is not such
// a body.
func ParseHTTP(data []byte) *Error {
	var body Body
	if json.Unmarshal(data, &body) != nil || body.Error.Reason == "" {
		return nil
	}
	return &Error{
		Kind:       Kind(body.Error.Type),
		Reason:     body.Error.Reason,
		Message:    body.Error.Message,
		Remedy:     body.Error.Remedy,
		Ran:        body.Error.Ran,
		RetryAfter: time.Duration(body.Error.RetryAfterMS) * time.Millisecond,
	}
}
