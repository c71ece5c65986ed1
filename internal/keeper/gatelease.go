package keeper

import (
	"slices"
	"sync"
	"time"
)

// gateLeases records, on the leader of the configuration group, the revision that each
// gate has acknowledged and the end of its configuration lease.
//
// The leases are not logged, because the renewals of 420 gates would be most of the log's
// entries. A change of leader is safe all the same: a lease starts when the gate sends its
// request, and a leader grants it only after a majority has confirmed its leadership. All
// leases of an old leader have therefore expired one lease time after a new leader's
// election, and until then the new leader reports no revision as in force.
type gateLeases struct {
	mu      sync.Mutex
	gates   map[string]gateLease // by VM
	changed notifier
}

type gateLease struct {
	applied uint64
	expires time.Time
	// answeredIn is the term in which this VM, as the leader, last answered the gate. Only
	// an answer renews the lease that the gate itself assumes.
	answeredIn uint64
}

func newGateLeases() *gateLeases {
	return &gateLeases{gates: make(map[string]gateLease)}
}

// renew records that a gate serves the applied revision and may do so until the
// given time.
func (g *gateLeases) renew(vm string, applied uint64, until time.Time) {
	g.mu.Lock()
	lease := g.gates[vm]
	lease.applied, lease.expires = applied, until
	g.gates[vm] = lease
	g.mu.Unlock()
	g.changed.notify()
}

// markAnswered records that the gate was answered in a term.
func (g *gateLeases) markAnswered(vm string, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if lease, known := g.gates[vm]; known {
		lease.answeredIn = term
		g.gates[vm] = lease
	}
}

// wasAnswered reports whether the gate was answered in a term and its lease has not expired.
func (g *gateLeases) wasAnswered(vm string, term uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	lease, known := g.gates[vm]
	return known && lease.answeredIn == term && now.Before(lease.expires)
}

// remove deletes the lease of a gate that is shutting down.
func (g *gateLeases) remove(vm string) {
	g.mu.Lock()
	delete(g.gates, vm)
	g.mu.Unlock()
	g.changed.notify()
}

// unacknowledged returns the sorted VMs of the gates that hold a lease and have
// not acknowledged the revision. It deletes expired leases.
func (g *gateLeases) unacknowledged(revision uint64, now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var vms []string
	for vm, lease := range g.gates {
		switch {
		case now.After(lease.expires):
			delete(g.gates, vm)
		case lease.applied < revision:
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}
