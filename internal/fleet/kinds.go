package fleet

import "slateway.example/slateway/internal/member"

// Kinds of digests, sums and direct messages. They are part of the protocol
// between VMs: a number is never given to another use. Their ranges are
// package member's.
const (
	KindPoison   member.DigestKind = 1 // strikes of poison requests; as digest and as sum
	KindRevision member.DigestKind = 2 // configuration revision in force on the VM
	KindYield    member.DigestKind = 3 // direct: batch gives way on a replica

	// KindUpstreams are the replicas that announced to the VM; as a sum, those
	// of the place that other places of the region may use.
	KindUpstreams = member.FirstNear

	KindLoad     = member.FirstVolatile     // load of those replicas
	KindGateLoad = member.FirstVolatile + 1 // load of the gate itself, for the directory
)
