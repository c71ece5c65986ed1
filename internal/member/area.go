package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// areaTable holds the areas of other places, and those of the own place by other
// publishers, keyed by place and publisher. A partitioned place has a publisher on each
// side, and neither must hide the other.
type areaTable struct {
	list          []*areaEntry // sorted by place, then publisher
	sums          []Digest     // sums of the own place, as set on this VM
	version       uint64       // of this VM's last publication
	near, far     publication
	distributedAt time.Time // last distribution to the own place
}

type areaEntry struct {
	area       Area
	receivedAt time.Time
	pending    *Area // changes since the last distribution to the own place
}

func newAreaTable() areaTable { return areaTable{} }

type areaKey struct{ place, publisher string }

func (a *areaEntry) compare(key areaKey) int {
	if order := strings.Compare(a.area.Place, key.place); order != 0 {
		return order
	}
	return strings.Compare(a.area.Publisher, key.publisher)
}

func (t *areaTable) find(key areaKey) (int, bool) {
	return slices.BinarySearchFunc(t.list, key, (*areaEntry).compare)
}

func (t *areaTable) contactAddress(vm string) string {
	for _, entry := range t.list {
		for _, contact := range entry.area.Contacts {
			if contact.VM == vm {
				return contact.Peers
			}
		}
	}
	return ""
}

func (t *areaTable) freshPlaces(now time.Time, n *Node) []string {
	var places []string
	for _, entry := range t.list {
		if !n.isStale(now, entry) && !slices.Contains(places, entry.area.Place) {
			places = append(places, entry.area.Place)
		}
	}
	return places
}

// SetSum replaces a sum of the own place. Every VM of the place may set it; the delegate
// publishes its own value.
func (n *Node) SetSum(kind DigestKind, data []byte) {
	i := slices.IndexFunc(n.areas.sums, func(d Digest) bool { return d.Kind == kind })
	if i < 0 {
		n.areas.sums = append(n.areas.sums, Digest{Kind: kind, Version: 1, Data: slices.Clone(data)})
		return
	}
	if !slices.Equal(n.areas.sums[i].Data, data) {
		n.areas.sums[i] = Digest{Kind: kind, Version: n.areas.sums[i].Version + 1, Data: slices.Clone(data)}
	}
}

// Areas returns the areas of other places. A partitioned place has several, one of each
// publisher. An area that missed a publication while another publisher of its place
// published is left out, since the delegate has changed: the area may contain a gate that
// has drained since, and callers would be sent to a closed port.
func (n *Node) Areas(now time.Time) []PlaceArea {
	latest := n.areas.lastReceived()
	var areas []PlaceArea
	for _, entry := range n.areas.list {
		missed := latest[entry.area.Place].Sub(entry.receivedAt) > n.interval(entry)*3/2
		if entry.area.Place != n.self.VM.Place && !missed {
			areas = append(areas, PlaceArea{Area: entry.area, Stale: n.isStale(now, entry)})
		}
	}
	return areas
}

func (n *Node) isStale(now time.Time, entry *areaEntry) bool {
	return now.Sub(entry.receivedAt) > staleFactor*n.keepalive(entry)
}

// keepalive returns the interval at which an unchanged area is published.
func (n *Node) keepalive(entry *areaEntry) time.Duration { return keepaliveFactor * n.interval(entry) }

// interval returns the interval at which a changing area is published.
func (n *Node) interval(entry *areaEntry) time.Duration {
	if entry.area.Region == n.self.VM.Region {
		return n.config.NearInterval
	}
	return n.config.FarInterval
}

// lastReceived returns when an area was last received, by place.
func (t *areaTable) lastReceived() map[string]time.Time {
	latest := map[string]time.Time{}
	for _, entry := range t.list {
		if entry.receivedAt.After(latest[entry.area.Place]) {
			latest[entry.area.Place] = entry.receivedAt
		}
	}
	return latest
}

// ranked returns the alive VMs of the place, including this one, in the order of the
// tree. The first is the delegate. They are ordered by hash, so that the work does not
// always fall on the VM that is first by name.
func (n *Node) ranked() []string {
	var names []string
	if n.self.State == Alive {
		names = append(names, n.self.VM.Name)
	}
	for _, name := range n.names {
		if n.peers[name].record.State == Alive {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		hashA, hashB := xxhash.Sum64String(a), xxhash.Sum64String(b)
		if hashA != hashB && hashA < hashB {
			return -1
		}
		if hashA != hashB {
			return 1
		}
		return strings.Compare(a, b)
	})
	return names
}

