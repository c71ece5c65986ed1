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
}

func newGateLeases() *gateLeases {
	return &gateLeases{gates: make(map[string]gateLease)}
}

// renew records that a gate serves the applied revision and may do so until the
// given time.
func (g *gateLeases) renew(vm string, applied uint64, until time.Time) {
	g.mu.Lock()
	g.gates[vm] = gateLease{applied: applied, expires: until}
	g.mu.Unlock()
	g.changed.notify()
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
