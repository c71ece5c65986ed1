package member_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"slateway.example/slateway/internal/member"
)

const (
	step  = 100 * time.Millisecond
	delay = 5 * time.Millisecond
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// network simulates a network and its clock. Packets arrive after a delay unless they are
// cut or dropped. Paused nodes neither tick nor receive.
type network struct {
	now       time.Time
	random    *rand.Rand
	nodes     map[string]*member.Node // by peers address
	order     []string
	queue     []flight
	paused    map[string]bool
	cut       func(from, to string) bool
	loss      float64
	duplicate float64
	jitter    time.Duration
	events    []string
	bytes     int
	largest   int
}

type flight struct {
	from, to string
	data     []byte
	at       time.Time
}

func newNetwork(seed uint64) *network {
	return &network{
		now: start, random: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*member.Node{}, paused: map[string]bool{},
		cut: func(string, string) bool { return false },
	}
}

func (w *network) add(place string, index int, seeds ...string) string {
	vm := member.VM{
		Name: fmt.Sprintf("%s-%d", place, index), Place: place, Region: "north",
		Peers: fmt.Sprintf("%s:%d", place, index), Callers: fmt.Sprintf("callers-%s:%d", place, index),
	}
	node := member.New(member.Config{Seeds: seeds}, vm, uint64(w.now.UnixMilli()), w.random, w.now)
	if w.nodes[vm.Peers] == nil {
		w.order = append(w.order, vm.Peers)
	}
	w.nodes[vm.Peers] = node
	w.apply(vm.Peers, node.SetReady(w.now))
	return vm.Peers
}

// addPlace adds count nodes that know only the first.
func (w *network) addPlace(place string, count int) []string {
	var addresses []string
	for i := range count {
		addresses = append(addresses, w.add(place, i, place+":0"))
	}
	return addresses
}

func (w *network) apply(from string, output member.Output) {
	for _, event := range output.Events {
		w.events = append(w.events, fmt.Sprintf("%s %d %s %s", from, event.Kind, event.VM, event.State))
	}
	for _, packet := range output.Packets {
		w.bytes += len(packet.Data)
		w.largest = max(w.largest, len(packet.Data))
		copies := 1
		if w.random.Float64() < w.duplicate {
			copies = 2
		}
		for range copies {
			at := w.now.Add(delay)
			if w.jitter > 0 {
				at = at.Add(time.Duration(w.random.Int64N(int64(w.jitter))))
			}
			w.queue = append(w.queue, flight{from, packet.To, packet.Data, at})
		}
	}
}

func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.deliver()
		for _, address := range w.order {
			if !w.paused[address] {
				w.apply(address, w.nodes[address].Tick(w.now))
			}
		}
	}
}

// deliver delivers all packets that are due, and the answers to them that are due too.
func (w *network) deliver() {
	for {
		i := slices.IndexFunc(w.queue, func(f flight) bool { return !f.at.After(w.now) })
		if i < 0 {
			return
		}
		f := w.queue[i]
		w.queue = slices.Delete(w.queue, i, i+1)
		node := w.nodes[f.to]
		if node == nil || w.paused[f.to] || w.cut(f.from, f.to) || w.random.Float64() < w.loss {
			continue
		}
		output, err := node.Receive(w.now, f.data)
		if err != nil {
			panic(err)
		}
		w.apply(f.to, output)
	}
}

// states returns the states of all VMs in the view of the node at address, as
// "name:state".
func (w *network) states(address string) []string {
	var states []string
	for _, m := range w.nodes[address].Members() {
		states = append(states, m.VM.Name+":"+m.State.String())
	}
	return states
}

// digest returns the digest of vm that the node at address holds.
func (w *network) digest(address, vm string, kind member.DigestKind) string {
	for _, m := range w.nodes[address].Members() {
		for _, d := range m.Digests {
			if m.VM.Name == vm && d.Kind == kind {
				return string(d.Data)
			}
		}
	}
	return ""
}
