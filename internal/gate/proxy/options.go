// Package proxy is the gate's shell around the routing decisions: it keeps a
// shard of them for each service under a lock of its own, sends requests to
// upstreams as the decisions say, reports back what happens, and passes answers
// on to their callers.
package proxy

import (
	"context"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// Headers between gates and upstreams.
const (
	// HeaderRequestID names the request; engines echo it, so that an answer is
	// never passed on to another caller.
	HeaderRequestID = "Slateway-Request-Id"
	// HeaderDeadline is the time left to answer, in whole milliseconds: clocks
	// of two VMs differ, a duration does not.
	HeaderDeadline = "Slateway-Deadline"
	// HeaderQueued is 1 in an engine's answer if the request had to wait for a
	// slot, else 0.
	HeaderQueued = "Slateway-Queued"
)

// Paths of the engine protocol.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathCancel      = "/v1/cancel"
	PathLoad        = "/v1/load"
)

// Metrics counts reasons and measures delays.
type Metrics interface {
	Count(name string)
	Observe(name string, d time.Duration)
}

// Names of the delays given to Metrics.
const (
	MetricFirstToken = "online_first_token" // arrival of the request to the first byte of its answer
	MetricAnswer     = "online_answer"      // arrival of the request to its last byte
	MetricBatchItem  = "batch_item"         // start of a batch item to its result
	MetricYield      = "batch_yield"        // decision to stop an attempt to the engine's word that it has
)

// Names of the counters beside the reasons of package route.
const (
	CountOnlineOffered = "online_offered"
	CountOnlineDone    = "online_done"
	CountBatchStarted  = "batch_started"
	CountBatchDone     = "batch_done"
)

// Options configure a Router. Self and Place are needed, the rest has defaults.
type Options struct {
	Self  string // the gate's ID
	Place string // the gate's place
	Seed  uint64 // of the random picks

	Route   route.Config // limits and delays of each shard; Self and Place are set by New
	Policy  route.Policy // for BatchRoom and for items without their own
	Metrics Metrics
	Log     *zap.Logger // of each decision on a request; nil: none

	// SendUsage tells other gates what this gate has on the replicas that they
	// feed with batch. Without it, this gate must be the only one.
	SendUsage SendUsage
	// Spread tells the live gates of strikes and returns when they know or ctx
	// has ended.
	Spread func(ctx context.Context, service string, strikes []upstream.Strike)

	// Probe finds out whether the process at an address lives; nil: by the load
	// that engines tell on PathLoad.
	Probe func(ctx context.Context, address string) ProbeResult

	SpreadTimeout time.Duration // the longest wait for Spread
	TickEvery     time.Duration
	DialTimeout   time.Duration
	// Unanswered is how long sent bytes may go without an acknowledgement of the
	// other VM before the connection is given up; 0: the system's default, which
	// is many minutes.
	Unanswered     time.Duration
	ProbeTimeout   time.Duration
	MaxAnswerBytes int // the longest answer that is held for a caller
	DefaultTimeout time.Duration
}

// Defaults of Options.
const (
	defaultSpreadTimeout  = 250 * time.Millisecond
	defaultTickEvery      = 25 * time.Millisecond
	defaultDialTimeout    = time.Second
	defaultProbeTimeout   = 400 * time.Millisecond
	defaultMaxAnswerBytes = 16 << 20
	defaultTimeout        = 60 * time.Second
)

type noMetrics struct{}

func (noMetrics) Count(string)                  {}
func (noMetrics) Observe(string, time.Duration) {}

func (o Options) withDefaults() Options {
	setDefault(&o.SpreadTimeout, defaultSpreadTimeout)
	setDefault(&o.TickEvery, defaultTickEvery)
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.ProbeTimeout, defaultProbeTimeout)
	setDefault(&o.MaxAnswerBytes, defaultMaxAnswerBytes)
	setDefault(&o.DefaultTimeout, defaultTimeout)
	setDefault(&o.Policy, route.TailPolicy())
	if o.Metrics == nil {
		o.Metrics = noMetrics{}
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Spread == nil {
		o.Spread = func(context.Context, string, []upstream.Strike) {}
	}
	o.Route.Self = o.Self
	o.Route.Place = o.Place
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
