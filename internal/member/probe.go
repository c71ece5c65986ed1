package member

import (
	"slices"
	"time"
)

// probe is a probe that has not been answered yet.
type probe struct {
	seq      uint64
	target   string
	sentAt   time.Time
	indirect bool // other VMs have been asked to probe the target too
}

// forward is a probe sent on behalf of another VM.
type forward struct {
	seq          uint64 // of this VM's probe
	requesterSeq uint64 // of the requester's probe
	requester    string // peers address
	sentAt       time.Time
}

// probeNext probes the next VM of the ring. The ring is a shuffled list of all VMs, which
// is shuffled again only after all of them were probed. This bounds the number of
// heartbeats between two probes of a VM.
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
		if p == nil || p.record.State >= Lost || n.hasProbe(name) {
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

func (n *Node) hasProbe(name string) bool {
	return slices.ContainsFunc(n.probes, func(p probe) bool { return p.target == name })
}

func (n *Node) nextSeq() uint64 {
	n.seq++
	return n.seq
}

// expireProbes starts indirect probes after one heartbeat without an answer, and suspects
// the target if these remain unanswered too. A single bad path between two VMs must not
// count as the loss of either.
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
			n.probeIndirectly(p)
		}
		waiting = append(waiting, p)
	}
	n.probes = waiting
	n.forwards = slices.DeleteFunc(n.forwards, func(f forward) bool { return now.Sub(f.sentAt) >= n.config.SuspectAfter })
}

func (n *Node) probeIndirectly(p probe) {
	target := n.peers[p.target]
	if target == nil {
		return
	}
	// Repeats the direct probe as well, since a lost packet is the usual cause.
	n.send(target.record.VM.Peers, &message{Kind: kindProbe, Seq: p.seq})
	for _, name := range n.sampleAlive(indirectProbers, p.target) {
		n.send(n.peers[name].record.VM.Peers, &message{Kind: kindProbeRequest, Seq: p.seq, Target: p.target, Reply: n.self.VM.Peers})
	}
}

// sampleAlive returns up to count random alive VMs other than except.
func (n *Node) sampleAlive(count int, except string) []string {
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
	// An unknown sender has joined through another VM; a sync will bring its record.
	if sender := n.peers[m.From]; sender != nil {
		n.send(sender.record.VM.Peers, &message{Kind: kindAck, Seq: m.Seq, Target: n.self.VM.Name, Hash: n.viewHash()})
	}
}

func (n *Node) probeOnBehalf(now time.Time, m *message) {
	target := n.peers[m.Target]
	if target == nil || m.Reply == "" {
		return
	}
	n.forwards = append(n.forwards, forward{seq: n.nextSeq(), requesterSeq: m.Seq, requester: m.Reply, sentAt: now})
	n.send(target.record.VM.Peers, &message{Kind: kindProbe, Seq: n.seq})
}

func (n *Node) handleAck(now time.Time, m *message) {
	i := slices.IndexFunc(n.forwards, func(f forward) bool { return f.seq == m.Seq })
	if i >= 0 {
		f := n.forwards[i]
		n.forwards = slices.Delete(n.forwards, i, i+1)
		n.send(f.requester, &message{Kind: kindAck, Seq: f.requesterSeq, Target: m.Target})
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

// expireStates marks VMs that were suspected for too long as lost, and removes VMs that
// were lost or left long ago.
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

// notifySuspect sends a VM that still sends packets its record if it is suspected or
// lost, so that it refutes at once.
func (n *Node) notifySuspect(m *message) {
	p := n.peers[m.From]
	if p == nil || p.record.State == Alive || p.record.State == Left || m.Kind == kindPush {
		return
	}
	n.sendRecord(&p.record)
}

// sendRecord sends a VM this node's record of it.
func (n *Node) sendRecord(record *Record) {
	bare := *record
	bare.Digests = nil
	n.send(record.VM.Peers, &message{Kind: kindPush, Records: []Record{bare}})
}

// reconnect periodically sends a join to a seed and to a lost VM. It heals partitions
// that last longer than a suspicion: each side considers the other lost and would never
// send to it again.
func (n *Node) reconnect(now time.Time) {
	if n.round > joinRounds && n.round%reconnectRounds != 0 {
		return
	}
	if seed := n.pickSeed(); seed != "" && n.shouldContactSeeds(now) {
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

// shouldContactSeeds reports whether this VM should contact a seed: after its start, while
// it is cut off, and as its place's delegate. If all VMs did so permanently, joins would
// be most of the traffic of the few seeds: 59 of 67 KB/s with 418 VMs.
func (n *Node) shouldContactSeeds(now time.Time) bool {
	if n.round <= joinRounds || n.isDelegate() {
		return true
	}
	hasPeers := slices.ContainsFunc(n.names, func(name string) bool { return n.peers[name].record.State == Alive })
	return !hasPeers && len(n.areas.freshPlaces(now, n)) == 0
}

// pickSeed returns the next seed that is not an alive VM of the place, or "" if there is
// none.
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

// join introduces this VM to the one at address. If that VM is considered lost, lost is
// its record and is sent along, so that its answer already refutes the loss.
func (n *Node) join(now time.Time, address string, lost *Record) {
	own := n.self
	own.Digests = nil // a sync brings them if the VM is in this place
	m := &message{Kind: kindJoin, Reply: n.self.VM.Peers, Records: []Record{own}, Places: n.areas.freshPlaces(now, n)}
	if lost != nil {
		bare := *lost
		bare.Digests = nil
		m.Records = append(m.Records, bare)
	}
	if n.round > settleRounds && n.isDelegate() {
		m.Areas = []Area{n.introduction(now)}
	}
	n.send(address, m)
}

// answerJoin sends a joining VM of the own place all records, and any joining VM the
// areas of the places that it does not know.
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
