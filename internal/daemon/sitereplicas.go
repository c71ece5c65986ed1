package daemon

import "slateway.example/slateway/internal/upstream"

// siteReplicas forwards the replica changes received from the control VMs to the
// router, which is created after the follower.
type siteReplicas struct{ gate *siteGate }

// Announce applies the announcement of a replica.
func (r siteReplicas) Announce(a upstream.Announcement) error { return r.gate.router.Announce(a) }

// Withdraw removes a replica.
func (r siteReplicas) Withdraw(service string, id upstream.ReplicaID, incarnation uint64) {
	r.gate.router.Withdraw(service, id, incarnation)
}
