package daemon

import (
	"context"
	"hash/maphash"
	"sync"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/gate"
	"slateway.example/slateway/internal/gate/batch"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/settings"
)

// gateRole is what callers and upstreams talk to on this VM.
type gateRole struct {
	log     *zap.Logger
	watcher *keeperclient.Watcher
	access  *gate.Access
	router  *proxy.Router
	front   *gate.Front
	runner  *batch.Runner

	stopBatch  context.CancelFunc
	stopConfig context.CancelFunc
	batch      sync.WaitGroup
	config     sync.WaitGroup
}

func newGateRole(d *Daemon) *gateRole {
	s := &d.settings
	client := d.keepers()
	g := &gateRole{log: d.log, watcher: keeperclient.NewWatcher(client, s.VM.Name, d.log)}
	g.access = gate.NewAccess(g.watcher, s.Config.WhenAlone == settings.ServeStale)
	g.router = proxy.New(proxy.Options{
		Self:  s.VM.Name,
		Place: s.VM.Place,
		Seed:  maphash.String(maphash.MakeSeed(), s.VM.Name),
		Route: route.Config{
			EntryLifetime: s.Upstream.ExpireAfter,
			MaxQueue:      s.Limits.MaxQueue,
			TokenTimeout:  s.Timeouts.StreamIdle,
		},
		Metrics:        d.metrics,
		DialTimeout:    s.Timeouts.Dial,
		DefaultTimeout: s.Timeouts.Request,
	})
	g.router.SetGates([]route.Gate{{ID: s.VM.Name, Place: s.VM.Place}})
	session := client.NewSession(s.VM.Name)
	claims := gate.NewClaims(session, d.log)
	g.front = gate.NewFront(g.access, g.router, claims, d.metrics, d.log, int64(s.Limits.MaxBodyBytes))
	g.runner = batch.New(batch.Options{
		Session:     session,
		Router:      g.router,
		Policies:    g.watcher,
		Log:         d.log,
		LeaseItems:  s.Batch.LeaseItems,
		ResultFlush: s.Batch.ResultFlush,
		ResultGroup: s.Batch.ResultGroup,
		Heartbeat:   s.Batch.Lease / heartbeatsPerLease,
	})
	return g
}

// heartbeatsPerLease is how often a batch session is renewed in its lifetime,
// so that a few lost heartbeats do not end it.
const heartbeatsPerLease = 5

func (g *gateRole) start(ctx context.Context) {
	configContext, stopConfig := context.WithCancel(ctx)
	g.stopConfig = stopConfig
	g.config.Go(func() { g.watcher.Run(configContext) })
	batchContext, stopBatch := context.WithCancel(ctx)
	g.stopBatch = stopBatch
	g.batch.Go(func() { g.runner.Run(batchContext) })
}

// drain ends batch work and waits until no request is in progress.
func (g *gateRole) drain(ctx context.Context) {
	g.stopBatch()
	if err := g.router.Drain(ctx); err != nil {
		g.log.Warn("requests were still in progress at the end of the drain", zap.Int("requests", g.router.InFlight()))
	}
	g.batch.Wait()
	g.stopConfig()
	g.config.Wait()
	g.router.Close()
}
