package roster

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"slateway.example/slateway/internal/upstream"
)

// DigestForm identifies which fields the digests cover and how they are hashed. Two
// processes compare digests only if they use the same form. It must be increased with each
// change of hashReplica, hashGate, bucketOf or Buckets.
const DigestForm = 2

// Buckets is the number of parts of the roster that control VMs compare with each other:
// ReplicaBuckets of the replicas by ID, then one of all gates.
const (
	ReplicaBuckets = 64
	GateBucket     = ReplicaBuckets
	Buckets        = ReplicaBuckets + 1
)

// bucketOf returns the bucket of a replica.
func bucketOf(id upstream.ReplicaID) int {
	return int(xxhash.Sum64String(string(id)) % ReplicaBuckets)
}

// hasher builds the hash of a record from its fields. Each field is written with its
// length, so that two records with the same bytes in different fields differ.
type hasher struct{ data []byte }

func (h *hasher) text(value string) {
	h.data = binary.AppendUvarint(h.data, uint64(len(value)))
	h.data = append(h.data, value...)
}

func (h *hasher) number(value uint64) { h.data = binary.AppendUvarint(h.data, value) }

func (h *hasher) flags(values ...bool) {
	var bits uint64
	for i, value := range values {
		if value {
			bits |= 1 << i
		}
	}
	h.number(bits)
}

// hashReplica hashes the fields of an announcement that sameForGates compares.
func hashReplica(a *upstream.Announcement) uint64 {
	h := hasher{data: make([]byte, 0, 256)}
	h.text(string(a.Replica))
	h.number(a.Incarnation)
	h.text(a.Service)
	h.text(string(a.Kind))
	h.text(a.Address)
	h.text(a.Place)
	h.text(a.VM)
	h.text(a.Build)
	h.number(uint64(a.Slots))
	h.flags(a.Ready, a.Leaving, a.ChecksFencing, a.CanResume, a.CanCancel, a.KVExport)
	h.number(uint64(len(a.Models)))
	for _, m := range a.Models {
		h.text(m.Name)
		h.text(m.Version)
	}
	return xxhash.Sum64(h.data)
}

// hashGate hashes all fields of a gate except its sequence.
func hashGate(g *Gate) uint64 {
	h := hasher{data: make([]byte, 0, 256)}
	h.text(g.VM)
	h.text(g.Place)
	h.text(g.Region)
	h.text(g.Callers)
	h.text(g.Peers)
	h.number(uint64(g.Started))
	h.flags(g.Ready, g.Draining)
	// Gates and replicas are added up in one digest: the suffix keeps their hashes apart.
	h.text("gate")
	return xxhash.Sum64(h.data)
}

// digestHistory is the number of past versions whose digest a Table keeps. A gate that polls
// twice a second is behind by fewer changes, also when all replicas join within a second.
const digestHistory = 8192

// digests are the sums of the hashes of what a Table lists.
type digests struct {
	total   uint64
	buckets [Buckets]uint64
	// history holds the total at each of the last versions, by version modulo its length.
	history [digestHistory]uint64
}

func (d *digests) add(bucket int, hash uint64) {
	d.total += hash
	d.buckets[bucket] += hash
}

func (d *digests) remove(bucket int, hash uint64) {
	d.total -= hash
	d.buckets[bucket] -= hash
}

// Digest returns the order-independent sum of the hashes of all live replicas and gates.
func (t *Table) Digest() uint64 { return t.digests.total }

// DigestAt returns the digest at an earlier version. known is false if the version is not
// one of this Table or too old.
func (t *Table) DigestAt(version uint64) (digest uint64, known bool) {
	if version > t.version || t.version-version >= digestHistory {
		return 0, false
	}
	return t.digests.history[version%digestHistory], true
}

// BucketDigests returns the digest of each bucket.
func (t *Table) BucketDigests() []uint64 {
	buckets := t.digests.buckets
	return buckets[:]
}

