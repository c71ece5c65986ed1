package keeper_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"slateway.example/slateway/internal/claim"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/keeper"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/keeper/keepertest"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/rpc"
)

const (
	measuredGroups = 5
	measuredGates  = 8
	uploaders      = 16
	partSize       = 500
	bodyBytes      = 400
)

// setting returns a benchmark parameter from the environment.
func setting(name string, fallback int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return fallback
}

// BenchmarkItemsEndToEnd uploads, leases, completes and reads the items of
// several jobs through 3 keepers, with 8 gates. ITEMS and JOBS set the size.
// MAX_BATCH=1 makes the log sync each entry separately.
func BenchmarkItemsEndToEnd(b *testing.B) {
	items, jobs := setting("ITEMS", 20_000), setting("JOBS", 8)
	items -= items % jobs
	for b.Loop() {
		cluster := keepertest.StartCluster(b, 3, measuredGroups, func(config *replica.Config, _ *keeper.Options) {
			config.WAL.MaxBatch = setting("MAX_BATCH", 0)
		})
		client := cluster.Client()
		started := time.Now()
		ids := upload(b, client, items, jobs)
		report(b, "acknowledged/s", items, started)
		started = time.Now()
		execute(b, client, items)
		report(b, "completed/s", items, started)
		started = time.Now()
		if read := readAll(b, client, ids); read != items {
			b.Fatalf("read %d results of %d", read, items)
		}
		report(b, "read/s", items, started)
	}
}

func report(b *testing.B, unit string, count int, since time.Time) {
	b.ReportMetric(float64(count)/time.Since(since).Seconds(), unit)
}

func upload(b testing.TB, client *keeperclient.Client, items, jobs int) []job.ID {
	ids := make([]job.ID, jobs)
	body := make([]byte, bodyBytes)
	var uploads errgroup.Group
	uploads.SetLimit(uploaders)
	for n := range jobs {
		uploads.Go(func() error {
			ctx := context.Background()
			status, err := client.CreateJob(ctx, spec(fmt.Sprint("job-", n)))
			if err != nil {
				return err
			}
			ids[n] = status.ID
			left, parts := items/jobs, 0
			for ; left > 0; parts++ {
				part := make([]job.Item, min(left, partSize))
				for i := range part {
					part[i] = job.Item{CustomID: fmt.Sprint(parts*partSize + i), Endpoint: "/v1/completions", Body: body}
				}
				if _, err := client.AddPart(ctx, status.ID, parts, part); err != nil {
					return err
				}
				left -= len(part)
			}
			_, err = client.SealJob(ctx, status.ID, parts)
			return err
		})
	}
	if err := uploads.Wait(); err != nil {
		b.Fatal(err)
	}
	return ids
}

// execute runs at least the given number of items and returns how many it ran. These
// may be more, because items are leased several at a time.
func execute(b testing.TB, client *keeperclient.Client, items int) int {
	var done atomic.Int64
	var gates errgroup.Group
	for n := range measuredGates {
		session := client.NewSession(job.GateRun{VM: fmt.Sprint("vm-gate-", n)})
		gates.Go(func() error { return gate(session, &done, int64(items)) })
	}
	if err := gates.Wait(); err != nil {
		b.Fatal(err)
	}
	return int(done.Load())
}

// gate leases and completes items until all gates together have completed items.
func gate(session *keeperclient.Session, done *atomic.Int64, items int64) error {
	ctx := context.Background()
	for done.Load() < items {
		leased, err := session.Lease(ctx, []job.QueueDemand{{Queue: queue, Max: 32}}, 100*time.Millisecond)
		if err != nil {
			return err
		}
		results := make([]job.Result, 0, len(leased))
		for _, item := range leased {
			results = append(results, answer(item))
		}
		if err := session.Complete(ctx, results); err != nil {
			return err
		}
		done.Add(int64(len(results)))
	}
	return nil
}

