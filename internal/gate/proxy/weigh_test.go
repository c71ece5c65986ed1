package proxy_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/load"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
	"slateway.example/slateway/standin/engine"
)

// The benchmarked fleet: 48 slots, 240 requests a second with cached prefixes.
const (
	fleetGates    = 4
	fleetEngines  = 6
	fleetSlots    = 8
	fleetTokens   = 40
	fleetFirst    = 20 * time.Millisecond
	fleetToken    = 5 * time.Millisecond
	fleetAnswer   = fleetFirst/4 + (fleetTokens-1)*fleetToken
	fleetLength   = 12 * time.Second
	fleetReport   = 500 * time.Millisecond // between announcements
	fleetGossip   = 250 * time.Millisecond // between digests of two gates
	fleetWorkers  = 64                     // batch items that each gate keeps submitted
	fleetPrefixes = 48                     // different prompt starts
	fleetJobs     = 4                      // different starts of batch prompts
	fleetSeed     = 11
)

// variant is one configuration of batch scheduling and replica selection.
type variant struct {
	name       string
	policy     route.Policy
	noBatch    bool
	disabled   route.Guards
	noAffinity bool
	mixedBatch bool // no two items share a prefix
}

func variants() []variant {
	throughput, tail := route.ThroughputPolicy(), route.TailPolicy()
	packed, newest, withHold, share := throughput, throughput, throughput, throughput
	packed.Pack = true
	newest.Victim = route.VictimNewest
	withHold.Hold = 100 * time.Millisecond
	share.Headroom = 0.5
	fullHeadroom := tail
	fullHeadroom.MinFree = 2 // restores the whole headroom on each online request
	return []variant{
		{name: "no batch", noBatch: true},
		{name: "batch without control", policy: throughput, disabled: route.Guards{Preempt: true, Yield: true, Feeder: true}},
		{name: "fixed share of a half", policy: share, disabled: route.Guards{Preempt: true, Yield: true}},
		{name: "throughput", policy: throughput},
		{name: "throughput, unlike items", policy: throughput, mixedBatch: true},
		{name: "throughput, packed", policy: packed},
		{name: "throughput, newest first", policy: newest},
		{name: "throughput, hold of 100 ms", policy: withHold},
		{name: "throughput, no usages", policy: throughput, disabled: route.Guards{Yield: true}},
		{name: "tail", policy: tail},
		{name: "tail, whole headroom restored", policy: fullHeadroom},
		{name: "no batch, no affinity", noBatch: true, noAffinity: true},
		{name: "throughput, no affinity", policy: throughput, noAffinity: true},
	}
}

// fleet is a set of gates in front of stand-in engines, all in this process.
type fleet struct {
	variant variant
	gates   []*proxy.Router
	engines []*engine.Engine
	urls    []string
	items   atomic.Int64

	mu     sync.Mutex
	counts map[string]int
	yields []time.Duration // from the request to cancel to the engine's confirmation
}

func (f *fleet) Count(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[name]++
}

func (f *fleet) Observe(name string, d time.Duration) {
	if name != proxy.MetricCancel {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.yields = append(f.yields, d)
}

func newFleet(b *testing.B, v variant) *fleet {
	f := &fleet{variant: v, counts: make(map[string]int)}
	config := route.Config{Disabled: v.disabled}
	if v.noAffinity {
		config.AffinityTries = -1
	}
	var gates []route.Gate
	for i := range fleetGates {
		id := fmt.Sprint("g", i)
		gates = append(gates, route.Gate{ID: id, Place: "glas-a"})
		router := proxy.New(proxy.Options{
			Self: id, Place: "glas-a", Seed: fleetSeed, Metrics: f, Route: config,
			SendReports: func(_ context.Context, gate string, u []proxy.LoadReport) ([]upstream.OwnerLoad, error) {
				return f.gates[gate[1]-'0'].ApplyLoadReports(u), nil
			},
		})
		f.gates = append(f.gates, router)
		b.Cleanup(router.Close)
	}
	for _, g := range f.gates {
		g.SetGates(gates, 0)
	}
	for range fleetEngines {
		options := engine.Defaults()
		options.Slots, options.MaxTokens = fleetSlots, fleetTokens
		options.FirstToken, options.FirstTokenCached, options.TokenEvery = fleetFirst, fleetFirst/4, fleetToken
		options.CachedPrefixes = fleetPrefixes / 4
		e := engine.New(options)
		server := httptest.NewServer(e)
		b.Cleanup(server.Close)
		f.engines = append(f.engines, e)
		f.urls = append(f.urls, strings.TrimPrefix(server.URL, "http://"))
	}
	return f
}

func (f *fleet) announce(sequence uint64) {
	for i, e := range f.engines {
		reported := e.Load()
		a := upstream.Announcement{
			Service: "wordroom", Kind: upstream.KindEngine, Replica: upstream.ReplicaID(fmt.Sprint("r", i)),
			Incarnation: 1, Sequence: sequence, Address: f.urls[i], Place: "glas-a", CanResume: true, CanCancel: true,
			Load: upstream.Load{Slots: fleetSlots, Running: reported.Running, Queued: reported.Queued, Ready: true},
		}
		for _, gate := range []int{i, i + 1} { // each replica announces to two gates
			_ = f.gates[gate%fleetGates].Announce(a)
		}
	}
}

func (f *fleet) gossip(cursors []proxy.Cursor) {
	for i, g := range f.gates {
		digests, next := g.Digest(cursors[i])
		cursors[i] = next
		for j, other := range f.gates {
			if i != j {
				other.Merge(digests)
			}
		}
	}
}

// run sends announcements, digests and batch items until ctx ends.
func (f *fleet) run(ctx context.Context) *sync.WaitGroup {
	var running sync.WaitGroup
	cursors := make([]proxy.Cursor, fleetGates)
	f.announce(1)
	f.gossip(cursors)
	running.Go(func() {
		report, digest := time.NewTicker(fleetReport), time.NewTicker(fleetGossip)
		defer report.Stop()
		defer digest.Stop()
		for sequence := uint64(2); ; {
			select {
			case <-ctx.Done():
				return
			case <-report.C:
				f.announce(sequence)
				sequence++
			case <-digest.C:
				f.gossip(cursors)
			}
		}
	})
	if !f.variant.noBatch {
		for i := range fleetGates * fleetWorkers {
			running.Go(func() { f.work(ctx, i) })
		}
	}
	return &running
}

func (f *fleet) work(ctx context.Context, worker int) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("item-%d-%d", worker, n)
		result, err := f.gates[worker%fleetGates].RunBatch(ctx, proxy.BatchItem{
			ID: id, Service: "wordroom", Body: []byte(f.body(worker<<20+n, false)), Repeatable: true, Policy: f.variant.policy,
		})
		if err == nil && result.Outcome == proxy.BatchDone && result.Status == http.StatusOK {
			f.items.Add(1)
		}
	}
}

