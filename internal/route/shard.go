package route

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/share"
	"slateway.example/slateway/internal/upstream"
)

// Shard makes the decisions for one service. It is not safe for concurrent use.
type Shard struct {
	config Config
	rng    *rand.Rand
	now    time.Time // time of the current input

	table   *upstream.Table
	crashes *upstream.CrashRecords
	parts   *crash.Ledger // of prompts
	hints   *upstream.CacheHints

	gates         []Gate
	ownerGates    ownerGates // of gates
	scores        ownerScores
	expectedGates int // number of gates in the fleet, including unknown ones

	// The lists of replicas are in order of their IDs.
	replicas []*replica
	active   []*replica // those that a tick visits, and some that no longer need it
	expired  []*replica // no longer announced, to be removed when their attempts have ended
	local    []*replica // in the gate's own place, accepting work
	remote   []*replica // in other places, accepting work
	owned    []*replica // owned by this gate, accepting work
	byPlace  map[string][]*replica
	moved    []*replica // changed their place after the choice of their owner; in any order
	reported []*replica // with load reports of other gates
	mine     []*replica // owned by this gate
	// localHashes are the hashes of the local replicas in the same order. Each request
	// with a prefix reads all of them, which is quick because they lie together.
	localHashes []uint64
	// slowStarting are the replicas whose slow start has not been seen to end.
	slowStarting []*replica
	stale        []*replica // those to be added to or removed from local, remote and owned; in any order

	requests        map[string]*request
	attempts        map[AttemptID]*attempt
	copies          map[upstream.Fingerprint]*copyState
	teams           map[string]*teamState
	onlineQueue     waitQueue // online requests without an attempt
	batchQueue      waitQueue // batch items without an attempt
	othersReported  reportedLoad
	backlog         backlogState
	builds          map[string]*knownBuild // builds of the service
	newBuildUntil   time.Time              // no build is new any more
	buildsCheckedAt time.Time
	partsCheckedAt  time.Time
	tellsPace       bool // some replica of the service has told its pace
	heard           heardReplicas
	lastBatchItem   *request      // the batch item that was dispatched last
	reservations    []reservation // online requests that wait for an owner's acknowledgement, in order of their start

	budget         retryBudget
	answerTime     delayMeter // of whole online answers
	firstTokenTime delayMeter
	tokenGap       delayMeter // between two events of a stream
	itemRunTime    delayMeter // time on replicas from the start to the end of a batch item
	eventTime      delayMeter // mean time for each event of a stream, of replicas that tell their pace
	serviceTime    delayMeter // time of a whole answer without events, of replicas that tell their pace
	onlineRunning  int        // live online attempts and reservations
	overdueRunning int        // those of overdue requests
	readySlots     int        // of all replicas that are ready and not leaving
	nextAttempt    AttemptID
	draining       bool

	// noRoom is the need for which this step found no replica; it is forgotten when the
	// load or the lists of replicas change.
	noRoom struct {
		found bool
		need  need
	}

	outputs []Output
	delays  bool // the outputs of this step wait until other gates know of crashes
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
	owed             bool // an item that is tried whatever speaks against its parts
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
	lost             lostRequest   // its attempt on that replica
	reservationTries int           // owners that were asked for a slot
	heldError        *apierr.Error // final error, held until the probe ends; nil: the request is retried
	shareTeam        *share.Team   // its team among the waiting online requests
	teamQueue        *teamQueue    // where it waits; nil: it does not wait as an online request
	shareCharged     bool          // its team has been charged for its start
	origin           origin        // the build that wrote its events
	isTrial          bool          // it is the trial of the condemned part trialOf
	trialOf          crash.Part
	unassignedSince  time.Time // since when this gate owns no replica for this waiting batch item
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
	build          string // of the process to which it was sent, as known then
	doubted        bool   // that process may have been replaced
	unidentified   bool   // that process is to be identified when the answer begins
	started        time.Time
	lastProgress   time.Time // when anything last arrived
	firstAt        time.Time // when the first token arrived
	firstToken     int       // its number; larger than 1 if the attempt continues an answer
	tokens         int
	unsent         bool       // it waits until other gates know of crashes
	flowRecorded   bool       // its answer has flowed for a while
	toldPace       float64    // the replica's pace as told with the answer; 0: it told none
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
	s := &Shard{
		config:      config,
		rng:         rng,
		table:       table,
		parts:       crash.NewLedger(config.CrashRule),
		hints:       upstream.NewCacheHints(),
		requests:    make(map[string]*request),
		attempts:    make(map[AttemptID]*attempt),
		copies:      make(map[upstream.Fingerprint]*copyState),
		teams:       make(map[string]*teamState),
		builds:      make(map[string]*knownBuild),
		byPlace:     make(map[string][]*replica),
		budget:      newRetryBudget(config.RetryShare, config.RetryReserve),
		onlineQueue: waitQueue{fair: &fairOrder{scheduler: share.NewScheduler()}},
	}
	s.crashes = upstream.NewCrashRecords(config.CrashLifetime, table.NextVersion, s.explainsCrash)
	return s
}

// Step applies an input at time now and returns the outputs to carry out. The slice is
// valid until the next Step.
func (s *Shard) Step(now time.Time, in Input) []Output {
	s.now = now
	s.outputs = s.outputs[:0]
	s.delays = false
	s.noRoom.found = false
	s.dropOldReports()
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
	Pace                      float64       // expected time of work there, relative to the usual
}

// Load returns the current estimate of a replica's load.
func (s *Shard) Load(id upstream.ReplicaID) LoadView {
	view := LoadView{Waiting: s.onlineQueue.len() + s.batchQueue.len()}
	r := s.replica(id)
	if r == nil {
		return view
	}
	view.Slots, view.Online, view.Batch = s.slots(r), r.online, r.batch
	view.Pace = s.paceOf(r)
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
	Pace          upstream.Pace // newest that the gate knows
	Distrusted    bool          // its pace is ignored: its answers do not show it
}

// HasReplicas reports whether any replica is known.
func (s *Shard) HasReplicas() bool { return len(s.replicas) > len(s.expired) }

// Replicas returns all replicas in order of their IDs.
func (s *Shard) Replicas() []ReplicaView {
	views := make([]ReplicaView, 0, len(s.replicas))
	for _, r := range s.replicas {
		if !r.expired {
			views = append(views, ReplicaView{
				Entry: r.entry, Suspect: r.health == suspect,
				Online: r.online, Batch: r.batch, Owner: r.owner,
				Pace: s.knownPace(r), Distrusted: s.now.Before(r.pace.distrustedUntil),
			})
		}
	}
	return views
}
