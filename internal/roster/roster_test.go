package roster_test

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/upstream"
)

var start = time.Unix(1_000_000, 0)

func table() *roster.Table {
	return roster.New(roster.Config{ReplicaLifetime: 20 * time.Second, GateLifetime: 2 * time.Second}, time.Now())
}

func announcement(id string, incarnation, sequence uint64, address string) upstream.Announcement {
	return upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: upstream.ReplicaID(id),
		Incarnation: incarnation, Sequence: sequence, Address: address, Place: "glas-a",
		Load: upstream.Load{Slots: 8, Ready: true},
	}
}

// Heartbeats that a replica sent before it reported that it leaves may arrive after that
// report. They must not make callers use the replica again.
func TestLeavingIsNotTakenBackByALateHeartbeat(t *testing.T) {
	r := table()
	r.Announce(start, announcement("r1", 5, 1, "10.0.0.9:80"), 0)
	leaving := announcement("r1", 5, 3, "10.0.0.9:80")
	leaving.Leaving = true
	if v := r.Announce(start, leaving, 0); v != roster.Changed {
		t.Fatalf("leaving announcement: %v, want Changed", v)
	}
	version := r.Version()
	if v := r.Announce(start, announcement("r1", 5, 2, "10.0.0.9:80"), 0); v != roster.Stale {
		t.Fatalf("earlier heartbeat of the same process: %v, want Stale", v)
	}
	if v := r.Announce(start, announcement("r1", 5, 4, "10.0.0.9:80"), 0); v != roster.Refreshed {
		t.Fatalf("later heartbeat of the same process: %v, want Refreshed", v)
	}
	if changes := r.Since(0); r.Version() != version || !changes.Replicas[0].Leaving {
		t.Fatalf("%+v", changes)
	}
	if v := r.Announce(start, announcement("r1", 6, 1, "10.0.0.9:80"), 0); v != roster.Changed || r.Since(0).Replicas[0].Leaving {
		t.Fatalf("new process with the same ID: %v, want Changed and not leaving", v)
	}
}

// When a replica crashes behind a partition and another one starts at its address, a late
// heartbeat of the first must not redirect requests for the address to it.
func TestAHeartbeatFromADeadProcessDoesNotTakeTheAddressBack(t *testing.T) {
	r := table()
	r.Announce(start, announcement("old", 5, 1, "10.0.0.9:80"), 0)
	r.Announce(start, announcement("new", 9, 1, "10.0.0.9:80"), 0)
	if v := r.Announce(start, announcement("old", 5, 2, "10.0.0.9:80"), 0); v != roster.Stale {
		t.Fatalf("late heartbeat of the dead replica: %v, want Stale", v)
	}
	changes := r.Since(1)
	if len(changes.Replicas) != 1 || changes.Replicas[0].Replica != "new" || len(changes.Gone) != 1 || changes.Gone[0].Replica != "old" {
		t.Fatalf("%+v", changes)
	}
}

// The deregistration of a process may reach a control VM when its successor with the same ID
// is already running. The successor must stay.
func TestLeaveOfAnotherIncarnationIsIgnored(t *testing.T) {
	r := table()
	r.Announce(start, announcement("r1", 6, 1, "10.0.0.9:80"), 0)
	if _, news := r.Leave("r1", 5); news {
		t.Fatal("a leave of an earlier incarnation was applied to its successor")
	}
	if _, news := r.Leave("r1", 0); !news || !r.Since(0).Replicas[0].Leaving {
		t.Fatal("a leave without incarnation was not applied to the current process")
	}
	if _, news := r.Leave("unknown", 0); news {
		t.Fatal("a leave of an unknown replica was reported as a change")
	}
}

