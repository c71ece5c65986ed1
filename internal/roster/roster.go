// Package roster is what one control VM knows of the fleet around it: the
// replicas that announce themselves to any control VM, and the gates that follow
// any of them. Control VMs share what they hear; gates are told of changes.
//
// It is a decision package: the time is passed in, and nothing here does I/O.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"slateway.example/slateway/internal/upstream"
)

// Config bounds how long silence is borne.
type Config struct {
	// ReplicaLifetime is the silence after which a replica is forgotten. Gates
	// notice a dead one by themselves, so that it may be long: replicas that only
	// lost their way to the control VMs serve on.
	ReplicaLifetime time.Duration
	// GateLifetime is the silence after which a gate is not named to callers.
	GateLifetime time.Duration
}

// Gone names a replica that is no more, up to an incarnation.
type Gone struct {
	Replica     upstream.ReplicaID `cbor:"1,keyasint"`
	Incarnation uint64             `cbor:"2,keyasint"`
	Service     string             `cbor:"3,keyasint"`
}

type replicaRow struct {
	announcement upstream.Announcement
	seen         time.Time
	version      uint64 // of the last change that gates must know
	gone         bool   // forgotten; kept for a while, for those that must be told
}

// Table is the roster of one control VM. It is not safe for concurrent use.
type Table struct {
	config   Config
	version  uint64
	replicas map[upstream.ReplicaID]*replicaRow
	// holders gives the replica that has an address. Invariant: it names exactly
	// the replicas whose rows are not gone.
	holders map[string]upstream.ReplicaID
	gates   map[string]*gateRow
}

// New makes an empty roster.
func New(config Config) *Table {
	return &Table{
		config: config, replicas: make(map[upstream.ReplicaID]*replicaRow),
		holders: make(map[string]upstream.ReplicaID), gates: make(map[string]*gateRow),
	}
}

// Version grows with each change that gates must know.
func (t *Table) Version() uint64 { return t.version }

// Verdict says what an announcement meant.
type Verdict int

// Verdicts on an announcement.
const (
	Stale     Verdict = iota // late, or of a process that has ended: nothing changes
	Refreshed                // heard again, nothing that gates must know
	Changed                  // gates must know
)

// Announce takes in an announcement that was made age ago, which is valid.
//
// Announcements take several ways, overtake each other, and may come from a
// process that has ended at an address which another one uses by now. Those of
// one replica are ordered by incarnation, then sequence; of two replicas at one
// address the later process holds it.
func (t *Table) Announce(now time.Time, a upstream.Announcement, age time.Duration) Verdict {
	if t.addressTaken(&a) {
		return Stale
	}
	row := t.replicas[a.Replica]
	switch {
	case row == nil:
		row = &replicaRow{}
		t.replicas[a.Replica] = row
	case !after(&a, &row.announcement):
		return t.late(row, &a)
	case a.Incarnation == row.announcement.Incarnation && row.announcement.Leaving:
		a.Leaving = true // it is never taken back within one process
	}
	known, forgotten := row.announcement, row.gone
	t.release(row)
	row.announcement, row.gone = a, false
	t.holders[a.Address] = a.Replica
	row.seen = now.Add(-age)
	if !forgotten && sameForGates(&known, &a) {
		return Refreshed
	}
	t.change(row)
	return Changed
}

func (t *Table) change(row *replicaRow) {
	t.version++
	row.version = t.version
}

// addressTaken says whether a later process has the address; an earlier one is
// forgotten.
func (t *Table) addressTaken(a *upstream.Announcement) bool {
	holder, held := t.holders[a.Address]
	if !held || holder == a.Replica {
		return false
	}
	other := t.replicas[holder]
	if other.announcement.Incarnation > a.Incarnation {
		return true
	}
	t.forget(other)
	return false
}

// forget notes that a replica is gone.
func (t *Table) forget(row *replicaRow) {
	t.release(row)
	row.gone = true
	t.change(row)
}

// release frees the address of a replica, if it has one.
func (t *Table) release(row *replicaRow) {
	address := row.announcement.Address
	if t.holders[address] == row.announcement.Replica {
		delete(t.holders, address)
	}
}

func after(a, known *upstream.Announcement) bool {
	if a.Incarnation != known.Incarnation {
		return a.Incarnation > known.Incarnation
	}
	return a.Sequence > known.Sequence
}

// late takes from an overtaken announcement only that its process leaves.
func (t *Table) late(row *replicaRow, a *upstream.Announcement) Verdict {
	if a.Incarnation != row.announcement.Incarnation || !a.Leaving || row.announcement.Leaving {
		return Stale
	}
	row.announcement.Leaving = true
	t.change(row)
	return Changed
}

