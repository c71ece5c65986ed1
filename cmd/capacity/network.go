package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"slateway.example/slateway/internal/member"
)

// Costs of a datagram beside its data: IP and UDP headers.
const datagramHeader = 28

// Steps of virtual time.
const (
	tick   = 100 * time.Millisecond
	warmUp = 30 * time.Second
	window = 40 * time.Second
)

// A load digest at the planned size: 13 replicas announce to a gate, and one row
// of a load takes rowBytes.
const (
	replicasPerGate = 13
	loadKind        = member.FirstVolatile
	listKind        = member.FirstNear
)

// node is one VM with its traffic.
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

// network delivers packets at once and loses none.
type network struct {
	now   time.Time
	nodes map[string]*node
	order []*node
	ticks int
	queue []flight
	cut   func(from, to *node) bool // nil: no packet is lost
	// rowBytes is the size of a replica's row in the load digest that each VM
	// spreads a second; zero spreads none.
	rowBytes int
	// listBytes is the size of the list of replicas that each place gives the
	// others; its loads change each second, the list does not.
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
	config := member.Config{Seeds: seeds, BytesPerSecond: 1 << 20} // the cost unbounded is what is asked
	n := &node{name: vm.Name, place: place, region: region, address: vm.Peers, member: member.New(config, vm, uint64(w.now.UnixMilli()), random, w.now)}
	w.take(n, n.member.SetReady(w.now))
	w.nodes[n.address] = n
	w.order = append(w.order, n)
}

func (w *network) take(from *node, output member.Output) {
	for _, packet := range output.Packets {
		from.bytesOut += len(packet.Data) + datagramHeader
		from.packets++
		w.queue = append(w.queue, flight{from, packet})
	}
}

// flight is a packet on its way.
type flight struct {
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
		w.take(to, output)
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
			w.take(n, n.member.Tick(w.now))
			// VMs spread their loads at different moments of the second.
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
		output, err := n.member.SetDigest(w.now, loadKind, w.changing(w.rowBytes*replicasPerGate))
		if err != nil {
			return err
		}
		w.take(n, output)
	}
	if w.listBytes > 0 {
		n.member.SetSum(listKind, make([]byte, w.listBytes))
		n.member.SetSum(loadKind, w.changing(w.rowBytes*replicasListed))
	}
	return nil
}

// changing makes data that differs from what it was a tick ago.
func (w *network) changing(size int) []byte {
	data := make([]byte, size)
	copy(data, w.now.Format(time.StampMilli))
	return data
}

// traffic is what one VM sends and receives a second.
type traffic struct{ packets, out, in float64 }

// measure runs the warm-up, then gives the traffic of each VM in the window and
// the processor time of the whole, a VM and a second.
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
