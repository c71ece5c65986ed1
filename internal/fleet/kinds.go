package fleet

import "slateway.example/slateway/internal/member"

// Kinds of digests, sums and direct messages. They are part of the protocol between VMs,
// so a number must never be reused. Package member defines the ranges of kinds.
const (
	KindPoison   member.DigestKind = 1 // digest and sum: crash reports of poison requests
	KindRevision member.DigestKind = 2 // configuration revision in force on the VM
	KindYield    member.DigestKind = 3 // direct message: batch work yields on a replica

	// KindUpstreams is, as a digest, the replicas that announced themselves to the VM; as
	// a sum, the replicas of the place that other places of the region may use.
	KindUpstreams = member.FirstNear

	KindLoad     = member.FirstVolatile     // load of the replicas in KindUpstreams
	KindGateLoad = member.FirstVolatile + 1 // load of the gate itself, for the directory
)
