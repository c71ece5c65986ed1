package member

import (
	"slices"
	"time"
)

// probe is a question whose answer is awaited.
type probe struct {
	seq      uint64
	target   string
	sentAt   time.Time
	indirect bool // others have been asked to probe too
}

// forward is a probe made on behalf of another VM.
type forward struct {
	seq       uint64 // own
	theirSeq  uint64
	requester string // peers address
	sentAt    time.Time
}

// probeNext probes the next VM of the ring. The ring is a shuffled list of all
// VMs that is worked off before it is shuffled again, so each VM is probed
// within a bounded number of heartbeats.
func (n *Node) probeNext(now time.Time) {
	for range len(n.names) + 1 {
		if len(n.ring) == 0 {
			n.shuffleRing()
		}
		if len(n.ring) == 0 {
			return
		}
		name := n.ring[0]
		n.ring = n.ring[1:]
		p := n.peers[name]
		if p == nil || p.record.State >= Lost || n.awaits(name) {
			continue
		}
		n.probes = append(n.probes, probe{seq: n.nextSeq(), target: name, sentAt: now})
		n.send(p.record.VM.Peers, &message{Kind: kindProbe, Seq: n.seq, Hash: n.viewHash()})
		return
	}
}

func (n *Node) shuffleRing() {
	n.ring = slices.Clone(n.names)
	n.random.Shuffle(len(n.ring), func(i, j int) { n.ring[i], n.ring[j] = n.ring[j], n.ring[i] })
}

func (n *Node) awaits(name string) bool {
	return slices.ContainsFunc(n.probes, func(p probe) bool { return p.target == name })
}

func (n *Node) nextSeq() uint64 {
	n.seq++
	return n.seq
}

// expireProbes asks others after one heartbeat without an answer and suspects
// the target when the indirect probes stay unanswered too: a single bad path
// between two VMs is not the loss of either.
func (n *Node) expireProbes(now time.Time) {
	var waiting []probe
	for _, p := range n.probes {
		age := now.Sub(p.sentAt)
		if age >= n.config.SuspectAfter {
			n.suspect(now, p.target)
			continue
		}
		if age >= n.config.Heartbeat && !p.indirect {
			p.indirect = true
			n.askOthers(p)
		}
		waiting = append(waiting, p)
	}
	n.probes = waiting
	n.forwards = slices.DeleteFunc(n.forwards, func(f forward) bool { return now.Sub(f.sentAt) >= n.config.SuspectAfter })
}

func (n *Node) askOthers(p probe) {
	target := n.peers[p.target]
	if target == nil {
		return
	}
	// The direct probe is repeated as well: a lost packet is the usual cause.
	n.send(target.record.VM.Peers, &message{Kind: kindProbe, Seq: p.seq})
	for _, name := range n.someAlive(indirectProbers, p.target) {
		n.send(n.peers[name].record.VM.Peers, &message{Kind: kindProbeRequest, Seq: p.seq, Target: p.target, Reply: n.self.VM.Peers})
	}
}

// someAlive picks up to count alive VMs other than except.
func (n *Node) someAlive(count int, except string) []string {
	var alive []string
	for _, name := range n.names {
		if name != except && n.peers[name].record.State == Alive {
			alive = append(alive, name)
		}
	}
	n.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(count, len(alive))]
}

func (n *Node) answerProbe(m *message) {
	// A sender that is not known yet has joined elsewhere; its record comes by sync.
	if sender := n.peers[m.From]; sender != nil {
		n.send(sender.record.VM.Peers, &message{Kind: kindAck, Seq: m.Seq, Target: n.self.VM.Name, Hash: n.viewHash()})
	}
}

func (n *Node) probeFor(now time.Time, m *message) {
	target := n.peers[m.Target]
	if target == nil || m.Reply == "" {
		return
	}
	n.forwards = append(n.forwards, forward{seq: n.nextSeq(), theirSeq: m.Seq, requester: m.Reply, sentAt: now})
	n.send(target.record.VM.Peers, &message{Kind: kindProbe, Seq: n.seq})
}

func (n *Node) handleAck(now time.Time, m *message) {
	i := slices.IndexFunc(n.forwards, func(f forward) bool { return f.seq == m.Seq })
	if i >= 0 {
		f := n.forwards[i]
		n.forwards = slices.Delete(n.forwards, i, i+1)
		n.send(f.requester, &message{Kind: kindAck, Seq: f.theirSeq, Target: m.Target})
		return
	}
	n.probes = slices.DeleteFunc(n.probes, func(p probe) bool { return p.seq == m.Seq && p.target == m.Target })
}