func (n *Node) isDelegate() bool {
	ranked := n.ranked()
	return len(ranked) > 0 && ranked[0] == n.self.VM.Name
}

// ownArea returns the area of the own place as seen by this VM.
func (n *Node) ownArea(now time.Time) Area {
	area := Area{
		Place: n.self.VM.Place, Region: n.self.VM.Region, Publisher: n.self.VM.Name,
		Version: n.areas.version, Sums: slices.Clone(n.areas.sums),
	}
	for _, name := range n.ranked() {
		record := &n.self
		if name != n.self.VM.Name {
			record = &n.peers[name].record
		}
		area.VMs++
		if len(area.Contacts) < maxContacts {
			area.Contacts = append(area.Contacts, Contact{VM: name, Peers: record.VM.Peers})
		}
		if !record.acceptsCallers() {
			continue
		}
		area.Gates++
		if len(area.Entries) < maxEntries {
			area.Entries = append(area.Entries, Entry{VM: name, Callers: record.VM.Callers})
		}
	}
	// The clock makes the versions of one publisher increase across its restarts.
	area.Version = max(area.Version, uint64(now.UnixMilli()))
	return area
}

// introduction returns the own area for a VM that may not know this place. It has the
// lowest version, so that it never replaces what the delegate has published.
func (n *Node) introduction(now time.Time) Area {
	area := n.ownArea(now).forRegion("")
	area.Version = 1
	if ranked := n.ranked(); len(ranked) > 0 {
		area.Publisher = ranked[0]
	}
	return area
}

// mergeAreas stores the newer areas in m and forwards them. An area of the own place from
// a publisher that is not known here means that the place was partitioned; joining its
// contacts heals the partition.
func (n *Node) mergeAreas(now time.Time, m *message) {
	var updates []Area
	for _, area := range m.Areas {
		if area.Publisher == n.self.VM.Name || !n.areas.merge(now, area, n) {
			continue
		}
		updates = append(updates, area)
		if area.Place == n.self.VM.Place {
			n.joinContacts(now, area)
		}
	}
	if len(updates) == 0 || m.Kind != kindAreas {
		return
	}
	n.forwardAreas(m, updates)
}

func (n *Node) joinContacts(now time.Time, area Area) {
	for _, contact := range area.Contacts {
		p := n.peers[contact.VM]
		if contact.VM != n.self.VM.Name && (p == nil || p.record.State >= Lost) {
			n.joinContact(now, contact, p)
		}
	}
}

func (n *Node) joinContact(now time.Time, contact Contact, lost *peer) {
	if lost == nil {
		n.join(now, contact.Peers, nil)
		return
	}
	n.join(now, contact.Peers, &lost.record)
}

// merge stores an area if it is newer than the known one, and reports whether it was.
func (t *areaTable) merge(now time.Time, area Area, n *Node) bool {
	i, found := t.find(areaKey{area.Place, area.Publisher})
	if !found && area.Partial {
		return false // a partial area needs a full one first
	}
	if !found {
		t.list = slices.Insert(t.list, i, &areaEntry{area: area, receivedAt: now, pending: &area})
		n.emitSumChanges(nil, area)
		return true
	}
	entry := t.list[i]
	if entry.area.Version >= area.Version {
		return false
	}
	n.emitSumChanges(entry.area.Sums, area)
	entry.area = entry.area.updatedBy(area)
	entry.receivedAt = now
	if entry.pending != nil {
		area = entry.pending.updatedBy(area)
	}
	entry.pending = &area
	return true
}

func (n *Node) emitSumChanges(known []Digest, area Area) {
	if area.Place == n.self.VM.Place {
		return
	}
	for _, sum := range area.Sums {
		same := slices.ContainsFunc(known, func(d Digest) bool { return d.Kind == sum.Kind && slices.Equal(d.Data, sum.Data) })
		if !same {
			n.emit(Event{Kind: SumChanged, Place: area.Place, VM: area.Publisher, Digest: sum.Kind, Data: sum.Data})
		}
	}
}

// forgetAreas removes areas whose publisher is long gone, and areas that missed a
// keepalive while another publisher of the same place published: there the delegate has
// changed.
func (n *Node) forgetAreas(now time.Time) {
	latest := n.areas.lastReceived()
	n.areas.list = slices.DeleteFunc(n.areas.list, func(entry *areaEntry) bool {
		replaced := latest[entry.area.Place].Sub(entry.receivedAt) > n.keepalive(entry)*3/2
		return replaced || now.Sub(entry.receivedAt) >= n.config.ForgetAfter
	})
}
