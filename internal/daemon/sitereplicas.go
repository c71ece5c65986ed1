package daemon

import "slateway.example/slateway/internal/upstream"

// siteReplicas hands what the control VMs know of replicas to the router, which
// is made after the follower.
type siteReplicas struct{ gate *siteGate }

// Announce takes in an announcement.
func (r siteReplicas) Announce(a upstream.Announcement) error { return r.gate.router.Announce(a) }

// Withdraw takes in that a replica is no more.
func (r siteReplicas) Withdraw(service string, id upstream.ReplicaID, incarnation uint64) {
	r.gate.router.Withdraw(service, id, incarnation)
}
