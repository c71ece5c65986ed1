// Package roster is what one control VM knows of the fleet around it: the
// replicas that announce themselves to any control VM, and the gates that follow
// any of them. Control VMs share what they hear; gates are told of changes.
//
// It is a decision package: the time is passed in, and nothing here does I/O.
package roster

import (
	"cmp"
	"slices"
	"time"

	"slateway.example/slateway/internal/member"
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

// Gate is what a gate says of itself.
type Gate struct {
	VM       string `cbor:"1,keyasint"`
	Place    string `cbor:"2,keyasint"`
	Region   string `cbor:"3,keyasint"`
	Callers  string `cbor:"4,keyasint"` // IP:port for callers
	Peers    string `cbor:"5,keyasint"` // IP:port for the project's own processes
	Started  int64  `cbor:"6,keyasint"` // start of its process, in ms since 1970
	Sequence uint64 `cbor:"7,keyasint"` // rises with each word of one process
	Ready    bool   `cbor:"8,keyasint,omitempty"`
	Draining bool   `cbor:"9,keyasint,omitempty"`
}

// Serves says whether callers may be sent to the gate.
func (g *Gate) Serves() bool { return g.Ready && !g.Draining }

// Members gives gates as the directory and the exchange between gates read them.
func Members(gates []Gate, self string) []member.Member {
	members := make([]member.Member, len(gates))
	for i, g := range gates {
		members[i] = member.Member{
			Self: g.VM == self,
			Record: member.Record{
				VM:    member.VM{Name: g.VM, Place: g.Place, Region: g.Region, Callers: g.Callers, Peers: g.Peers},
				State: member.Alive, Ready: g.Ready, Draining: g.Draining,
			},
		}
	}
	return members
}

// newer orders the words of a gate: by its process, then by sequence.
func (g *Gate) newer(other *Gate) bool {
	if g.Started != other.Started {
		return g.Started > other.Started
	}
	return g.Sequence > other.Sequence
}

// sameState says whether two words differ in their sequence only.
func (g Gate) sameState(other Gate) bool {
	g.Sequence = other.Sequence
	return g == other
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

type gateRow struct {
	gate    Gate
	seen    time.Time
	expired bool
}

// Table is the roster of one control VM. It is not safe for concurrent use.
type Table struct {
	config   Config
	version  uint64
	replicas map[upstream.ReplicaID]*replicaRow
	gates    map[string]*gateRow
	gatesAt  uint64 // version of the last change of the gates
}

// New makes an empty roster.
func New(config Config) *Table {
	return &Table{config: config, replicas: make(map[upstream.ReplicaID]*replicaRow), gates: make(map[string]*gateRow)}
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
	row.announcement, row.gone = a, false
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
	for id, other := range t.replicas {
		if id == a.Replica || other.gone || other.announcement.Address != a.Address {
			continue
		}
		if other.announcement.Incarnation > a.Incarnation {
			return true
		}
		other.gone = true
		t.change(other)
	}
	return false
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
// known. It returns the announcement with that word for the other control VMs;
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

// Hear takes in a gate's word of age ago. It says whether others must know.
func (t *Table) Hear(now time.Time, g Gate, age time.Duration) bool {
	row := t.gates[g.VM]
	if row == nil {
		row = &gateRow{expired: true}
		t.gates[g.VM] = row
	} else if !g.newer(&row.gate) {
		return false
	}
	same := !row.expired && row.gate.sameState(g)
	row.gate, row.seen, row.expired = g, now.Add(-age), false
	if same {
		return false
	}
	t.version++
	t.gatesAt = t.version
	return true
}

// forgetFactor times a lifetime is how long what is gone is remembered, so that
// a late word of it is known to be late.
const forgetFactor = 4

// Tick lets time pass: the silent are forgotten.
func (t *Table) Tick(now time.Time) {
	for id, row := range t.replicas {
		silent := now.Sub(row.seen)
		switch {
		case silent > forgetFactor*t.config.ReplicaLifetime:
			delete(t.replicas, id)
		case silent > t.config.ReplicaLifetime && !row.gone:
			row.gone = true
			t.change(row)
		}
	}
	for vm, row := range t.gates {
		silent := now.Sub(row.seen)
		switch {
		case silent > forgetFactor*t.config.ReplicaLifetime:
			delete(t.gates, vm)
		case silent > t.config.GateLifetime && !row.expired:
			row.expired = true
			t.version++
			t.gatesAt = t.version
		}
	}
}

// Changes is what a follower must know.
type Changes struct {
	Version  uint64                  `cbor:"1,keyasint"` // to ask from the next time
	Replicas []upstream.Announcement `cbor:"2,keyasint,omitempty"`
	Gone     []Gone                  `cbor:"3,keyasint,omitempty"`
	Gates    []Gate                  `cbor:"4,keyasint,omitempty"`
	HasGates bool                    `cbor:"5,keyasint,omitempty"` // Gates are all that live; otherwise they are as before
}

// Since gives what changed after a version; 0 gives everything that lives.
func (t *Table) Since(version uint64) Changes {
	changes := Changes{Version: t.version, HasGates: version == 0 || t.gatesAt > version}
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
	slices.SortFunc(changes.Replicas, func(a, b upstream.Announcement) int { return cmp.Compare(a.Replica, b.Replica) })
	if changes.HasGates {
		changes.Gates = t.Gates()
	}
	return changes
}

// Gates gives the gates that live, by VM.
func (t *Table) Gates() []Gate {
	var gates []Gate
	for _, row := range t.gates {
		if !row.expired {
			gates = append(gates, row.gate)
		}
	}
	slices.SortFunc(gates, func(a, b Gate) int { return cmp.Compare(a.VM, b.VM) })
	return gates
}

// Heard is a row with its age, as control VMs share it.
type Heard struct {
	Replica upstream.Announcement `cbor:"1,keyasint"`
	Age     time.Duration         `cbor:"2,keyasint"`
}

// HeardGate is a gate's word with its age.
type HeardGate struct {
	Gate Gate          `cbor:"1,keyasint"`
	Age  time.Duration `cbor:"2,keyasint"`
}

// Replicas gives the replicas that live with the age of their last word.
func (t *Table) Replicas(now time.Time) []Heard {
	var heard []Heard
	for _, row := range t.replicas {
		if !row.gone {
			heard = append(heard, Heard{Replica: row.announcement, Age: max(0, now.Sub(row.seen))})
		}
	}
	slices.SortFunc(heard, func(a, b Heard) int { return cmp.Compare(a.Replica.Replica, b.Replica.Replica) })
	return heard
}

// HeardGates gives the gates that live with the age of their last word.
func (t *Table) HeardGates(now time.Time) []HeardGate {
	var heard []HeardGate
	for _, gate := range t.Gates() {
		heard = append(heard, HeardGate{Gate: gate, Age: max(0, now.Sub(t.gates[gate.VM].seen))})
	}
	return heard
}
