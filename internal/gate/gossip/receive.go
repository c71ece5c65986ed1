package gossip

import (
	"github.com/cespare/xxhash/v2"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/fleet"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/upstream"
)

func hashOf(encoded []byte) uint64 { return xxhash.Sum64(encoded) }

func (g *Gossip) takeReplicas(vm string, data []byte) {
	var list replicas
	if !g.decode(data, &list) {
		return
	}
	g.mu.Lock()
	g.lists[vm] = list
	g.hashes[vm] = hashOf(data)
	g.mu.Unlock()
	g.merge(list.List)
}

// takeLoads makes whole announcements of the rows, so that an entry that timed
// out while the sender was out of reach comes back with its first load.
func (g *Gossip) takeLoads(vm string, data []byte) {
	var l loads
	if !g.decode(data, &l) {
		return
	}
	g.mu.Lock()
	list, known := g.lists[vm], g.hashes[vm] == l.Replicas
	g.mu.Unlock()
	if !known || len(list.List) != len(l.Rows) {
		g.options.Metrics.Count(countUnknownList)
		return
	}
	announcements := make([]upstream.Announcement, len(l.Rows))
	for i := range l.Rows {
		announcements[i] = l.Rows[i].with(list.List[i])
	}
	g.merge(announcements)
	g.mergeFed(l.Fed)
}

func (g *Gossip) merge(announcements []upstream.Announcement) {
	byService := map[string]*upstream.Digest{}
	var digests []*upstream.Digest
	for _, a := range announcements {
		if a.Validate() != nil {
			g.options.Metrics.Count(countBad)
			continue
		}
		d := byService[a.Service]
		if d == nil {
			d = &upstream.Digest{Service: a.Service}
			byService[a.Service] = d
			digests = append(digests, d)
		}
		d.Identity = append(d.Identity, a)
	}
	for _, d := range digests {
		g.options.Router.Merge([]upstream.Digest{*d})
	}
}

// mergeFed finds the replicas that the rows mean.
func (g *Gossip) mergeFed(rows []fedRow) {
	if len(rows) == 0 {
		return
	}
	batch := make(map[[2]uint32]int, len(rows))
	for _, row := range rows {
		batch[[2]uint32{row.Service, row.Replica}] = row.Batch
	}
	for _, r := range g.options.Router.Upstreams() {
		if count, found := batch[[2]uint32{shortHash(r.Service), shortHash(string(r.Replica))}]; found {
			g.options.Router.Fed(r.Service, upstream.Feeding{Replica: r.Replica, Batch: count})
		}
	}
}

func (g *Gossip) takeSpill(data []byte) {
	var list replicas
	if g.decode(data, &list) {
		g.merge(list.List)
	}
}

// Yield sends a usage to the gate that feeds the replica; it is proxy's
// Options.Yield. A lost one is made good by the next: usages are totals.
func (g *Gossip) Yield(gate string, u proxy.Usage) {
	if err := g.options.Fleet.Send(gate, fleet.KindUsage, encode(u)); err != nil {
		g.options.Metrics.Count("gossip.usage_not_sent")
	}
}

func (g *Gossip) takeUsage(vm string, data []byte) {
	var u proxy.Usage
	if !g.decode(data, &u) {
		return
	}
	feeding := g.options.Router.Yield(u)
	// The answer is a hint; without it the next load digest tells the same.
	_ = g.options.Fleet.Send(vm, fleet.KindFed, codec.MustMarshal(fed{Service: u.Service, Feeding: feeding}))
}

func (g *Gossip) takeFed(_ string, data []byte) {
	var f fed
	if g.decode(data, &f) {
		g.options.Router.Fed(f.Service, f.Feeding)
	}
}
