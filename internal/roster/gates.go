package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"slateway.example/slateway/internal/member"
)

// Gate is a gate's report on itself.
type Gate struct {
	VM       string `cbor:"1,keyasint"`
	Place    string `cbor:"2,keyasint"`
	Region   string `cbor:"3,keyasint"`
	Callers  string `cbor:"4,keyasint"` // IP:port for callers
	Peers    string `cbor:"5,keyasint"` // IP:port for the project's own processes
	Started  int64  `cbor:"6,keyasint"` // process start in ms since 1970
	Sequence uint64 `cbor:"7,keyasint"` // increases with each report of a process
	Ready    bool   `cbor:"8,keyasint,omitempty"`
	Draining bool   `cbor:"9,keyasint,omitempty"`
}

// IsServing reports whether callers may be sent to the gate.
func (g *Gate) IsServing() bool { return g.Ready && !g.Draining }

// Members converts gates to the form that the directory and the exchange between gates read.
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

// newer reports whether g is a later report than other: by process start, then by sequence.
func (g *Gate) newer(other *Gate) bool {
	if g.Started != other.Started {
		return g.Started > other.Started
	}
	return g.Sequence > other.Sequence
}

// sameState reports whether two reports differ only in their sequence.
func (g Gate) sameState(other Gate) bool {
	g.Sequence = other.Sequence
	return g == other
}

type gateRow struct {
	gate       Gate
	lastReport time.Time
	expired    bool
	change
}

// RecordReport applies a gate's report that was made age ago. It reports whether followers
// must be notified.
func (t *Table) RecordReport(now time.Time, g Gate, age time.Duration) bool {
	row := t.gates[g.VM]
	if row == nil {
		row = &gateRow{expired: true}
		t.gates[g.VM] = row
	} else if !g.newer(&row.gate) {
		return false
	}
	same := !row.expired && row.gate.sameState(g)
	row.gate, row.lastReport, row.expired = g, now.Add(-age), false
	if same {
		return false
	}
	t.recordGateChange(row)
	return true
}

// MarkUnresponsive removes a gate that has not reported since the given report from the live
// gates until its next report. It reports whether followers must be notified.
func (t *Table) MarkUnresponsive(g *Gate) bool {
	if !t.IsLatest(g) {
		return false
	}
	row := t.gates[g.VM]
	row.expired = true
	t.recordGateChange(row)
	return true
}

// IsLatest reports whether a live gate has not reported since the given report.
func (t *Table) IsLatest(g *Gate) bool {
	row := t.gates[g.VM]
	return row != nil && !row.expired && !row.gate.newer(g)
}

func (t *Table) recordGateChange(row *gateRow) {
	hash, wasCounted := row.hash, row.counted
	if !row.expired {
		hash = hashGate(&row.gate)
	}
	t.recordVersion(row, &row.change, GateBucket, hash, !row.expired)
	if row.counted != wasCounted {
		if row.counted {
			t.liveGates++
		} else {
			t.liveGates--
		}
	}
}

func (r *gateRow) addTo(changes *Changes, since uint64) {
	switch {
	case !r.expired:
		changes.Gates = append(changes.Gates, r.gate)
	case since > 0:
		changes.GatesGone = append(changes.GatesGone, r.gate.VM)
	}
}

func compareVM(a, b Gate) int { return cmp.Compare(a.VM, b.VM) }

// IncludeAllGates replaces the changed gates by all live gates, for a follower that supports
// whole lists only.
func (t *Table) IncludeAllGates(changes *Changes) {
	if len(changes.Gates)+len(changes.GatesGone) == 0 {
		return
	}
	changes.Gates, changes.GatesGone, changes.HasGates = t.Gates(), nil, true
}

// ApplyGates returns a follower's list of gates with the changes applied, sorted by VM.
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
	return slices.SortedFunc(maps.Values(gates), compareVM)
}

// Gates returns the live gates sorted by VM.
func (t *Table) Gates() []Gate {
	var gates []Gate
	for _, row := range t.gates {
		if !row.expired {
			gates = append(gates, row.gate)
		}
	}
	slices.SortFunc(gates, compareVM)
	return gates
}

// CountGates returns the number of live gates.
func (t *Table) CountGates() int { return t.liveGates }

// IsAlive reports whether a gate has reported within its lifetime.
func (t *Table) IsAlive(vm string) bool {
	row := t.gates[vm]
	return row != nil && !row.expired
}

// GateReport is a gate's report with its age.
type GateReport struct {
	Gate Gate          `cbor:"1,keyasint"`
	Age  time.Duration `cbor:"2,keyasint"`
	// Unresponsive reports that the gate has sent no request to any control VM since this report.
	Unresponsive bool `cbor:"3,keyasint,omitempty"`
}

// AllGateReports returns the reports of all live gates with their age.
func (t *Table) AllGateReports(now time.Time) []GateReport {
	return t.GateReports(now, slices.Collect(maps.Keys(t.gates)))
}

// GateReports returns the reports of those of the given gates that are alive, sorted by VM,
// with their age.
func (t *Table) GateReports(now time.Time, vms []string) []GateReport {
	var reports []GateReport
	for _, vm := range vms {
		if row := t.gates[vm]; row != nil && !row.expired {
			reports = append(reports, GateReport{Gate: row.gate, Age: max(0, now.Sub(row.lastReport))})
		}
	}
	slices.SortFunc(reports, func(a, b GateReport) int { return compareVM(a.Gate, b.Gate) })
	return reports
}
