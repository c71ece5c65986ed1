// Package gossip tells the gates of a place what each knows of its upstreams:
// the replicas that announced to it and their loads, the batch that it feeds
// them, and the strikes of poison requests. Other places of the region get a few
// replicas to spill to; strikes go everywhere.
package gossip

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/fleet"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// Fleet is what a Gossip needs of the membership.
type Fleet interface {
	Members() []member.Member
	Areas() []member.PlaceArea
	SetDigest(kind member.DigestKind, data []byte) error
	SetSum(kind member.DigestKind, data []byte)
	Send(vm string, kind member.DigestKind, data []byte) error
	OnDigest(kind member.DigestKind, fn func(vm string, data []byte))
	OnSum(kind member.DigestKind, fn func(place, publisher string, data []byte))
	OnDirect(kind member.DigestKind, fn func(vm string, data []byte))
	OnState(fn func(vm string, state member.State))
}

// Router is what a Gossip needs of the gate's router.
type Router interface {
	Announce(a upstream.Announcement) error
	Merge(digests []upstream.Digest)
	Strike(service string, strikes []upstream.Strike)
	Yield(u proxy.Usage) upstream.Feeding
	Fed(service string, feeding upstream.Feeding)
	SetGates(gates []route.Gate)
	Digest(since proxy.Cursor) ([]upstream.Digest, proxy.Cursor)
	Upstreams() []proxy.Replica
}

// Options configure a Gossip.
type Options struct {
	Self     string // this VM
	Place    string
	Fleet    Fleet
	Router   Router
	Metrics  *telemetry.Metrics
	Log      *zap.Logger
	Interval time.Duration // pace of loads; default 1 s
	Lifetime time.Duration // of an announcement that is not renewed; default 4 s
}

// Defaults and bounds.
const (
	defaultInterval = time.Second
	defaultLifetime = 4 * time.Second
	// spillPerService bounds the replicas of a service that other places get.
	spillPerService = 3
	// maxSpill bounds the replicas that other places get in all.
	maxSpill = 9
)

// Names of the counters.
const (
	countBad         = "gossip.bad"          // digests that could not be read
	countNotSent     = "gossip.not_sent"     // larger than a digest may be
	countUnknownList = "gossip.unknown_list" // loads that came before the list they refer to
)

// Gossip connects a Router with the membership. It is safe for concurrent use.
type Gossip struct {
	options Options
	waits   ackWaits

	mu     sync.Mutex
	own    map[string]*announced // by service and replica
	lists  map[string]replicas   // of other gates, by VM
	hashes map[string]uint64     // of lists
	cursor proxy.Cursor
}

// announced is a replica that announced to this gate.
type announced struct {
	identity upstream.Announcement // as last spread
	latest   upstream.Announcement
	at       time.Time
}

// New makes a Gossip and registers its handlers: call it before the fleet
// starts.
func New(options Options) *Gossip {
	if options.Interval <= 0 {
		options.Interval = defaultInterval
	}
	if options.Lifetime <= 0 {
		options.Lifetime = defaultLifetime
	}
	g := &Gossip{
		options: options,
		waits:   newAckWaits(),
		own:     map[string]*announced{},
		lists:   map[string]replicas{},
		hashes:  map[string]uint64{},
	}
	f := options.Fleet
	f.OnDigest(fleet.KindReplicas, g.takeReplicas)
	f.OnDigest(fleet.KindLoads, g.takeLoads)
	f.OnDigest(fleet.KindPoison, func(_ string, data []byte) { g.takePoison(data) })
	f.OnSum(fleet.KindPoison, func(_, _ string, data []byte) { g.takePoison(data) })
	f.OnSum(fleet.KindSpill, func(_, _ string, data []byte) { g.takeSpill(data) })
	f.OnDirect(fleet.KindUsage, g.takeUsage)
	f.OnDirect(fleet.KindFed, g.takeFed)
	f.OnDirect(fleet.KindStrikes, g.takeStrikes)
	f.OnDirect(fleet.KindStrikesAck, func(vm string, data []byte) { g.takeAck(vm, data) })
	f.OnState(func(string, member.State) { g.SetGates() })
	return g
}

// Run spreads loads until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	g.SetGates()
	ticker := time.NewTicker(g.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.publish(time.Now())
			g.SetGates() // areas of other places change without an event
		}
	}
}

// Announce takes an upstream's announcement to this gate. What other gates must
// know at once, a new identity, readiness or leaving, is spread at once.
func (g *Gossip) Announce(a upstream.Announcement) error {
	if err := g.options.Router.Announce(a); err != nil {
		return err
	}
	g.mu.Lock()
	key := keyOf(&a)
	known := g.own[key]
	urgent := known == nil || !sameIdentity(&known.latest, &a) || known.latest.Ready != a.Ready || known.latest.Leaving != a.Leaving
	if known == nil {
		known = &announced{identity: a}
		g.own[key] = known
	}
	if !sameIdentity(&known.identity, &a) {
		known.identity = a
	}
	known.latest = a
	known.at = time.Now()
	g.mu.Unlock()
	if urgent {
		g.publishOwn(time.Now())
	}
	return nil
}

