// Package routes implements the routing configuration: which service serves a
// request for a host and path, and with which limits and timeouts. Operators
// replace the whole document; the highest version is in force, and the content of
// a version never changes.
//
// The package does no I/O; callers pass random numbers in.
package routes

import "time"

// Kind determines how requests of a route are executed and whether they may be
// repeated.
type Kind string

// Kinds of routes.
const (
	Idempotent    Kind = "idempotent"     // may run more than once
	NonIdempotent Kind = "non_idempotent" // runs at most once
	Streaming     Kind = "streaming"      // answered by a stream of events
	Batch         Kind = "batch"          // accepts jobs, whose items run later
)

// Document is one version of all routes and services.
type Document struct {
	Version  uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint,omitempty"`
	Services []Service `cbor:"3,keyasint,omitempty"`
	Limits   Limits    `cbor:"4,keyasint"`
	// Source is the document as its operator sent it. Reads return it unchanged,
	// including fields that this version of the program does not know.
	Source []byte `cbor:"5,keyasint,omitempty"`
	// RequiresKey requires callers to present a key of one of Teams, except on
	// routes that allow anonymous requests.
	RequiresKey bool   `cbor:"6,keyasint,omitempty"`
	Teams       []Team `cbor:"7,keyasint,omitempty"`
}

// Route defines how requests for a host and path prefix are served.
type Route struct {
	Name   string  `cbor:"1,keyasint"`
	Host   string  `cbor:"2,keyasint"`
	Prefix string  `cbor:"3,keyasint"` // path prefix; the longest match applies
	Kind   Kind    `cbor:"4,keyasint"`
	Split  []Share `cbor:"5,keyasint"` // by service; at least one weight is above zero

	Timeout       time.Duration `cbor:"6,keyasint"`           // longest time that a request waits
	TargetLatency time.Duration `cbor:"7,keyasint,omitempty"` // until the answer or, for a stream, its first event
	Priority      int           `cbor:"8,keyasint,omitempty"` // 0 is served first
	MaxAttempts   int           `cbor:"9,keyasint"`           // maximum number of upstreams that a request is sent to
	Resumable     bool          `cbor:"10,keyasint,omitempty"`
	MaxEventGap   time.Duration `cbor:"11,keyasint,omitempty"` // maximum time between events of a healthy stream

	Anonymous bool `cbor:"15,keyasint,omitempty"` // requests need no key

	// The following fields apply to batch routes.
	CompletionTarget time.Duration `cbor:"12,keyasint,omitempty"` // time within which a job should have all results
	GiveUpAfter      time.Duration `cbor:"13,keyasint,omitempty"` // time after which items without a result may end
	QuotaTokens      uint64        `cbor:"14,keyasint,omitempty"` // limit of a team's waiting tokens; 0 means no limit
}

// Share is a service's share of a route's requests.
type Share struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// Service is a group of equivalent upstreams.
type Service struct {
	Name           string  `cbor:"1,keyasint"`
	HealthPath     string  `cbor:"2,keyasint,omitempty"`
	MaxConnections int     `cbor:"3,keyasint,omitempty"` // connections that one upstream accepts in total
	Engine         *Engine `cbor:"4,keyasint,omitempty"` // nil: a plain service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int `cbor:"1,keyasint,omitempty"`
	MemoryTokens int `cbor:"2,keyasint,omitempty"` // capacity for running requests and cached prompts
	// CanMove means that a run can be stopped and resumed from its saved memory, on
	// the same replica or another one.
	CanMove bool `cbor:"3,keyasint,omitempty"`
}

// Limits limits the size and the duration of callers' requests.
type Limits struct {
	HeaderBytes   int           `cbor:"1,keyasint,omitempty"`
	BodyBytes     int64         `cbor:"2,keyasint,omitempty"`
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout   time.Duration `cbor:"4,keyasint,omitempty"`
}

// Repeatable reports whether a request of the route may run more than once.
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
