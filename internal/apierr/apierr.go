// Package apierr holds the typed errors that callers, upstreams and operators
// see. Each names its reason, whether the request ran, when to come back and
// what to do about it.
package apierr

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind groups reasons by how a client reacts; it decides the HTTP status.
type Kind string

// Kinds of errors.
const (
	Invalid      Kind = "invalid"      // the request is wrong as it stands: 400
	Unauthorized Kind = "unauthorized" // no team has this token: 401
	NotFound     Kind = "not_found"    // no such object: 404
	Conflict     Kind = "conflict"     // the object changed meanwhile: 409
	TooLarge     Kind = "too_large"    // over a size limit: 413
	Refused      Kind = "refused"      // final, asking again does not help: 422
	Overloaded   Kind = "overloaded"   // over a rate or queue limit: 429
	Internal     Kind = "internal"     // a defect or a failed disk: 500
	BadUpstream  Kind = "bad_upstream" // the upstream failed while it ran: 502
	Unavailable  Kind = "unavailable"  // nothing can serve it now: 503
	Deadline     Kind = "deadline"     // the deadline passed: 504
)

// Ran says whether any upstream may have executed the request.
type Ran string

// Values of Ran. RanNo is a promise: no upstream received the request.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// Reason names one cause of a refusal or retry. Each has its own counter.
type Reason string

// Error is a refusal or failure as a client sees it.
type Error struct {
	Kind    Kind
	Reason  Reason
	Message string // what happened, with the values concerned
	Remedy  string // what the client or operator can do about it
	Ran     Ran
	// RetryAfter is how long to wait before asking again; zero means that
	// asking again does not help.
	RetryAfter time.Duration
}

// Error gives the message followed by its remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return fmt.Sprintf("%s; %s", e.Message, e.Remedy)
}

// New makes an Error for a request that was not run.
func New(kind Kind, reason Reason, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Reason: reason, Message: fmt.Sprintf(format, args...), Remedy: remedy, Ran: RanNo}
}

// WithRetryAfter returns a copy of e that asks the client to come back after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	copied := *e
	copied.RetryAfter = d
	return &copied
}

// WithRan returns a copy of e with another statement about execution.
func (e *Error) WithRan(ran Ran) *Error {
	copied := *e
	copied.Ran = ran
	return &copied
}

// From finds the Error that err wraps, or makes an Internal one whose outcome
// is unknown.
func From(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return &Error{
		Kind:    Internal,
		Reason:  "internal",
		Message: err.Error(),
		Remedy:  "see the daemon's log under the request ID",
		Ran:     RanUnknown,
	}
}

// ReasonOf gives the reason of the Error that err wraps, "internal" otherwise.
func ReasonOf(err error) Reason { return From(err).Reason }

// HTTPStatus gives the status code of a kind.
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
