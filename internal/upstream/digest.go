package upstream

import "time"

// LoadDigest is a compact load report, for gates that already know the
// replica's identity.
type LoadDigest struct {
	Replica     ReplicaID `json:"r"`
	Incarnation uint64    `json:"i"`
	Sequence    uint64    `json:"s"`
	Load        Load      `json:"l"`
}

// Digest carries the changes in one service's table between gates. Merging is
// idempotent and commutative, so digests may be duplicated, lost or reordered.
type Digest struct {
	Service    string         `json:"service"`
	Identity   []Announcement `json:"identity,omitempty"` // replicas whose identity changed
	Loads      []LoadDigest   `json:"loads,omitempty"`    // replicas of which only the load changed
	Crashes    []CrashRecord  `json:"strikes,omitempty"`
	OwnerLoads []OwnerLoad    `json:"feeding,omitempty"` // replicas that the sending gate owns
}

// Changes returns the changes after version since, and the current version.
// With since 0 it returns everything. A peer that missed a digest asks again
// with the version that it has.
func (t *Table) Changes(since uint64) (Digest, uint64) {
	var d Digest
	for _, e := range t.entries {
		switch {
		case e.identityVersion > since:
			d.Identity = append(d.Identity, e.Announcement)
		case e.version > since:
			d.Loads = append(d.Loads, e.loadDigest())
		}
	}
	return d, t.version
}

func (e *Entry) loadDigest() LoadDigest {
	return LoadDigest{Replica: e.Replica, Incarnation: e.Incarnation, Sequence: e.Sequence, Load: e.Load}
}

// ApplyLoad applies a load digest. It ignores a digest for an unknown replica or
// another incarnation: the replica's identity must arrive first.
func (t *Table) ApplyLoad(now time.Time, d LoadDigest) (Change, error) {
	e := t.Get(d.Replica)
	if e == nil || e.Incarnation != d.Incarnation {
		return ChangeNone, nil
	}
	a := e.Announcement
	a.Sequence = d.Sequence
	a.Load = d.Load
	return t.Announce(now, a)
}

// OwnerLoad is a replica's load as its owner gate knows it. All gates report to
// the owner immediately what they send to the replica, so this is more recent
// than the replica's own report, and it separates batch from online work.
type OwnerLoad struct {
	Replica ReplicaID `json:"r"`
	Batch   int       `json:"b"` // batch requests
	Online  int       `json:"o"` // online requests of all gates
	Pace    Pace      `json:"pace,omitzero"`
	Waiting int       `json:"waiting,omitempty"` // online requests that wait for capacity at a gate
}