func readAll(b testing.TB, client *keeperclient.Client, ids []job.ID) int {
	var count atomic.Int64
	var reads errgroup.Group
	reads.SetLimit(uploaders)
	for _, id := range ids {
		reads.Go(func() error {
			for from, end := uint32(0), false; !end; {
				response, err := client.Results(context.Background(), id, from, 1000)
				if err != nil {
					return err
				}
				count.Add(int64(len(response.Results)))
				from, end = response.Next, response.End
			}
			return nil
		})
	}
	if err := reads.Wait(); err != nil {
		b.Fatal(err)
	}
	return int(count.Load())
}

// BenchmarkState measures the cost of items in memory, in a snapshot and at a
// restart, in the job group of a single keeper. ITEMS and JOBS set the size.
func BenchmarkState(b *testing.B) {
	items, jobs := setting("ITEMS", 100_000), setting("JOBS", 1)
	items -= items % jobs
	for b.Loop() {
		machine, client := openMachine(b)
		empty := heapInUse()
		ids := upload(b, client, items, jobs)
		reportState(b, machine, "open", items, heapInUse()-empty)
		done := execute(b, client, items/2)
		reportState(b, machine, "half", items, heapInUse()-empty)
		execute(b, client, items-done)
		reportState(b, machine, "ended", items, heapInUse()-empty)
		b.ReportMetric(float64(heapInUse()-empty)/float64(jobs), "ended-B/job")
		if read := readAll(b, client, ids); read != items {
			b.Fatalf("read %d results of %d", read, items)
		}
	}
}

// BenchmarkClaim measures the latency that claiming a non-idempotent online request
// adds before it is sent, and that of reporting its outcome, through 3 keepers.
func BenchmarkClaim(b *testing.B) {
	client := keepertest.StartCluster(b, 3, measuredGroups, nil).Client()
	session := client.NewSession(job.GateRun{VM: "vm-gate"})
	ctx := context.Background()
	var claiming, reporting time.Duration
	n := 0
	for b.Loop() {
		n++
		id := fmt.Sprint("request-", n)
		started := time.Now()
		if _, err := session.Claim(ctx, "registry", id, 1, id); err != nil {
			b.Fatal(err)
		}
		claimed := time.Now()
		if err := session.FinishClaim(ctx, claim.Finish{Team: "registry", Key: id, ID: id, Outcome: make([]byte, bodyBytes)}); err != nil {
			b.Fatal(err)
		}
		claiming += claimed.Sub(started)
		reporting += time.Since(claimed)
	}
	b.ReportMetric(float64(claiming.Microseconds())/float64(n), "µs/claim")
	b.ReportMetric(float64(reporting.Microseconds())/float64(n), "µs/report")
}

// openMachine starts a service with one job group and no log.
func openMachine(b *testing.B) (*keeper.JobMachine, *keeperclient.Client) {
	machine := keeper.NewJobMachine(b.TempDir(), func(err error) { panic(err) })
	config := keeper.NewConfigMachine()
	service := keeper.NewService(keeper.Options{
		Self: keepertest.Self.ID, Proposer: keepertest.NewLocal(config, machine),
		Config: config, Jobs: []*keeper.JobMachine{machine}, Log: zap.NewNop(),
	})
	mux := http.NewServeMux()
	service.Mount(mux)
	server := httptest.NewServer(mux)
	b.Cleanup(server.Close)
	return machine, keeperclient.New(rpc.NewClient(server.Client()), []string{strings.TrimPrefix(server.URL, "http://")})
}

func reportState(b *testing.B, machine *keeper.JobMachine, when string, items int, heap uint64) {
	b.ReportMetric(float64(heap)/float64(items), when+"-B/item")
	started := time.Now()
	snapshot, err := machine.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(time.Since(started).Milliseconds()), when+"-snapshot-ms")
	b.ReportMetric(float64(len(snapshot.State))/float64(items)*100_000, when+"-snapshot-B/100k")
	started = time.Now()
	if err := machine.Restore(snapshot); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(time.Since(started).Milliseconds()), when+"-restore-ms")
}

// heapInUse returns the size of the live objects in bytes.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