// sameForGates compares all but the sequence and the load.
func sameForGates(a, b *upstream.Announcement) bool {
	return a.Replica == b.Replica && a.Incarnation == b.Incarnation && a.Service == b.Service && a.Kind == b.Kind &&
		a.Address == b.Address && a.Place == b.Place && a.Slots == b.Slots && a.Ready == b.Ready && a.Leaving == b.Leaving &&
		slices.Equal(a.Models, b.Models)
}

// Leave notes that a replica leaves. An incarnation of 0 stands for the one
// known. It returns the announcement with that change for the other control VMs;
// ok is false if the replica is not known or this is no news.
func (t *Table) Leave(id upstream.ReplicaID, incarnation uint64) (upstream.Announcement, bool) {
	row := t.replicas[id]
	if row == nil || row.announcement.Leaving || (incarnation != 0 && incarnation != row.announcement.Incarnation) {
		return upstream.Announcement{}, false
	}
	row.announcement.Leaving = true
	t.change(row)
	return row.announcement, true
}

// forgetFactor times a lifetime is how long what is gone is remembered, so that
// a late report of it is known to be late.
const forgetFactor = 4

// Tick lets time pass: the silent are forgotten.
func (t *Table) Tick(now time.Time) {
	for id, row := range t.replicas {
		silent := now.Sub(row.seen)
		switch {
		case silent > forgetFactor*t.config.ReplicaLifetime:
			t.release(row)
			delete(t.replicas, id)
		case silent > t.config.ReplicaLifetime && !row.gone:
			t.forget(row)
		}
	}
	for vm, row := range t.gates {
		silent := now.Sub(row.seen)
		switch {
		case silent > forgetFactor*t.config.ReplicaLifetime:
			delete(t.gates, vm)
		case silent > t.config.GateLifetime && !row.expired:
			row.expired = true
			t.changeGate(row)
		}
	}
}

// Changes is what a follower must know.
type Changes struct {
	Version  uint64                  `cbor:"1,keyasint"` // to ask from the next time
	Replicas []upstream.Announcement `cbor:"2,keyasint,omitempty"`
	Gone     []Gone                  `cbor:"3,keyasint,omitempty"`
	Gates    []Gate                  `cbor:"4,keyasint,omitempty"`
	HasGates bool                    `cbor:"5,keyasint,omitempty"` // Gates are all that live; otherwise those that changed
	// GatesGone are the VMs of gates that live no longer.
	GatesGone []string `cbor:"6,keyasint,omitempty"`
}

// Since gives what changed after a version; 0 gives everything that lives.
func (t *Table) Since(version uint64) Changes {
	changes := Changes{Version: t.version, HasGates: version == 0}
	for _, row := range t.replicas {
		switch {
		case row.version <= version || (row.gone && version == 0):
		case row.gone:
			a := &row.announcement
			changes.Gone = append(changes.Gone, Gone{Replica: a.Replica, Incarnation: a.Incarnation, Service: a.Service})
		default:
			changes.Replicas = append(changes.Replicas, row.announcement)
		}
	}
	for vm, row := range t.gates {
		switch {
		case row.version <= version || (row.expired && version == 0):
		case row.expired:
			changes.GatesGone = append(changes.GatesGone, vm)
		default:
			changes.Gates = append(changes.Gates, row.gate)
		}
	}
	slices.SortFunc(changes.Replicas, func(a, b upstream.Announcement) int { return cmp.Compare(a.Replica, b.Replica) })
	slices.SortFunc(changes.Gates, byVM)
	return changes
}

// Heard is a row with its age, as control VMs share it.
type Heard struct {
	Replica upstream.Announcement `cbor:"1,keyasint"`
	Age     time.Duration         `cbor:"2,keyasint"`
}

// Replicas gives the replicas that live with the age of their last heartbeat.
func (t *Table) Replicas(now time.Time) []Heard {
	return t.Heard(now, slices.Collect(maps.Keys(t.replicas)))
}

// Heard gives those of the named replicas that live, by ID, with the age of
// their last heartbeat.
func (t *Table) Heard(now time.Time, ids []upstream.ReplicaID) []Heard {
	var heard []Heard
	for _, id := range ids {
		if row := t.replicas[id]; row != nil && !row.gone {
			heard = append(heard, Heard{Replica: row.announcement, Age: max(0, now.Sub(row.seen))})
		}
	}
	slices.SortFunc(heard, func(a, b Heard) int { return cmp.Compare(a.Replica.Replica, b.Replica.Replica) })
	return heard
}
