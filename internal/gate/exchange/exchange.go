// Package exchange keeps the routing state of a gate in step with that of the
// other gates: which replicas announced themselves where, their load, strikes
// of requests that killed replicas, and what each gate runs on the replicas
// that another one feeds with batch.
//
// Within a place digests travel on change. Between places of a region travels a
// bounded selection of replicas that have room; strikes go everywhere.
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

// Fleet is what the exchange needs of membership.
type Fleet interface {
	Members() []member.Member
	Areas() []member.PlaceArea
	SetDigest(kind member.DigestKind, data []byte) error
	SetSum(kind member.DigestKind, data []byte)
	OnDigest(kind member.DigestKind, fn func(vm string, data []byte))
	OnSum(kind member.DigestKind, fn func(place, publisher string, data []byte))
	OnState(fn func(vm string, state member.State))
}

// Options are what an Exchange needs.
type Options struct {
	VM     string
	Place  string
	Region string
	Fleet  Fleet
	Client *rpc.Client
	Log    *zap.Logger

	// ExpectedGates gives how many gates there are, if some may not be back after a
	// stop of all; nil: it is not known.
	ExpectedGates func() int

	// DirectLifetime is how long a replica counts as announced to this gate.
	DirectLifetime time.Duration
}

func (o *Options) expected() int {
	if o.ExpectedGates == nil {
		return 0
	}
	return o.ExpectedGates()
}

// Exchange is one gate's side of the exchange. It is safe for concurrent use.
type Exchange struct {
	options Options
	router  *proxy.Router

	mu        sync.Mutex
	direct    map[replicaKey]time.Time // replicas that announced to this gate, and when
	published published
	lists     map[string]identityList // by VM, or by place and publisher
	wake      chan struct{}
}

type replicaKey struct {
	service string
	replica upstream.ReplicaID
}

// published is what was last spread of each kind.
type published struct {
	identity []byte // without what changes each second
	listHash uint64 // of the list as spread
	load     []byte
	loadAt   time.Time
	strikes  []byte

	sumAt       time.Time
	sumIdentity []byte
	sumHash     uint64
	sumReplicas []replicaKey
}

const (
	// publishInterval is how often changes are looked for.
	publishInterval = 100 * time.Millisecond
	// loadInterval bounds how often a changed load is spread: at 13 replicas and
	// 18 peers one digest a second is about 4 KB/s out and as much in.
	loadInterval = time.Second
	// gatesInterval is how often the live gates are read anew, beside changes of
	// their state.
	gatesInterval = time.Second
)

// New makes an Exchange; Attach gives it the router, Run keeps it going.
func New(options Options) *Exchange {
	return &Exchange{
		options: options,
		direct:  make(map[replicaKey]time.Time),
		lists:   make(map[string]identityList),
		wake:    make(chan struct{}, 1),
	}
}

// Attach sets the router, which itself needs the exchange to be made.
func (e *Exchange) Attach(router *proxy.Router) {
	e.router = router
	e.options.Fleet.OnDigest(fleet.KindUpstreams, e.takeList)
	e.options.Fleet.OnDigest(fleet.KindLoad, e.takeRows)
	e.options.Fleet.OnDigest(fleet.KindPoison, func(_ string, data []byte) { e.merge(data) })
	// Both stay within the region: other regions are too far to serve an online
	// request from here.
	e.options.Fleet.OnSum(fleet.KindUpstreams, func(place, publisher string, data []byte) { e.takeList(place+"/"+publisher, data) })
	e.options.Fleet.OnSum(fleet.KindLoad, func(place, publisher string, data []byte) { e.takeRows(place+"/"+publisher, data) })
	e.options.Fleet.OnSum(fleet.KindPoison, func(_, _ string, data []byte) { e.merge(data) })
	e.options.Fleet.OnState(func(string, member.State) { e.nudge() })
	e.setGates()
}

// Announce takes in an announcement that a replica sent to this gate.
func (e *Exchange) Announce(a upstream.Announcement) error {
	if err := e.router.Announce(a); err != nil {
		return err
	}
	e.mu.Lock()
	e.direct[replicaKey{a.Service, a.Replica}] = time.Now()
	e.mu.Unlock()
	if a.Leaving || !a.Ready {
		e.nudge() // the other gates must stop sending to it at once
	}
	return nil
}

// Announcements take some 700 bytes of a gate's allowance each.
const (
	leastAnnounceInterval = time.Second
	announceIntervalPer   = 250 * time.Millisecond // for each replica that announces here
	// announcesPerLifetime leaves room for a lost announcement.
	announcesPerLifetime = 2
)

// AnnounceEvery gives how often a replica is to announce itself to this gate:
// each second while few do, less often with more, so that the bytes of all stay
// bounded. What cannot wait, readiness and leaving, replicas announce at once.
func (e *Exchange) AnnounceEvery() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	wanted := time.Duration(len(e.direct)) * announceIntervalPer
	return max(leastAnnounceInterval, min(wanted, e.options.DirectLifetime/announcesPerLifetime))
}

// CacheEvent passes a cache event on to the router; such hints are not spread.
func (e *Exchange) CacheEvent(service string, event upstream.CacheEvent) {
	e.router.CacheEvent(service, event)
}

// Upstreams lists the replicas that this gate knows.
func (e *Exchange) Upstreams() []proxy.Replica { return e.router.Upstreams() }

// nudge makes Run look for changes now.
func (e *Exchange) nudge() {
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
			e.setGates()
		}
		e.publish(urgent)
	}
}

// RunGates keeps the router's list of live gates current until ctx ends, and
// spreads nothing: for a gate whose replicas announce themselves elsewhere.
func (e *Exchange) RunGates(ctx context.Context) {
	ticker := time.NewTicker(gatesInterval)
	defer ticker.Stop()
	for {
		e.setGates()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.wake:
		}
	}
}

// setGates tells the router which gates live: those of the own place, and the
// contacts of other places, which pass usages on.
func (e *Exchange) setGates() {
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
	e.router.SetGates(gates, e.options.expected())
}

func (e *Exchange) merge(data []byte) {
	var digests []upstream.Digest
	if e.decode(data, &digests) {
		e.router.Merge(digests)
	}
}

func (e *Exchange) decode(data []byte, into any) bool {
	if err := codec.Unmarshal(data, into); err != nil {
		e.options.Log.Warn("digest of another gate not read", zap.Error(err))
		return false
	}
	return true
}
