package daemon

import (
	"context"
	"hash/maphash"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/directory"
	"slateway.example/slateway/internal/gate"
	"slateway.example/slateway/internal/gate/batch"
	"slateway.example/slateway/internal/gate/buffers"
	"slateway.example/slateway/internal/gate/credit"
	"slateway.example/slateway/internal/gate/exchange"
	"slateway.example/slateway/internal/gate/follow"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/gate/takeup"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/limit"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/settings"
)

// siteGate is the role of a gate at a site of control VMs.
type siteGate struct {
	log      *zap.Logger
	settings *settings.Settings
	follower *follow.Follower
	exchange *exchange.Exchange
	router   *proxy.Router
	memory   *buffers.Account
	routed   *gate.RouteHandler
	jobs     *gate.Jobs
	entries  *gate.Entries
	runner   *batch.Runner
	credit   *credit.Service
	takeups  *takeup.Service
	draining *drain
	isReady  atomic.Bool

	stopBatch  context.CancelFunc
	stopOthers context.CancelFunc
	batch      sync.WaitGroup
	others     sync.WaitGroup
}

const (
	// answerLifetimesKept is the number of lifetimes for which some callers keep using
	// a directory answer.
	answerLifetimesKept = 3
	// drainReserve is the part of the drain timeout that is kept for ending the
	// process.
	drainReserve = 500 * time.Millisecond
	// listenersTimeout is the part of drainReserve for shutting down the listeners.
	listenersTimeout = 200 * time.Millisecond
	// noExpiry is the lifetime of replicas in a gate's own table, in effect
	// unlimited: a replica is removed only by the control VMs or when it does not
	// answer.
	noExpiry = 365 * 24 * time.Hour
	// siteHeartbeatsPerLease is how often a session is renewed within its lease of
	// 3 s; two heartbeats may be lost. The reply to a heartbeat also lists ended jobs.
	siteHeartbeatsPerLease = 4
	// minStreamStall is the shortest gap in a stream that counts as a stalled
	// connection: longer than nearly all gaps of healthy streams, and well below the
	// TCP retransmission timeout.
	minStreamStall = 70 * time.Millisecond
	// reservationWait limits how long a request waits for the owner gate to confirm its
	// reservation: a few round trips between places, and a small part of the latency
	// that callers ask for.
	reservationWait = 40 * time.Millisecond
	// jobCallTimeout limits a call about jobs, in addition to the time it asks to
	// wait.
	jobCallTimeout = 1500 * time.Millisecond
)

func newSiteGate(site *Site) (*siteGate, error) {
	s := &site.settings
	g := &siteGate{log: site.log.Logger, settings: s}
	g.draining = &drain{policy: directory.NewDrain(directory.DrainConfig{
		Lifetime: answerLifetimesKept * s.Directory.AnswerLifetime,
		Longest:  s.Timeouts.Drain - drainReserve,
	})}
	started := time.Now().UnixMilli()
	g.follower = follow.New(follow.Options{
		Gate: roster.Gate{
			VM: s.VM.Name, Place: s.VM.Place, Region: s.VM.Region,
			Callers: s.Listen.Callers, Peers: s.Listen.Peers, Started: started,
		},
		Seeds: s.SeedPeers(), Calls: site.calls, Router: siteReplicas{g}, Log: site.log.Logger, Metrics: site.metrics,
	})
	g.exchange = exchange.New(exchange.Options{
		VM: s.VM.Name, Place: s.VM.Place, Region: s.VM.Region,
		Fleet: g.follower.Fleet(), ExpectedGates: g.follower.ExpectedGates, Controls: g.follower.Controls, Client: site.calls, Log: site.log.Logger, DirectLifetime: s.Upstream.ExpireAfter,
	})
	g.takeups = takeup.New(takeup.Options{
		VM: s.VM.Name, Fleet: g.follower.Fleet(), Controls: g.follower.Controls, Calls: site.calls, Routes: g.follower.Routes, Log: site.log.Logger, Metrics: site.metrics,
	})
	g.memory = newMemory(s, site.metrics, site.log.Logger)
	g.router = proxy.New(proxy.Options{
		Self: s.VM.Name, Place: s.VM.Place, Seed: maphash.String(maphash.MakeSeed(), s.VM.Name),
		Route: route.Config{
			EntryLifetime:   noExpiry,
			MaxQueue:        s.Limits.MaxQueue,
			TokenTimeout:    s.Timeouts.StreamIdle,
			StallMin:        minStreamStall,
			ReservationWait: reservationWait,
			HedgeMin:        -1,       // no hedging: a second run costs more than it saves
			ProbeAfter:      noExpiry, // a replica is probed only when all requests of this gate there are idle
		},
		Metrics:          site.metrics,
		Log:              site.log.Logger,
		SendReports:      g.exchange.SendLoadReports,
		StreamBegan:      g.takeups.Began,
		BroadcastCrashes: g.exchange.SpreadCrashReports,
		ReportParts:      g.exchange.ReportParts,
		Probe:            proxy.ProbeConnection,
		DialTimeout:      s.Timeouts.Dial,
		UnackedTimeout:   s.Timeouts.Unanswered,
		DefaultTimeout:   s.Timeouts.Request,
		Memory:           g.memory,
		MaxAnswerBytes:   s.Limits.MaxAnswerBytes,
		MaxEventBytes:    s.Limits.MaxEventBytes,
		MaxHeadBytes:     s.Limits.MaxHeadBytes,
		UnreadBytes:      s.Limits.UnreadBytes,
		UnreadTimeout:    s.Timeouts.Unread,
	})
	g.exchange.Attach(g.router)
	keepers := keeperclient.NewDynamic(site.calls, g.follower.Keepers)
	keepers.CountRetries(site.metrics)
	keepers.SetFirstAttemptTimeout(siteLeaderTimeout)
	teamCredit, err := credit.New(credit.Options{
		VM: s.VM.Name, Listen: s.Listen.Peers, Fleet: g.follower, Metrics: site.metrics, Log: site.log.Logger,
		Tolerance: limit.Tolerance{Window: s.Limits.TeamWindow, Overshoot: s.Limits.TeamOvershoot, Slack: s.Limits.TeamSlack},
		Shares:    g.router,
	})
	if err != nil {
		return nil, err
	}
	g.credit = teamCredit
	g.routed = gate.NewRouteHandler(g.follower, g.router, g.credit, g.takeups, site.metrics, site.log.Logger)
	g.jobs = gate.NewJobs(gate.JobsOptions{
		Keepers: keepers, Source: g.follower, Router: g.router, Metrics: site.metrics, Log: site.log.Logger,
		Retention: s.Batch.Retention, Timeout: jobCallTimeout, Protocol: site.edge.ItemProtocol,
	})
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	g.entries = gate.NewEntries(gate.EntriesOptions{
		Members: g.follower.Fleet().Members, Serving: g.ready, Place: s.VM.Place,
		Lifetime: s.Directory.AnswerLifetime, Limit: s.Directory.MaxEntries, Metrics: site.metrics,
	}, directory.New(uint64(time.Now().UnixMilli()), random))
	g.runner = batch.New(batch.Options{
		Session:     keepers.NewSession(job.GateRun{VM: s.VM.Name, Started: started}),
		Router:      g.router,
		Services:    g.router.Services,
		Log:         site.log.Logger,
		Route:       g.jobs.Route,
		Queues:      g.jobs.Queues,
		Obstacle:    g.jobs.Obstacle,
		LeaseItems:  s.Batch.LeaseItems,
		ResultFlush: s.Batch.ResultFlush,
		ResultGroup: s.Batch.ResultGroup,
		Heartbeat:   s.Batch.Lease / siteHeartbeatsPerLease,
		Lifetime:    s.Batch.Lease,
	})
	return g, nil
}

