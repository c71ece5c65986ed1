package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"slateway.example/slateway/internal/codec"
)

// Node implements the membership protocol for one VM. It is not safe for concurrent use.
type Node struct {
	config Config
	random *rand.Rand
	self   Record
	peers  map[string]*peer // VMs of the own place
	names  []string         // keys of peers, sorted
	hash   uint64           // of the peers' records; maintained by addToHash and dropFromHash

	ring         []string // VMs still to be probed in this round, in order
	probes       []probe
	forwards     []forward
	seq          uint64
	nextProbe    time.Time
	round        int
	lastTick     time.Time
	lastReceived time.Time
	lastSync     time.Time
	nextSeed     int

	dirty  []dirtyRecord
	tokens float64
	areas  areaTable
	output Output
}

// peer is another VM of the own place.
type peer struct {
	record    Record
	changedAt time.Time // last change of the state
}

// New creates the node of self. The epoch is the start of the process in ms since 1970
// and must increase with each start of a VM. If it does not, because the clock stepped
// back, the node corrects it when it receives a record with the greater epoch.
func New(config Config, self VM, epoch uint64, random *rand.Rand, now time.Time) *Node {
	config = config.withDefaults()
	return &Node{
		config:       config,
		random:       random,
		self:         Record{VM: self, Epoch: epoch, Incarnation: 1, State: Alive},
		peers:        map[string]*peer{},
		nextProbe:    now,
		lastTick:     now,
		lastReceived: now,
		tokens:       float64(config.BytesPerSecond),
		areas:        newAreaTable(),
	}
}

// Tick performs the work that is due at now. It must be called several times per
// heartbeat.
func (n *Node) Tick(now time.Time) Output {
	n.handlePause(now)
	n.refill(now)
	n.lastTick = now
	n.expireProbes(now)
	n.expireStates(now)
	if !now.Before(n.nextProbe) && n.self.State == Alive {
		n.nextProbe = now.Add(n.config.Heartbeat)
		n.round++
		n.probeNext(now)
		n.reconnect(now)
	}
	n.tickAreas(now)
	n.flush(now)
	return n.takeOutput()
}

// handlePause detects that this VM was stopped for a while, by a paused process or a
// stalled host. All its probes then seem unanswered, although their answers could not be
// read, and it would suspect every other VM at once. It drops the probes and restarts
// the timeouts of suspicions.
func (n *Node) handlePause(now time.Time) {
	if now.Sub(n.lastTick) < 2*n.config.Heartbeat {
		return
	}
	n.probes = nil
	n.forwards = nil
	for _, name := range n.names {
		if p := n.peers[name]; p.record.State == Suspect {
			p.changedAt = now
		}
	}
}

// Receive processes one packet from another VM.
func (n *Node) Receive(now time.Time, data []byte) (Output, error) {
	m, err := decode(data)
	if err != nil {
		return Output{}, err
	}
	if m.From == n.self.VM.Name && m.Kind != kindPush {
		return Output{}, nil
	}
	n.lastReceived = now
	n.handle(now, &m)
	n.flush(now)
	return n.takeOutput(), nil
}

func (n *Node) handle(now time.Time, m *message) {
	if m.Place != n.self.VM.Place {
		n.handleRemote(now, m)
		return
	}
	newRun := m.Kind == kindJoin && n.isNewRun(m)
	n.mergeRecords(now, m)
	n.mergeAreas(now, m)
	if newRun {
		n.mark(m.From).full = true // the joining VM has introduced itself to this one only
	}
	switch m.Kind {
	case kindProbe:
		n.answerProbe(m)
	case kindAck:
		n.handleAck(now, m)
	case kindProbeRequest:
		n.probeOnBehalf(now, m)
	case kindSync, kindSyncReply:
		n.handleSync(m)
	case kindJoin:
		n.answerJoin(now, m)
	case kindDirect:
		n.emit(Event{Kind: DirectReceived, VM: m.From, Digest: m.Digest, Data: m.Data})
	}
	n.notifySuspect(m)
	if m.Hash != 0 && m.Hash != n.viewHash() {
		n.startSync(now, m)
	}
}

// handleRemote processes a message from another place.
func (n *Node) handleRemote(now time.Time, m *message) {
	n.mergeAreas(now, m)
	switch m.Kind {
	case kindJoin:
		n.answerJoin(now, m)
	case kindDirect:
		n.emit(Event{Kind: DirectReceived, VM: m.From, Digest: m.Digest, Data: m.Data})
	}
}

