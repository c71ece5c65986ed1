package proxy

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// Router routes the requests of all services known to a gate.
type Router struct {
	options    Options
	transports *transports
	reports    *reportSender
	stop       context.CancelFunc
	stopped    chan struct{}

	mu       sync.RWMutex // guards the fields below; acquired before a shard's lock
	shards   map[string]*shard
	gates    route.GatesChanged
	draining bool
}

// New creates a Router and starts its ticker, which Close stops.
func New(options Options) *Router {
	ctx, stop := context.WithCancel(context.Background())
	options = options.withDefaults()
	r := &Router{
		options:    options,
		transports: newTransports(options),
		stop:       stop,
		stopped:    make(chan struct{}),
		shards:     make(map[string]*shard),
	}
	r.reports = newReportSender(options.SendReports, r.applyAcknowledgement)
	go r.tick(ctx)
	return r
}

// Close stops the ticker and closes idle connections. It does not wait for
// requests in progress; call Drain first.
func (r *Router) Close() {
	r.stop()
	<-r.stopped
	r.transports.close()
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
			r.stepAll(route.Tick{})
		}
	}
}

// stepAll applies an input to all shards.
func (r *Router) stepAll(in route.Input) {
	for _, s := range r.sortedShards() {
		s.step(in)
	}
}

func (r *Router) sortedShards() []*shard {
	r.mu.RLock()
	defer r.mu.RUnlock()
	names := slices.Sorted(maps.Keys(r.shards))
	list := make([]*shard, 0, len(names))
	for _, name := range names {
		list = append(list, r.shards[name])
	}
	return list
}

// findShard returns the shard of a service, or nil if no upstream has ever announced it.
func (r *Router) findShard(service string) *shard {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.shards[service]
}