func (g *siteGate) start(ctx context.Context) {
	othersContext, stopOthers := context.WithCancel(ctx)
	g.stopOthers = stopOthers
	g.others.Go(func() { g.follower.Run(othersContext) })
	g.others.Go(func() { g.exchange.RunGates(othersContext) })
	g.others.Go(func() { g.credit.Run(othersContext) })
	g.others.Go(func() { g.takeups.Run(othersContext) })
	g.others.Go(func() { g.memory.Run(othersContext) })
	g.others.Go(func() { g.awaitReady(othersContext) })
	batchContext, stopBatch := context.WithCancel(ctx)
	g.stopBatch = stopBatch
	g.batch.Go(func() { g.runner.Run(batchContext) })
}

// ready reports whether callers may be sent to this gate.
func (g *siteGate) ready() bool { return g.isReady.Load() && !g.draining.hasBegun() }

// awaitReady marks the gate as ready for the directory once it has routes and
// either knows a replica or has waited upstreamSettleTime for one.
func (g *siteGate) awaitReady(ctx context.Context) {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	var routesAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if g.follower.Routes().Version() == 0 {
				continue
			}
			routesAt = timeOr(routesAt, now)
			if len(g.router.Services()) > 0 || now.Sub(routesAt) >= upstreamSettleTime {
				g.isReady.Store(true)
				g.follower.SetReady()
				g.log.Info("ready", zap.Uint64("routes", g.follower.Routes().Version()))
				return
			}
		}
	}
}

// handler returns the handler for callers, which counts their requests for the
// drain.
func (g *siteGate) handler(edge Edge) http.Handler {
	next := g.memory.Handler(edge.Callers(g.routed, g.jobs))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.draining.hasBegun() {
			w.Header().Set("Connection", "close")
		}
		if !g.draining.beginRequest() {
			edge.Refuse(w, apierr.New(apierr.Unavailable, reasonDraining, "get other gates from the directory and retry there",
				"this gate is shutting down").WithRetryAfter(time.Millisecond))
			return
		}
		defer g.draining.endRequest()
		next.ServeHTTP(w, r)
	})
}

// drain removes the gate from the directory and keeps serving until no caller can
// still hold its address and the last request has been answered. Items of jobs are
// returned at once with their partial answers, so that other gates resume them.
func (g *siteGate) drain(ctx context.Context) {
	g.log.Info("draining", zap.Int("in_progress", g.router.InFlight()))
	started := time.Now()
	g.draining.begin()
	g.follower.SetDraining()
	g.stopBatch()
	g.router.DrainBatch()
	reported := make(chan struct{})
	go func() {
		g.batch.Wait()
		close(reported)
	}()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !g.drained(reported) {
		select {
		case <-ctx.Done():
			g.log.Warn("drain timed out", zap.Duration("took", time.Since(started)), zap.Int("in_progress", g.router.InFlight()))
			return
		case <-ticker.C:
		}
	}
	g.log.Info("drained", zap.Duration("took", time.Since(started)), zap.Int("in_progress", g.router.InFlight()))
	g.stopOthers()
	g.others.Wait()
	g.router.Close()
}

// drained reports whether no caller needs this gate any more and all batch results
// have been reported.
func (g *siteGate) drained(reported <-chan struct{}) bool {
	if g.draining.phase() != directory.Stopped {
		return false
	}
	select {
	case <-reported:
		return true
	default:
		return false
	}
}
