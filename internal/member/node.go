package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"slateway.example/slateway/internal/codec"
)

// Node is one VM's part in the membership. It is not safe for concurrent use.
type Node struct {
	config Config
	random *rand.Rand
	self   Record
	peers  map[string]*peer // VMs of the own place
	names  []string         // keys of peers, sorted
	hash   uint64           // of the view; kept up by setRecord

	ring      []string // probe order
	probes    []probe
	forwards  []forward
	seq       uint64
	nextProbe time.Time
	round     int
	lastTick  time.Time
	lastHeard time.Time
	lastSync  time.Time
	nextSeed  int

	dirty  []dirtyRecord
	tokens float64
	areas  areaTable
	output Output
}

// peer is another VM of the own place.
type peer struct {
	record    Record
	changedAt time.Time // of its state
}

// New makes the node of self. Epoch is the process's start in ms since 1970;
// each start of the same VM needs a greater one, and a smaller one, left by a
// clock that stepped back, is corrected by the first VM that knows better.
func New(config Config, self VM, epoch uint64, random *rand.Rand, now time.Time) *Node {
	config = config.withDefaults()
	return &Node{
		config:    config,
		random:    random,
		self:      Record{VM: self, Epoch: epoch, Incarnation: 1, State: Alive},
		peers:     map[string]*peer{},
		nextProbe: now,
		lastTick:  now,
		lastHeard: now,
		tokens:    float64(config.BytesPerSecond),
		areas:     newAreaTable(),
	}
}

// Tick lets time pass. Call it several times a heartbeat.
func (n *Node) Tick(now time.Time) Output {
	n.noticePause(now)
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
	return n.take()
}

// noticePause guards against a VM that was stopped for a while, by a paused
// process or a stalled host: on waking, all its probes look unanswered and it
// would suspect every other VM at once. The answers never had a chance to be
// read, so the probes are dropped and suspicions start anew.
func (n *Node) noticePause(now time.Time) {
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

// Receive takes one packet of another VM.
func (n *Node) Receive(now time.Time, data []byte) (Output, error) {
	m, err := decode(data)
	if err != nil {
		return Output{}, err
	}
	if m.From == n.self.VM.Name && m.Kind != kindPush {
		return Output{}, nil
	}
	n.lastHeard = now
	n.handle(now, &m)
	n.flush(now)
	return n.take(), nil
}

func (n *Node) handle(now time.Time, m *message) {
	if m.Place != n.self.VM.Place {
		n.handleFar(now, m)
		return
	}
	newRun := m.Kind == kindJoin && n.isNewRun(m)
	n.mergeRecords(now, m)
	n.mergeAreas(now, m)
	if newRun {
		n.mark(m.From).whole = true // the joining VM knows none but this one
	}
	switch m.Kind {
	case kindProbe:
		n.answerProbe(m)
	case kindAck:
		n.handleAck(now, m)
	case kindProbeRequest:
		n.probeFor(now, m)
	case kindSync, kindSyncReply:
		n.handleSync(m)
	case kindJoin:
		n.answerJoin(now, m)
	case kindDirect:
		n.event(Event{Kind: DirectReceived, VM: m.From, Digest: m.Digest, Data: m.Data})
	}
	n.tellSuspect(m)
	if m.Hash != 0 && m.Hash != n.viewHash() {
		n.startSync(now, m)
	}
}

// handleFar takes a message from another place: areas and direct messages.
func (n *Node) handleFar(now time.Time, m *message) {
	n.mergeAreas(now, m)
	switch m.Kind {
	case kindJoin:
		n.answerJoin(now, m)
	case kindDirect:
		n.event(Event{Kind: DirectReceived, VM: m.From, Digest: m.Digest, Data: m.Data})
	}
}

// SetDigest replaces the VM's own digest of a kind and pushes it to its place.
func (n *Node) SetDigest(now time.Time, kind DigestKind, data []byte) (Output, error) {
	if len(data) > MaxDigestBytes {
		return Output{}, fmt.Errorf("digest of %d bytes: at most %d are spread", len(data), MaxDigestBytes)
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
	return n.take(), nil
}

// SetReady tells all VMs of the place that this gate can serve callers. Before,
// no answer names it: a gate that has just started knows no upstream yet, and
// would refuse what the other gates could serve.
func (n *Node) SetReady(now time.Time) Output {
	if !n.self.Ready {
		n.self.Ready = true
		n.markOwn()
	}
	n.flush(now)
	return n.take()
}

// SetDraining tells all VMs of the place that this one takes no new callers.
func (n *Node) SetDraining(now time.Time) Output {
	if !n.self.Draining {
		n.self.Draining = true
		n.markOwn()
	}
	n.flush(now)
	return n.take()
}

// Leave tells all VMs of the place that this one is going for good.
func (n *Node) Leave(now time.Time) Output {
	n.self.State = Left
	n.self.Draining = true
	n.markOwn()
	n.tokens = float64(n.config.BytesPerSecond) // the last push is not held back
	n.flush(now)
	return n.take()
}

// Direct sends data to one VM at once. The VM is of the own place or a contact
// of another one.
func (n *Node) Direct(now time.Time, vm string, kind DigestKind, data []byte) (Output, error) {
	if len(data) > MaxDigestBytes {
		return Output{}, fmt.Errorf("direct message of %d bytes: at most %d are sent", len(data), MaxDigestBytes)
	}
	address := n.addressOf(vm)
	if address == "" {
		return Output{}, fmt.Errorf("direct message to %s: no such VM known", vm)
	}
	n.send(address, &message{Kind: kindDirect, Digest: kind, Data: data})
	return n.take(), nil
}

func (n *Node) addressOf(vm string) string {
	if p := n.peers[vm]; p != nil {
		return p.record.VM.Peers
	}
	return n.areas.contactAddress(vm)
}

// Members lists the VMs of the own place by name, this one included.
func (n *Node) Members() []Member {
	members := []Member{{Record: n.self, Self: true}}
	for _, name := range n.names {
		members = append(members, Member{Record: n.peers[name].record})
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.VM.Name, b.VM.Name) })
	return members
}

// Alone reports whether the VM should hear others and has not for so long that
// its network, not theirs, is the likely cause. A VM that knows of no other
// and has no seeds but itself is a site of one VM and never alone.
func (n *Node) Alone(now time.Time) bool {
	return n.expectsOthers() && now.Sub(n.lastHeard) > n.silenceLimit()
}

func (n *Node) expectsOthers() bool {
	if len(n.names) > 0 || len(n.areas.list) > 0 {
		return true
	}
	return slices.ContainsFunc(n.config.Seeds, func(seed string) bool { return seed != n.self.VM.Peers })
}

// silenceLimit is how long no packet may come while all is well: VMs of the
// place probe every heartbeat, other places send at their keepalive.
func (n *Node) silenceLimit() time.Duration {
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

// send encodes m for address and takes its bytes from the budget.
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

// refill adds the bytes of the time since the last tick; at most one second's
// worth is saved up or owed.
func (n *Node) refill(now time.Time) {
	rate := float64(n.config.BytesPerSecond)
	n.tokens += rate * now.Sub(n.lastTick).Seconds()
	n.tokens = max(min(n.tokens, rate), -rate)
}

func (n *Node) event(e Event) { n.output.Events = append(n.output.Events, e) }

func (n *Node) take() Output {
	output := n.output
	n.output = Output{}
	return output
}