// body returns a request body. Online prompts start with one of fleetPrefixes
// instructions, of which an engine caches a quarter. Batch prompts start with one of
// fleetJobs prefixes, like the items of a job, or each with a different one.
func (f *fleet) body(n int, online bool) string {
	start := fmt.Sprintf("item %d ", n)
	switch {
	case online:
		start = strings.Repeat(fmt.Sprintf("instructions %02d ", n*7919%fleetPrefixes), 20)
	case !f.variant.mixedBatch:
		start = strings.Repeat(fmt.Sprintf("job %02d ", n%fleetJobs), 40)
	}
	return fmt.Sprintf(`{"model":"small","stream":%t,"prompt":"%s %d"}`, online, start, n)
}

// firstByte records when the answer's first byte is written.
type firstByte struct {
	httptest.ResponseRecorder
	at time.Time
}

func (w *firstByte) Write(data []byte) (int, error) {
	if w.at.IsZero() {
		w.at = time.Now()
	}
	return w.ResponseRecorder.Write(data)
}

// online sends requests at their arrival times and returns the sorted times to
// first byte and the number of refused requests.
func (f *fleet) online(bursts bool) (delays []time.Duration, refused int) {
	profile := load.Profile{Rate: 33, Length: fleetLength}
	if bursts {
		for at := 2 * time.Second; at < fleetLength; at += 4 * time.Second {
			profile.Bursts = append(profile.Bursts, load.Burst{At: at, For: time.Second, Factor: 5})
		}
	}
	var mu sync.Mutex
	var asked sync.WaitGroup
	start := time.Now()
	for i, at := range profile.Arrivals(rand.New(rand.NewPCG(fleetSeed, fleetSeed))) {
		time.Sleep(time.Until(start.Add(at)))
		asked.Go(func() {
			id := fmt.Sprint("q", i)
			w := &firstByte{ResponseRecorder: *httptest.NewRecorder()}
			r := httptest.NewRequest(http.MethodPost, proxy.PathCompletions, nil)
			f.gates[i%fleetGates].ServeOnline(w, r, proxy.OnlineRequest{
				ID: id, Team: "council", Service: "wordroom", Path: proxy.PathCompletions, Body: []byte(f.body(i, true)),
				Stream: true, Repeatable: true,
			})
			mu.Lock()
			defer mu.Unlock()
			if w.Code != http.StatusOK {
				refused++
			}
			delays = append(delays, w.at.Sub(start.Add(at)))
		})
	}
	asked.Wait()
	slices.Sort(delays)
	return delays, refused
}

// BenchmarkWeigh compares variants under online load with bursts of five times the
// base rate. Run it with -benchtime 1x; an operation takes 12 s.
func BenchmarkWeigh(b *testing.B) {
	for _, v := range variants() {
		b.Run(strings.ReplaceAll(v.name, " ", "_"), func(b *testing.B) {
			for range b.N {
				benchVariant(b, v)
			}
		})
	}
}

// quantile returns a quantile of sorted delays, in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}

func benchVariant(b *testing.B, v variant) {
	f := newFleet(b, v)
	ctx, stop := context.WithCancel(context.Background())
	running := f.run(ctx)
	start := time.Now()
	delays, refused := f.online(true)
	elapsed := time.Since(start)
	items := f.items.Load()
	stop()
	running.Wait()
	slotTime := elapsed * fleetEngines * fleetSlots
	idle := slotTime - time.Duration(len(delays))*fleetAnswer
	b.ReportMetric(quantile(delays, 0.5), "p50-ms")
	b.ReportMetric(quantile(delays, 0.95), "p95-ms")
	b.ReportMetric(quantile(delays, 0.99), "p99-ms")
	b.ReportMetric(quantile(delays, 0.999), "p99.9-ms")
	b.ReportMetric(100*float64(time.Duration(items)*fleetAnswer)/float64(idle), "%idle-used")
	if len(f.yields) > 0 {
		slices.Sort(f.yields)
		b.ReportMetric(quantile(f.yields, 0.99), "yield-p99-ms")
	}
	b.ReportMetric(float64(f.counts["cancel_preempted"]), "preempted")
	b.ReportMetric(float64(f.counts[string(route.ReasonQueuedAtEngine)]), "queued")
	b.ReportMetric(float64(refused), "refused")
	b.ReportMetric(0, "ns/op")
	for name, count := range f.counts {
		if strings.HasPrefix(name, route.ReasonRetryPrefix) {
			b.Logf("%s: %s %d", v.name, name, count)
		}
	}
}