// findOrAddShard returns the shard of a service and creates it if there is none.
func (r *Router) findOrAddShard(service string) *shard {
	if s := r.findShard(service); s != nil {
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

// Announce applies a replica's announcement. Its error is an *apierr.Error that
// names the invalid field.
func (r *Router) Announce(a upstream.Announcement) error {
	if err := a.Validate(); err != nil {
		return err
	}
	r.findOrAddShard(a.Service).step(route.Announced{Announcement: a})
	return nil
}

// RememberBuilds records how long ago the builds of a service were first announced.
func (r *Router) RememberBuilds(service string, first map[string]time.Duration) {
	r.findOrAddShard(service).step(route.BuildsKnown{FirstAnnounced: first})
}

// Withdraw removes a replica, up to and including an incarnation.
func (r *Router) Withdraw(service string, id upstream.ReplicaID, incarnation uint64) {
	if s := r.findShard(service); s != nil {
		s.step(route.Withdrawn{Replica: id, Incarnation: incarnation})
	}
}

// Available reports whether any replica of the service accepts requests.
func (r *Router) Available(service string) bool {
	s := r.findShard(service)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routing.Usable()
}

// CacheEvent applies a cache event of a replica of the service.
func (r *Router) CacheEvent(service string, e upstream.CacheEvent) {
	if s := r.findShard(service); s != nil {
		s.step(route.Cached{Event: e})
	}
}

// SetGates sets the live gates, this one included, from which each replica's owner
// gate is chosen. Expected is the number of gates of the site if some of them may
// not have returned after a full restart, else 0.
func (r *Router) SetGates(gates []route.Gate, expected int) {
	changed := route.GatesChanged{Gates: slices.Clone(gates), Expected: expected}
	r.mu.Lock()
	r.gates = changed
	r.mu.Unlock()
	r.stepAll(changed)
}

// ApplyOwnerLoad applies the batch load that a replica's owner gate reports.
func (r *Router) ApplyOwnerLoad(service string, ownerLoad upstream.OwnerLoad) {
	if s := r.findShard(service); s != nil {
		s.step(route.OwnerReported{Load: ownerLoad})
	}
}

// applyAcknowledgement applies an owner gate's acknowledgement of a load report.
func (r *Router) applyAcknowledgement(report LoadReport, acknowledged upstream.OwnerLoad) {
	if s := r.findShard(report.Service); s != nil {
		s.step(route.OwnerReported{Load: acknowledged, Acknowledges: report.Number, ReportedOnline: report.Online})
	}
}

// RecordCrashes applies crash records that another gate has broadcast.
func (r *Router) RecordCrashes(service string, crashes []upstream.CrashRecord) {
	r.findOrAddShard(service).step(route.CrashesReported{Crashes: crashes})
}

// MergeParts applies records of parts of prompts from another VM. It returns the records that
// clear parts, of which that VM does not know.
func (r *Router) MergeParts(service string, records []crash.Record) []crash.Record {
	if len(records) == 0 {
		return nil
	}
	return r.findOrAddShard(service).mergeParts(records)
}

// Cursor holds the version of each service up to which a peer has received changes.
type Cursor map[string]uint64

// Digest returns what has changed since the cursor, as one digest for each changed
// service, and the cursor for the next call. A nil cursor returns everything.
func (r *Router) Digest(since Cursor) ([]upstream.Digest, Cursor) {
	next := make(Cursor)
	var digests []upstream.Digest
	for _, s := range r.sortedShards() {
		d, version := s.changes(since[s.service])
		next[s.service] = version
		if len(d.Identity)+len(d.Loads)+len(d.Crashes)+len(d.OwnerLoads) > 0 {
			digests = append(digests, d)
		}
	}
	return digests, next
}

// Merge applies digests of another gate. It is idempotent, and the order of the
// digests does not matter.
func (r *Router) Merge(digests []upstream.Digest) {
	for _, d := range digests {
		r.findOrAddShard(d.Service).merge(d)
	}
}

// Replica is what this gate knows of a replica, as listed by Upstreams.
type Replica struct {
	upstream.Announcement
	Seen       time.Time     `json:"seen"`
	Suspect    bool          `json:"suspect"` // not used until it answers a probe
	Online     int           `json:"online"`  // this gate's online requests on it
	Batch      int           `json:"batch"`   // this gate's batch items on it
	OwnerGate  string        `json:"feeder"`  // the gate that owns its free slots
	Pace       upstream.Pace `json:"pace,omitzero"`
	Distrusted bool          `json:"pace_distrusted,omitempty"` // its pace is ignored: its answers do not show it
}

// Upstreams lists all known replicas, ordered by service and ID.
func (r *Router) Upstreams() []Replica {
	var list []Replica
	for _, s := range r.sortedShards() {
		list = append(list, s.upstreams()...)
	}
	return list
}

// Services lists the services with a known replica, in order of their names.
func (r *Router) Services() []string {
	var services []string
	for _, s := range r.sortedShards() {
		if s.hasReplicas() {
			services = append(services, s.service)
		}
	}
	return services
}

// BatchCapacity returns the number of batch items of the service that could
// start now under the policy.
func (r *Router) BatchCapacity(service string, policy route.Policy) int {
	s := r.findShard(service)
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routing.BatchCapacity(policy)
}

// BatchTarget returns the number of batch items of the service that this gate
// should hold: those that run, those that could start now, and a few to fill the
// next free slots.
func (r *Router) BatchTarget(service string, policy route.Policy) int {
	s := r.findShard(service)
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routing.BatchTarget(policy)
}

// Updates returns a channel that receives a value after decisions on the service,
// which may have changed its BatchTarget, or nil for an unknown service. It has one
// reader at a time.
func (r *Router) Updates(service string) <-chan struct{} {
	s := r.findShard(service)
	if s == nil {
		return nil
	}
	return s.updates
}

// DrainBatch stops batch work; its items are returned unfinished.
func (r *Router) DrainBatch() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.stepAll(route.Draining{})
}

// Drain stops batch work and waits until no request is in progress or ctx ends.
// Online requests are still served, since callers may have cached this gate's
// address.
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

// InFlight returns the number of requests in progress, batch items included.
func (r *Router) InFlight() int {
	count := 0
	for _, s := range r.sortedShards() {
		s.mu.Lock()
		count += len(s.flights)
		s.mu.Unlock()
	}
	return count
}
