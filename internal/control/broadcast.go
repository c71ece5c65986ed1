package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/upstream"
)

// broadcaster sends messages to other control VMs with one call at a time to each of
// them. Messages that arrive during a call are batched into the next one: when hundreds
// of gates start together, a call for each of them would take hundreds of connections to
// each control VM.
type broadcaster struct {
	self  string // peers address of this VM
	calls *rpc.Client
	log   *zap.Logger

	mu    sync.Mutex
	peers map[string]*peerQueue // by peers address
	// unreachable contains the addresses whose last call failed.
	unreachable map[string]bool
}

// peerQueue holds what is to be sent to one control VM.
type peerQueue struct {
	sending bool
	next    *batch // nil if there is nothing to send
}

// batch is the content of one call: the newest report of each replica and gate.
type batch struct {
	replicas   map[upstream.ReplicaID]roster.ReplicaReport
	gates      map[string]roster.GateReport
	departures map[upstream.ReplicaID]controlapi.Departure
	candidates []quorum.Member
	done       chan struct{} // closed when the call ends
}

func newBroadcaster(self string, calls *rpc.Client, log *zap.Logger) *broadcaster {
	return &broadcaster{self: self, calls: calls, log: log, peers: make(map[string]*peerQueue), unreachable: make(map[string]bool)}
}

// broadcast queues a message for the control VMs at the addresses. It returns a channel
// for each, which closes when the call that carries the message ends.
func (b *broadcaster) broadcast(ctx context.Context, addresses []string, message *controlapi.ShareRequest) []<-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ends []<-chan struct{}
	for _, address := range addresses {
		if address == b.self {
			continue
		}
		peer := b.peers[address]
		if peer == nil {
			peer = &peerQueue{}
			b.peers[address] = peer
		}
		if peer.next == nil {
			peer.next = newBatch()
		}
		peer.next.add(message)
		ends = append(ends, peer.next.done)
		if !peer.sending {
			peer.sending = true
			go b.run(ctx, address)
		}
	}
	return ends
}

// run sends batches to one control VM until none is left.
func (b *broadcaster) run(ctx context.Context, address string) {
	for {
		next := b.take(address)
		if next == nil {
			return
		}
		b.send(ctx, address, next)
		close(next.done)
	}
}

func (b *broadcaster) take(address string) *batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	peer := b.peers[address]
	next := peer.next
	peer.next = nil
	if next == nil {
		delete(b.peers, address)
	}
	return next
}

func (b *broadcaster) send(ctx context.Context, address string, content *batch) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shareTimeout)
	defer cancel()
	_, err := rpc.Call(ctx, b.calls, address, controlapi.Share, content.request(b.self))
	b.mu.Lock()
	before := b.unreachable[address]
	if err != nil {
		b.unreachable[address] = true
	} else {
		delete(b.unreachable, address)
	}
	b.mu.Unlock()
	if before != (err != nil) {
		b.log.Info("reachability of a control VM changed", zap.String("address", address), zap.Bool("reachable", err == nil), zap.Error(err))
	}
}

// isUnreachable reports whether the last call to a control VM failed.
func (b *broadcaster) isUnreachable(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unreachable[address]
}

func newBatch() *batch {
	return &batch{
		replicas: make(map[upstream.ReplicaID]roster.ReplicaReport), gates: make(map[string]roster.GateReport),
		departures: make(map[upstream.ReplicaID]controlapi.Departure), done: make(chan struct{}),
	}
}

func (b *batch) add(message *controlapi.ShareRequest) {
	for _, report := range message.Replicas {
		b.replicas[report.Replica.Replica] = report
	}
	for _, report := range message.Gates {
		b.gates[report.Gate.VM] = report
	}
	for _, departure := range message.Departures {
		b.departures[departure.Replica] = departure
	}
	if len(message.Candidates) > 0 {
		b.candidates = message.Candidates
	}
}

func (b *batch) request(from string) *controlapi.ShareRequest {
	return &controlapi.ShareRequest{
		From: from, Candidates: b.candidates,
		Replicas:   slices.Collect(maps.Values(b.replicas)),
		Gates:      slices.Collect(maps.Values(b.gates)),
		Departures: slices.Collect(maps.Values(b.departures)),
	}
}

// awaitAll returns when all channels are closed, or after timeout.
func awaitAll(ends []<-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for _, end := range ends {
		select {
		case <-end:
		case <-timer.C:
			return
		}
	}
}
