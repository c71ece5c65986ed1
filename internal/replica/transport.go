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

// Calls between hosts.
const (
	procedureMessages rpc.Procedure[batch, ack]                    = "/slateway.replica/Messages"
	procedureChunk    rpc.Procedure[chunk, ack]                    = "/slateway.replica/Chunk"
	procedureHello    rpc.Procedure[helloRequest, helloResponse]   = "/slateway.replica/Hello"
	procedureReplace  rpc.Procedure[replaceRequest, ack]           = "/slateway.replica/Replace"
	procedureRetire   rpc.Procedure[retireRequest, ack]            = "/slateway.replica/Retire"
	procedureStatus   rpc.Procedure[statusRequest, statusResponse] = "/slateway.replica/Status"
)

// maxBody bounds the body of one call in bytes: an entry of maximal size and
// the rest of its batch.
const maxBody = 16 << 20

const (
	// callsPerElectionTimeout calls, one after the other, may time out in an election
	// timeout. A connection may go silent for good, in both directions at once:
	// then a heartbeat is lost, and after it the answer to the next one. Both
	// must be noticed before the leader gives up its office.
	callsPerElectionTimeout = 3
	// minLinkRate, in bytes a second, extends the timeout of large batches.
	minLinkRate = 4 << 20
)

type ack struct{}

// envelope is a message and the group that it belongs to.
type envelope struct {
	Group   uint32         `cbor:"1,keyasint"`
	Message quorum.Message `cbor:"2,keyasint"`
}

// batch carries the messages of all groups between two hosts.
type batch struct {
	From      quorum.ID  `cbor:"1,keyasint"`
	Address   string     `cbor:"2,keyasint"` // of the sender, to answer at
	Envelopes []envelope `cbor:"3,keyasint"`
}

func (e *envelope) size() int {
	size := 64
	for i := range e.Message.Entries {
		size += len(e.Message.Entries[i].Data) + 32
	}
	return size
}

// transport sends the messages of all groups, in one call at a time per member.
// A lost batch is no harm: the decisions send anew.
type transport struct {
	client  *rpc.Client
	newPeer func() *http.Client
	self    Member
	timeout time.Duration
	logger  *zap.Logger
	// onLost is told of each message that may not have arrived.
	onLost func(group uint32, to quorum.ID)

	mu    sync.Mutex
	peers map[string]*peer // by address
	// senderAddresses holds the addresses that members gave in their calls. A blank
	// member learns from it where to answer before it has any membership.
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

func newTransport(config Config, self Member, lost func(group uint32, to quorum.ID)) *transport {
	ctx, cancel := context.WithCancel(context.Background())
	newPeer := config.PeerClient
	if newPeer == nil {
		newPeer = func() *http.Client { return config.Client }
	}
	return &transport{
		client: rpc.NewClient(config.Client), newPeer: newPeer, self: self, logger: config.Logger, onLost: lost,
		timeout: config.electionTimeout() / callsPerElectionTimeout,
		peers:   map[string]*peer{}, senderAddresses: map[quorum.ID]string{}, ctx: ctx, cancel: cancel,
	}
}

// outbound are messages of one group.
type outbound struct {
	group    uint32
	members  quorum.Membership
	messages []quorum.Message
}

// send queues messages; those to members without an address are dropped. What
// is given at once to a member goes in one call, up to its bound: the calls, not
// their bytes, are what heartbeats of many groups cost.
func (t *transport) send(all ...outbound) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range all {
		for _, m := range o.messages {
			t.enqueue(o, m)
		}
	}
}

// enqueue adds one message. The mutex is held.
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

// recordAddress notes where a member can be answered.
func (t *transport) recordAddress(id quorum.ID, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.senderAddresses[id] = address
}

// peer gives the sender to an address. The mutex is held.
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
		// A call that is given up closes its own HTTP/1 connection. The idle
		// ones beside it may have gone silent with it.
		p.httpClient.CloseIdleConnections()
	}
	return err
}

// reportLostAppends says which members may lack an append. What they were sent after it
// is of no use to them, and their silence would show that only later.
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
