package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// areaTable holds the areas of other places, and of the own place as other
// publishers see it, keyed by place and publisher. A place that is split has a
// publisher on each side, and neither must hide the other.
type areaTable struct {
	list       []*areaEntry // sorted by place, then publisher
	sums       []Digest     // own sums of this place
	version    uint64       // of the last own publication
	near, far  publication
	handedDown time.Time
}

type areaEntry struct {
	area    Area
	heardAt time.Time
	news    *Area // what came since areas were last handed down
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
		if !n.stale(now, entry) && !slices.Contains(places, entry.area.Place) {
			places = append(places, entry.area.Place)
		}
	}
	return places
}

// SetSum replaces a sum of the own place. Every VM of the place may set it; the
// delegate's value travels.
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

// Areas lists the areas of other places. A place that is split has several, one
// of each publisher.
//
// One that missed a publication while another publisher of the place made its own
// is left out: the delegate has changed, and a gate that drained since would
// still be named to callers, who find its port closed when it has gone.
func (n *Node) Areas(now time.Time) []PlaceArea {
	latest := n.areas.latest()
	var areas []PlaceArea
	for _, entry := range n.areas.list {
		missed := latest[entry.area.Place].Sub(entry.heardAt) > n.interval(entry)*3/2
		if entry.area.Place != n.self.VM.Place && !missed {
			areas = append(areas, PlaceArea{Area: entry.area, Stale: n.stale(now, entry)})
		}
	}
	return areas
}

func (n *Node) stale(now time.Time, entry *areaEntry) bool {
	return now.Sub(entry.heardAt) > staleFactor*n.keepalive(entry)
}

// keepalive is the pace at which an unchanged area is published.
func (n *Node) keepalive(entry *areaEntry) time.Duration { return keepaliveFactor * n.interval(entry) }

// interval is the pace at which a changing area is published.
func (n *Node) interval(entry *areaEntry) time.Duration {
	if entry.area.Region == n.self.VM.Region {
		return n.config.NearInterval
	}
	return n.config.FarInterval
}

// latest gives for each place when it was last heard of.
func (t *areaTable) latest() map[string]time.Time {
	latest := map[string]time.Time{}
	for _, entry := range t.list {
		if entry.heardAt.After(latest[entry.area.Place]) {
			latest[entry.area.Place] = entry.heardAt
		}
	}
	return latest
}

// ranked lists the alive VMs of the place, this one included, in the order of
// the tree: the first is the delegate. The order is by hash, so the work does
// not always fall on the VM that is first by name.
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

// ownArea sums up the place as this VM sees it.
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
		if !record.takesCallers() {
			continue
		}
		area.Gates++
		if len(area.Entries) < maxEntries {
			area.Entries = append(area.Entries, Entry{VM: name, Callers: record.VM.Callers})
		}
	}
	// Versions of one publisher rise across its restarts by the clock.
	area.Version = max(area.Version, uint64(now.UnixMilli()))
	return area
}

// introduction is the own area for a VM that may know nothing of this place. It
// has the lowest version, so that it never hides what the delegate published.
func (n *Node) introduction(now time.Time) Area {
	area := n.ownArea(now).forRegion("")
	area.Version = 1
	if ranked := n.ranked(); len(ranked) > 0 {
		area.Publisher = ranked[0]
	}
	return area
}

// mergeAreas takes newer areas. One of the own place from a publisher that is
// not known here means that the place was split; a join heals it.
func (n *Node) mergeAreas(now time.Time, m *message) {
	var news []Area
	for _, area := range m.Areas {
		if area.Publisher == n.self.VM.Name || !n.areas.merge(now, area, n) {
			continue
		}
		news = append(news, area)
		if area.Place == n.self.VM.Place {
			n.joinContacts(now, area)
		}
	}
	if len(news) == 0 || m.Kind != kindAreas {
		return
	}
	n.passOn(m, news)
}

func (n *Node) joinContacts(now time.Time, area Area) {
	for _, contact := range area.Contacts {
		p := n.peers[contact.VM]
		if contact.VM != n.self.VM.Name && (p == nil || p.record.State >= Lost) {
			n.joinContact(now, contact, p)
		}
	}
}

func (n *Node) joinContact(now time.Time, contact Contact, held *peer) {
	if held == nil {
		n.join(now, contact.Peers, nil)
		return
	}
	n.join(now, contact.Peers, &held.record)
}

// merge stores a newer area and reports whether it was one.
func (t *areaTable) merge(now time.Time, area Area, n *Node) bool {
	i, found := t.find(areaKey{area.Place, area.Publisher})
	if !found && area.Partial {
		return false // the next whole one is waited for
	}
	if !found {
		t.list = slices.Insert(t.list, i, &areaEntry{area: area, heardAt: now, news: &area})
		n.sumEvents(nil, area)
		return true
	}
	entry := t.list[i]
	if entry.area.Version >= area.Version {
		return false
	}
	n.sumEvents(entry.area.Sums, area)
	entry.area = entry.area.with(area)
	entry.heardAt = now
	if entry.news != nil {
		area = entry.news.with(area)
	}
	entry.news = &area
	return true
}

func (n *Node) sumEvents(known []Digest, area Area) {
	if area.Place == n.self.VM.Place {
		return
	}
	for _, sum := range area.Sums {
		same := slices.ContainsFunc(known, func(d Digest) bool { return d.Kind == sum.Kind && slices.Equal(d.Data, sum.Data) })
		if !same {
			n.event(Event{Kind: SumChanged, Place: area.Place, VM: area.Publisher, Digest: sum.Kind, Data: sum.Data})
		}
	}
}

// forgetAreas drops areas whose publisher is long gone, and those that missed
// a keepalive while another publisher of the same place kept its own: the
// delegate has changed.
func (n *Node) forgetAreas(now time.Time) {
	latest := n.areas.latest()
	n.areas.list = slices.DeleteFunc(n.areas.list, func(entry *areaEntry) bool {
		replaced := latest[entry.area.Place].Sub(entry.heardAt) > n.keepalive(entry)*3/2
		return replaced || now.Sub(entry.heardAt) >= n.config.ForgetAfter
	})
}
