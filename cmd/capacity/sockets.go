package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"slateway.example/slateway/internal/fleet"
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
)

const (
	socketWarmUp = 5 * time.Second
	socketWindow = 10 * time.Second
)

// measureSockets runs fleet.Fleet instances in this process over loopback UDP, so
// that the kernel's cost per packet is included.
func measureSockets(ctx context.Context, _ *cli.Command) error {
	fmt.Printf("\n### Real sockets on loopback, loads each second as rows of numbers\n\n")
	bytes := &series{name: "B/s in+out"}
	processor := &series{name: "us of processor/s"}
	memory := &series{name: "KB of heap"}
	for _, size := range []int{4, 8, 16, 32} {
		if err := socketsOf(ctx, size, bytes, processor, memory); err != nil {
			return err
		}
	}
	printTable("VMs", []*series{bytes, processor, memory})
	return nil
}

func socketsOf(ctx context.Context, size int, bytes, processor, memory *series) error {
	heap := heapBytes()
	metrics := telemetry.NewMetrics()
	fleets, err := startFleets(size, metrics)
	if err != nil {
		return err
	}
	defer func() {
		for _, f := range fleets {
			f.Close()
		}
	}()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go spreadLoads(ctx, fleets)
	time.Sleep(socketWarmUp)
	totalBytes := func() float64 {
		return float64(metrics.Value("member.bytes_out") + metrics.Value("member.bytes_in"))
	}
	bytesBefore, spentBefore := totalBytes(), processorTime()
	time.Sleep(socketWindow)
	seconds := socketWindow.Seconds() * float64(size)
	bytes.add(size, (totalBytes()-bytesBefore)/seconds)
	processor.add(size, (processorTime()-spentBefore).Seconds()*1e6/seconds)
	memory.add(size, (heapBytes()-heap)/float64(size)/1024)
	return nil
}

func startFleets(size int, metrics *telemetry.Metrics) ([]*fleet.Fleet, error) {
	addresses, err := freeAddresses(size)
	if err != nil {
		return nil, err
	}
	var fleets []*fleet.Fleet
	for i, address := range addresses {
		f, err := fleet.New(fleet.Options{
			Member:  member.Config{Seeds: addresses[:1]},
			VM:      member.VM{Name: fmt.Sprintf("vm-%03d", i), Place: "a", Region: "r", Peers: address, Callers: address},
			Client:  rpc.NewClient(http.DefaultClient),
			Metrics: metrics,
			Log:     zap.NewNop(),
		})
		if err != nil {
			return nil, err
		}
		f.Start()
		f.SetReady()
		fleets = append(fleets, f)
	}
	return fleets, nil
}

// freeAddresses returns free loopback addresses. It binds all of them before it
// releases any, so that they differ.
func freeAddresses(count int) ([]string, error) {
	var sockets []*net.UDPConn
	defer func() {
		for _, socket := range sockets {
			_ = socket.Close() // nothing was sent on it
		}
	}()
	addresses := make([]string, count)
	for i := range addresses {
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		sockets = append(sockets, socket)
		addresses[i] = socket.LocalAddr().String()
	}
	return addresses, nil
}

func spreadLoads(ctx context.Context, fleets []*fleet.Fleet) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for count := uint64(1); ; count++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			data := make([]byte, numericRowBytes*replicasPerGate)
			binary.BigEndian.PutUint64(data, count)
			for _, f := range fleets {
				_ = f.SetDigest(loadKind, data) // cannot fail: the digest is below the size limit
			}
		}
	}
}
