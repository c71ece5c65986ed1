package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/rpc"
)

// Procedures that hosts call on each other.
const (
	procedureMessages rpc.Procedure[batch, ack]                    = "/slateway.replica/Messages"
	procedureChunk    rpc.Procedure[chunk, ack]                    = "/slateway.replica/Chunk"
	procedureHello    rpc.Procedure[helloRequest, helloResponse]   = "/slateway.replica/Hello"
	procedureReplace  rpc.Procedure[replaceRequest, ack]           = "/slateway.replica/Replace"
	procedureRetire   rpc.Procedure[retireRequest, ack]            = "/slateway.replica/Retire"
	procedureStatus   rpc.Procedure[statusRequest, statusResponse] = "/slateway.replica/Status"
)

// maxBody limits the body of one call in bytes: an entry of maximum size and the rest
// of its batch.
const maxBody = 16 << 20

const (
	// callsPerElectionTimeout is how many consecutive calls may time out within an
	// election timeout. A connection may stop passing data permanently in both
	// directions at once: then a heartbeat is lost, and afterwards the response to the
	// next one. Both timeouts must expire before the leader gives up leadership.
	callsPerElectionTimeout = 3
	// minLinkRate, in bytes per second, extends the timeout of large batches.
	minLinkRate = 4 << 20
)

type ack struct{}

// envelope is a message with the group that it belongs to.
type envelope struct {
	Group   uint32         `cbor:"1,keyasint"`
	Message quorum.Message `cbor:"2,keyasint"`
}

// batch carries messages of all groups from one host to another.
type batch struct {
	From      quorum.ID  `cbor:"1,keyasint"`
	Address   string     `cbor:"2,keyasint"` // address of the sender, for responses
	Envelopes []envelope `cbor:"3,keyasint"`
}

func (e *envelope) size() int {
	size := 64
	for i := range e.Message.Entries {
		size += len(e.Message.Entries[i].Data) + 32
	}
	return size
}

// transport sends the messages of all groups, with one call at a time per member. A
// batch may be lost: the consensus nodes resend what was not acknowledged.
type transport struct {
	client  *rpc.Client
	newPeer func() *http.Client
	self    Member
	timeout time.Duration
	logger  *zap.Logger
	// onLost is called for each append that may not have arrived.
	onLost func(group uint32, to quorum.ID)

	mu    sync.Mutex
	peers map[string]*peer // by address
	// senderAddresses holds the addresses that members stated in their calls. A blank
	// member uses it to respond before it has any membership.
	senderAddresses map[quorum.ID]string
	stopped         bool
	wait            sync.WaitGroup
	ctx             context.Context
	cancel          context.CancelFunc
}

type peer struct {
	address    string
	httpClient *http.Client
	client     *rpc.Client
	queue      sendQueue
	wake       chan struct{}
}

func newTransport(config Config, self Member, onLost func(group uint32, to quorum.ID)) *transport {
	ctx, cancel := context.WithCancel(context.Background())
	newPeer := config.PeerClient
	if newPeer == nil {
		newPeer = func() *http.Client { return config.Client }
	}
	return &transport{
		client: rpc.NewClient(config.Client), newPeer: newPeer, self: self, logger: config.Logger, onLost: onLost,
		timeout: config.electionTimeout() / callsPerElectionTimeout,
		peers:   map[string]*peer{}, senderAddresses: map[quorum.ID]string{}, ctx: ctx, cancel: cancel,
	}
}

// outbound holds messages of one group and the membership with the addresses of their
// receivers.
type outbound struct {
	group    uint32
	members  quorum.Membership
	messages []quorum.Message
}

// send queues messages; those to members without a known address are dropped. Messages
// queued together for one member share a call, up to its limit, because the cost of
// the heartbeats of many groups lies in the number of calls rather than their size.
func (t *transport) send(all ...outbound) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range all {
		for _, m := range o.messages {
			t.enqueue(o, m)
		}
	}
}

// enqueue queues one message. The caller holds the mutex.
func (t *transport) enqueue(o outbound, m quorum.Message) {
	address := t.address(o.members, m.To)
	if address == "" || t.stopped {
		return
	}
	p := t.peer(address)
	p.queue.add(envelope{Group: o.group, Message: m})
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (t *transport) address(members quorum.Membership, to quorum.ID) string {
	if address := t.senderAddresses[to]; address != "" {
		return address
	}
	member, _ := members.Find(to)
	return member.Address
}

func (t *transport) addressOf(members quorum.Membership, to quorum.ID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address(members, to)
}

// recordAddress records the address at which a member can be reached.
func (t *transport) recordAddress(id quorum.ID, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.senderAddresses[id] = address
}

// peer returns the sender for an address and starts it if there is none. The caller
// holds the mutex.
func (t *transport) peer(address string) *peer {
	p := t.peers[address]
	if p == nil {
		client := t.newPeer()
		p = &peer{address: address, httpClient: client, client: rpc.NewClient(client), wake: make(chan struct{}, 1)}
		t.peers[address] = p
		t.wait.Go(func() { t.run(p) })
	}
	return p
}

// run sends the queued messages of one member until the transport stops.
func (t *transport) run(p *peer) {
	reachable := true
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-p.wake:
		}
		for {
			next := t.nextBatch(p)
			if len(next.Envelopes) == 0 {
				break
			}
			err := t.sendBatch(p, &next)
			if err != nil {
				t.reportLostAppends(&next)
			}
			if (err == nil) != reachable {
				reachable = err == nil
				t.logger.Info("member", zap.String("address", p.address), zap.Bool("reachable", reachable), zap.Error(err))
			}
		}
	}
}

func (t *transport) sendBatch(p *peer, next *batch) error {
	size := 0
	for i := range next.Envelopes {
		size += next.Envelopes[i].size()
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.timeout+time.Duration(size)*time.Second/minLinkRate)
	defer cancel()
	_, err := rpc.Call(ctx, p.client, p.address, procedureMessages, next)
	if err != nil {
		// A call that times out closes its own HTTP/1 connection. The idle connections
		// to the same member may be dead as well.
		p.httpClient.CloseIdleConnections()
	}
	return err
}

// reportLostAppends reports each append of a batch that may not have arrived. The
// member cannot use the appends after it, and the missing acknowledgements would
// reveal the loss only later.
func (t *transport) reportLostAppends(lost *batch) {
	for i := range lost.Envelopes {
		if e := &lost.Envelopes[i]; e.Message.Type == quorum.MsgAppend {
			t.onLost(e.Group, e.Message.To)
		}
	}
}

func (t *transport) nextBatch(p *peer) batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	return batch{From: t.self.ID, Address: t.self.Address, Envelopes: p.queue.takeBatch()}
}

func (t *transport) stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.cancel()
	t.wait.Wait()
}
