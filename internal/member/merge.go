package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// mergeRecords takes what m says about VMs of the place.
func (n *Node) mergeRecords(now time.Time, m *message) {
	for i := range m.Records {
		record := &m.Records[i]
		if record.VM.Name == "" {
			record.VM.Name = m.From
		}
		if record.VM.Name == n.self.VM.Name {
			n.defend(record)
			continue
		}
		n.merge(now, record)
	}
}

// defend answers a record about this VM itself that is ahead of it.
//
// A suspicion is refuted with a greater incarnation. A greater epoch comes from
// a run of this VM before its clock stepped back; the VM takes a greater epoch,
// or the others would ignore its digests until the clock has caught up.
func (n *Node) defend(record *Record) {
	if n.self.State == Left {
		return
	}
	if record.Epoch > n.self.Epoch {
		n.self.Epoch = record.Epoch + 1
		n.self.Incarnation = max(n.self.Incarnation, record.Incarnation) + 1
		n.markOwn()
		return
	}
	if record.Epoch == n.self.Epoch && record.State > Alive && record.Incarnation >= n.self.Incarnation {
		n.self.Incarnation = record.Incarnation + 1
		n.markOwn()
	}
}

// isNewRun reports whether m comes from a run of its sender not known yet.
func (n *Node) isNewRun(m *message) bool {
	p := n.peers[m.From]
	if p == nil {
		return true
	}
	return slices.ContainsFunc(m.Records, func(r Record) bool { return r.VM.Name == m.From && r.Epoch > p.record.Epoch })
}

func (n *Node) merge(now time.Time, incoming *Record) {
	p := n.peers[incoming.VM.Name]
	if p == nil {
		n.add(now, incoming)
		return
	}
	known := &p.record
	switch {
	case incoming.Epoch < known.Epoch:
		return
	case incoming.Epoch > known.Epoch:
		if incoming.VM.Peers == "" {
			return // a bare push; the whole record comes by sync
		}
		n.replace(now, p, incoming)
		return
	}
	n.mergeState(now, p, incoming)
	n.mergeDigests(p, incoming)
}

// add takes a VM that is not known yet. One that is lost or has left is not
// news and would come back after it was forgotten.
func (n *Node) add(now time.Time, incoming *Record) {
	if incoming.State >= Lost || incoming.VM.Peers == "" || incoming.VM.Place != n.self.VM.Place {
		return
	}
	p := &peer{record: Record{VM: incoming.VM}}
	n.peers[incoming.VM.Name] = p
	i, _ := slices.BinarySearch(n.names, incoming.VM.Name)
	n.names = slices.Insert(n.names, i, incoming.VM.Name)
	j := n.random.IntN(len(n.ring) + 1)
	n.ring = slices.Insert(n.ring, j, incoming.VM.Name)
	n.replace(now, p, incoming)
}

// replace takes the record of a new run of a VM.
func (n *Node) replace(now time.Time, p *peer, incoming *Record) {
	n.dropFromHash(p)
	p.record = *incoming
	p.record.Digests = nil
	p.changedAt = now
	n.addToHash(p)
	n.event(Event{Kind: StateChanged, VM: p.record.VM.Name, State: p.record.State})
	n.mergeDigests(p, incoming)
}

func (n *Node) mergeState(now time.Time, p *peer, incoming *Record) {
	known := &p.record
	changed := (incoming.Draining && !known.Draining) || (incoming.Ready && !known.Ready)
	n.dropFromHash(p)
	known.Draining = known.Draining || incoming.Draining
	known.Ready = known.Ready || incoming.Ready
	if incoming.Incarnation > known.Incarnation || (incoming.Incarnation == known.Incarnation && incoming.State > known.State) {
		state := n.softened(known, incoming)
		if known.State != state {
			known.State = state
			p.changedAt = now
			changed = true
		}
		known.Incarnation = incoming.Incarnation
	}
	n.addToHash(p)
	if changed {
		n.event(Event{Kind: StateChanged, VM: known.VM.Name, State: known.State})
	}
}

// softened gives the state to take from incoming. When a partition heals, the
// other side reports VMs lost that are well on this side. They are suspected
// only, each VM by its own clock, and told at once, so that they refute within
// one exchange; taking the loss would drop half of the place for a moment.
func (n *Node) softened(known, incoming *Record) State {
	if incoming.State != Lost || known.State >= Lost {
		return incoming.State
	}
	held := *known
	held.State = Suspect
	held.Incarnation = incoming.Incarnation
	n.tell(&held)
	return Suspect
}

func (n *Node) mergeDigests(p *peer, incoming *Record) {
	for _, digest := range incoming.Digests {
		i := slices.IndexFunc(p.record.Digests, func(d Digest) bool { return d.Kind == digest.Kind })
		if i >= 0 && p.record.Digests[i].Version >= digest.Version {
			continue
		}
		n.dropFromHash(p)
		if i < 0 {
			p.record.Digests = append(p.record.Digests, digest)
		} else {
			p.record.Digests[i] = digest
		}
		n.addToHash(p)
		n.event(Event{Kind: DigestChanged, VM: p.record.VM.Name, Digest: digest.Kind, Data: digest.Data})
	}
}

// setState changes what this VM itself believes of another and spreads it.
func (n *Node) setState(now time.Time, p *peer, state State) {
	n.dropFromHash(p)
	p.record.State = state
	p.changedAt = now
	n.addToHash(p)
	n.event(Event{Kind: StateChanged, VM: p.record.VM.Name, State: state})
	n.markState(p.record.VM.Name)
}

func (n *Node) forget(name string) {
	n.dropFromHash(n.peers[name])
	delete(n.peers, name)
	i, found := slices.BinarySearch(n.names, name)
	if found {
		n.names = slices.Delete(n.names, i, i+1)
	}
}

// viewHash is equal on two VMs of a place that hold the same of each VM that is
// not lost. It is the exclusive or of the records' hashes, so that one change
// costs one hash.
func (n *Node) viewHash() uint64 {
	hash := n.hash ^ hashRecord(&n.self)
	if hash == 0 {
		return 1 // zero means that a message carries no hash
	}
	return hash
}

func (n *Node) dropFromHash(p *peer) {
	n.addToHash(p) // exclusive or undoes itself
}

func (n *Node) addToHash(p *peer) {
	if p.record.State < Lost && p.record.State != 0 {
		n.hash ^= hashRecord(&p.record)
	}
}

func hashRecord(r *Record) uint64 {
	version := r.version()
	buffer := make([]byte, 0, 96)
	buffer = append(buffer, version.Name...)
	buffer = binary.BigEndian.AppendUint64(buffer, version.Epoch)
	buffer = binary.BigEndian.AppendUint64(buffer, version.Incarnation)
	buffer = append(buffer, byte(version.State))
	buffer = binary.BigEndian.AppendUint64(buffer, version.Changes)
	return xxhash.Sum64(buffer)
}
