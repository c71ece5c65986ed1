// Package route decides which replica runs each request of one service, and
// when: picking, admission, retries, hedging, silent connections, poison
// requests, and batch work in the slots that online work leaves free.
//
// A Shard is deterministic. Inputs carry what happened, Step takes them with
// the time and returns what the shell has to do. It starts no goroutine, reads
// no clock and draws randomness only from the source that it is given.
package route

import "time"

// Config holds the limits and delays of a shard. Zero fields take the default.
type Config struct {
	Self  string // the gate's own ID
	Place string // the gate's own place

	EntryLifetime  time.Duration // an upstream not announced for so long is dropped
	StrikeLifetime time.Duration // a strike of a crashed replica is forgotten after it
	ReportLag      time.Duration // the longest lag of a load report

	MaxQueue       int           // online requests that wait in the gate
	OutageWait     time.Duration // how long a request waits while no replica can take it
	Overcommit     float64       // online requests beyond the slots, as a share of them
	SpillAt        float64       // load of the own place at which others are considered
	SpillPenalty   float64       // how much less loaded another place must be
	AffinityBound  float64       // load of the preferred replica over the sampled one, at most
	AffinityTries  int           // replicas in rendezvous order that affinity may use
	MaxAttempts    int           // attempts of one request, hedges included
	RetryShare     float64       // retries as a share of the offered requests
	RetryReserve   float64       // retries saved up at most; a new shard starts with a fifth of it
	BatchBackoff   time.Duration // delay before a failed batch item is tried again
	HedgeMin       time.Duration // the shortest wait before a hedge; negative turns hedging off
	FirstTimeout   time.Duration // an attempt without any answer for so long is silent
	TokenTimeout   time.Duration // a stream without a token for so long is silent
	ServiceTimeout time.Duration // the same for the answer of a plain service
	StallMin       time.Duration // a stream without an event for so long is taken up again; 0: never
	PlaceWait      time.Duration // how long a request waits for the word on its slot; 0: not at all
	VerdictTimeout time.Duration // how long a broken attempt waits for the probe of its replica
	ProbeAfter     time.Duration // an engine with a stream quiet for so long is asked whether it lives
	ProbeMin       time.Duration // first delay between probes of a suspect replica
	ProbeMax       time.Duration // longest delay between probes
	SlowStart      time.Duration // from the first request to the full load after a recovery

	Disabled Guards // for tests that show the failure each guard prevents
}

// Guards names protections that a test can switch off one by one.
type Guards struct {
	Leaving, Probe, Silence, Poison, Holder, Trial, Copies, Preempt, Yield, Feeder, Budget, Retry, Settle, Unfed, LateShare bool
}

// Defaults of Config.
const (
	defaultEntryLifetime  = 7 * time.Second
	defaultStrikeLifetime = 10 * time.Minute
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
	orDefault(&c.StrikeLifetime, defaultStrikeLifetime)
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

// Policy says how batch work of a team shares replicas with online work.
type Policy struct {
	// Headroom is the share of a replica's slots beyond which no batch starts.
	// Online work uses it up before any batch is preempted, so that single
	// requests cost no preemption.
	Headroom float64 `json:"headroom"`
	// MinFree is the number of slots that are kept free by preemption.
	MinFree int `json:"min_free"`
	// Hold is how long a replica gets no new batch after a preemption.
	Hold time.Duration `json:"hold"`
	// Pack fills the fullest replica first; otherwise batch spreads thin.
	Pack bool `json:"pack,omitempty"`
	// Victim chooses which batch request is preempted.
	Victim Victim `json:"victim,omitempty"`
}

// Victim names a rule for choosing the batch request to preempt.
type Victim string

// Rules for choosing.
const (
	VictimNewest    Victim = "newest"     // the one that started last
	VictimLeastWork Victim = "least_work" // the one with the fewest tokens generated
)

// ThroughputPolicy turns all idle slots into batch work; an online request
// takes its slot back at once.
func ThroughputPolicy() Policy {
	return Policy{Hold: 0, Victim: VictimLeastWork}
}

// TailPolicy keeps a slot of each replica free, so that an online request
// finds one without waiting for a preemption, and starts no batch beyond three
// quarters of the slots.
func TailPolicy() Policy {
	return Policy{Headroom: 0.25, MinFree: 1, Hold: 50 * time.Millisecond, Victim: VictimLeastWork}
}

// reserve gives the slots of a replica that new batch leaves free.
func (p Policy) reserve(slots int) int {
	share := int(p.Headroom*float64(slots) + 0.5)
	return max(share, p.MinFree)
}
