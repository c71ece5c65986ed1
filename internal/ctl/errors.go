package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Exit codes of slatectl.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitNotFound    = 4
	ExitUnavailable = 5
	ExitRefused     = 6
)

// UsageError reports that slatectl was called with wrong arguments or flags.
type UsageError struct {
	Message string
}

func (e *UsageError) Error() string { return e.Message }

// APIError is a refusal or failure returned by a server.
type APIError struct {
	Status     int // HTTP status
	Reason     string
	Message    string
	Remedy     string
	Ran        string        // "no" or "unknown"
	RetryAfter time.Duration // zero if a retry does not help
}

func (e *APIError) Error() string {
	text := e.Message
	if e.Reason != "" {
		text += " (" + e.Reason + ")"
	}
	if e.Remedy != "" {
		text += "; " + e.Remedy
	}
	return text
}

// UnreachableError reports that no server could serve a call.
type UnreachableError struct {
	Call    string // method and path
	Servers []string
	Last    error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%s: none of %s could serve the call: %v; check --server or increase --retry-for",
		e.Call, strings.Join(e.Servers, ", "), e.Last)
}

func (e *UnreachableError) Unwrap() error { return e.Last }

// errorBody is the body of an error response.
type errorBody struct {
	Error *struct {
		Message      string          `json:"message"`
		Code         json.RawMessage `json:"code"`
		Reason       string          `json:"reason"`
		Ran          string          `json:"ran"`
		RetryAfterMS int64           `json:"retry_after_ms"`
		Remedy       string          `json:"remedy"`
	} `json:"error"`
}

// parseAPIError decodes the body of an error response. It returns nil if the body is
// not in slateway's format, for example from a listener that does not serve the path.
func parseAPIError(status int, body []byte) *APIError {
	var parsed errorBody
	if json.Unmarshal(body, &parsed) != nil || parsed.Error == nil {
		return nil
	}
	reason := parsed.Error.Reason
	if reason == "" {
		reason = strings.Trim(string(parsed.Error.Code), `"`)
	}
	return &APIError{
		Status:     status,
		Reason:     reason,
		Message:    parsed.Error.Message,
		Remedy:     parsed.Error.Remedy,
		Ran:        parsed.Error.Ran,
		RetryAfter: time.Duration(parsed.Error.RetryAfterMS) * time.Millisecond,
	}
}

// retryable reports whether a retry at another server, or later, may succeed.
func (e *APIError) retryable() bool {
	switch e.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusGatewayTimeout:
		return true
	}
	return e.RetryAfter > 0
}

// isNotFound reports whether err means that an object does not exist.
func isNotFound(err error) bool {
	var refusal *APIError
	return errors.As(err, &refusal) && refusal.Status == http.StatusNotFound
}

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	var usage *UsageError
	var refusal *APIError
	var unreachable *UnreachableError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &refusal):
		return refusal.exitCode()
	case errors.As(err, &unreachable):
		return ExitUnavailable
	}
	return ExitFailed
}

func (e *APIError) exitCode() int {
	switch e.Status {
	case http.StatusConflict:
		return ExitConflict
	case http.StatusNotFound:
		return ExitNotFound
	case http.StatusBadGateway, http.StatusInternalServerError:
		return ExitFailed
	}
	if e.retryable() {
		return ExitUnavailable
	}
	return ExitRefused
}
