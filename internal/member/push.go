package member

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/codec"
)

// dirtyRecord is a record with changes that have not been pushed to the place yet.
type dirtyRecord struct {
	name    string
	full    bool         // push the identity and all digests
	digests []DigestKind // otherwise push only these digests
}

func (n *Node) markSelf() { n.mark(n.self.VM.Name).full = true }

func (n *Node) markState(name string) { n.mark(name) }

func (n *Node) markDigest(kind DigestKind) {
	d := n.mark(n.self.VM.Name)
	if !slices.Contains(d.digests, kind) {
		d.digests = append(d.digests, kind)
	}
}

func (n *Node) mark(name string) *dirtyRecord {
	i := slices.IndexFunc(n.dirty, func(d dirtyRecord) bool { return d.name == name })
	if i < 0 {
		n.dirty = append(n.dirty, dirtyRecord{name: name})
		i = len(n.dirty) - 1
	}
	return &n.dirty[i]
}

// flush pushes changes to all VMs of the place that are not lost. While the rate limit is
// exceeded, changes accumulate, and a digest that changes twice is sent once.
func (n *Node) flush(now time.Time) {
	if len(n.dirty) == 0 || n.tokens <= 0 {
		return
	}
	records := n.dirtyRecords()
	n.dirty = nil
	packets := n.split(records)
	for _, name := range n.names {
		p := n.peers[name]
		if p.record.State >= Lost {
			continue
		}
		for _, packet := range packets {
			n.send(p.record.VM.Peers, &message{Kind: kindPush, Records: packet})
		}
	}
}

func (n *Node) dirtyRecords() []Record {
	var records []Record
	for _, d := range n.dirty {
		if d.name == n.self.VM.Name {
			records = append(records, n.ownRecord(d))
			continue
		}
		if p := n.peers[d.name]; p != nil {
			record := p.record
			if !d.full {
				record.VM = VM{Name: d.name}
				record.Digests = nil
			}
			records = append(records, record)
		}
	}
	return records
}

func (n *Node) ownRecord(d dirtyRecord) Record {
	if d.full {
		return n.self
	}
	record := n.self
	record.VM = VM{} // the message contains the sender's name already
	record.Digests = nil
	for _, digest := range n.self.Digests {
		if slices.Contains(d.digests, digest.Kind) {
			record.Digests = append(record.Digests, digest)
		}
	}
	return record
}

// allRecords returns the records of all VMs that are not lost, this VM's first.
func (n *Node) allRecords() []Record {
	records := []Record{n.self}
	for _, name := range n.names {
		if record := n.peers[name].record; record.State < Lost {
			records = append(records, record)
		}
	}
	return records
}

func (n *Node) pushTo(address string, records []Record) {
	for _, packet := range n.split(records) {
		n.send(address, &message{Kind: kindPush, Records: packet})
	}
}

// envelopeBytes is reserved in a packet for the fields other than records or areas.
const envelopeBytes = 100

// split groups records so that each group fits into one packet.
func (n *Node) split(records []Record) [][]Record {
	return splitBySize(records, n.config.PacketBytes-envelopeBytes)
}

func splitBySize[T any](items []T, limit int) [][]T {
	var groups [][]T
	var group []T
	size := 0
	for _, item := range items {
		bytes := len(codec.MustMarshal(item))
		if len(group) > 0 && size+bytes > limit {
			groups = append(groups, group)
			group, size = nil, 0
		}
		group = append(group, item)
		size += bytes
	}
	if len(group) > 0 {
		groups = append(groups, group)
	}
	return groups
}

// startSync starts to compare views with the sender of m, at most once per heartbeat.
func (n *Node) startSync(now time.Time, m *message) {
	p := n.peers[m.From]
	if p == nil || now.Sub(n.lastSync) < n.config.Heartbeat {
		return
	}
	n.lastSync = now
	n.send(p.record.VM.Peers, &message{Kind: kindSync, Versions: n.versions(), Reply: n.self.VM.Peers})
}

func (n *Node) versions() []recordVersion {
	versions := []recordVersion{n.self.version()}
	for _, name := range n.names {
		versions = append(versions, n.peers[name].record.version())
	}
	return versions
}

// handleSync pushes the records that the sender lacks. If the sender started the sync, it
// also sends the versions of this VM's records, so that the sender does the same.
func (n *Node) handleSync(m *message) {
	if m.Reply == "" {
		return
	}
	theirs := make(map[string]recordVersion, len(m.Versions))
	for _, version := range m.Versions {
		theirs[version.Name] = version
	}
	var missing []Record
	if n.isMissing(theirs, &n.self) {
		missing = append(missing, n.self)
	}
	for _, name := range n.names {
		if record := &n.peers[name].record; n.isMissing(theirs, record) {
			missing = append(missing, *record)
		}
	}
	n.pushTo(m.Reply, missing)
	if m.Kind == kindSync {
		n.send(m.Reply, &message{Kind: kindSyncReply, Versions: n.versions(), Reply: n.self.VM.Peers})
	}
}

func (n *Node) isMissing(theirs map[string]recordVersion, record *Record) bool {
	version, known := theirs[record.VM.Name]
	if !known {
		return record.State < Lost
	}
	return record.version().newer(version)
}
