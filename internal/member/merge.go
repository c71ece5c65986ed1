package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// mergeRecords merges the records in m.
func (n *Node) mergeRecords(now time.Time, m *message) {
	for i := range m.Records {
		record := &m.Records[i]
		if record.VM.Name == "" {
			record.VM.Name = m.From
		}
		if record.VM.Name == n.self.VM.Name {
			n.refute(record)
			continue
		}
		n.merge(now, record)
	}
}

// refute responds to a record of this VM that is newer than its own.
//
// It refutes a suspicion with a greater incarnation. A greater epoch belongs to an
// earlier run, before the clock stepped back. The VM then adopts an even greater epoch:
// otherwise the others would ignore its digests until the clock has caught up.
func (n *Node) refute(record *Record) {
	if n.self.State == Left {
		return
	}
	if record.Epoch > n.self.Epoch {
		n.self.Epoch = record.Epoch + 1
		n.self.Incarnation = max(n.self.Incarnation, record.Incarnation) + 1
		n.markSelf()
		return
	}
	if record.Epoch == n.self.Epoch && record.State > Alive && record.Incarnation >= n.self.Incarnation {
		n.self.Incarnation = record.Incarnation + 1
		n.markSelf()
	}
}

// isNewRun reports whether m comes from a run of its sender that is not known yet.
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
			return // a push without identity; a sync brings the full record
		}
		n.replace(now, p, incoming)
		return
	}
	n.mergeState(now, p, incoming)
	n.mergeDigests(p, incoming)
}

// add adds a VM that is not known yet. It ignores a VM that is lost or has left, which
// would otherwise come back after its removal.
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

// replace replaces the record of a VM by that of a new run.
func (n *Node) replace(now time.Time, p *peer, incoming *Record) {
	n.dropFromHash(p)
	p.record = *incoming
	p.record.Digests = nil
	p.changedAt = now
	n.addToHash(p)
	n.emit(Event{Kind: StateChanged, VM: p.record.VM.Name, State: p.record.State})
	n.mergeDigests(p, incoming)
}

func (n *Node) mergeState(now time.Time, p *peer, incoming *Record) {
	known := &p.record
	changed := (incoming.Draining && !known.Draining) || (incoming.Ready && !known.Ready)
	n.dropFromHash(p)
	known.Draining = known.Draining || incoming.Draining
	known.Ready = known.Ready || incoming.Ready
	if incoming.Incarnation > known.Incarnation || (incoming.Incarnation == known.Incarnation && incoming.State > known.State) {
		state := n.resolveState(known, incoming)
		if known.State != state {
			known.State = state
			p.changedAt = now
			changed = true
		}
		known.Incarnation = incoming.Incarnation
	}
	n.addToHash(p)
	if changed {
		n.emit(Event{Kind: StateChanged, VM: known.VM.Name, State: known.State})
	}
}

// resolveState returns the state to adopt from incoming. When a partition heals, the
// other side reports VMs as lost that are alive on this side. Adopting the loss would
// drop half of the place for a moment. The VM is only suspected instead and notified at
// once, so that it refutes within one exchange.
func (n *Node) resolveState(known, incoming *Record) State {
	if incoming.State != Lost || known.State >= Lost {
		return incoming.State
	}
	suspected := *known
	suspected.State = Suspect
	suspected.Incarnation = incoming.Incarnation
	n.sendRecord(&suspected)
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
		n.emit(Event{Kind: DigestChanged, VM: p.record.VM.Name, Digest: digest.Kind, Data: digest.Data})
	}
}

// setState changes the state of a VM as observed by this one and marks it for a push.
func (n *Node) setState(now time.Time, p *peer, state State) {
	n.dropFromHash(p)
	p.record.State = state
	p.changedAt = now
	n.addToHash(p)
	n.emit(Event{Kind: StateChanged, VM: p.record.VM.Name, State: state})
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

// viewHash returns a hash that is equal on two VMs of a place if their records of all VMs
// that are not lost are equal. It is the exclusive or of the records' hashes, so that a
// change requires hashing one record only.
func (n *Node) viewHash() uint64 {
	hash := n.hash ^ hashRecord(&n.self)
	if hash == 0 {
		return 1 // 0 means that a message carries no hash
	}
	return hash
}

func (n *Node) dropFromHash(p *peer) {
	n.addToHash(p) // exclusive or is its own inverse
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
