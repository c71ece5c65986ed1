// Package apierr defines the typed errors that are returned to callers, upstreams
// and operators. Each has a reason, a remedy, whether the request may have run, and
// when to retry.
package apierr

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind groups reasons by how a client should react. It determines the HTTP status.
type Kind string

// Kinds of errors.
const (
	Invalid      Kind = "invalid"      // the request is malformed or invalid: 400
	Unauthorized Kind = "unauthorized" // no team has this token: 401
	NotFound     Kind = "not_found"    // no such object: 404
	Conflict     Kind = "conflict"     // the object changed in the meantime: 409
	TooSlow      Kind = "too_slow"     // the body did not arrive in time: 408
	TooLarge     Kind = "too_large"    // over a size limit: 413
	Refused      Kind = "refused"      // permanent, a retry does not help: 422
	Overloaded   Kind = "overloaded"   // over a rate or queue limit: 429
	Internal     Kind = "internal"     // a bug or a failed disk: 500
	BadUpstream  Kind = "bad_upstream" // the upstream failed while running the request: 502
	Unavailable  Kind = "unavailable"  // nothing can serve the request now: 503
	Deadline     Kind = "deadline"     // the deadline passed: 504
)

// Ran reports whether any upstream may have executed the request.
type Ran string

// Values of Ran. RanNo guarantees that no upstream received the request.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// Reason identifies the cause of a refusal or retry. Each reason has its own counter.
type Reason string

// Error is a refusal or failure that is returned to a client.
type Error struct {
	Kind    Kind
	Reason  Reason
	Message string // what happened, with the relevant values
	Remedy  string // what the client or operator can do about it
	Ran     Ran
	// RetryAfter is how long to wait before a retry; zero means that a retry does not
	// help.
	RetryAfter time.Duration
}

// Error returns the message followed by the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return fmt.Sprintf("%s; %s", e.Message, e.Remedy)
}

// New returns an Error for a request that was not run.
func New(kind Kind, reason Reason, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Reason: reason, Message: fmt.Sprintf(format, args...), Remedy: remedy, Ran: RanNo}
}

// WithRetryAfter returns a copy of e that asks the client to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	copied := *e
	copied.RetryAfter = d
	return &copied
}

// WithRan returns a copy of e with the given value of Ran.
func (e *Error) WithRan(ran Ran) *Error {
	copied := *e
	copied.Ran = ran
	return &copied
}

// From returns the Error that err wraps, or else an Error of kind Internal with the
// text of err and an unknown outcome.
func From(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return &Error{
		Kind:    Internal,
		Reason:  "internal",
		Message: err.Error(),
		Remedy:  "search the daemon's log for the request ID",
		Ran:     RanUnknown,
	}
}

// ReasonOf returns the reason of the Error that err wraps, or else "internal".
func ReasonOf(err error) Reason { return From(err).Reason }

// HTTPStatus returns the HTTP status code of the kind.
func (k Kind) HTTPStatus() int {
	switch k {
	case Invalid:
		return http.StatusBadRequest
	case Unauthorized:
		return http.StatusUnauthorized
	case NotFound:
		return http.StatusNotFound
	case Conflict:
		return http.StatusConflict
	case TooSlow:
		return http.StatusRequestTimeout
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case Refused:
		return http.StatusUnprocessableEntity
	case Overloaded:
		return http.StatusTooManyRequests
	case BadUpstream:
		return http.StatusBadGateway
	case Unavailable:
		return http.StatusServiceUnavailable
	case Deadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}
