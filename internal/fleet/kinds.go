package fleet

import "slateway.example/slateway/internal/member"

// Kinds of digests, sums and direct messages. They are part of the protocol
// between VMs: a number is never given to another use.
const (
	KindUpstreams member.DigestKind = 1 // replicas that announced to the VM: address, models, incarnation, leaving
	KindLoad      member.DigestKind = 2 // load of those replicas
	KindPoison    member.DigestKind = 3 // fingerprints with strikes
	KindYield     member.DigestKind = 4 // direct: batch gives way on a replica
	KindRevision  member.DigestKind = 5 // configuration revision in force on the VM
	KindGateLoad  member.DigestKind = 6 // load of the gate itself, for the directory
)
