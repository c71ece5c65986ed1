// Package fleet runs the membership node of this VM. It provides the socket, the clock and
// the locking, and dispatches events to registered handlers.
//
// Small packets are sent by UDP to the peers addresses. Packets that do not fit a
// datagram, such as a full view for a joining VM, are sent as calls over TCP to the same
// address.
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
)

// Names of the counters.
const (
	bytesOut   = "member.bytes_out"
	bytesIn    = "member.bytes_in"
	packetsOut = "member.packets_out"
	packetsIn  = "member.packets_in"
	badPackets = "member.packets_bad"
	sendFailed = "member.send_failed"
)

// maxDatagram is the size of the largest packet that is sent by UDP. It fits into an
// Ethernet frame.
const maxDatagram = 1400

// udpOverhead is the size of the IP and UDP headers, counted for each datagram.
const udpOverhead = 28

// ticksPerHeartbeat is the number of ticks of the node per heartbeat.
const ticksPerHeartbeat = 5

// maxCallBytes bounds a packet that is received as a call.
const maxCallBytes = 4 << 20

// LargePacket carries a packet that does not fit a datagram.
type LargePacket struct {
	Data []byte `cbor:"1,keyasint"`
}

// Ack acknowledges a LargePacket.
type Ack struct{}

const deliver rpc.Procedure[LargePacket, Ack] = "/slateway.member/deliver"

// Options configures a Fleet.
type Options struct {
	Member  member.Config
	VM      member.VM
	Listen  string // peers address to listen on; the VM's peers address if empty
	Client  *rpc.Client
	Metrics *telemetry.Metrics
	Log     *zap.Logger
}

// Fleet runs the membership of one VM. It is safe for concurrent use.
type Fleet struct {
	options Options
	socket  *net.UDPConn
	calls   chan member.Packet

	mu   sync.Mutex
	node *member.Node

	events   eventQueue
	handlers handlers

	stop context.CancelFunc
	done sync.WaitGroup
}

// New creates a Fleet and opens its socket. Handlers must be registered before Start.
func New(options Options) (*Fleet, error) {
	listen := options.Listen
	if listen == "" {
		listen = options.VM.Peers
	}
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("peers address %q is not of the form IP:port: %w", listen, err)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("cannot listen for members on UDP %s; free the port or change listen.peers: %w", listen, err)
	}
	if options.Member.Heartbeat == 0 {
		options.Member.Heartbeat = member.DefaultHeartbeat
	}
	now := time.Now()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Fleet{
		options: options,
		socket:  socket,
		calls:   make(chan member.Packet, 64),
		node:    member.New(options.Member, options.VM, uint64(now.UnixMilli()), random, now),
		events:  newEventQueue(),
	}, nil
}

// Handle registers the procedure that receives large packets.
func (f *Fleet) Handle(mux *http.ServeMux) {
	rpc.Handle(mux, deliver, maxCallBytes, func(_ context.Context, large *LargePacket) (*Ack, error) {
		f.receive(large.Data, 0)
		return &Ack{}, nil
	})
}

// Start starts to join, probe and answer.
func (f *Fleet) Start() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.done.Go(func() { f.tickLoop(ctx) })
	f.done.Go(f.receiveLoop)
	f.done.Go(func() { f.callLoop(ctx) })
	f.done.Go(f.dispatchLoop)
}

// Close stops the membership without notifying other VMs. Leave notifies them.
func (f *Fleet) Close() {
	_ = f.socket.Close() // ends receiveLoop; nothing is buffered
	if f.stop != nil {
		f.stop()
	}
	f.events.close()
	f.done.Wait()
}

// Members returns the VMs of the own place, including this one, sorted by name.
func (f *Fleet) Members() []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.Members()
}

// Areas returns the areas of other places.
func (f *Fleet) Areas() []member.PlaceArea {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.Areas(time.Now())
}

// Isolated reports whether this VM is probably cut off from all others.
func (f *Fleet) Isolated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.Isolated(time.Now())
}

