package route

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/upstream"
)

// Shard decides for one service. It is not safe for concurrent use.
type Shard struct {
	config Config
	rng    *rand.Rand
	at     time.Time // the time of the current input

	table   *upstream.Table
	strikes *upstream.Strikes
	hints   *upstream.CacheHints
	gates   []Gate

	expected int // gates that there are, known or not

	replicas []*replica // in the order of their IDs
	local    []*replica // of the own place, that take work
	remote   []*replica // of other places, that take work
	fed      []*replica // that this gate feeds with batch and that take work
	stale    bool       // local, remote and fed must be rebuilt

	requests map[string]*request
	attempts map[AttemptID]*attempt
	copies   map[upstream.Fingerprint]*copies
	teams    map[string]*teamState
	waiting  waitQueue // online requests without an attempt, by deadline
	batch    waitQueue // batch items without an attempt, by deadline
	known    knownLoad
	lastItem *request  // the batch item that was sent last
	placing  []placing // online requests that wait for a feeder's word, in the order of their start

	budget        retryBudget
	answer        delayMeter // of whole online answers
	firstToken    delayMeter
	tokenGap      delayMeter // between two events of a stream
	itemWork      delayMeter // of batch items: time on replicas from their start to their end
	onlineRunning int        // live online attempts
	nextAttempt   AttemptID
	draining      bool

	out []Output
}

// request is a request that has no final answer yet.
type request struct {
	Request
	arrived   time.Time
	live      []*attempt
	tried     int  // replicas that may have run it
	declined  int  // attempts that provably did not run
	tokens    int  // reached by the attempts so far
	delivered bool // the caller has part of the answer
	maybeRan  bool // some attempt reached a replica
	avoid     []upstream.ReplicaID
	worked    time.Duration // of a batch item: on replicas, in attempts that have ended
	stalls    int           // how often its answer was taken up after a stall
	late      bool          // its answer has lost part of its use while it waited
	queuedAt  time.Time     // since when it has waited for a replica; zero: it does not wait
	behind    int           // requests that waited before it then
	notBefore time.Time
	next      DispatchKind  // kind of the next dispatch
	struck    bool          // a replica died while it ran
	struckAt  int           // tokens reached at that time
	awaiting  *replica      // a probe of it decides before the next attempt
	since     time.Time     // when it began to await
	places    int           // replicas whose feeders were asked for a slot
	verdict   *apierr.Error // its final answer, held back until then; nil: it is tried again
	unfedAt   time.Time     // of a waiting batch item: since when this gate feeds no replica for it
}

func (r *request) avoidReplica(id upstream.ReplicaID) {
	if !slices.Contains(r.avoid, id) {
		r.avoid = append(r.avoid, id)
	}
}

// attempt is one try of a request on one replica.
type attempt struct {
	id        AttemptID
	req       *request
	on        *replica
	started   time.Time
	progress  time.Time // when anything last arrived
	tokens    int
	queued    bool       // it may have to wait for a slot of the replica
	handedTo  *replica   // it is being handed over, to this replica if that has room
	broke     bool       // its connection ended meanwhile
	offeredTo []*replica // replicas that were asked to take it over
}

// NewShard makes a shard. The same config, seed and inputs give the same
// outputs.
func NewShard(config Config, rng *rand.Rand) *Shard {
	config = config.WithDefaults()
	table := upstream.NewTable(config.EntryLifetime)
	return &Shard{
		config:   config,
		rng:      rng,
		table:    table,
		strikes:  upstream.NewStrikes(config.StrikeLifetime, table.Bump),
		hints:    upstream.NewCacheHints(),
		requests: make(map[string]*request),
		attempts: make(map[AttemptID]*attempt),
		copies:   make(map[upstream.Fingerprint]*copies),
		teams:    make(map[string]*teamState),
		budget:   newRetryBudget(config.RetryShare, config.RetryReserve),
	}
}

// Step takes in what happened at now and returns what to do. The slice is
// valid until the next Step.
func (s *Shard) Step(now time.Time, in Input) []Output {
	s.at = now
	s.out = s.out[:0]
	in.apply(s)
	return s.out
}

func (s *Shard) emit(o Output) { s.out = append(s.out, o) }

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

// Changes gives the digest of what changed after version since: replicas,
// strikes and the load of the replicas that this gate feeds; and the version now.
func (s *Shard) Changes(since uint64) (upstream.Digest, uint64) {
	d, version := s.table.Changes(since)
	d.Strikes = s.strikes.Changes(since)
	for _, r := range s.replicas {
		if s.feeds(r) && r.feedVersion > since {
			d.Feeding = append(d.Feeding, s.feeding(r))
		}
	}
	return d, version
}

// LoadView is what a shard believes of a replica's load.
type LoadView struct {
	Slots, Online, Batch      int // Online and Batch are of this gate
	OthersOnline, OthersBatch int
	OthersAge                 time.Duration // of the word on the others, if another gate gave it
	Waiting                   int           // requests that wait in this gate
}

// Load gives what is believed of a replica's load now.
func (s *Shard) Load(id upstream.ReplicaID) LoadView {
	view := LoadView{Waiting: s.waiting.len() + s.batch.len()}
	r := s.replica(id)
	if r == nil {
		return view
	}
	view.Slots, view.Online, view.Batch = s.slots(r), r.online, r.batch
	view.OthersOnline, view.OthersBatch = s.foreign(r)
	if !s.feeds(r) && !r.fedAt.IsZero() {
		view.OthersAge = s.at.Sub(r.fedAt)
	}
	return view
}

// Usable says whether any replica takes requests.
func (s *Shard) Usable() bool {
	s.rebuild()
	return len(s.local)+len(s.remote) > 0
}

// ReplicaView is what a shard knows of one replica.
type ReplicaView struct {
	Entry         *upstream.Entry // read only, until the next Step
	Suspect       bool
	Online, Batch int // requests of this gate on it
	Feeder        string
}

// Replicas lists all replicas in the order of their IDs.
func (s *Shard) Replicas() []ReplicaView {
	views := make([]ReplicaView, 0, len(s.replicas))
	for _, r := range s.replicas {
		if !r.expired {
			views = append(views, ReplicaView{
				Entry: r.entry, Suspect: r.health == suspect,
				Online: r.online, Batch: r.batch, Feeder: r.feeder,
			})
		}
	}
	return views
}