func (n *Node) suspect(now time.Time, name string) {
	p := n.peers[name]
	if p == nil || p.record.State != Alive {
		return
	}
	n.setState(now, p, Suspect)
}

// expireStates turns long suspicions into losses and forgets old losses.
func (n *Node) expireStates(now time.Time) {
	for _, name := range slices.Clone(n.names) {
		p := n.peers[name]
		age := now.Sub(p.changedAt)
		switch {
		case p.record.State == Suspect && age >= n.config.LostAfter:
			n.setState(now, p, Lost)
		case p.record.State >= Lost && age >= n.config.ForgetAfter:
			n.forget(name)
		}
	}
}

// tellSuspect lets a VM that still sends know that it is held for suspect or
// lost, so that it refutes at once.
func (n *Node) tellSuspect(m *message) {
	p := n.peers[m.From]
	if p == nil || p.record.State == Alive || p.record.State == Left || m.Kind == kindPush {
		return
	}
	n.tell(&p.record)
}

// tell sends a VM the record that is held of it.
func (n *Node) tell(record *Record) {
	bare := *record
	bare.Digests = nil
	n.send(record.VM.Peers, &message{Kind: kindPush, Records: []Record{bare}})
}

// reconnect sends a join to a seed or to a lost VM now and then. It heals
// partitions that outlast the suspicion: both sides hold the other for lost
// and would never speak to it again.
func (n *Node) reconnect(now time.Time) {
	if n.round > joinRounds && n.round%reconnectRounds != 0 {
		return
	}
	if seed := n.pickSeed(); seed != "" && n.seeksSeeds(now) {
		n.join(now, seed, nil)
	}
	var lost []string
	for _, name := range n.names {
		if n.peers[name].record.State == Lost {
			lost = append(lost, name)
		}
	}
	if len(lost) > 0 {
		record := &n.peers[lost[n.random.IntN(len(lost))]].record
		n.join(now, record.VM.Peers, record)
	}
}

// seeksSeeds reports whether this VM should try a seed: at its start, while it is
// cut off, and as its place's delegate. If all VMs did for good, the few seeds
// would spend most of their traffic on joins: 59 KB/s of 67 at 418 VMs.
func (n *Node) seeksSeeds(now time.Time) bool {
	if n.round <= joinRounds || n.isDelegate() {
		return true
	}
	hasPeers := slices.ContainsFunc(n.names, func(name string) bool { return n.peers[name].record.State == Alive })
	return !hasPeers && len(n.areas.freshPlaces(now, n)) == 0
}

// pickSeed gives the next seed that is not an alive VM of the place.
func (n *Node) pickSeed() string {
	for range n.config.Seeds {
		seed := n.config.Seeds[n.nextSeed%len(n.config.Seeds)]
		n.nextSeed++
		alive := slices.ContainsFunc(n.names, func(name string) bool {
			record := &n.peers[name].record
			return record.VM.Peers == seed && record.State == Alive
		})
		if seed != n.self.VM.Peers && !alive {
			return seed
		}
	}
	return ""
}

// join introduces this VM to the one at address. If that is held for lost, its
// record goes along, so that its answer already refutes the loss.
func (n *Node) join(now time.Time, address string, held *Record) {
	own := n.self
	own.Digests = nil // they follow by a sync, if the VM is of this place
	m := &message{Kind: kindJoin, Reply: n.self.VM.Peers, Records: []Record{own}, Places: n.areas.freshPlaces(now, n)}
	if held != nil {
		bare := *held
		bare.Digests = nil
		m.Records = append(m.Records, bare)
	}
	if n.round > settleRounds && n.isDelegate() {
		m.Areas = []Area{n.introduction(now)}
	}
	n.send(address, m)
}

// answerJoin gives a joining VM of the place all records, and any VM the areas
// of the places that it does not know.
func (n *Node) answerJoin(now time.Time, m *message) {
	if m.Place == n.self.VM.Place {
		n.pushTo(m.Reply, n.allRecords())
	}
	var areas []Area
	for _, entry := range n.areas.list {
		if !slices.Contains(m.Places, entry.area.Place) && entry.area.Place != n.self.VM.Place {
			areas = append(areas, entry.area.forRegion(""))
		}
	}
	if m.Place != n.self.VM.Place {
		areas = append(areas, n.introduction(now))
	}
	n.sendAreas(m.Reply, areas)
}
