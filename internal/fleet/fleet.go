// Package fleet runs the membership decision of this VM: it owns the socket,
// the clock and the lock, and hands events to those who asked for them.
//
// Small packets go by UDP to the peers addresses; those above one datagram, such
// as a full view for a joining VM, go as calls over TCP to the same address.
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

// maxDatagram is the largest packet sent by UDP; it fits an Ethernet frame.
const maxDatagram = 1400

// udpOverhead is counted for each datagram: IP and UDP headers.
const udpOverhead = 28

// ticksPerHeartbeat is how finely the decision sees time.
const ticksPerHeartbeat = 5

// maxCallBytes bounds a packet that comes as a call.
const maxCallBytes = 4 << 20

// Large carries a packet that does not fit a datagram.
type Large struct {
	Data []byte `cbor:"1,keyasint"`
}

// Done is the empty answer to a Large.
type Done struct{}

const deliver rpc.Procedure[Large, Done] = "/slateway.member/deliver"

// Options are what a Fleet needs.
type Options struct {
	Member  member.Config
	VM      member.VM
	Listen  string // peers address to listen on; the VM's own if empty
	Client  *rpc.Client
	Metrics *telemetry.Metrics
	Log     *zap.Logger
}

// Fleet is the membership of one VM. It is safe for concurrent use.
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

// New opens the socket. Register handlers, then call Start.
func New(options Options) (*Fleet, error) {
	listen := options.Listen
	if listen == "" {
		listen = options.VM.Peers
	}
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("peers address %q: %w", listen, err)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for members on %s; free the UDP port or change listen.peers: %w", listen, err)
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

// Handle mounts the call that takes large packets.
func (f *Fleet) Handle(mux *http.ServeMux) {
	rpc.Handle(mux, deliver, maxCallBytes, func(_ context.Context, large *Large) (*Done, error) {
		f.receive(large.Data, 0)
		return &Done{}, nil
	})
}

// Start begins to join, probe and answer.
func (f *Fleet) Start() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.done.Go(func() { f.tickLoop(ctx) })
	f.done.Go(f.receiveLoop)
	f.done.Go(func() { f.callLoop(ctx) })
	f.done.Go(f.dispatchLoop)
}

// Close stops without telling anyone; Leave does that.
func (f *Fleet) Close() {
	_ = f.socket.Close() // ends receiveLoop; nothing is buffered
	if f.stop != nil {
		f.stop()
	}
	f.events.close()
	f.done.Wait()
}

// Members lists the VMs of the own place by name, this one included.
func (f *Fleet) Members() []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.Members()
}

// Areas lists what is known of other places.
func (f *Fleet) Areas() []member.PlaceArea {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.Areas(time.Now())
}

// Alone reports whether this VM is probably cut off from all others.
func (f *Fleet) Alone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.Isolated(time.Now())
}

// SetDigest spreads the VM's own digest of a kind within its place.
func (f *Fleet) SetDigest(kind member.DigestKind, data []byte) error {
	f.mu.Lock()
	output, err := f.node.SetDigest(time.Now(), kind, data)
	f.mu.Unlock()
	f.carryOut(output)
	return err
}

// SetSum sets the place's sum of a kind; if this VM is the place's delegate it
// travels to the other places.
func (f *Fleet) SetSum(kind member.DigestKind, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.node.SetSum(kind, data)
}

// Send sends one direct message. It may be lost; the receiver is a VM of the
// own place or a contact of another.
func (f *Fleet) Send(vm string, kind member.DigestKind, data []byte) error {
	f.mu.Lock()
	output, err := f.node.Direct(time.Now(), vm, kind, data)
	f.mu.Unlock()
	f.carryOut(output)
	return err
}

// SetReady tells the place that this gate can serve callers.
func (f *Fleet) SetReady() {
	f.mu.Lock()
	output := f.node.SetReady(time.Now())
	f.mu.Unlock()
	f.carryOut(output)
}

// SetDraining tells the place that this VM takes no new callers.
func (f *Fleet) SetDraining() {
	f.mu.Lock()
	output := f.node.SetDraining(time.Now())
	f.mu.Unlock()
	f.carryOut(output)
}

// Leave tells the place that this VM is going for good.
func (f *Fleet) Leave() {
	f.mu.Lock()
	output := f.node.Leave(time.Now())
	f.mu.Unlock()
	f.carryOut(output)
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
			f.carryOut(output)
		}
	}
}

func (f *Fleet) receiveLoop() {
	buffer := make([]byte, 64<<10)
	for {
		size, _, err := f.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // the socket is closed: a UDP socket has no other lasting error
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
		f.options.Log.Debug("packet dropped", zap.Error(err))
		return
	}
	f.carryOut(output)
}

func (f *Fleet) carryOut(output member.Output) {
	for _, packet := range output.Packets {
		f.send(packet)
	}
	f.events.add(output.Events)
}

func (f *Fleet) send(packet member.Packet) {
	if len(packet.Data) > maxDatagram {
		select {
		case f.calls <- packet:
		default: // the far side is slow; the view's hash will ask again
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
		f.options.Log.Debug("packet not sent", zap.String("to", packet.To), zap.Error(err))
		return
	}
	f.options.Metrics.Count(packetsOut)
	f.options.Metrics.Add(bytesOut, int64(len(packet.Data)+overhead))
}

// callLoop sends large packets one after the other: they are rare, and a peer
// that hangs must not hold up datagrams.
func (f *Fleet) callLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case packet := <-f.calls:
			limited, cancel := context.WithTimeout(ctx, f.options.Member.Heartbeat)
			_, err := rpc.Call(limited, f.options.Client, packet.To, deliver, &Large{Data: packet.Data})
			cancel()
			f.countSent(packet, 0, err)
		}
	}
}
