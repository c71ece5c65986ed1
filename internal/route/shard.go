package route

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/upstream"
)

// Shard makes the decisions for one service. It is not safe for concurrent use.
type Shard struct {
	config Config
	rng    *rand.Rand
	now    time.Time // time of the current input

	table   *upstream.Table
	crashes *upstream.CrashRecords
	hints   *upstream.CacheHints
	gates   []Gate

	expectedGates int // number of gates in the fleet, including unknown ones

	replicas []*replica // in order of their IDs
	local    []*replica // in the gate's own place, accepting work
	remote   []*replica // in other places, accepting work
	owned    []*replica // owned by this gate, accepting work
	stale    bool       // local, remote and owned must be rebuilt

	requests       map[string]*request
	attempts       map[AttemptID]*attempt
	copies         map[upstream.Fingerprint]*copyState
	teams          map[string]*teamState
	onlineQueue    waitQueue // online requests without an attempt
	batchQueue     waitQueue // batch items without an attempt
	othersReported reportedLoad
	lastBatchItem  *request      // the batch item that was dispatched last
	reservations   []reservation // online requests that wait for an owner's acknowledgement, in order of their start

	budget         retryBudget
	answerTime     delayMeter // of whole online answers
	firstTokenTime delayMeter
	tokenGap       delayMeter // between two events of a stream
	itemRunTime    delayMeter // time on replicas from the start to the end of a batch item
	onlineRunning  int        // live online attempts and reservations
	nextAttempt    AttemptID
	draining       bool

	outputs []Output
}

// request is a request without a final answer.
type request struct {
	Request
	arrived          time.Time
	liveAttempts     []*attempt
	tried            int  // replicas that may have run it
	declined         int  // attempts that provably did not run
	tokens           int  // reached by the attempts so far
	delivered        bool // the caller has part of the answer
	maybeRan         bool // some attempt reached a replica
	avoid            []upstream.ReplicaID
	runTime          time.Duration // time on replicas in attempts that have ended
	stalls           int           // how often its answer was resumed after a stall
	overdue          bool          // it missed its target while it waited
	queuedAt         time.Time     // when it was queued; zero: it is not queued
	aheadInQueue     int           // requests ahead of it when it was queued
	notBefore        time.Time
	nextKind         DispatchKind  // kind of the next dispatch
	replicaDied      bool          // a replica died while running it
	tokensAtDeath    int           // tokens reached at that time
	awaitedReplica   *replica      // the probe of this replica must end before the next attempt
	awaitingSince    time.Time     // when that wait began
	reservationTries int           // owners that were asked for a slot
	heldError        *apierr.Error // final error, held until the probe ends; nil: the request is retried
	unassignedSince  time.Time     // since when this gate owns no replica for this waiting batch item
}

func (r *request) avoidReplica(id upstream.ReplicaID) {
	if !slices.Contains(r.avoid, id) {
		r.avoid = append(r.avoid, id)
	}
}

// attempt is one attempt of a request on one replica.
type attempt struct {
	id             AttemptID
	req            *request
	replica        *replica
	started        time.Time
	lastProgress   time.Time // when anything last arrived
	tokens         int
	paused         bool       // the gate reads nothing from the replica for now
	wasPaused      bool       // its events after a pause arrive faster than the replica makes them
	queued         bool       // may have to wait for a slot of the replica
	handoverTarget *replica   // replica that is asked to take over the run; nil: none
	disconnected   bool       // its connection ended during the handover
	handoverOffers []*replica // replicas that were asked to take over the run
}

// NewShard returns a shard. The same config, seed and inputs produce the same outputs.
func NewShard(config Config, rng *rand.Rand) *Shard {
	config = config.WithDefaults()
	table := upstream.NewTable(config.EntryLifetime)
	return &Shard{
		config:   config,
		rng:      rng,
		table:    table,
		crashes:  upstream.NewCrashRecords(config.CrashLifetime, table.NextVersion),
		hints:    upstream.NewCacheHints(),
		requests: make(map[string]*request),
		attempts: make(map[AttemptID]*attempt),
		copies:   make(map[upstream.Fingerprint]*copyState),
		teams:    make(map[string]*teamState),
		budget:   newRetryBudget(config.RetryShare, config.RetryReserve),
	}
}

// Step applies an input at time now and returns the outputs to carry out. The slice is
// valid until the next Step.
func (s *Shard) Step(now time.Time, in Input) []Output {
	s.now = now
	s.outputs = s.outputs[:0]
	in.apply(s)
	return s.outputs
}

func (s *Shard) emit(o Output) { s.outputs = append(s.outputs, o) }

func (s *Shard) count(reason apierr.Reason) { s.emit(Count{Reason: reason}) }

func (s *Shard) replica(id upstream.ReplicaID) *replica {
	i, found := slices.BinarySearchFunc(s.replicas, id, func(r *replica, id upstream.ReplicaID) int {
		return strings.Compare(string(r.entry.Replica), string(id))
	})
	if !found {
		return nil
	}
	return s.replicas[i]
}

// Changes returns the digest of the changes after version since and the current
// version. The digest covers replicas, crash records and the load of the replicas that
// this gate owns.
func (s *Shard) Changes(since uint64) (upstream.Digest, uint64) {
	d, version := s.table.Changes(since)
	d.Crashes = s.crashes.Changes(since)
	for _, r := range s.replicas {
		if s.ownsReplica(r) && r.loadVersion > since {
			d.OwnerLoads = append(d.OwnerLoads, s.ownerLoad(r))
		}
	}
	return d, version
}

// LoadView is a shard's estimate of a replica's load.
type LoadView struct {
	Slots, Online, Batch      int // Online and Batch are of this gate
	OthersOnline, OthersBatch int
	OthersAge                 time.Duration // age of the owner's report; 0 if there is none or this gate is the owner
	Waiting                   int           // requests queued in this gate
}

// Load returns the current estimate of a replica's load.
func (s *Shard) Load(id upstream.ReplicaID) LoadView {
	view := LoadView{Waiting: s.onlineQueue.len() + s.batchQueue.len()}
	r := s.replica(id)
	if r == nil {
		return view
	}
	view.Slots, view.Online, view.Batch = s.slots(r), r.online, r.batch
	view.OthersOnline, view.OthersBatch = s.othersLoad(r)
	if !s.ownsReplica(r) && !r.ownerReportAt.IsZero() {
		view.OthersAge = s.now.Sub(r.ownerReportAt)
	}
	return view
}

// Usable reports whether any replica accepts requests.
func (s *Shard) Usable() bool {
	s.rebuild()
	return len(s.local)+len(s.remote) > 0
}

// ReplicaView is a snapshot of a shard's state for one replica.
type ReplicaView struct {
	Entry         *upstream.Entry // read only, until the next Step
	Suspect       bool
	Online, Batch int // this gate's requests on it
	Owner         string
}

// Replicas returns all replicas in order of their IDs.
func (s *Shard) Replicas() []ReplicaView {
	views := make([]ReplicaView, 0, len(s.replicas))
	for _, r := range s.replicas {
		if !r.expired {
			views = append(views, ReplicaView{
				Entry: r.entry, Suspect: r.health == suspect,
				Online: r.online, Batch: r.batch, Owner: r.owner,
			})
		}
	}
	return views
}
