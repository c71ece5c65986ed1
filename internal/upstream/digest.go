package upstream

import "time"

// LoadDigest is a load report in short form, for gates that know the replica's
// identity already.
type LoadDigest struct {
	Replica     ReplicaID `json:"r"`
	Incarnation uint64    `json:"i"`
	Sequence    uint64    `json:"s"`
	Load        Load      `json:"l"`
}

// Digest carries what changed in one service's table, from gate to gate.
// Merging is idempotent and commutes, so digests may be doubled, lost and
// reordered.
type Digest struct {
	Service  string         `json:"service"`
	Identity []Announcement `json:"identity,omitempty"` // replicas whose identity changed
	Loads    []LoadDigest   `json:"loads,omitempty"`    // replicas of which only the load changed
	Strikes  []Strike       `json:"strikes,omitempty"`
	Feeding  []Feeding      `json:"feeding,omitempty"` // replicas that the sending gate feeds
}

// Changes gives what changed after version since, and the version now; since 0
// gives everything. A peer that missed a digest asks again with the version
// that it has.
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

// Report takes in a load digest. One of an unknown replica or of another
// incarnation is ignored: its identity must come first.
func (t *Table) Report(now time.Time, d LoadDigest) (Change, error) {
	e := t.Get(d.Replica)
	if e == nil || e.Incarnation != d.Incarnation {
		return ChangeNone, nil
	}
	a := e.Announcement
	a.Sequence = d.Sequence
	a.Load = d.Load
	return t.Announce(now, a)
}

// Feeding says what the gate that feeds a replica with batch knows of its load.
// All gates tell it at once what they send there, so that this is fresher than
// the replica's report, and tells batch from online work.
type Feeding struct {
	Replica ReplicaID `json:"r"`
	Batch   int       `json:"b"` // batch requests
	Online  int       `json:"o"` // online requests of all gates
}
