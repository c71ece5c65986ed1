package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"slateway.example/slateway/internal/member"
)

// datagramHeader is the size of the IP and UDP headers of a datagram.
const datagramHeader = 28

// Durations of virtual time.
const (
	tick   = 100 * time.Millisecond
	warmUp = 30 * time.Second
	window = 40 * time.Second
)

// Contents of a load digest at the planned fleet size: 13 replicas announce to each
// gate, and a load row takes network.rowBytes.
const (
	replicasPerGate = 13
	loadKind        = member.FirstVolatile
	listKind        = member.FirstNear
)

// node is one VM and its traffic counters.
type node struct {
	name     string
	place    string
	region   string
	address  string
	stopped  bool // its process neither runs nor receives
	member   *member.Node
	bytesOut int
	bytesIn  int
	packets  int
}

// network simulates the network between nodes. It delivers packets without delay and
// loses only those that cut selects.
type network struct {
	now   time.Time
	nodes map[string]*node
	order []*node
	ticks int
	queue []packetInTransit
	cut   func(from, to *node) bool // nil: no packet is lost
	// rowBytes is the size of a replica's row in the load digest that each VM
	// publishes every second; zero disables load digests.
	rowBytes int
	// listBytes is the size of the list of replicas that each place publishes to
	// the others. The replicas' loads change every second, the list does not.
	listBytes int
}

func newNetwork() *network {
	return &network{now: time.Unix(1_767_600_000, 0), nodes: map[string]*node{}}
}

func (w *network) add(region, place string, index int, seeds ...string) {
	vm := member.VM{
		Name: fmt.Sprintf("%s-vm-%03d", place, index), Place: place, Region: region,
		Peers:     fmt.Sprintf("10.%d.%d.%d:8082", len(w.order)/65536, len(w.order)/256%256, len(w.order)%256),
		Callers:   fmt.Sprintf("10.%d.%d.%d:8080", len(w.order)/65536, len(w.order)/256%256, len(w.order)%256),
		Operators: fmt.Sprintf("10.%d.%d.%d:8081", len(w.order)/65536, len(w.order)/256%256, len(w.order)%256),
	}
	random := rand.New(rand.NewPCG(1, uint64(len(w.order))))
	config := member.Config{Seeds: seeds, BytesPerSecond: 1 << 20} // high enough that the limit does not distort the measured cost
	n := &node{name: vm.Name, place: place, region: region, address: vm.Peers, member: member.New(config, vm, uint64(w.now.UnixMilli()), random, w.now)}
	w.send(n, n.member.SetReady(w.now))
	w.nodes[n.address] = n
	w.order = append(w.order, n)
}

func (w *network) send(from *node, output member.Output) {
	for _, packet := range output.Packets {
		from.bytesOut += len(packet.Data) + datagramHeader
		from.packets++
		w.queue = append(w.queue, packetInTransit{from, packet})
	}
}

// packetInTransit is a packet that has been sent and not yet delivered.
type packetInTransit struct {
	from   *node
	packet member.Packet
}

func (w *network) deliver() error {
	for len(w.queue) > 0 {
		f := w.queue[0]
		w.queue = w.queue[1:]
		to := w.nodes[f.packet.To]
		if to == nil || to.stopped || (w.cut != nil && w.cut(f.from, to)) {
			continue
		}
		to.bytesIn += len(f.packet.Data) + datagramHeader
		output, err := to.member.Receive(w.now, f.packet.Data)
		if err != nil {
			return err
		}
		w.send(to, output)
	}
	return nil
}

func (w *network) run(d time.Duration) error {
	for elapsed := time.Duration(0); elapsed < d; elapsed += tick {
		w.now = w.now.Add(tick)
		w.ticks++
		for i, n := range w.order {
			if n.stopped {
				continue
			}
			w.send(n, n.member.Tick(w.now))
			// Stagger the VMs' load digests over the second.
			if (w.ticks+i)%int(time.Second/tick) == 0 {
				if err := w.spreadLoad(n); err != nil {
					return err
				}
			}
		}
		if err := w.deliver(); err != nil {
			return err
		}
	}
	return nil
}

func (w *network) spreadLoad(n *node) error {
	if w.rowBytes > 0 {
		output, err := n.member.SetDigest(w.now, loadKind, w.changingData(w.rowBytes*replicasPerGate))
		if err != nil {
			return err
		}
		w.send(n, output)
	}
	if w.listBytes > 0 {
		n.member.SetSum(listKind, make([]byte, w.listBytes))
		n.member.SetSum(loadKind, w.changingData(w.rowBytes*replicasListed))
	}
	return nil
}

// changingData returns data that differs from that of the previous tick.
func (w *network) changingData(size int) []byte {
	data := make([]byte, size)
	copy(data, w.now.Format(time.StampMilli))
	return data
}

// traffic is the packets and bytes that one VM sends and receives per second.
type traffic struct{ packets, out, in float64 }

// measure runs the warm-up and then the measurement window. It returns the traffic
// of each VM in the window, and the CPU seconds per VM and second.
func (w *network) measure() ([]traffic, float64, error) {
	if err := w.run(warmUp); err != nil {
		return nil, 0, err
	}
	for _, n := range w.order {
		n.bytesIn, n.bytesOut, n.packets = 0, 0, 0
	}
	before := processorTime()
	if err := w.run(window); err != nil {
		return nil, 0, err
	}
	spent := processorTime() - before
	seconds := window.Seconds()
	list := make([]traffic, len(w.order))
	for i, n := range w.order {
		list[i] = traffic{float64(n.packets) / seconds, float64(n.bytesOut) / seconds, float64(n.bytesIn) / seconds}
	}
	return list, spent.Seconds() / seconds / float64(len(w.order)), nil
}
