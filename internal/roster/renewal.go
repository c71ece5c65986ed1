package roster

import (
	"cmp"
	"slices"
	"time"

	"slateway.example/slateway/internal/upstream"
)

// Renewal reports that a replica that has not changed was heard again. It takes the place of
// a ReplicaReport, which has about six times its size.
type Renewal struct {
	Replica     upstream.ReplicaID `cbor:"1,keyasint"`
	Incarnation uint64             `cbor:"2,keyasint"`
	Sequence    uint64             `cbor:"3,keyasint"`
	AgeMS       uint32             `cbor:"4,keyasint,omitempty"`
	// Hash is the hash of the announcement without sequence and load, in the sender's
	// DigestForm.
	Hash uint64 `cbor:"5,keyasint"`
}

// GateRenewal reports that a gate whose state has not changed was heard again.
type GateRenewal struct {
	VM       string `cbor:"1,keyasint"`
	Started  int64  `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	AgeMS    uint32 `cbor:"4,keyasint,omitempty"`
	Hash     uint64 `cbor:"5,keyasint"` // hash of the gate without its sequence
}

// AgeMS converts the age of a report for a renewal.
func AgeMS(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), int64(^uint32(0))))
}

// RenewalOf returns the renewal that takes the place of a report.
func RenewalOf(report *ReplicaReport) Renewal {
	a := &report.Replica
	return Renewal{Replica: a.Replica, Incarnation: a.Incarnation, Sequence: a.Sequence, AgeMS: AgeMS(report.Age), Hash: hashReplica(a)}
}

// GateRenewalOf returns the renewal that takes the place of a gate's report.
func GateRenewalOf(report *GateReport) GateRenewal {
	g := &report.Gate
	return GateRenewal{VM: g.VM, Started: g.Started, Sequence: g.Sequence, AgeMS: AgeMS(report.Age), Hash: hashGate(g)}
}

// Renew extends the lifetime of a replica. A renewal of an incarnation or a state that this
// Table does not have is ignored: taking over only its sequence would make the report that
// carries the missing state look outdated.
func (t *Table) Renew(now time.Time, r *Renewal) Verdict {
	row := t.replicas[r.Replica]
	if row == nil || row.announcement.Incarnation != r.Incarnation || row.hash != r.Hash {
		return Stale
	}
	heard := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
	verdict := Refreshed
	if row.removed {
		if !heard.After(row.lastHeartbeat) || now.Sub(heard) > t.config.ReplicaLifetime || t.byAddress[row.announcement.Address] != "" {
			return Stale
		}
		row.removed = false
		t.byAddress[row.announcement.Address] = r.Replica
		t.recordChange(row)
		verdict = Changed
	}
	row.announcement.Sequence = max(row.announcement.Sequence, r.Sequence)
	if heard.After(row.lastHeartbeat) {
		row.lastHeartbeat = heard
	}
	return verdict
}

// RenewGate extends the lifetime of a gate. It reports whether followers must be notified.
// A renewal of a state that this Table does not have is ignored.
func (t *Table) RenewGate(now time.Time, r *GateRenewal) bool {
	row := t.gates[r.VM]
	if row == nil || row.gate.Started != r.Started || row.hash != r.Hash {
		return false
	}
	g := row.gate
	g.Sequence = r.Sequence
	return t.RecordReport(now, g, time.Duration(r.AgeMS)*time.Millisecond)
}

// BucketReports returns the reports of all live replicas in the given buckets, sorted by ID,
// and those of all live gates if the buckets include GateBucket.
func (t *Table) BucketReports(now time.Time, buckets []int) (replicas []ReplicaReport, gates []GateReport) {
	if len(buckets) == 0 {
		return nil, nil
	}
	var wanted [Buckets]bool
	for _, bucket := range buckets {
		if bucket >= 0 && bucket < Buckets {
			wanted[bucket] = true
		}
	}
	for _, row := range t.replicas {
		if wanted[row.bucket] && !row.removed {
			replicas = append(replicas, row.report(now))
		}
	}
	slices.SortFunc(replicas, func(a, b ReplicaReport) int { return cmp.Compare(a.Replica.Replica, b.Replica.Replica) })
	if wanted[GateBucket] {
		gates = t.AllGateReports(now)
	}
	return replicas, gates
}

func (r *replicaRow) report(now time.Time) ReplicaReport {
	return ReplicaReport{Replica: r.announcement, Age: max(0, now.Sub(r.lastHeartbeat))}
}

// ReplicasNotIn returns the reports that others lack or have with another state. Both must be
// sorted by ID.
func ReplicasNotIn(reports, others []ReplicaReport) (missing []ReplicaReport) {
	for i := range reports {
		a := &reports[i].Replica
		at, found := slices.BinarySearchFunc(others, a.Replica, func(r ReplicaReport, id upstream.ReplicaID) int { return cmp.Compare(r.Replica.Replica, id) })
		if !found || !sameForGates(a, &others[at].Replica) {
			missing = append(missing, reports[i])
		}
	}
	return missing
}

// GatesNotIn returns the reports that others lack or have with another state. Both must be
// sorted by VM.
func GatesNotIn(reports, others []GateReport) (missing []GateReport) {
	for i := range reports {
		g := &reports[i].Gate
		at, found := slices.BinarySearchFunc(others, g.VM, func(r GateReport, vm string) int { return cmp.Compare(r.Gate.VM, vm) })
		if !found || !g.sameState(others[at].Gate) {
			missing = append(missing, reports[i])
		}
	}
	return missing
}
