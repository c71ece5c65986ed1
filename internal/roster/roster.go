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
	Sequence uint64 `cbor:"7,keyasint"` // rises with each report of one process
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

// newer orders the reports of a gate: by its process, then by sequence.
func (g *Gate) newer(other *Gate) bool {
	if g.Started != other.Started {
		return g.Started > other.Started
	}
	return g.Sequence > other.Sequence
}

// sameState says whether two reports differ in their sequence only.
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
	version uint64 // of the last change that others must know
	expired bool
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

// Hear takes in a gate's report of age ago. It says whether others must know.
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
	t.changeGate(row)
	return true
}

// Silence leaves a gate out that has said nothing since a report, until it is heard
// again. It says whether others must know.
func (t *Table) Silence(g *Gate) bool {
	row := t.gates[g.VM]
	if row == nil || row.expired || row.gate.newer(g) {
		return false
	}
	row.expired = true
	t.changeGate(row)
	return true
}

func (t *Table) changeGate(row *gateRow) {
	t.version++
	row.version = t.version
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

func byVM(a, b Gate) int { return cmp.Compare(a.VM, b.VM) }

// AllGates replaces the gates that changed by all that live, for a follower that
// takes whole lists only.
func (t *Table) AllGates(changes *Changes) {
	if len(changes.Gates)+len(changes.GatesGone) == 0 {
		return
	}
	changes.Gates, changes.GatesGone, changes.HasGates = t.Gates(), nil, true
}

// ApplyGates gives a follower's list of gates, by VM, brought forward by changes.
func ApplyGates(known []Gate, changes *Changes) []Gate {
	if changes.HasGates {
		return changes.Gates
	}
	gates := make(map[string]Gate, len(known)+len(changes.Gates))
	for _, gate := range known {
		gates[gate.VM] = gate
	}
	for _, vm := range changes.GatesGone {
		delete(gates, vm)
	}
	for _, gate := range changes.Gates {
		gates[gate.VM] = gate
	}
	return slices.SortedFunc(maps.Values(gates), byVM)
}

// Gates gives the gates that live, by VM.
func (t *Table) Gates() []Gate {
	var gates []Gate
	for _, row := range t.gates {
		if !row.expired {
			gates = append(gates, row.gate)
		}
	}
	slices.SortFunc(gates, byVM)
	return gates
}

// CountGates gives the number of gates that live.
func (t *Table) CountGates() int {
	count := 0
	for _, row := range t.gates {
		if !row.expired {
			count++
		}
	}
	return count
}

// Lives says whether a gate was heard within its lifetime.
func (t *Table) Lives(vm string) bool {
	row := t.gates[vm]
	return row != nil && !row.expired
}

// Heard is a row with its age, as control VMs share it.
type Heard struct {
	Replica upstream.Announcement `cbor:"1,keyasint"`
	Age     time.Duration         `cbor:"2,keyasint"`
}

// HeardGate is a gate's report with its age.
type HeardGate struct {
	Gate Gate          `cbor:"1,keyasint"`
	Age  time.Duration `cbor:"2,keyasint"`
	// Silent: the gate has asked nobody since this report.
	Silent bool `cbor:"3,keyasint,omitempty"`
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

// HeardGates gives the gates that live with the age of their last report.
func (t *Table) HeardGates(now time.Time) []HeardGate {
	return t.HeardOf(now, slices.Collect(maps.Keys(t.gates)))
}

// HeardOf gives those of the named gates that live, by VM, with the age of their
// last report.
func (t *Table) HeardOf(now time.Time, vms []string) []HeardGate {
	var heard []HeardGate
	for _, vm := range vms {
		if row := t.gates[vm]; row != nil && !row.expired {
			heard = append(heard, HeardGate{Gate: row.gate, Age: max(0, now.Sub(row.seen))})
		}
	}
	slices.SortFunc(heard, func(a, b HeardGate) int { return byVM(a.Gate, b.Gate) })
	return heard
}
