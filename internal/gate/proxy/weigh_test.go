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

// The fleet that the ways are weighed on: 48 slots, 240 requests a second with
// cached prefixes.
const (
	weighGates    = 4
	weighEngines  = 6
	weighSlots    = 8
	weighTokens   = 40
	weighFirst    = 20 * time.Millisecond
	weighToken    = 5 * time.Millisecond
	weighAnswer   = weighFirst/4 + (weighTokens-1)*weighToken
	weighLength   = 12 * time.Second
	weighReport   = 500 * time.Millisecond // between announcements
	weighGossip   = 250 * time.Millisecond // between digests of two gates
	weighWorkers  = 64                     // batch items that each gate holds ready
	weighPrefixes = 48                     // different prompt starts
	weighJobs     = 4                      // different starts of batch prompts
	weighSeed     = 11
)

// way is one way to treat batch and picks.
type way struct {
	name       string
	policy     route.Policy
	noBatch    bool
	disabled   route.Guards
	noAffinity bool
	mixedBatch bool // no two items start alike
}

func weighWays() []way {
	throughput, tail := route.ThroughputPolicy(), route.TailPolicy()
	packed, newest, held, share := throughput, throughput, throughput, throughput
	packed.Pack = true
	newest.Victim = route.VictimNewest
	held.Hold = 100 * time.Millisecond
	share.Headroom = 0.5
	eager := tail
	eager.MinFree = 2 // restores the whole headroom at each online request
	return []way{
		{name: "no batch", noBatch: true},
		{name: "batch without control", policy: throughput, disabled: route.Guards{Preempt: true, Yield: true, Feeder: true}},
		{name: "fixed share of a half", policy: share, disabled: route.Guards{Preempt: true, Yield: true}},
		{name: "throughput", policy: throughput},
		{name: "throughput, unlike items", policy: throughput, mixedBatch: true},
		{name: "throughput, packed", policy: packed},
		{name: "throughput, newest first", policy: newest},
		{name: "throughput, hold of 100 ms", policy: held},
		{name: "throughput, no usages", policy: throughput, disabled: route.Guards{Yield: true}},
		{name: "tail", policy: tail},
		{name: "tail, whole headroom restored", policy: eager},
		{name: "no batch, no affinity", noBatch: true, noAffinity: true},
		{name: "throughput, no affinity", policy: throughput, noAffinity: true},
	}
}

// fleet is a few gates before stand-in engines, all in this process.
type fleet struct {
	way     way
	gates   []*proxy.Router
	engines []*engine.Engine
	urls    []string
	items   atomic.Int64

	mu     sync.Mutex
	counts map[string]int
	yields []time.Duration // from the decision to stop to the engine's word
}

func (f *fleet) Count(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[name]++
}

