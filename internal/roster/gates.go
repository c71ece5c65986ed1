package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"slateway.example/slateway/internal/member"
)

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

type gateRow struct {
	gate    Gate
	seen    time.Time
	version uint64 // of the last change that others must know
	expired bool
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

// HeardGate is a gate's report with its age.
type HeardGate struct {
	Gate Gate          `cbor:"1,keyasint"`
	Age  time.Duration `cbor:"2,keyasint"`
	// Silent: the gate has asked nobody since this report.
	Silent bool `cbor:"3,keyasint,omitempty"`
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
