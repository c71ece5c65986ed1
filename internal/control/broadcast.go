package control

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"syscall"
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
	// failures is the number of calls in a row that failed, by address. unreachable
	// contains the addresses to which no replicas are sent.
	failures    map[string]int
	unreachable map[string]bool
	// forms is the roster.DigestForm of the control VMs that have answered; 0 for those of
	// a build without digests and renewals.
	forms map[string]int
}

// peerQueue holds what is to be sent to one control VM.
type peerQueue struct {
	sending bool
	next    *batch // nil if there is nothing to send
}

// batch is the content of one call: the newest report of each replica and gate.
type batch struct {
	replicas   map[upstream.ReplicaID]pending[roster.ReplicaReport]
	gates      map[string]pending[roster.GateReport]
	departures map[upstream.ReplicaID]controlapi.Departure
	candidates []quorum.Member
	done       chan struct{} // closed when the call ends
	err        error         // of the call; set before done is closed
}

// pending is a report to be sent. A report that has not changed since it was last sent is
// sent as a renewal to the control VMs that know renewals.
type pending[R any] struct {
	report  R
	renewal bool
}

// message is what is sent to the other control VMs: a request, and the reports that have not
// changed since they were last sent.
type message struct {
	*controlapi.ShareRequest
	renewedReplicas []roster.ReplicaReport
	renewedGates    []roster.GateReport
}

func newBroadcaster(self string, calls *rpc.Client, log *zap.Logger) *broadcaster {
	return &broadcaster{self: self, calls: calls, log: log, peers: make(map[string]*peerQueue), failures: make(map[string]int), unreachable: make(map[string]bool), forms: make(map[string]int)}
}

// broadcast queues a message for the control VMs at the addresses. It returns the batch that
// carries the message for each of them.
func (b *broadcaster) broadcast(ctx context.Context, addresses []string, message *message) []*batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batches []*batch
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
		batches = append(batches, peer.next)
		if !peer.sending {
			peer.sending = true
			go b.run(ctx, address)
		}
	}
	return batches
}

// run sends batches to one control VM until none is left.
func (b *broadcaster) run(ctx context.Context, address string) {
	for {
		next := b.take(address)
		if next == nil {
			return
		}
		next.err = b.send(ctx, address, next)
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

func (b *broadcaster) send(ctx context.Context, address string, content *batch) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shareTimeout)
	defer cancel()
	response, err := rpc.Call(ctx, b.calls, address, controlapi.Share, content.request(b.self, b.form(address)))
	if err == nil {
		b.recordForm(address, response.DigestForm)
	}
	b.recordResult(address, err)
	return err
}

// unreachableAfter is the number of failed calls in a row after which replicas are sent to
// other control VMs. One slow call of a busy control VM made hundreds of replicas change their
// control VM at once, and come back with the next call.
const unreachableAfter = 3

// recordResult updates the reachability of a control VM. A refused connection shows at once
// that no process serves there.
func (b *broadcaster) recordResult(address string, err error) {
	b.mu.Lock()
	before := b.unreachable[address]
	if err == nil {
		delete(b.failures, address)
		delete(b.unreachable, address)
	} else {
		b.failures[address]++
		if b.failures[address] >= unreachableAfter || errors.Is(err, syscall.ECONNREFUSED) {
			b.unreachable[address] = true
		}
	}
	after := b.unreachable[address]
	b.mu.Unlock()
	if before != after {
		b.log.Info("reachability of a control VM changed", zap.String("address", address), zap.Bool("reachable", !after), zap.Error(err))
	}
}

// form returns the roster.DigestForm of a control VM; 0 if it is unknown.
func (b *broadcaster) form(address string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forms[address]
}

func (b *broadcaster) recordForm(address string, form int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forms[address] = form
}

// unreachableAmong returns the positions of the unreachable control VMs in a list as bits. It
// returns none if more than half are unreachable: this VM is in contact with the leader of a
// majority, so that its own calls must be slow, and replicas are better off where they are.
func (b *broadcaster) unreachableAmong(controls []string) (positions uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.unreachable) == 0 {
		return 0
	}
	count := 0
	for i, address := range controls {
		if b.unreachable[address] {
			positions |= positionBit(i)
			count++
		}
	}
	if 2*count > len(controls) {
		return 0
	}
	return positions
}

func newBatch() *batch {
	return &batch{
		replicas: make(map[upstream.ReplicaID]pending[roster.ReplicaReport]), gates: make(map[string]pending[roster.GateReport]),
		departures: make(map[upstream.ReplicaID]controlapi.Departure), done: make(chan struct{}),
	}
}

func (b *batch) add(message *message) {
	for _, report := range message.Replicas {
		b.replicas[report.Replica.Replica] = pending[roster.ReplicaReport]{report: report}
	}
	for _, report := range message.Gates {
		b.gates[report.Gate.VM] = pending[roster.GateReport]{report: report}
	}
	for _, report := range message.renewedReplicas {
		addRenewal(b.replicas, report.Replica.Replica, report)
	}
	for _, report := range message.renewedGates {
		addRenewal(b.gates, report.Gate.VM, report)
	}
	for _, departure := range message.Departures {
		b.departures[departure.Replica] = departure
	}
	if len(message.Candidates) > 0 {
		b.candidates = message.Candidates
	}
}

// addRenewal adds a report that has not changed. If the change before it still waits to be
// sent, the whole report is sent.
func addRenewal[K comparable, R any](reports map[K]pending[R], key K, report R) {
	before, waiting := reports[key]
	reports[key] = pending[R]{report: report, renewal: !waiting || before.renewal}
}

// request returns the content as a request to a control VM with the given roster.DigestForm.
func (b *batch) request(from string, form int) *controlapi.ShareRequest {
	request := &controlapi.ShareRequest{
		From: from, Candidates: b.candidates, DigestForm: roster.DigestForm,
		Departures: slices.Collect(maps.Values(b.departures)),
	}
	for _, p := range b.replicas {
		if p.renewal && form == roster.DigestForm {
			request.Renewals = append(request.Renewals, roster.RenewalOf(&p.report))
			continue
		}
		request.Replicas = append(request.Replicas, p.report)
	}
	for _, p := range b.gates {
		if p.renewal && form == roster.DigestForm {
			request.GateRenewals = append(request.GateRenewals, roster.GateRenewalOf(&p.report))
			continue
		}
		request.Gates = append(request.Gates, p.report)
	}
	return request
}

// awaitAll returns when the calls of all batches have ended, or after timeout. It reports
// whether all of them have succeeded.
func awaitAll(batches []*batch, timeout time.Duration) (sent bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	sent = true
	for _, b := range batches {
		select {
		case <-b.done:
			sent = sent && b.err == nil
		case <-timer.C:
			return false
		}
	}
	return sent
}
