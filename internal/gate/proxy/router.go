package proxy

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// Router routes the requests of all services that a gate knows.
type Router struct {
	options Options
	links   *links
	usage   *usageSender
	stop    context.CancelFunc
	stopped chan struct{}

	mu       sync.RWMutex // guards what follows; taken before a shard's lock
	shards   map[string]*shard
	gates    route.GatesChanged
	draining bool
}

// New makes a Router and starts its clock. Close stops it.
func New(options Options) *Router {
	ctx, stop := context.WithCancel(context.Background())
	options = options.withDefaults()
	r := &Router{
		options: options,
		links:   newLinks(options),
		stop:    stop,
		stopped: make(chan struct{}),
		shards:  make(map[string]*shard),
	}
	r.usage = newUsageSender(options.SendUsage, r.fed)
	go r.tick(ctx)
	return r
}

// Close stops the clock and drops idle connections. Requests in progress are
// not ended: Drain first.
func (r *Router) Close() {
	r.stop()
	<-r.stopped
	r.links.close()
}

func (r *Router) tick(ctx context.Context) {
	defer close(r.stopped)
	ticker := time.NewTicker(r.options.TickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.each(route.Tick{})
		}
	}
}

// each gives an input to all shards.
func (r *Router) each(in route.Input) {
	for _, s := range r.all() {
		s.step(in)
	}
}

func (r *Router) all() []*shard {
	r.mu.RLock()
	defer r.mu.RUnlock()
	names := slices.Sorted(maps.Keys(r.shards))
	list := make([]*shard, 0, len(names))
	for _, name := range names {
		list = append(list, r.shards[name])
	}
	return list
}

// find gives the shard of a service; nil when no upstream ever announced it.
func (r *Router) find(service string) *shard {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.shards[service]
}

// shardOf gives the shard of a service and makes it if there is none.
func (r *Router) shardOf(service string) *shard {
	if s := r.find(service); s != nil {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.shards[service]; s != nil {
		return s
	}
	rng := rand.New(rand.NewPCG(r.options.Seed, xxhash.Sum64String(service)))
	s := newShard(r, service, route.NewShard(r.options.Route, rng))
	s.step(r.gates)
	if r.draining {
		s.step(route.Draining{})
	}
	r.shards[service] = s
	return s
}

// Announce takes in an announcement; its error is an *apierr.Error that names
// the field at fault.
func (r *Router) Announce(a upstream.Announcement) error {
	if err := a.Validate(); err != nil {
		return err
	}
	r.shardOf(a.Service).step(route.Announced{Announcement: a})
	return nil
}

// Withdraw takes in that a replica is no more, up to an incarnation.
func (r *Router) Withdraw(service string, id upstream.ReplicaID, incarnation uint64) {
	if s := r.find(service); s != nil {
		s.step(route.Withdrawn{Replica: id, Incarnation: incarnation})
	}
}

// Knows says whether any replica of the service takes requests.
func (r *Router) Knows(service string) bool {
	s := r.find(service)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decide.Usable()
}

// CacheEvent takes in a cache event of a replica of the service.
func (r *Router) CacheEvent(service string, e upstream.CacheEvent) {
	if s := r.find(service); s != nil {
		s.step(route.Cached{Event: e})
	}
}

// SetGates tells which gates live, this one included; it decides which of them
// feeds a replica with batch. Expected is how many there are, if some may not be
// back after a stop of all; else 0.
func (r *Router) SetGates(gates []route.Gate, expected int) {
	changed := route.GatesChanged{Gates: slices.Clone(gates), Expected: expected}
	r.mu.Lock()
	r.gates = changed
	r.mu.Unlock()
	r.each(changed)
}

// Fed takes in how much batch another gate runs on a replica.
func (r *Router) Fed(service string, feeding upstream.Feeding) {
	if s := r.find(service); s != nil {
		s.step(route.Fed{Feeding: feeding})
	}
}

// fed takes in another gate's answer to a usage that this gate has sent.
func (r *Router) fed(said Usage, feeding upstream.Feeding) {
	if s := r.find(said.Service); s != nil {
		s.step(route.Fed{Feeding: feeding, Answers: said.Word, Told: said.Online})
	}
}

// Strike takes in strikes that another gate spreads.
func (r *Router) Strike(service string, strikes []upstream.Strike) {
	r.shardOf(service).step(route.Struck{Strikes: strikes})
}

// Cursor remembers which changes of each service a peer has been sent.
type Cursor map[string]uint64

// Digest gives what changed since the cursor, one digest for each service that
// changed, and the cursor for the next call. A nil cursor gives everything.
func (r *Router) Digest(since Cursor) ([]upstream.Digest, Cursor) {
	next := make(Cursor)
	var digests []upstream.Digest
	for _, s := range r.all() {
		d, version := s.changes(since[s.service])
		next[s.service] = version
		if len(d.Identity)+len(d.Loads)+len(d.Strikes)+len(d.Feeding) > 0 {
			digests = append(digests, d)
		}
	}
	return digests, next
}

// Merge takes in digests of another gate. Doubled and reordered ones are
// harmless.
func (r *Router) Merge(digests []upstream.Digest) {
	for _, d := range digests {
		r.shardOf(d.Service).merge(d)
	}
}

// Replica is one row of Upstreams.
type Replica struct {
	upstream.Announcement
	Seen    time.Time `json:"seen"`
	Suspect bool      `json:"suspect"` // out of use until a probe is answered
	Online  int       `json:"online"`  // this gate's online requests on it
	Batch   int       `json:"batch"`   // this gate's batch items on it
	Feeder  string    `json:"feeder"`  // the gate that feeds it with batch
}

// Upstreams lists what this gate knows of all replicas, by service and ID.
func (r *Router) Upstreams() []Replica {
	var list []Replica
	for _, s := range r.all() {
		list = append(list, s.upstreams()...)
	}
	return list
}

// BatchRoom gives the number of batch items of the service that could start
// now under the policy.
func (r *Router) BatchRoom(service string, policy route.Policy) int {
	s := r.find(service)
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decide.BatchRoom(policy)
}

// BatchTarget gives the number of batch items of the service that this gate
// should hold: those that run, those that could start, and a few that wait for
// the next free slots.
func (r *Router) BatchTarget(service string, policy route.Policy) int {
	s := r.find(service)
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decide.BatchTarget(policy)
}

// Stepped gives a channel that gets a value after decisions on the service, which
// may have changed its BatchTarget; nil for an unknown service. One reader at a
// time may use it.
func (r *Router) Stepped(service string) <-chan struct{} {
	s := r.find(service)
	if s == nil {
		return nil
	}
	return s.stepped
}

// DrainBatch stops batch work: items are given back.
func (r *Router) DrainBatch() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.each(route.Draining{})
}

// Drain stops batch work and waits until no request is in progress or ctx ends.
// Online requests are still served: callers may hold this gate's address.
func (r *Router) Drain(ctx context.Context) error {
	r.DrainBatch()
	ticker := time.NewTicker(r.options.TickEvery)
	defer ticker.Stop()
	for r.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// InFlight counts the requests in progress, batch items included.
func (r *Router) InFlight() int {
	count := 0
	for _, s := range r.all() {
		s.mu.Lock()
		count += len(s.flights)
		s.mu.Unlock()
	}
	return count
}