// DifferingBuckets returns the buckets whose digest differs from that of another Table.
func (t *Table) DifferingBuckets(others []uint64) []int {
	var differing []int
	for i, digest := range t.digests.buckets {
		if i >= len(others) || others[i] != digest {
			differing = append(differing, i)
		}
	}
	return differing
}

// BucketChanges returns what a follower that lists the given buckets differently must have
// instead: all live replicas in them and, if they include GateBucket, all live gates.
func (t *Table) BucketChanges(buckets []int) Changes {
	changes := Changes{Version: t.version}
	var wanted [Buckets]bool
	for _, bucket := range buckets {
		wanted[bucket] = true
	}
	for _, row := range t.replicas {
		if wanted[row.bucket] && !row.removed {
			changes.Replicas = append(changes.Replicas, row.announcement)
		}
	}
	if wanted[GateBucket] {
		changes.Gates, changes.HasGates = t.Gates(), true
	}
	return changes
}

// Listing is a follower's record of what the control VM that it follows has listed, so that
// both can compare digests. It is not safe for concurrent use.
type Listing struct {
	replicas map[upstream.ReplicaID]uint64 // hash of each listed replica
	gates    map[string]uint64             // hash of each listed gate
	digest   uint64
	buckets  [Buckets]uint64
}

// NewListing returns an empty Listing.
func NewListing() *Listing {
	return &Listing{replicas: make(map[upstream.ReplicaID]uint64), gates: make(map[string]uint64)}
}

// Digest returns the digest of what is listed.
func (l *Listing) Digest() uint64 { return l.digest }

// BucketDigests returns the digest of each bucket of what is listed.
func (l *Listing) BucketDigests() [Buckets]uint64 { return l.buckets }

// Contains reports whether a replica is listed.
func (l *Listing) Contains(id upstream.ReplicaID) bool {
	_, listed := l.replicas[id]
	return listed
}

func (l *Listing) add(bucket int, hash uint64) {
	l.digest += hash
	l.buckets[bucket] += hash
}

// Clear removes everything, before a full response is applied.
func (l *Listing) Clear() {
	clear(l.replicas)
	clear(l.gates)
	l.digest, l.buckets = 0, [Buckets]uint64{}
}

// ClearBuckets removes the replicas in the given buckets, before a response that lists those
// buckets is applied. Its list of gates is applied by ApplyGates.
func (l *Listing) ClearBuckets(buckets []int) {
	if len(buckets) == 0 {
		return
	}
	var cleared [Buckets]bool
	for _, bucket := range buckets {
		if bucket >= 0 && bucket < Buckets {
			cleared[bucket] = true
		}
	}
	for id := range l.replicas {
		if cleared[bucketOf(id)] {
			l.RemoveReplica(id)
		}
	}
}

// AddReplica records that a replica is listed as announced.
func (l *Listing) AddReplica(a *upstream.Announcement) {
	hash := hashReplica(a)
	l.add(bucketOf(a.Replica), hash-l.replicas[a.Replica])
	l.replicas[a.Replica] = hash
}

// RemoveReplica records that a replica is no longer listed.
func (l *Listing) RemoveReplica(id upstream.ReplicaID) {
	l.add(bucketOf(id), -l.replicas[id])
	delete(l.replicas, id)
}

// ApplyGates records the changes of the listed gates.
func (l *Listing) ApplyGates(changes *Changes) {
	if changes.HasGates {
		l.add(GateBucket, -l.buckets[GateBucket])
		clear(l.gates)
	}
	for _, vm := range changes.GatesGone {
		l.add(GateBucket, -l.gates[vm])
		delete(l.gates, vm)
	}
	for i := range changes.Gates {
		gate := &changes.Gates[i]
		hash := hashGate(gate)
		l.add(GateBucket, hash-l.gates[gate.VM])
		l.gates[gate.VM] = hash
	}
}
