package keeper

import (
	"slices"
	"sync"
	"time"
)

// gateLeases records, on the leader of the configuration group, which revision
// each gate has acknowledged and until when it may serve by it.
//
// The leases stay out of the log: renewals of 420 gates would be most of its
// entries. That is safe across a change of leader. A lease counts from when the
// gate sent its request, and a leader answers only after a majority confirmed
// it, so each lease of an old leader is over one lease time after a new one took
// over; until then the new one calls nothing in force.
type gateLeases struct {
	mu      sync.Mutex
	gates   map[string]gateLease // by VM
	changed notifier
}

type gateLease struct {
	applied uint64
	until   time.Time
}

func newGateLeases() *gateLeases {
	return &gateLeases{gates: make(map[string]gateLease)}
}

// renew notes that a gate serves by the revision until the given time.
func (g *gateLeases) renew(vm string, applied uint64, until time.Time) {
	g.mu.Lock()
	g.gates[vm] = gateLease{applied: applied, until: until}
	g.mu.Unlock()
	g.changed.notify()
}

// remove ends the lease of a gate that serves no longer.
func (g *gateLeases) remove(vm string) {
	g.mu.Lock()
	delete(g.gates, vm)
	g.mu.Unlock()
	g.changed.notify()
}

// waiting lists the gates that hold a lease and serve by an earlier revision.
func (g *gateLeases) waiting(revision uint64, now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var vms []string
	for vm, lease := range g.gates {
		switch {
		case now.After(lease.until):
			delete(g.gates, vm)
		case lease.applied < revision:
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}
