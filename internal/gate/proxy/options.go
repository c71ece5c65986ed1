// Package proxy forwards requests to upstreams. It runs one routing state machine
// for each service, behind a lock of its own, executes the decisions of package
// route, reports their results back to it, and forwards answers to callers.
package proxy

import (
	"context"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/framing"
	"slateway.example/slateway/internal/gate/buffers"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// Headers between gates and upstreams.
const (
	// HeaderRequestID identifies the request. Engines echo it, so that an answer is
	// never forwarded to another caller.
	HeaderRequestID = "Slateway-Request-Id"
	// HeaderDeadline is the time left to answer, in whole milliseconds. It is
	// relative because the clocks of two VMs may differ.
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

// Metrics counts reasons and records durations.
type Metrics interface {
	Count(name string)
	Observe(name string, d time.Duration)
}

// Names of the durations passed to Metrics.Observe.
const (
	MetricFirstToken = "online_first_token" // arrival of the request to the first byte of its answer
	MetricAnswer     = "online_answer"      // arrival of the request to its last byte
	MetricBatchItem  = "batch_item"         // start of a batch item to its result
	MetricCancel     = "batch_yield"        // request to cancel an attempt to the engine's confirmation
	MetricShareWait  = "share.wait"         // wait of an online request in the gate's queue before its first attempt
)

// Names of counters, in addition to the reasons of package route.
const (
	CountOnlineOffered = "online_offered"
	CountOnlineDone    = "online_done"
	CountBatchStarted  = "batch_started"
	CountBatchDone     = "batch_done"
)

// Options configures a Router. Self and Place are required.
type Options struct {
	Self  string // the gate's ID
	Place string // the gate's place
	Seed  uint64 // for random choices of replicas

	Route   route.Config // limits and delays of each shard; Self and Place are set by New
	Policy  route.Policy // the default for batch items
	Metrics Metrics
	Log     *zap.Logger // logs each decision on a request; nil: none

	// SendReports sends load reports to the owner gates of the replicas that this
	// gate uses. It is required unless this gate is the only one.
	SendReports SendReports
	// StreamBegan records the build that has written the first event of a stream for its
	// caller. If it is not certain, the build is not known. It must not block.
	StreamBegan func(service, request, build string, certain bool)
	// BroadcastCrashes sends crash records and records of parts of prompts to the live gates. It
	// returns when they have received them or ctx has ended, with the records that they answered.
	BroadcastCrashes func(ctx context.Context, service string, crashes []upstream.CrashRecord, parts []crash.Record) []crash.Record
	// ReportParts sends records of parts to the control VMs; nil: there are none. It must not
	// block.
	ReportParts func(service string, parts []crash.Record)

	// Probe checks whether the process at an address is alive; nil: by requesting
	// PathLoad.
	Probe func(ctx context.Context, address string) ProbeResult

	BroadcastTimeout time.Duration // limits BroadcastCrashes
	TickEvery        time.Duration
	DialTimeout      time.Duration
	// UnackedTimeout is how long sent bytes may remain unacknowledged by the other
	// VM before the connection is closed; 0: the system's default of many minutes.
	UnackedTimeout time.Duration
	ProbeTimeout   time.Duration
	MaxAnswerBytes int // limits the buffered part of an answer
	MaxEventBytes  int // limits one event of a stream, as received
	MaxHeadBytes   int // limits the head of an upstream's answer

	// Memory accounts for the bytes held for callers and items; nil: without a limit.
	Memory *buffers.Account
	// UnreadBytes is how much of a stream may wait for its caller before the gate stops
	// reading from the replica, and UnreadTimeout how long a caller may then read nothing
	// until its response ends.
	UnreadBytes   int
	UnreadTimeout time.Duration

	DefaultTimeout time.Duration
}

// Defaults of Options.
const (
	defaultBroadcastTimeout = 250 * time.Millisecond
	defaultTickEvery        = 25 * time.Millisecond
	defaultDialTimeout      = time.Second
	defaultProbeTimeout     = 400 * time.Millisecond
	defaultMaxAnswerBytes   = 16 << 20
	defaultMaxEventBytes    = 256 << 10
	defaultTimeout          = 60 * time.Second
	defaultUnreadBytes      = 256 << 10
	defaultUnreadTimeout    = 3 * time.Second
)

type noMetrics struct{}

func (noMetrics) Count(string)                  {}
func (noMetrics) Observe(string, time.Duration) {}

func (o Options) withDefaults() Options {
	setDefault(&o.BroadcastTimeout, defaultBroadcastTimeout)
	setDefault(&o.TickEvery, defaultTickEvery)
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.ProbeTimeout, defaultProbeTimeout)
	setDefault(&o.MaxAnswerBytes, defaultMaxAnswerBytes)
	setDefault(&o.MaxEventBytes, defaultMaxEventBytes)
	setDefault(&o.MaxHeadBytes, framing.DefaultLimits().Head)
	setDefault(&o.DefaultTimeout, defaultTimeout)
	setDefault(&o.UnreadBytes, defaultUnreadBytes)
	setDefault(&o.UnreadTimeout, defaultUnreadTimeout)
	if o.Memory == nil {
		o.Memory = buffers.New(buffers.Options{Log: o.Log})
	}
	setDefault(&o.Policy, route.TailPolicy())
	if o.Metrics == nil {
		o.Metrics = noMetrics{}
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.StreamBegan == nil {
		o.StreamBegan = func(string, string, string, bool) {}
	}
	if o.BroadcastCrashes == nil {
		o.BroadcastCrashes = func(context.Context, string, []upstream.CrashRecord, []crash.Record) []crash.Record { return nil }
	}
	if o.ReportParts == nil {
		o.ReportParts = func(string, []crash.Record) {}
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
