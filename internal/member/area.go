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
	published  Area         // last own publication
	sentNear   time.Time
	sentFar    time.Time
	changed    time.Time // of the own area
	changedFar time.Time // of what other regions see of it
	handedDown time.Time
	turn       int // rotates over the contacts of a place
}

type areaEntry struct {
	area    Area
	heardAt time.Time
	fresh   bool // not handed down the tree yet
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

// Areas lists the areas of other places.
func (n *Node) Areas(now time.Time) []PlaceArea {
	var areas []PlaceArea
	for _, entry := range n.areas.list {
		if entry.area.Place != n.self.VM.Place {
			areas = append(areas, PlaceArea{Area: entry.area, Stale: n.stale(now, entry)})
		}
	}
	return areas
}

func (n *Node) stale(now time.Time, entry *areaEntry) bool {
	return now.Sub(entry.heardAt) > staleFactor*n.keepalive(entry)
}

// keepalive is the pace at which an unchanged area is published.
func (n *Node) keepalive(entry *areaEntry) time.Duration {
	if entry.area.Region == n.self.VM.Region {
		return keepaliveFactor * n.config.NearInterval
	}
	return keepaliveFactor * n.config.FarInterval
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
		Version: n.areas.published.Version, Sums: slices.Clone(n.areas.sums),
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
		if !record.VM.Gate() || record.Draining {
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

func sameArea(a, b Area) bool {
	return a.VMs == b.VMs && a.Gates == b.Gates &&
		slices.Equal(a.Contacts, b.Contacts) && slices.Equal(a.Entries, b.Entries) &&
		slices.EqualFunc(a.Sums, b.Sums, func(x, y Digest) bool { return x.Kind == y.Kind && x.Version == y.Version })
}

// tickAreas publishes the own area to other places and hands theirs down.
func (n *Node) tickAreas(now time.Time) {
	n.forgetAreas(now)
	if n.self.State != Alive || !n.isDelegate() {
		return
	}
	if now.Sub(n.areas.handedDown) >= n.config.NearInterval {
		n.areas.handedDown = now
		n.handDown(n.takeFresh())
	}
	area := n.ownArea(now)
	if !sameArea(area.forRegion(""), n.areas.published.forRegion("")) {
		n.areas.changedFar = now
	}
	if !sameArea(area, n.areas.published) {
		n.areas.changed = now
		area.Version = max(area.Version, n.areas.published.Version+1)
		n.areas.published = area
	}
	if due(now, n.areas.sentNear, n.areas.changed, n.config.NearInterval) {
		n.areas.sentNear = now
		n.publish(now, true)
	}
	if due(now, n.areas.sentFar, n.areas.changedFar, n.config.FarInterval) {
		n.areas.sentFar = now
		n.publish(now, false)
	}
}

// due reports whether to publish: after an interval if something changed since
// the last time, after the keepalive otherwise.
func due(now, sent, changed time.Time, interval time.Duration) bool {
	if changed.After(sent) {
		return now.Sub(sent) >= interval
	}
	return now.Sub(sent) >= keepaliveFactor*interval
}

// publish sends the own area to one contact of each other place, near or far.
// Contacts take turns, so that a lost one does not cut its place off.
func (n *Node) publish(now time.Time, near bool) {
	n.areas.published.Version = max(n.areas.published.Version+1, uint64(now.UnixMilli()))
	n.areas.turn++
	for _, entry := range n.areas.list {
		isNear := entry.area.Region == n.self.VM.Region
		if isNear != near || entry.area.Place == n.self.VM.Place || len(entry.area.Contacts) == 0 {
			continue
		}
		contact := entry.area.Contacts[n.areas.turn%len(entry.area.Contacts)]
		n.sendAreas(contact.Peers, []Area{n.areas.published.forRegion(entry.area.Region)})
	}
}

// forRegion leaves out the sums that stay within the area's own region.
func (a Area) forRegion(region string) Area {
	if region == a.Region {
		return a
	}
	a.Sums = slices.DeleteFunc(slices.Clone(a.Sums), func(d Digest) bool { return d.Kind >= FirstNear })
	return a
}

func (n *Node) sendAreas(address string, areas []Area) {
	for _, packet := range splitBySize(areas, n.config.PacketBytes-envelopeBytes) {
		n.send(address, &message{Kind: kindAreas, Areas: packet})
	}
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
	if !found {
		t.list = slices.Insert(t.list, i, &areaEntry{area: area, heardAt: now, fresh: true})
		n.sumEvents(nil, area)
		return true
	}
	entry := t.list[i]
	if entry.area.Version >= area.Version {
		return false
	}
	n.sumEvents(entry.area.Sums, area)
	entry.area = area
	entry.heardAt = now
	entry.fresh = true
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

// passOn moves areas along: from another place to the own delegate, from the
// parent in the tree to the children at once. The delegate itself gathers them
// for its next turn.
func (n *Node) passOn(m *message, news []Area) {
	ranked := n.ranked()
	if len(ranked) == 0 || ranked[0] == n.self.VM.Name {
		return
	}
	if m.Place != n.self.VM.Place {
		n.sendAreas(n.addressOf(ranked[0]), news)
		return
	}
	n.handDown(news)
}

// handDown sends areas to the VM's two children in the tree. While an inner VM
// of the tree is lost and not yet suspected, those below it miss one or two
// turns; the next publication of each area reaches them.
func (n *Node) handDown(areas []Area) {
	if len(areas) == 0 {
		return
	}
	ranked := n.ranked()
	i := slices.Index(ranked, n.self.VM.Name)
	if i < 0 {
		return
	}
	for child := 2*i + 1; child <= 2*i+2 && child < len(ranked); child++ {
		n.sendAreas(n.addressOf(ranked[child]), areas)
	}
}

func (n *Node) takeFresh() []Area {
	var areas []Area
	for _, entry := range n.areas.list {
		if entry.fresh {
			entry.fresh = false
			areas = append(areas, entry.area)
		}
	}
	return areas
}

// forgetAreas drops areas whose publisher is long gone, and those that missed
// a keepalive while another publisher of the same place kept its own: the
// delegate has changed.
func (n *Node) forgetAreas(now time.Time) {
	latest := map[string]time.Time{}
	for _, entry := range n.areas.list {
		if entry.heardAt.After(latest[entry.area.Place]) {
			latest[entry.area.Place] = entry.heardAt
		}
	}
	n.areas.list = slices.DeleteFunc(n.areas.list, func(entry *areaEntry) bool {
		replaced := latest[entry.area.Place].Sub(entry.heardAt) > n.keepalive(entry)*3/2
		return replaced || now.Sub(entry.heardAt) >= n.config.ForgetAfter
	})
}