func (f *fleet) Observe(name string, d time.Duration) {
	if name != proxy.MetricYield {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.yields = append(f.yields, d)
}

func newFleet(b *testing.B, w way) *fleet {
	f := &fleet{way: w, counts: make(map[string]int)}
	config := route.Config{Disabled: w.disabled}
	if w.noAffinity {
		config.AffinityTries = -1
	}
	var gates []route.Gate
	for i := range weighGates {
		id := fmt.Sprint("g", i)
		gates = append(gates, route.Gate{ID: id, Place: "glas-a"})
		router := proxy.New(proxy.Options{
			Self: id, Place: "glas-a", Seed: weighSeed, Metrics: f, Route: config,
			SendUsage: func(_ context.Context, gate string, u []proxy.Usage) ([]upstream.Feeding, error) {
				return f.gates[gate[1]-'0'].Yield(u), nil
			},
		})
		f.gates = append(f.gates, router)
		b.Cleanup(router.Close)
	}
	for _, g := range f.gates {
		g.SetGates(gates, 0)
	}
	for range weighEngines {
		options := engine.Defaults()
		options.Slots, options.MaxTokens = weighSlots, weighTokens
		options.FirstToken, options.FirstTokenCached, options.TokenEvery = weighFirst, weighFirst/4, weighToken
		options.CachedPrefixes = weighPrefixes / 4
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
			Load: upstream.Load{Slots: weighSlots, Running: reported.Running, Queued: reported.Queued, Ready: true},
		}
		for _, gate := range []int{i, i + 1} { // each replica announces to two gates
			_ = f.gates[gate%weighGates].Announce(a)
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

// run keeps reports, gossip and batch going until ctx ends.
func (f *fleet) run(ctx context.Context) *sync.WaitGroup {
	var running sync.WaitGroup
	cursors := make([]proxy.Cursor, weighGates)
	f.announce(1)
	f.gossip(cursors)
	running.Go(func() {
		report, digest := time.NewTicker(weighReport), time.NewTicker(weighGossip)
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
	if !f.way.noBatch {
		for i := range weighGates * weighWorkers {
			running.Go(func() { f.work(ctx, i) })
		}
	}
	return &running
}

func (f *fleet) work(ctx context.Context, worker int) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("item-%d-%d", worker, n)
		result, err := f.gates[worker%weighGates].RunBatch(ctx, proxy.BatchItem{
			ID: id, Service: "wordroom", Body: []byte(f.body(worker<<20+n, false)), Repeatable: true, Policy: f.way.policy,
		})
		if err == nil && result.Outcome == proxy.BatchDone && result.Status == http.StatusOK {
			f.items.Add(1)
		}
	}
}

// body gives a request. Online prompts start with one of weighPrefixes
// instructions, of which an engine caches a quarter; batch prompts start with
// one of a few, as the items of a job do, or each differently.
func (f *fleet) body(n int, online bool) string {
	start := fmt.Sprintf("item %d ", n)
	switch {
	case online:
		start = strings.Repeat(fmt.Sprintf("instructions %02d ", n*7919%weighPrefixes), 20)
	case !f.way.mixedBatch:
		start = strings.Repeat(fmt.Sprintf("job %02d ", n%weighJobs), 40)
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

// online offers requests at their arrivals and returns the times to their
// first bytes, in order of size, and the number of refused ones.
func (f *fleet) online(bursts bool) (delays []time.Duration, refused int) {
	profile := load.Profile{Rate: 33, Length: weighLength}
	if bursts {
		for at := 2 * time.Second; at < weighLength; at += 4 * time.Second {
			profile.Bursts = append(profile.Bursts, load.Burst{At: at, For: time.Second, Factor: 5})
		}
	}
	var mu sync.Mutex
	var asked sync.WaitGroup
	start := time.Now()
	for i, at := range profile.Arrivals(rand.New(rand.NewPCG(weighSeed, weighSeed))) {
		time.Sleep(time.Until(start.Add(at)))
		asked.Go(func() {
			id := fmt.Sprint("q", i)
			w := &firstByte{ResponseRecorder: *httptest.NewRecorder()}
			r := httptest.NewRequest(http.MethodPost, proxy.PathCompletions, nil)
			f.gates[i%weighGates].ServeOnline(w, r, proxy.OnlineRequest{
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

// BenchmarkWeigh compares ways to treat batch under online load with bursts of
// five times its rate. Run it with -benchtime 1x; an operation takes 12 s.
func BenchmarkWeigh(b *testing.B) {
	for _, w := range weighWays() {
		b.Run(strings.ReplaceAll(w.name, " ", "_"), func(b *testing.B) {
			for range b.N {
				weigh(b, w)
			}
		})
	}
}

// quantile gives a quantile of sorted delays, in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}

func weigh(b *testing.B, w way) {
	f := newFleet(b, w)
	ctx, stop := context.WithCancel(context.Background())
	running := f.run(ctx)
	start := time.Now()
	delays, refused := f.online(true)
	elapsed := time.Since(start)
	items := f.items.Load()
	stop()
	running.Wait()
	slotTime := elapsed * weighEngines * weighSlots
	idle := slotTime - time.Duration(len(delays))*weighAnswer
	b.ReportMetric(quantile(delays, 0.5), "p50-ms")
	b.ReportMetric(quantile(delays, 0.95), "p95-ms")
	b.ReportMetric(quantile(delays, 0.99), "p99-ms")
	b.ReportMetric(quantile(delays, 0.999), "p99.9-ms")
	b.ReportMetric(100*float64(time.Duration(items)*weighAnswer)/float64(idle), "%idle-used")
	if len(f.yields) > 0 {
		slices.Sort(f.yields)
		b.ReportMetric(quantile(f.yields, 0.99), "yield-p99-ms")
	}
	b.ReportMetric(float64(f.counts["cancel_preempted"]), "preempted")
	b.ReportMetric(float64(f.counts[string(route.ReasonBatchBehind)]), "queued")
	b.ReportMetric(float64(refused), "refused")
	b.ReportMetric(0, "ns/op")
	for name, count := range f.counts {
		if strings.HasPrefix(name, route.ReasonRetryPrefix) {
			b.Logf("%s: %s %d", w.name, name, count)
		}
	}
}
