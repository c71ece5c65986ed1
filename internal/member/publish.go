package member

import (
	"slices"
	"time"
)

// publication is the state of publishing the own area to near places, which are in the
// same region, or to far places.
type publication struct {
	sentAt        time.Time
	last          Area // full area at the last publication
	count         int
	headerRepeats int // remaining full publications after a change of the header
}

const (
	// publicationsPerFull is the number of publications of which one carries the full
	// area.
	publicationsPerFull = 10
	// maxHeaderRepeats is how often the full area is sent after its header changed. A lost
	// packet must not leave a draining gate in the answers of other places until the next
	// regular full publication.
	maxHeaderRepeats = 3
)

// sameHeader reports whether all fields but the sums are equal.
func (a *Area) sameHeader(b *Area) bool {
	return a.VMs == b.VMs && a.Gates == b.Gates && slices.Equal(a.Contacts, b.Contacts) && slices.Equal(a.Entries, b.Entries)
}

// changedSince returns a partial area with the sums that differ from those in last.
func (a Area) changedSince(last *Area) Area {
	a.Sums = slices.DeleteFunc(slices.Clone(a.Sums), func(sum Digest) bool {
		return slices.ContainsFunc(last.Sums, func(d Digest) bool { return d.Kind == sum.Kind && d.Version == sum.Version })
	})
	a.Partial = true
	a.VMs, a.Gates, a.Contacts, a.Entries = 0, 0, nil, nil
	return a
}

// updatedBy returns a updated by a newer, possibly partial area.
func (a Area) updatedBy(newer Area) Area {
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

// forRegion returns the area as it is sent to a region: sums that stay within the area's
// own region are left out for other regions.
func (a Area) forRegion(region string) Area {
	if region == a.Region {
		return a
	}
	a.Sums = slices.DeleteFunc(slices.Clone(a.Sums), func(d Digest) bool { return d.Kind >= FirstNear })
	return a
}

// tickAreas publishes the own area to other places and distributes theirs to the VMs of
// the own place.
func (n *Node) tickAreas(now time.Time) {
	n.forgetAreas(now)
	if n.self.State != Alive || !n.isDelegate() {
		return
	}
	if now.Sub(n.areas.distributedAt) >= n.config.NearInterval/2 {
		n.areas.distributedAt = now
		n.sendDownTree(n.takePending())
	}
	n.tickPublication(now, &n.areas.near, true)
	n.tickPublication(now, &n.areas.far, false)
}

// tickPublication publishes the own area if that is due: after an interval if something
// has changed since the last publication, otherwise after the keepalive interval.
func (n *Node) tickPublication(now time.Time, p *publication, near bool) {
	interval := n.config.FarInterval
	if near {
		interval = n.config.NearInterval
	}
	if now.Sub(p.sentAt) < min(interval, n.config.Heartbeat) {
		return
	}
	full := n.ownArea(now)
	if !near {
		full = full.forRegion("")
	}
	changed := !full.sameHeader(&p.last)
	if now.Sub(p.sentAt) < interval && !(near && changed) {
		return // a changed header, as by a draining gate, is sent within the region at once
	}
	if changed {
		p.headerRepeats = maxHeaderRepeats
	}
	area := full.changedSince(&p.last)
	unchanged := p.headerRepeats == 0 && len(area.Sums) == 0
	if unchanged && now.Sub(p.sentAt) < keepaliveFactor*interval {
		return
	}
	// A receiver that does not know this publisher yet can use a full area only, so a
	// changed header is never sent without the sums.
	if p.headerRepeats > 0 || p.count%publicationsPerFull == 0 {
		area = full
	}
	p.sentAt, p.last = now, full
	p.count++
	p.headerRepeats = max(0, p.headerRepeats-1)
	n.areas.version = max(n.areas.version+1, uint64(now.UnixMilli()))
	area.Version = n.areas.version
	n.publish(area, near, p.count)
}

// publish sends the own area to one contact of each other near or far place. It rotates
// among the contacts, so that a lost one does not cut its place off.
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

// forwardAreas forwards areas from another place to the delegate, and areas from the
// parent in the tree to the children. The delegate itself collects areas and distributes
// them periodically.
func (n *Node) forwardAreas(m *message, updates []Area) {
	ranked := n.ranked()
	if len(ranked) == 0 || ranked[0] == n.self.VM.Name {
		return
	}
	if m.Place != n.self.VM.Place {
		n.sendAreas(n.addressOf(ranked[0]), updates)
		return
	}
	n.sendDownTree(updates)
}

// sendDownTree sends areas to this VM's two children in the tree. While an inner VM of the
// tree is lost but not yet suspected, the VMs below it miss one or two distributions. The
// next publication of each area reaches them.
func (n *Node) sendDownTree(areas []Area) {
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

func (n *Node) takePending() []Area {
	var areas []Area
	for _, entry := range n.areas.list {
		if entry.pending != nil {
			areas = append(areas, *entry.pending)
			entry.pending = nil
		}
	}
	return areas
}
