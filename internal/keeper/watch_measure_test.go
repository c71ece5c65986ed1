package keeper_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/keeper/keepertest"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/team"
)

// BenchmarkWatchers measures the cost of GATES gates that hold configuration leases,
// with 3 keepers and the gates in one process: CPU time, bytes on the gates'
// connections, and the time until a change is in force.
func BenchmarkWatchers(b *testing.B) {
	const observed = 5 * time.Second
	for b.Loop() {
		cluster := keepertest.StartCluster(b, 3, 2, nil)
		operator := cluster.Client()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		template, err := team.ParseTemplate("newsdesk", nil)
		if err != nil {
			b.Fatal(err)
		}
		first, err := operator.ApplyChange(ctx, team.Change{ID: "t", PutTemplate: &template})
		if err != nil {
			b.Fatal(err)
		}
		idle := cpuIn(observed)
		var bytes atomic.Int64
		var gates sync.WaitGroup
		count := setting("GATES", 420)
		for n := range count {
			watcher := keeperclient.NewWatcher(countingClient(cluster, &bytes), fmt.Sprint("vm-", n), zap.NewNop())
			gates.Go(func() { watcher.Run(ctx) })
		}
		inForce(ctx, b, operator, first.Revision)
		before := bytes.Load()
		busy := cpuIn(observed)
		perGate := float64(count) * observed.Seconds()
		b.ReportMetric(float64((busy-idle).Microseconds())/perGate, "cpu-µs/gate/s")
		b.ReportMetric(float64(bytes.Load()-before)/perGate, "B/gate/s")
		started := time.Now()
		second, err := operator.ApplyChange(ctx, team.Change{ID: "c", PutTeam: &team.Team{Name: "council", Template: "newsdesk"}})
		if err != nil {
			b.Fatal(err)
		}
		inForce(ctx, b, operator, second.Revision)
		b.ReportMetric(float64(time.Since(started).Milliseconds()), "in-force-ms")
		cancel()
		gates.Wait()
	}
}

func inForce(ctx context.Context, b *testing.B, client *keeperclient.Client, revision uint64) {
	progress, err := client.ChangeStatus(ctx, revision, 15*time.Second)
	if err != nil || !progress.InForce {
		b.Fatalf("not in force: %+v, %v", progress, err)
	}
}

// cpuIn returns the CPU time that this process uses within d.
func cpuIn(d time.Duration) time.Duration {
	before := cpu()
	time.Sleep(d)
	return cpu() - before
}

func cpu() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// countingClient creates a client that counts the bytes on its connections.
func countingClient(cluster *keepertest.Cluster, bytes *atomic.Int64) *keeperclient.Client {
	dialer := &net.Dialer{}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		return &countingConn{Conn: connection, bytes: bytes}, err
	}}
	var addresses []string
	for _, k := range cluster.Keepers {
		addresses = append(addresses, k.Address)
	}
	return keeperclient.New(rpc.NewClient(&http.Client{Transport: transport}), addresses)
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the received bytes.
func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the sent bytes.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}
