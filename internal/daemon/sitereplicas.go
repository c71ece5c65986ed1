package daemon

import (
	"time"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/origin"
	"slateway.example/slateway/internal/upstream"
)

// siteReplicas forwards the replica changes received from the control VMs to the
// router, which is created after the follower.
type siteReplicas struct{ gate *siteGate }

// Announce applies the announcement of a replica.
func (r siteReplicas) Announce(a upstream.Announcement) error {
	if err := r.gate.router.Announce(a); err != nil {
		return err
	}
	r.gate.takeups.Announced(&a)
	return nil
}

// Withdraw removes a replica.
func (r siteReplicas) Withdraw(service string, id upstream.ReplicaID, incarnation uint64) {
	r.gate.router.Withdraw(service, id, incarnation)
	r.gate.takeups.Withdrawn(id, incarnation)
}

// RememberBuilds adds the builds that a control VM remembers.
func (r siteReplicas) RememberBuilds(past []origin.Past, reach time.Duration) {
	first := make(map[string]map[string]time.Duration)
	for _, p := range past {
		if first[p.Service] == nil {
			first[p.Service] = make(map[string]time.Duration)
		}
		first[p.Service][p.Build] = p.Known
	}
	for service, builds := range first {
		r.gate.router.RememberBuilds(service, builds)
	}
	r.gate.takeups.RememberBuilds(past, reach)
}

// PartsHash returns a hash of what is known of parts of prompts that crash replicas.
func (r siteReplicas) PartsHash() uint64 { return r.gate.router.PartsHash() }

// RememberParts adds what a control VM knows of parts of prompts that crash replicas, and tells
// the control VMs what they lack.
func (r siteReplicas) RememberParts(known []controlapi.ServiceParts, hash uint64) {
	for i := range known {
		if cleared := r.gate.router.MergeParts(known[i].Service, known[i].Records); len(cleared) > 0 {
			r.gate.exchange.ReportParts(known[i].Service, cleared)
		}
	}
	if r.gate.router.PartsHash() == hash {
		return
	}
	for service, records := range r.gate.router.LastingParts() {
		r.gate.exchange.ReportParts(service, records)
	}
}

// Confirmed records that a control VM has confirmed the known replicas.
func (r siteReplicas) Confirmed() { r.gate.takeups.Confirmed() }
