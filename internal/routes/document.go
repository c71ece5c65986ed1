// Package routes holds the aggregate of routes: which service answers a request
// by its host and path, and on what terms. Operators replace the whole document;
// the highest version holds, and the content under a version never changes.
//
// It is a decision package: randomness is passed in, and nothing here does I/O.
package routes

import "time"

// Kind says what may be repeated of a route's requests.
type Kind string

// Kinds of routes.
const (
	Idempotent    Kind = "idempotent"     // may run more than once
	NonIdempotent Kind = "non_idempotent" // runs once at most
	Streaming     Kind = "streaming"      // answered by a stream of events
	Batch         Kind = "batch"          // takes jobs, whose items run later
)

// Document is one version of all routes and services.
type Document struct {
	Version  uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint,omitempty"`
	Services []Service `cbor:"3,keyasint,omitempty"`
	Limits   Limits    `cbor:"4,keyasint"`
	// Source is the document as its operator sent it. Readers get it back byte
	// by byte, with what this version of the program does not know.
	Source []byte `cbor:"5,keyasint,omitempty"`
	// RequiresKey: callers show a key of one of Teams, but for routes that allow
	// anonymous requests.
	RequiresKey bool   `cbor:"6,keyasint,omitempty"`
	Teams       []Team `cbor:"7,keyasint,omitempty"`
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name   string  `cbor:"1,keyasint"`
	Host   string  `cbor:"2,keyasint"`
	Prefix string  `cbor:"3,keyasint"` // of the path; the longest that fits is taken
	Kind   Kind    `cbor:"4,keyasint"`
	Split  []Share `cbor:"5,keyasint"` // services, at least one with a weight above zero

	Timeout       time.Duration `cbor:"6,keyasint"`           // longest time a request is kept waiting
	TargetLatency time.Duration `cbor:"7,keyasint,omitempty"` // to the answer or, of a stream, its first event
	Priority      int           `cbor:"8,keyasint,omitempty"` // 0 goes first
	MaxAttempts   int           `cbor:"9,keyasint"`           // upstreams that one request may be sent to
	Resumable     bool          `cbor:"10,keyasint,omitempty"`
	LongestPause  time.Duration `cbor:"11,keyasint,omitempty"` // between the events of a stream on time

	Anonymous bool `cbor:"15,keyasint,omitempty"` // requests need no key

	// Of batch routes.
	CompletionTarget time.Duration `cbor:"12,keyasint,omitempty"` // after which all results of a job are late
	GiveUpAfter      time.Duration `cbor:"13,keyasint,omitempty"` // after which items without a result may end
	QuotaTokens      uint64        `cbor:"14,keyasint,omitempty"` // of one team that may wait; 0: no bound
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// Service is a group of like upstreams.
type Service struct {
	Name           string  `cbor:"1,keyasint"`
	HealthPath     string  `cbor:"2,keyasint,omitempty"`
	MaxConnections int     `cbor:"3,keyasint,omitempty"` // that one upstream takes from all callers
	Engine         *Engine `cbor:"4,keyasint,omitempty"` // nil: a plain service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int `cbor:"1,keyasint,omitempty"`
	MemoryTokens int `cbor:"2,keyasint,omitempty"` // of running requests and cached prompts together
	// Moves: a run can be stopped and go on from its memory, there or elsewhere.
	Moves bool `cbor:"3,keyasint,omitempty"`
}

// Limits bound what a caller may send, and how slowly.
type Limits struct {
	HeaderBytes   int           `cbor:"1,keyasint,omitempty"`
	BodyBytes     int64         `cbor:"2,keyasint,omitempty"`
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout   time.Duration `cbor:"4,keyasint,omitempty"`
}

// Repeatable says whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	switch r.Kind {
	case Idempotent, Batch:
		return true
	case Streaming:
		return r.Resumable
	default:
		return false
	}
}
