// Package exchange synchronizes the routing state between gates: the replicas and the
// gates they announce to, their load, reports of requests that crashed replicas, and what
// each gate runs on replicas that another gate owns.
//
// Within a place, gates spread digests when something changes. The places of a region
// exchange a bounded selection of replicas with free capacity; crash reports go to all
// places.
package exchange

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/fleet"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/upstream"
)

// Fleet is the part of the membership protocol that an Exchange uses.
type Fleet interface {
	Members() []member.Member
	Areas() []member.PlaceArea
	SetDigest(kind member.DigestKind, data []byte) error
	SetSum(kind member.DigestKind, data []byte)
	OnDigest(kind member.DigestKind, fn func(vm string, data []byte))
	OnSum(kind member.DigestKind, fn func(place, publisher string, data []byte))
	OnState(fn func(vm string, state member.State))
}

// Options configures an Exchange.
type Options struct {
	VM     string
	Place  string
	Region string
	Fleet  Fleet
	Client *rpc.Client
	Log    *zap.Logger
	// Controls returns the peers addresses of the control VMs; nil: there are none.
	Controls func() []string

	// ExpectedGates returns the number of gates including those that have not returned since
	// all gates were down; 0 or a nil function: unknown.
	ExpectedGates func() int

	// DirectLifetime is how long after its last announcement a replica counts as announced
	// to this gate.
	DirectLifetime time.Duration
}

func (o *Options) expectedGates() int {
	if o.ExpectedGates == nil {
		return 0
	}
	return o.ExpectedGates()
}

// Exchange synchronizes one gate with the others. It is safe for concurrent use.
type Exchange struct {
	options Options
	router  *proxy.Router

	mu        sync.Mutex
	direct    map[replicaKey]time.Time // last announcement of the replicas that announce to this gate
	published published
	lists     map[string]identityList // by VM, or by place and publisher
	wake      chan struct{}
}

type replicaKey struct {
	service string
	replica upstream.ReplicaID
}

// published holds what was last spread of each kind.
type published struct {
	identity     []byte // without the fields that change every second
	listHash     uint64 // hash of the list as spread
	load         []byte
	loadAt       time.Time
	crashReports []byte

	sumAt       time.Time
	sumIdentity []byte
	sumHash     uint64
	sumReplicas []replicaKey
}

const (
	// publishInterval is how often Run checks for changes.
	publishInterval = 100 * time.Millisecond
	// loadInterval is the minimum time between digests of a changed load. With 13 replicas
	// and 18 peers, one digest per second takes about 4 KB/s in each direction.
	loadInterval = time.Second
	// gatesInterval is how often the live gates are read, in addition to reads on changes of
	// their state.
	gatesInterval = time.Second
)

// New creates an Exchange. Attach sets its router; Run spreads changes.
func New(options Options) *Exchange {
	return &Exchange{
		options: options,
		direct:  make(map[replicaKey]time.Time),
		lists:   make(map[string]identityList),
		wake:    make(chan struct{}, 1),
	}
}

// Attach sets the router, which is created after the exchange because it depends on it.
func (e *Exchange) Attach(router *proxy.Router) {
	e.router = router
	e.options.Fleet.OnDigest(fleet.KindUpstreams, e.receiveIdentities)
	e.options.Fleet.OnDigest(fleet.KindLoad, e.receiveLoads)
	e.options.Fleet.OnDigest(fleet.KindPoison, func(_ string, data []byte) { e.receiveCrashReports(data) })
	// Digests of identities and loads stay within the region: other regions are too far away
	// to serve an online request from here.
	e.options.Fleet.OnSum(fleet.KindUpstreams, func(place, publisher string, data []byte) { e.receiveIdentities(place+"/"+publisher, data) })
	e.options.Fleet.OnSum(fleet.KindLoad, func(place, publisher string, data []byte) { e.receiveLoads(place+"/"+publisher, data) })
	e.options.Fleet.OnSum(fleet.KindPoison, func(_, _ string, data []byte) { e.receiveCrashReports(data) })
	e.options.Fleet.OnState(func(string, member.State) { e.triggerPublish() })
	e.updateGates()
}

// Announce applies an announcement that a replica sent to this gate.
func (e *Exchange) Announce(a upstream.Announcement) error {
	if err := e.router.Announce(a); err != nil {
		return err
	}
	e.mu.Lock()
	e.direct[replicaKey{a.Service, a.Replica}] = time.Now()
	e.mu.Unlock()
	if a.Leaving || !a.Ready {
		e.triggerPublish() // the other gates must stop sending to it at once
	}
	return nil
}

// An announcement takes about 700 bytes of a gate's bandwidth.
const (
	minAnnounceInterval        = time.Second
	announceIntervalPerReplica = 250 * time.Millisecond // for each replica that announces here
	// announcesPerLifetime allows for a lost announcement.
	announcesPerLifetime = 2
)

// AnnounceEvery returns how often a replica should announce itself to this gate: every
// second with few replicas, less often with more, so that the total bandwidth stays bounded.
// Replicas announce changes of readiness and leaving at once.
func (e *Exchange) AnnounceEvery() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	wanted := time.Duration(len(e.direct)) * announceIntervalPerReplica
	return max(minAnnounceInterval, min(wanted, e.options.DirectLifetime/announcesPerLifetime))
}

// CacheEvent passes a cache event to the router. Cache events are not spread.
func (e *Exchange) CacheEvent(service string, event upstream.CacheEvent) {
	e.router.CacheEvent(service, event)
}

// Upstreams returns the replicas that this gate knows.
func (e *Exchange) Upstreams() []proxy.Replica { return e.router.Upstreams() }

// triggerPublish makes Run check for changes at once.
func (e *Exchange) triggerPublish() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run spreads changes until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	var gatesAt time.Time
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.wake:
			urgent = true
		}
		if now := time.Now(); urgent || now.Sub(gatesAt) >= gatesInterval {
			gatesAt = now
			e.updateGates()
		}
		e.publish(urgent)
	}
}

// RunGates keeps the router's list of live gates current until ctx ends without spreading
// anything. It serves gates whose replicas announce themselves elsewhere.
func (e *Exchange) RunGates(ctx context.Context) {
	ticker := time.NewTicker(gatesInterval)
	defer ticker.Stop()
	for {
		e.updateGates()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.wake:
		}
	}
}

// updateGates passes the live gates to the router: those of the own place, and the contacts
// of other places, to which load reports can be sent too.
func (e *Exchange) updateGates() {
	gates := []route.Gate{{ID: e.options.VM, Place: e.options.Place}}
	for _, m := range e.options.Fleet.Members() {
		if !m.Self && m.Serving() {
			gates = append(gates, route.Gate{ID: m.VM.Name, Place: m.VM.Place})
		}
	}
	for _, area := range e.options.Fleet.Areas() {
		if area.Stale || area.Place == e.options.Place {
			continue
		}
		for _, entry := range area.Entries {
			gates = append(gates, route.Gate{ID: entry.VM, Place: area.Place})
		}
	}
	e.router.SetGates(gates, e.options.expectedGates())
}

func (e *Exchange) receiveCrashReports(data []byte) {
	var digests []upstream.Digest
	if e.decode(data, &digests) {
		e.router.Merge(digests)
	}
}

func (e *Exchange) decode(data []byte, into any) bool {
	if err := codec.Unmarshal(data, into); err != nil {
		e.options.Log.Warn("cannot decode digest of another gate", zap.Error(err))
		return false
	}
	return true
}
