package daemon

import (
	"context"
	"hash/maphash"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"slateway.example/slateway/internal/checkedhttp"
	"slateway.example/slateway/internal/fleet"
	"slateway.example/slateway/internal/gate"
	"slateway.example/slateway/internal/gate/batch"
	"slateway.example/slateway/internal/gate/buffers"
	"slateway.example/slateway/internal/gate/exchange"
	"slateway.example/slateway/internal/gate/orders"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/order"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/settings"
)

// gateRole serves the requests of callers and the announcements of upstreams on
// this VM.
type gateRole struct {
	log      *zap.Logger
	settings *settings.Settings
	fleet    *fleet.Fleet
	watcher  *keeperclient.Watcher
	access   *gate.Access
	exchange *exchange.Exchange
	router   *proxy.Router
	memory   *buffers.Account
	front    *gate.Front
	runner   *batch.Runner
	draining *drain
	orders   *orders.Reconciler // nil unless orders are enabled

	stopBatch  context.CancelFunc
	stopOthers context.CancelFunc
	batch      sync.WaitGroup
	others     sync.WaitGroup
}

func newGateRole(d *Daemon) *gateRole {
	s := &d.settings
	client := d.keepers()
	g := &gateRole{
		log: d.log, settings: s, fleet: d.fleet,
		watcher:  keeperclient.NewWatcher(client, s.VM.Name, d.log),
		draining: newDrain(s),
	}
	g.access = gate.NewAccess(g.watcher, s.Config.WhenAlone == settings.ServeStale)
	g.exchange = exchange.New(exchange.Options{
		VM: s.VM.Name, Place: s.VM.Place, Region: s.VM.Region,
		Fleet: d.fleet, Client: d.calls, Log: d.log,
		DirectLifetime: s.Upstream.ExpireAfter,
	})
	g.memory = newMemory(s, d.metrics, d.log)
	g.router = proxy.New(proxy.Options{
		Self:  s.VM.Name,
		Place: s.VM.Place,
		Seed:  maphash.String(maphash.MakeSeed(), s.VM.Name),
		Route: route.Config{
			EntryLifetime: s.Upstream.ExpireAfter,
			MaxQueue:      s.Limits.MaxQueue,
			TokenTimeout:  s.Timeouts.StreamIdle,
		},
		Metrics:          d.metrics,
		SendReports:      g.exchange.SendLoadReports,
		BroadcastCrashes: g.exchange.SpreadCrashReports,
		DialTimeout:      s.Timeouts.Dial,
		DefaultTimeout:   s.Timeouts.Request,
		Memory:           g.memory,
		MaxAnswerBytes:   s.Limits.MaxAnswerBytes,
		MaxEventBytes:    s.Limits.MaxEventBytes,
		MaxHeadBytes:     s.Limits.MaxHeadBytes,
		UnreadBytes:      s.Limits.UnreadBytes,
		UnreadTimeout:    s.Timeouts.Unread,
	})
	g.exchange.Attach(g.router)
	session := client.NewSession(job.GateRun{VM: s.VM.Name, Started: time.Now().UnixMilli()})
	claims := gate.NewClaims(session, d.log)
	g.front = gate.NewFront(g.access, g.router, claims, d.metrics, d.log, int64(s.Limits.MaxBodyBytes))
	g.runner = batch.New(batch.Options{
		Session:     session,
		Router:      g.router,
		Services:    g.router.Services,
		Policies:    g.watcher,
		Log:         d.log,
		LeaseItems:  s.Batch.LeaseItems,
		ResultFlush: s.Batch.ResultFlush,
		ResultGroup: s.Batch.ResultGroup,
		Heartbeat:   s.Batch.Lease / heartbeatsPerLease,
	})
	if s.Orders.Enabled {
		g.orders = newOrders(d, client, g)
	}
	return g
}

// newOrders creates the reconciler that sends model load orders to the engines of
// the place.
func newOrders(d *Daemon, client *keeperclient.Client, g *gateRole) *orders.Reconciler {
	s := &d.settings
	return orders.New(orders.Options{
		Place:    s.VM.Place,
		Holder:   s.VM.Name + "/" + uuid.NewString(),
		Keepers:  client,
		Policies: g.watcher,
		Router:   g.router,
		Client:   &http.Client{Transport: checkedhttp.New(&http.Transport{DialContext: dialer(s.Timeouts.Dial).DialContext}, checkedhttp.Options{})},
		Metrics:  d.metrics,
		Log:      d.log,
		Order: order.Config{
			MaxOrderDuration:    s.Orders.LongestOrder,
			SendMargin:          s.Orders.Lease / 5,
			StoreBytesPerSecond: s.Orders.StoreBytesPerSecond,
		},
		Step:        s.Orders.Lease / 10,
		WeightBytes: s.Orders.WeightBytes,
		MaxModels:   s.Orders.MaxModels,
	})
}

// heartbeatsPerLease is how often a batch session is renewed within its lease, so
// that a few lost heartbeats do not end it. The reply to a heartbeat also lists
// cancelled jobs, so the interval limits how long their items keep running.
const heartbeatsPerLease = 10

func (g *gateRole) start(ctx context.Context) {
	othersContext, stopOthers := context.WithCancel(ctx)
	g.stopOthers = stopOthers
	g.others.Go(func() { g.watcher.Run(othersContext) })
	g.others.Go(func() { g.exchange.Run(othersContext) })
	g.others.Go(func() { g.memory.Run(othersContext) })
	g.others.Go(func() {
		publishGateLoad(othersContext, g.fleet, g.router.InFlight, g.settings.Limits.MaxInProgress, g.log)
	})
	g.others.Go(func() { g.awaitReady(othersContext) })
	if g.orders != nil {
		g.others.Go(func() { g.orders.Run(othersContext) })
	}
	batchContext, stopBatch := context.WithCancel(ctx)
	g.stopBatch = stopBatch
	g.batch.Go(func() { g.runner.Run(batchContext) })
}

// serving reports whether callers may be sent to this gate. A gate without a
// configuration lease would refuse them.
func (g *gateRole) serving() bool { return !g.draining.hasBegun() && !g.access.Stale() }