// SetDigest replaces this VM's digest of a kind and pushes it to its place.
func (n *Node) SetDigest(now time.Time, kind DigestKind, data []byte) (Output, error) {
	if len(data) > MaxDigestBytes {
		return Output{}, fmt.Errorf("digest of %d bytes is too large, the limit is %d bytes", len(data), MaxDigestBytes)
	}
	i := slices.IndexFunc(n.self.Digests, func(d Digest) bool { return d.Kind == kind })
	if i >= 0 && slices.Equal(n.self.Digests[i].Data, data) {
		return Output{}, nil
	}
	if i < 0 {
		n.self.Digests = append(n.self.Digests, Digest{Kind: kind})
		i = len(n.self.Digests) - 1
	}
	n.self.Digests[i].Version++
	n.self.Digests[i].Data = slices.Clone(data)
	n.markDigest(kind)
	n.flush(now)
	return n.takeOutput(), nil
}

// SetReady notifies all VMs of the place that this gate can serve callers. Until then no
// callers are sent to it: a gate that has just started knows no upstream yet and would
// refuse requests that the other gates can serve.
func (n *Node) SetReady(now time.Time) Output {
	if !n.self.Ready {
		n.self.Ready = true
		n.markSelf()
	}
	n.flush(now)
	return n.takeOutput()
}

// SetDraining notifies all VMs of the place that this one accepts no new callers.
func (n *Node) SetDraining(now time.Time) Output {
	if !n.self.Draining {
		n.self.Draining = true
		n.markSelf()
	}
	n.flush(now)
	return n.takeOutput()
}

// Leave notifies all VMs of the place that this one leaves for good.
func (n *Node) Leave(now time.Time) Output {
	n.self.State = Left
	n.self.Draining = true
	n.markSelf()
	n.tokens = float64(n.config.BytesPerSecond) // the last push must not wait for the rate limit
	n.flush(now)
	return n.takeOutput()
}

// Direct sends data to one VM immediately. The VM must be in the own place or a contact
// of another place.
func (n *Node) Direct(now time.Time, vm string, kind DigestKind, data []byte) (Output, error) {
	if len(data) > MaxDigestBytes {
		return Output{}, fmt.Errorf("direct message of %d bytes is too large, the limit is %d bytes", len(data), MaxDigestBytes)
	}
	address := n.addressOf(vm)
	if address == "" {
		return Output{}, fmt.Errorf("cannot send direct message to VM %s: its address is not known", vm)
	}
	n.send(address, &message{Kind: kindDirect, Digest: kind, Data: data})
	return n.takeOutput(), nil
}

func (n *Node) addressOf(vm string) string {
	if p := n.peers[vm]; p != nil {
		return p.record.VM.Peers
	}
	return n.areas.contactAddress(vm)
}

// Members returns the VMs of the own place, including this one, sorted by name.
func (n *Node) Members() []Member {
	members := []Member{{Record: n.self, Self: true}}
	for _, name := range n.names {
		members = append(members, Member{Record: n.peers[name].record})
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.VM.Name, b.VM.Name) })
	return members
}

// Isolated reports whether the VM has received nothing from other VMs for so long that
// its own network is the likely cause. A VM that knows no other and has no other seed is
// a site of one VM and never isolated.
func (n *Node) Isolated(now time.Time) bool {
	return n.expectsPeers() && now.Sub(n.lastReceived) > n.isolationTimeout()
}

func (n *Node) expectsPeers() bool {
	if len(n.names) > 0 || len(n.areas.list) > 0 {
		return true
	}
	return slices.ContainsFunc(n.config.Seeds, func(seed string) bool { return seed != n.self.VM.Peers })
}

// isolationTimeout returns the longest time between two received packets in normal
// operation. VMs of the place probe with every heartbeat; other places send at the
// keepalive interval.
func (n *Node) isolationTimeout() time.Duration {
	limit := n.config.SuspectAfter + n.config.LostAfter
	if slices.ContainsFunc(n.names, func(name string) bool { return n.peers[name].record.State < Left }) {
		return limit
	}
	near := slices.ContainsFunc(n.areas.list, func(a *areaEntry) bool { return a.area.Region == n.self.VM.Region })
	if near {
		return max(limit, staleFactor*keepaliveFactor*n.config.NearInterval)
	}
	return max(limit, staleFactor*keepaliveFactor*n.config.FarInterval)
}

// send queues m for address and takes its bytes from the rate limit.
func (n *Node) send(address string, m *message) {
	if address == "" || address == n.self.VM.Peers {
		return
	}
	m.From = n.self.VM.Name
	m.Place = n.self.VM.Place
	data := codec.MustMarshal(m)
	n.tokens -= float64(len(data))
	n.output.Packets = append(n.output.Packets, Packet{To: address, Data: data})
}

// refill adds the bytes for the time since the last tick to the rate limit. At most one
// second's worth accumulates, as credit or as debt.
func (n *Node) refill(now time.Time) {
	rate := float64(n.config.BytesPerSecond)
	n.tokens += rate * now.Sub(n.lastTick).Seconds()
	n.tokens = max(min(n.tokens, rate), -rate)
}

func (n *Node) emit(e Event) { n.output.Events = append(n.output.Events, e) }

func (n *Node) takeOutput() Output {
	output := n.output
	n.output = Output{}
	return output
}