// A replica that loses its connection to the control VMs but still serves must be removed
// only after its lifetime, and return with its next heartbeat.
func TestASilentReplicaIsForgottenLateAndReturns(t *testing.T) {
	r := table()
	r.Announce(start, announcement("r1", 5, 1, "10.0.0.9:80"), 0)
	r.Tick(start.Add(20 * time.Second))
	if len(r.Since(0).Replicas) != 1 {
		t.Fatal("the replica was removed within its lifetime")
	}
	version := r.Version()
	r.Tick(start.Add(21 * time.Second))
	if gone := r.Since(version).Gone; len(gone) != 1 {
		t.Fatalf("gates do not receive the removal: %+v", gone)
	}
	if v := r.Announce(start.Add(22*time.Second), announcement("r1", 5, 2, "10.0.0.9:80"), 0); v != roster.Changed {
		t.Fatalf("heartbeat after the removal: %v, want Changed", v)
	}
}

// A killed gate must not be listed to callers after its lifetime, even if another control VM
// still shares its old report.
func TestASilentGateIsNotNamed(t *testing.T) {
	r := table()
	gate := roster.Gate{VM: "gate-1", Callers: "10.0.0.1:80", Started: 5, Sequence: 1, Ready: true}
	if !r.RecordReport(start, gate, 0) || r.RecordReport(start, gate, 0) {
		t.Fatal("want a change for the first report only")
	}
	r.Tick(start.Add(3 * time.Second))
	if len(r.Gates()) != 0 {
		t.Fatal("the gate is listed after its lifetime")
	}
	r.RecordReport(start.Add(3*time.Second), gate, 3*time.Second)
	if len(r.Gates()) != 0 {
		t.Fatal("an old report made the gate listed again")
	}
	gate.Sequence = 2
	if !r.RecordReport(start.Add(4*time.Second), gate, 0) || len(r.Gates()) != 1 {
		t.Fatal("the gate is not listed after a new report")
	}
}

// Followers that receive only changes must neither miss a gate nor keep one that is gone.
func TestGatesAsChanges(t *testing.T) {
	r := table()
	gate := func(vm string, sequence uint64) roster.Gate {
		return roster.Gate{VM: vm, Started: 5, Sequence: sequence, Ready: true}
	}
	r.RecordReport(start, gate("gate-1", 1), 0)
	r.RecordReport(start, gate("gate-2", 1), 0)
	first := r.Since(0)
	if !first.HasGates || len(first.Gates) != 2 {
		t.Fatalf("%+v", first)
	}
	r.RecordReport(start.Add(3*time.Second), gate("gate-3", 1), 0)
	r.RecordReport(start.Add(3*time.Second), gate("gate-2", 2), 0)
	r.Tick(start.Add(3 * time.Second))
	later := r.Since(first.Version)
	if later.HasGates || len(later.Gates) != 1 || len(later.GatesGone) != 1 || later.GatesGone[0] != "gate-1" {
		t.Fatalf("%+v", later)
	}
	known := roster.ApplyGates(first.Gates, &later)
	if len(known) != 2 || known[0].VM != "gate-2" || known[1].VM != "gate-3" {
		t.Errorf("%+v", known)
	}
	r.IncludeAllGates(&later)
	if !later.HasGates || len(later.Gates) != 2 || len(later.GatesGone) != 0 {
		t.Errorf("a follower that supports whole lists only gets %+v", later)
	}
}

// The address of a replica that moved or was removed must be free for another replica.
func TestAnAddressIsFreeOnceItsReplicaMovedOrIsForgotten(t *testing.T) {
	r := table()
	r.Announce(start, announcement("r1", 9, 1, "10.0.0.9:80"), 0)
	r.Announce(start, announcement("r1", 9, 2, "10.0.0.10:80"), 0)
	if v := r.Announce(start, announcement("r2", 5, 1, "10.0.0.9:80"), 0); v != roster.Changed {
		t.Fatalf("announcement at the address of a replica that moved: %v, want Changed", v)
	}
	r.Tick(start.Add(21 * time.Second))
	if v := r.Announce(start.Add(21*time.Second), announcement("r3", 3, 1, "10.0.0.10:80"), 0); v != roster.Changed {
		t.Errorf("announcement at the address of a removed replica: %v, want Changed", v)
	}
}
