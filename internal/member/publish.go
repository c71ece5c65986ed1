package member

import (
	"slices"
	"time"
)

// publication is the state of publishing to the places of one kind, near or far.
type publication struct {
	sentAt time.Time
	last   Area // as last sent, whole
	count  int
	heads  int // how often the head is still to be sent
}

const (
	// wholeEvery is how many publications there are for each whole one.
	wholeEvery = 10
	// headRepeats is how often an area is sent whole after its head changed: a lost packet must not
	// leave a draining gate in the answers of other places until the next
	// whole publication.
	headRepeats = 3
)

// sameHead compares all but the sums.
func (a *Area) sameHead(b *Area) bool {
	return a.VMs == b.VMs && a.Gates == b.Gates && slices.Equal(a.Contacts, b.Contacts) && slices.Equal(a.Entries, b.Entries)
}

// changedSince keeps only the sums that differ from those in last.
func (a Area) changedSince(last *Area) Area {
	a.Sums = slices.DeleteFunc(slices.Clone(a.Sums), func(sum Digest) bool {
		return slices.ContainsFunc(last.Sums, func(d Digest) bool { return d.Kind == sum.Kind && d.Version == sum.Version })
	})
	a.Partial = true
	a.VMs, a.Gates, a.Contacts, a.Entries = 0, 0, nil, nil
	return a
}

// with gives a, known before, brought up to date by the newer area.
func (a Area) with(newer Area) Area {
	sums := slices.Clone(a.Sums)
	for _, sum := range newer.Sums {
		sums = slices.DeleteFunc(sums, func(d Digest) bool { return d.Kind == sum.Kind })
		sums = append(sums, sum)
	}
	if newer.Partial {
		a.Version = newer.Version
		a.Sums = sums
		return a
	}
	newer.Sums = sums
	return newer
}

// forRegion leaves out the sums that stay within the area's own region.
func (a Area) forRegion(region string) Area {
	if region == a.Region {
		return a
	}
	a.Sums = slices.DeleteFunc(slices.Clone(a.Sums), func(d Digest) bool { return d.Kind >= FirstNear })
	return a
}

// tickAreas publishes the own area to other places and hands theirs down.
func (n *Node) tickAreas(now time.Time) {
	n.forgetAreas(now)
	if n.self.State != Alive || !n.isDelegate() {
		return
	}
	if now.Sub(n.areas.handedDown) >= n.config.NearInterval/2 {
		n.areas.handedDown = now
		n.handDown(n.takeNews())
	}
	n.tickPublication(now, &n.areas.near, true)
	n.tickPublication(now, &n.areas.far, false)
}

// tickPublication publishes if it is time: after an interval if something
// changed since the last time, after the keepalive otherwise.
func (n *Node) tickPublication(now time.Time, p *publication, near bool) {
	interval := n.config.FarInterval
	if near {
		interval = n.config.NearInterval
	}
	if now.Sub(p.sentAt) < min(interval, n.config.Heartbeat) {
		return
	}
	whole := n.ownArea(now)
	if !near {
		whole = whole.forRegion("")
	}
	changed := !whole.sameHead(&p.last)
	if now.Sub(p.sentAt) < interval && !(near && changed) {
		return // a draining gate is told to the region at once, all else at the pace
	}
	if changed {
		p.heads = headRepeats
	}
	area := whole.changedSince(&p.last)
	unchanged := p.heads == 0 && len(area.Sums) == 0
	if unchanged && now.Sub(p.sentAt) < keepaliveFactor*interval {
		return
	}
	// Whoever does not know this publisher yet can use a whole area only, so a
	// changed head never goes without the sums.
	if p.heads > 0 || p.count%wholeEvery == 0 {
		area = whole
	}
	p.sentAt, p.last = now, whole
	p.count++
	p.heads = max(0, p.heads-1)
	n.areas.version = max(n.areas.version+1, uint64(now.UnixMilli()))
	area.Version = n.areas.version
	n.publish(area, near, p.count)
}

// publish sends the own area to one contact of each other place, near or far.
// Contacts take turns, so that a lost one does not cut its place off.
func (n *Node) publish(area Area, near bool, turn int) {
	for _, entry := range n.areas.list {
		isNear := entry.area.Region == n.self.VM.Region
		if isNear != near || entry.area.Place == n.self.VM.Place || len(entry.area.Contacts) == 0 {
			continue
		}
		contact := entry.area.Contacts[turn%len(entry.area.Contacts)]
		n.sendAreas(contact.Peers, []Area{area})
	}
}

func (n *Node) sendAreas(address string, areas []Area) {
	for _, packet := range splitBySize(areas, n.config.PacketBytes-envelopeBytes) {
		n.send(address, &message{Kind: kindAreas, Areas: packet})
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

func (n *Node) takeNews() []Area {
	var areas []Area
	for _, entry := range n.areas.list {
		if entry.news != nil {
			areas = append(areas, *entry.news)
			entry.news = nil
		}
	}
	return areas
}
