package fleet

import "slateway.example/slateway/internal/member"

// Kinds of digests, sums and direct messages. They are part of the protocol
// between VMs: a number is never given to another use. Their ranges are
// package member's.
const (
	KindPoison     member.DigestKind = 1 // strikes of poison requests; as digest and as sum
	KindReplicas   member.DigestKind = 2 // replicas that announced to the VM
	KindUsage      member.DigestKind = 3 // direct: what a gate has on a replica that another feeds
	KindFed        member.DigestKind = 4 // direct: the batch that the feeding gate has there
	KindStrikes    member.DigestKind = 5 // direct: strikes that the sender waits to be known
	KindStrikesAck member.DigestKind = 6 // direct: they are

	KindSpill = member.FirstNear // sum: some replicas of the place, for other places of the region

	KindLoads    = member.FirstVolatile     // loads of KindReplicas, and the batch that the VM feeds
	KindGateLoad = member.FirstVolatile + 1 // load of the gate itself, for the directory
)
