// Package route decides when each request of one service runs and on which replica:
// selection, admission, retries, hedging, silent connections, requests that crash
// replicas, and batch work in the slots that online work leaves free.
//
// A Shard is deterministic. Inputs describe events; Step applies an input at a given
// time and returns the outputs that the caller must carry out. It starts no goroutines,
// reads no clock and uses only the random source that it is given.
package route

import (
	"time"

	"slateway.example/slateway/internal/crash"
)

// Config holds the limits and delays of a shard. Zero fields take the default.
type Config struct {
	Self  string // the gate's own ID
	Place string // the gate's own place

	EntryLifetime time.Duration // an upstream that is not announced for this long is dropped
	CrashLifetime time.Duration // how long a crash record is kept
	ReportLag     time.Duration // the longest lag of a replica's own load announcement

	MaxQueue        int           // online requests queued in the gate
	OutageWait      time.Duration // how long a request waits while no replica can take it
	Overcommit      float64       // online requests beyond the slots, as a share of the slots
	SpillAt         float64       // load in the gate's own place above which other places are considered
	SpillPenalty    float64       // how much lower the load of another place must be
	AffinityBound   float64       // maximum load of the preferred replica above that of the sampled one
	AffinityTries   int           // replicas in rendezvous order that affinity may use
	MaxAttempts     int           // attempts of one request, including hedges
	RetryShare      float64       // retries as a share of the offered requests
	RetryReserve    float64       // maximum saved retries; a new shard starts with a fifth of it
	BatchBackoff    time.Duration // delay before a failed batch item is retried
	HedgeMin        time.Duration // the shortest wait before a hedge; negative disables hedging
	FirstTimeout    time.Duration // an attempt without any answer for this long is silent
	TokenTimeout    time.Duration // a stream without a token for this long is silent
	ServiceTimeout  time.Duration // timeout for the answer of a plain service
	StallMin        time.Duration // a stream without an event for this long is resumed over another connection; 0: never
	ReservationWait time.Duration // how long a request waits for the owner to acknowledge its slot; 0: no reservations
	VerdictTimeout  time.Duration // how long a request whose connection broke waits for the probe of its replica
	ProbeAfter      time.Duration // an engine is probed when one of its streams is idle for this long
	ProbeMin        time.Duration // first delay between probes of a suspect replica
	ProbeMax        time.Duration // longest delay between probes
	SlowStart       time.Duration // time from recovery until a replica receives its full load

	CrashRule crash.Rule // condemns parts of prompts; nil: crash.WeighedRule

	Disabled Guards // for tests that show the failure that each guard prevents
}

// Guards disables individual protections in tests. The cases in testdata refer to the
// fields by name.
type Guards struct {
	Leaving, Probe, Silence, Poison, Holder, Trial, Copies, Preempt, Yield, Feeder, Budget, Retry, Settle, Unfed, LateShare, Backlog, Parts, Narrow bool
}

// Defaults of Config.
const (
	defaultEntryLifetime  = 7 * time.Second
	defaultCrashLifetime  = 10 * time.Minute
	defaultReportLag      = 500 * time.Millisecond
	defaultMaxQueue       = 1024
	defaultOutageWait     = 2 * time.Second
	defaultOvercommit     = 0.25
	defaultSpillAt        = 0.8
	defaultSpillPenalty   = 0.2
	defaultAffinityBound  = 0.25
	defaultAffinityTries  = 2
	defaultMaxAttempts    = 4
	defaultRetryShare     = 0.1
	defaultRetryReserve   = 100
	defaultBatchBackoff   = 200 * time.Millisecond
	defaultHedgeMin       = 500 * time.Millisecond
	defaultFirstTimeout   = 5 * time.Second
	defaultTokenTimeout   = 2 * time.Second
	defaultServiceTimeout = 30 * time.Second
	defaultVerdictTimeout = 500 * time.Millisecond
	defaultProbeAfter     = 250 * time.Millisecond
	defaultProbeMin       = 100 * time.Millisecond
	defaultProbeMax       = 2 * time.Second
	defaultSlowStart      = 5 * time.Second
)

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// WithDefaults returns a copy of c whose zero fields have their defaults.
func (c Config) WithDefaults() Config {
	orDefault(&c.EntryLifetime, defaultEntryLifetime)
	orDefault(&c.CrashLifetime, defaultCrashLifetime)
	orDefault(&c.ReportLag, defaultReportLag)
	orDefault(&c.MaxQueue, defaultMaxQueue)
	orDefault(&c.OutageWait, defaultOutageWait)
	orDefault(&c.Overcommit, defaultOvercommit)
	orDefault(&c.SpillAt, defaultSpillAt)
	orDefault(&c.SpillPenalty, defaultSpillPenalty)
	orDefault(&c.AffinityBound, defaultAffinityBound)
	orDefault(&c.AffinityTries, defaultAffinityTries)
	orDefault(&c.MaxAttempts, defaultMaxAttempts)
	orDefault(&c.RetryShare, defaultRetryShare)
	orDefault(&c.RetryReserve, defaultRetryReserve)
	orDefault(&c.BatchBackoff, defaultBatchBackoff)
	orDefault(&c.HedgeMin, defaultHedgeMin)
	orDefault(&c.FirstTimeout, defaultFirstTimeout)
	orDefault(&c.TokenTimeout, defaultTokenTimeout)
	orDefault(&c.ServiceTimeout, defaultServiceTimeout)
	orDefault(&c.VerdictTimeout, defaultVerdictTimeout)
	orDefault(&c.ProbeAfter, defaultProbeAfter)
	orDefault(&c.ProbeMin, defaultProbeMin)
	orDefault(&c.ProbeMax, defaultProbeMax)
	orDefault(&c.SlowStart, defaultSlowStart)
	return c
}

// Policy sets how a team's batch work shares replicas with online work.
type Policy struct {
	// Headroom is the share of a replica's slots in which no batch work starts. Online
	// work uses these slots before any batch work is preempted, so that single requests
	// cause no preemption.
	Headroom float64 `json:"headroom"`
	// MinFree is the number of slots that preemption keeps free.
	MinFree int `json:"min_free"`
	// Hold is how long a replica receives no new batch work after a preemption.
	Hold time.Duration `json:"hold"`
	// Pack fills the fullest replica first; otherwise batch work is spread evenly.
	Pack bool `json:"pack,omitempty"`
	// Victim chooses which batch request is preempted.
	Victim Victim `json:"victim,omitempty"`
}

// Victim is a rule that chooses the batch request to preempt.
type Victim string

// Victim rules.
const (
	VictimNewest    Victim = "newest"     // the request that started last
	VictimLeastWork Victim = "least_work" // the request with the fewest generated tokens
)

// ThroughputPolicy uses every idle slot for batch work; an online request takes its
// slot back at once.
func ThroughputPolicy() Policy {
	return Policy{Hold: 0, Victim: VictimLeastWork}
}

// TailPolicy keeps one slot of each replica free, so that an online request finds a
// slot without waiting for a preemption, and starts no batch work beyond three quarters
// of the slots.
func TailPolicy() Policy {
	return Policy{Headroom: 0.25, MinFree: 1, Hold: 50 * time.Millisecond, Victim: VictimLeastWork}
}

// headroomSlots returns the slots of a replica that new batch work leaves free.
func (p Policy) headroomSlots(slots int) int {
	share := int(p.Headroom*float64(slots) + 0.5)
	return max(share, p.MinFree)
}
