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

// spreader tells other control VMs what was heard here, with one call at a time to
// each of them. What comes while a call is under way goes with the next one: when
// hundreds of gates start together, a call for each of them would take hundreds of
// connections to each control VM.
type spreader struct {
	self  string // peers address of this VM
	calls *rpc.Client
	log   *zap.Logger

	mu    sync.Mutex
	peers map[string]*outgoing // by peers address
	// unreachable are those whose last call failed.
	unreachable map[string]bool
}

// outgoing is what one control VM is still to be told.
type outgoing struct {
	sending bool
	next    *parcel // nil: nothing
}

// parcel is the content of one call: the newest of each replica and gate.
type parcel struct {
	replicas   map[upstream.ReplicaID]roster.ReplicaReport
	gates      map[string]roster.GateReport
	left       map[upstream.ReplicaID]controlapi.Left
	candidates []quorum.Member
	done       chan struct{} // closes when the call has ended
}

func newSpreader(self string, calls *rpc.Client, log *zap.Logger) *spreader {
	return &spreader{self: self, calls: calls, log: log, peers: make(map[string]*outgoing), unreachable: make(map[string]bool)}
}

// spread queues a message for the control VMs at the addresses and gives a channel
// for each, which closes when the call that carries it has ended.
func (s *spreader) spread(ctx context.Context, addresses []string, message *controlapi.ShareRequest) []<-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ends []<-chan struct{}
	for _, address := range addresses {
		if address == s.self {
			continue
		}
		peer := s.peers[address]
		if peer == nil {
			peer = &outgoing{}
			s.peers[address] = peer
		}
		if peer.next == nil {
			peer.next = newParcel()
		}
		peer.next.add(message)
		ends = append(ends, peer.next.done)
		if !peer.sending {
			peer.sending = true
			go s.run(ctx, address)
		}
	}
	return ends
}

// run sends parcels to one control VM until there is none left.
func (s *spreader) run(ctx context.Context, address string) {
	for {
		next := s.take(address)
		if next == nil {
			return
		}
		s.send(ctx, address, next)
		close(next.done)
	}
}

func (s *spreader) take(address string) *parcel {
	s.mu.Lock()
	defer s.mu.Unlock()
	peer := s.peers[address]
	next := peer.next
	peer.next = nil
	if next == nil {
		delete(s.peers, address)
	}
	return next
}

func (s *spreader) send(ctx context.Context, address string, p *parcel) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shareTimeout)
	defer cancel()
	_, err := rpc.Call(ctx, s.calls, address, controlapi.Share, p.request(s.self))
	s.mu.Lock()
	before := s.unreachable[address]
	if err != nil {
		s.unreachable[address] = true
	} else {
		delete(s.unreachable, address)
	}
	s.mu.Unlock()
	if before != (err != nil) {
		s.log.Info("control VM", zap.String("address", address), zap.Bool("reachable", err == nil), zap.Error(err))
	}
}

// isUnreachable says whether the last call to a control VM failed.
func (s *spreader) isUnreachable(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreachable[address]
}

func newParcel() *parcel {
	return &parcel{
		replicas: make(map[upstream.ReplicaID]roster.ReplicaReport), gates: make(map[string]roster.GateReport),
		left: make(map[upstream.ReplicaID]controlapi.Left), done: make(chan struct{}),
	}
}

func (p *parcel) add(message *controlapi.ShareRequest) {
	for _, heard := range message.Replicas {
		p.replicas[heard.Replica.Replica] = heard
	}
	for _, heard := range message.Gates {
		p.gates[heard.Gate.VM] = heard
	}
	for _, left := range message.Left {
		p.left[left.Replica] = left
	}
	if len(message.Candidates) > 0 {
		p.candidates = message.Candidates
	}
}

func (p *parcel) request(from string) *controlapi.ShareRequest {
	return &controlapi.ShareRequest{
		From: from, Candidates: p.candidates,
		Replicas: slices.Collect(maps.Values(p.replicas)),
		Gates:    slices.Collect(maps.Values(p.gates)),
		Left:     slices.Collect(maps.Values(p.left)),
	}
}

// await returns when all ends have closed, or after timeout.
func await(ends []<-chan struct{}, timeout time.Duration) {
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