// SetDigest sets this VM's digest of a kind and pushes it to its place.
func (f *Fleet) SetDigest(kind member.DigestKind, data []byte) error {
	f.mu.Lock()
	output, err := f.node.SetDigest(time.Now(), kind, data)
	f.mu.Unlock()
	f.applyOutput(output)
	return err
}

// SetSum sets the place's sum of a kind. If this VM is the place's delegate, the sum is
// published to the other places.
func (f *Fleet) SetSum(kind member.DigestKind, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.node.SetSum(kind, data)
}

// Send sends one direct message, which may be lost. The receiver must be a VM of the own
// place or a contact of another place.
func (f *Fleet) Send(vm string, kind member.DigestKind, data []byte) error {
	f.mu.Lock()
	output, err := f.node.Direct(time.Now(), vm, kind, data)
	f.mu.Unlock()
	f.applyOutput(output)
	return err
}

// SetReady notifies the place that this gate can serve callers.
func (f *Fleet) SetReady() {
	f.mu.Lock()
	output := f.node.SetReady(time.Now())
	f.mu.Unlock()
	f.applyOutput(output)
}

// SetDraining notifies the place that this VM accepts no new callers.
func (f *Fleet) SetDraining() {
	f.mu.Lock()
	output := f.node.SetDraining(time.Now())
	f.mu.Unlock()
	f.applyOutput(output)
}

// Leave notifies the place that this VM leaves for good.
func (f *Fleet) Leave() {
	f.mu.Lock()
	output := f.node.Leave(time.Now())
	f.mu.Unlock()
	f.applyOutput(output)
}

func (f *Fleet) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(f.options.Member.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.mu.Lock()
			output := f.node.Tick(time.Now())
			f.mu.Unlock()
			f.applyOutput(output)
		}
	}
}

func (f *Fleet) receiveLoop() {
	buffer := make([]byte, 64<<10)
	for {
		size, _, err := f.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // the socket is closed; a UDP socket has no other permanent error
		}
		f.receive(append([]byte(nil), buffer[:size]...), udpOverhead)
	}
}

func (f *Fleet) receive(data []byte, overhead int) {
	f.options.Metrics.Count(packetsIn)
	f.options.Metrics.Add(bytesIn, int64(len(data)+overhead))
	f.mu.Lock()
	output, err := f.node.Receive(time.Now(), data)
	f.mu.Unlock()
	if err != nil {
		f.options.Metrics.Count(badPackets)
		f.options.Log.Debug("membership packet dropped", zap.Error(err))
		return
	}
	f.applyOutput(output)
}

func (f *Fleet) applyOutput(output member.Output) {
	for _, packet := range output.Packets {
		f.send(packet)
	}
	f.events.add(output.Events)
}

func (f *Fleet) send(packet member.Packet) {
	if len(packet.Data) > maxDatagram {
		select {
		case f.calls <- packet:
		default: // the receiver is slow; the view hash of a later probe requests the data again
			f.options.Metrics.Count(sendFailed)
		}
		return
	}
	address, err := netip.ParseAddrPort(packet.To)
	if err == nil {
		_, err = f.socket.WriteToUDPAddrPort(packet.Data, address)
	}
	f.countSent(packet, udpOverhead, err)
}

func (f *Fleet) countSent(packet member.Packet, overhead int, err error) {
	if err != nil {
		f.options.Metrics.Count(sendFailed)
		f.options.Log.Debug("cannot send membership packet", zap.String("to", packet.To), zap.Error(err))
		return
	}
	f.options.Metrics.Count(packetsOut)
	f.options.Metrics.Add(bytesOut, int64(len(packet.Data)+overhead))
}

// callLoop sends large packets one at a time, which suffices because they are rare. It is
// separate from the sending of datagrams, so that an unresponsive peer does not delay
// them.
func (f *Fleet) callLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case packet := <-f.calls:
			limited, cancel := context.WithTimeout(ctx, f.options.Member.Heartbeat)
			_, err := rpc.Call(limited, f.options.Client, packet.To, deliver, &LargePacket{Data: packet.Data})
			cancel()
			f.countSent(packet, 0, err)
		}
	}
}
