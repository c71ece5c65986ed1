package replica

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
)

// proposalSize is close to the size in bytes of the result record of a batch item.
const proposalSize = 200

// BenchmarkPropose measures acknowledged changes per second and their latency.
func BenchmarkPropose(b *testing.B) {
	for _, members := range []int{3, 5} {
		for _, callers := range []int{1, 64, 512} {
			for _, each := range []bool{false, true} {
				name := fmt.Sprintf("members=%d/callers=%d/syncEach=%t", members, callers, each)
				b.Run(name, func(b *testing.B) { benchmarkPropose(b, members, callers, each) })
			}
		}
	}
}

func benchmarkPropose(b *testing.B, members, callers int, each bool) {
	c := startCluster(b, members, members, func(config *Config) { config.SyncEach = each })
	leader := c.leader().host
	c.propose("first")
	var mu sync.Mutex
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var next atomic.Int64
	var wait sync.WaitGroup
	b.ResetTimer()
	for range callers {
		wait.Go(func() {
			for next.Add(1) <= int64(b.N) {
				started := time.Now()
				if _, err := leader.Propose(context.Background(), 0, make([]byte, proposalSize)); err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				_ = histogram.RecordValue(time.Since(started).Microseconds())
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, "ms-p50")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, "ms-p99")
}

// BenchmarkLeaderLoss measures the time from the crash of a leader to the next
// acknowledged change.
func BenchmarkLeaderLoss(b *testing.B) {
	for range b.N {
		b.StopTimer()
		c := startCluster(b, 3, 3, nil)
		c.propose("first")
		lost := c.leader()
		b.StartTimer()
		lost.kill()
		c.propose("second")
	}
}

// BenchmarkRestart measures how long a member takes to open its data folder, by the
// number of changes, with the default snapshot interval.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{1_000, 9_000, 25_000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) { benchmarkRestart(b, changes) })
	}
}

func benchmarkRestart(b *testing.B, changes int) {
	c := startCluster(b, 1, 1, nil)
	v := c.vms[0]
	c.propose("first")
	var wait sync.WaitGroup
	for worker := range 100 {
		wait.Go(func() {
			for i := range changes / 100 {
				c.propose(fmt.Sprintf("%0*d", proposalSize, worker*changes+i))
			}
		})
	}
	wait.Wait()
	for i := range 3 { // the commit index is sent with the next write
		c.propose(fmt.Sprint("last-", i))
	}
	snapshotBytes := v.host.Status()[0].SnapshotBytes
	var logBytes int64
	segments, _ := filepath.Glob(filepath.Join(v.folder, logFolder, "*"))
	for _, path := range segments {
		if info, err := os.Stat(path); err == nil {
			logBytes += info.Size()
		}
	}
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		v.kill()
		b.StartTimer()
		c.restart(v)
		c.eventually("applied", func() bool { return v.host.Status()[0].Applied >= uint64(changes) })
	}
	b.ReportMetric(float64(snapshotBytes), "snapshot-bytes")
	b.ReportMetric(float64(logBytes), "log-bytes")
}

// BenchmarkIdle measures the cost of the members of idle groups: bytes per second on
// the connections of all members together, and the processor time of the process.
func BenchmarkIdle(b *testing.B) {
	for _, groups := range []uint32{1, 4, 16} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			c := startCluster(b, 3, 3, func(config *Config) { config.Groups = groups })
			c.propose("first")
			time.Sleep(time.Second)
			bytes, used := c.bytes(), cpuTime()
			b.ResetTimer()
			for range b.N {
				time.Sleep(time.Second)
			}
			b.ReportMetric(float64(c.bytes()-bytes)/b.Elapsed().Seconds()/3, "B/s/member")
			b.ReportMetric((cpuTime()-used).Seconds()/b.Elapsed().Seconds()/3*100, "%core/member")
		})
	}
}

// bytes returns the bytes sent and received on the connections that the VMs opened.
func (c *cluster) bytes() int64 {
	sum := int64(0)
	for _, v := range c.vms {
		sum += v.network.bytes.Load()
	}
	return sum
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
