package daemon

import (
	"time"

	"slateway.example/slateway/internal/crash"
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

// RememberParts adds the parts of prompts that crash replicas, as a control VM knows them, and
// tells the control VMs if answers that have flowed here clear some.
func (r siteReplicas) RememberParts(service string, records []crash.Record) {
	if cleared := r.gate.router.MergeParts(service, records); len(cleared) > 0 {
		r.gate.exchange.ReportParts(service, cleared)
	}
}

// Confirmed records that a control VM has confirmed the known replicas.
func (r siteReplicas) Confirmed() { r.gate.takeups.Confirmed() }