func keyOf(a *upstream.Announcement) string { return a.Service + "\x00" + string(a.Replica) }

// sameIdentity compares all but what a loadRow carries.
func sameIdentity(a, b *upstream.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Place == b.Place && a.VM == b.VM &&
		a.Kind == b.Kind && a.Slots == b.Slots && a.ChecksFencing == b.ChecksFencing && a.CanResume == b.CanResume &&
		a.CanCancel == b.CanCancel && a.KVExport == b.KVExport && slices.Equal(a.Models, b.Models)
}

// publish spreads what this gate knows.
func (g *Gossip) publish(now time.Time) {
	g.publishOwn(now)
	g.publishSpill()
	g.publishPoison()
}

// publishOwn spreads the own replicas and their loads.
func (g *Gossip) publishOwn(now time.Time) {
	list, rows := g.ownRows(now)
	encoded := encode(list)
	g.set(fleet.KindReplicas, encoded)
	g.set(fleet.KindLoads, encode(loads{Replicas: hashOf(encoded), Rows: rows, Fed: g.fedRows()}))
}

func (g *Gossip) ownRows(now time.Time) (replicas, []loadRow) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var keys []string
	for key, a := range g.own {
		if now.Sub(a.at) > g.options.Lifetime {
			delete(g.own, key)
			continue
		}
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var list replicas
	var rows []loadRow
	for _, key := range keys {
		list.List = append(list.List, g.own[key].identity)
		rows = append(rows, rowOf(&g.own[key].latest))
	}
	return list, rows
}

// fedRows lists the batch that this gate runs on replicas it feeds.
func (g *Gossip) fedRows() []fedRow {
	var rows []fedRow
	for _, r := range g.options.Router.Upstreams() {
		if r.Feeder == g.options.Self && r.Batch > 0 {
			rows = append(rows, fedRow{Service: shortHash(r.Service), Replica: shortHash(string(r.Replica)), Batch: r.Batch})
		}
	}
	return rows
}

// publishSpill gives other places of the region a few replicas of each service,
// the least busy ones.
func (g *Gossip) publishSpill() {
	var list replicas
	count := map[string]int{}
	rows := g.options.Router.Upstreams()
	busy := func(r *proxy.Replica) float64 { return float64(r.Running+r.Queued) / float64(max(1, r.Slots)) }
	slices.SortStableFunc(rows, func(a, b proxy.Replica) int { return cmp.Compare(busy(&a), busy(&b)) })
	for _, r := range rows {
		if r.Place != g.options.Place || !r.Ready || r.Leaving || r.Suspect {
			continue
		}
		if count[r.Service] < spillPerService && len(list.List) < maxSpill {
			count[r.Service]++
			list.List = append(list.List, r.Announcement)
		}
	}
	g.options.Fleet.SetSum(fleet.KindSpill, encode(list))
}

// set spreads a digest. One that is too large is not spread at all; the counter
// tells operators to let upstreams announce to more gates.
func (g *Gossip) set(kind member.DigestKind, data []byte) {
	if err := g.options.Fleet.SetDigest(kind, data); err != nil {
		g.options.Metrics.Count(countNotSent)
		g.options.Log.Warn("digest not spread", zap.Error(err))
	}
}

// SetGates tells the router which gates live. A gate that is suspect or drains
// feeds no replica with batch.
func (g *Gossip) SetGates() {
	gates := []route.Gate{}
	for _, m := range g.options.Fleet.Members() {
		if m.Self || m.Serving() {
			gates = append(gates, route.Gate{ID: m.VM.Name, Place: m.VM.Place})
		}
	}
	for _, area := range g.options.Fleet.Areas() {
		if area.Stale {
			continue
		}
		for _, entry := range area.Entries {
			gates = append(gates, route.Gate{ID: entry.VM, Place: area.Place})
		}
	}
	slices.SortFunc(gates, func(a, b route.Gate) int { return strings.Compare(a.ID, b.ID) })
	gates = slices.CompactFunc(gates, func(a, b route.Gate) bool { return a.ID == b.ID })
	g.options.Router.SetGates(gates)
}

func (g *Gossip) decode(data []byte, into any) bool {
	if err := codec.Unmarshal(data, into); err != nil {
		g.options.Metrics.Count(countBad)
		g.options.Log.Warn("digest not read", zap.Error(err))
		return false
	}
	return true
}
