package roster_test

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/upstream"
)

var start = time.Unix(1_000_000, 0)

func table() *roster.Table {
	return roster.New(roster.Config{ReplicaLifetime: 20 * time.Second, GateLifetime: 2 * time.Second})
}

func announcement(id string, incarnation, sequence uint64, address string) upstream.Announcement {
	return upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: upstream.ReplicaID(id),
		Incarnation: incarnation, Sequence: sequence, Address: address, Place: "glas-a",
		Load: upstream.Load{Slots: 8, Ready: true},
	}
}

// A replica says that it drains, and heartbeats that it sent before arrive after
// it. Callers must not be sent there again.
func TestLeavingIsNotTakenBackByALateHeartbeat(t *testing.T) {
	r := table()
	r.Announce(start, announcement("r1", 5, 1, "10.0.0.9:80"), 0)
	leaving := announcement("r1", 5, 3, "10.0.0.9:80")
	leaving.Leaving = true
	if v := r.Announce(start, leaving, 0); v != roster.Changed {
		t.Fatalf("draining: %v", v)
	}
	version := r.Version()
	if v := r.Announce(start, announcement("r1", 5, 2, "10.0.0.9:80"), 0); v != roster.Stale {
		t.Fatalf("an older heartbeat: %v", v)
	}
	if v := r.Announce(start, announcement("r1", 5, 4, "10.0.0.9:80"), 0); v != roster.Refreshed {
		t.Fatalf("a newer heartbeat of the same process: %v", v)
	}
	if changes := r.Since(0); r.Version() != version || !changes.Replicas[0].Leaving {
		t.Fatalf("%+v", changes)
	}
	if v := r.Announce(start, announcement("r1", 6, 1, "10.0.0.9:80"), 0); v != roster.Changed || r.Since(0).Replicas[0].Leaving {
		t.Fatalf("a new process under the same ID: %v", v)
	}
}

// A replica crashes behind a partition, another one starts at its address, and
// a heartbeat of the first arrives only now. Requests to the address must name
// the one that is there.
func TestAHeartbeatFromADeadProcessDoesNotTakeTheAddressBack(t *testing.T) {
	r := table()
	r.Announce(start, announcement("old", 5, 1, "10.0.0.9:80"), 0)
	r.Announce(start, announcement("new", 9, 1, "10.0.0.9:80"), 0)
	if v := r.Announce(start, announcement("old", 5, 2, "10.0.0.9:80"), 0); v != roster.Stale {
		t.Fatalf("late heartbeat: %v", v)
	}
	changes := r.Since(1)
	if len(changes.Replicas) != 1 || changes.Replicas[0].Replica != "new" || len(changes.Gone) != 1 || changes.Gone[0].Replica != "old" {
		t.Fatalf("%+v", changes)
	}
}

// The deregistration of a process reaches a control VM late, when its successor
// under the same ID runs already.
func TestLeaveOfAnotherIncarnationIsIgnored(t *testing.T) {
	r := table()
	r.Announce(start, announcement("r1", 6, 1, "10.0.0.9:80"), 0)
	if _, news := r.Leave("r1", 5); news {
		t.Fatal("the successor left")
	}
	if _, news := r.Leave("r1", 0); !news || !r.Since(0).Replicas[0].Leaving {
		t.Fatal("the process that is known did not leave")
	}
	if _, news := r.Leave("unknown", 0); news {
		t.Fatal("an unknown replica left")
	}
}

// A replica loses its way to the control VMs for a while and serves on. It is
// forgotten after the lifetime only, and known again with its next heartbeat.
func TestASilentReplicaIsForgottenLateAndReturns(t *testing.T) {
	r := table()
	r.Announce(start, announcement("r1", 5, 1, "10.0.0.9:80"), 0)
	r.Tick(start.Add(20 * time.Second))
	if len(r.Since(0).Replicas) != 1 {
		t.Fatal("forgotten within its lifetime")
	}
	version := r.Version()
	r.Tick(start.Add(21 * time.Second))
	if gone := r.Since(version).Gone; len(gone) != 1 {
		t.Fatalf("gates are not told: %+v", gone)
	}
	if v := r.Announce(start.Add(22*time.Second), announcement("r1", 5, 2, "10.0.0.9:80"), 0); v != roster.Changed {
		t.Fatalf("back: %v", v)
	}
}

// A gate is killed: callers are not sent there after its lifetime, although
// another control VM still shares the old report of it.
func TestASilentGateIsNotNamed(t *testing.T) {
	r := table()
	gate := roster.Gate{VM: "gate-1", Callers: "10.0.0.1:80", Started: 5, Sequence: 1, Ready: true}
	if !r.Hear(start, gate, 0) || r.Hear(start, gate, 0) {
		t.Fatal("news once")
	}
	r.Tick(start.Add(3 * time.Second))
	if len(r.Gates()) != 0 {
		t.Fatal("still named")
	}
	r.Hear(start.Add(3*time.Second), gate, 3*time.Second)
	if len(r.Gates()) != 0 {
		t.Fatal("named again by an old report")
	}
	gate.Sequence = 2
	if !r.Hear(start.Add(4*time.Second), gate, 0) || len(r.Gates()) != 1 {
		t.Fatal("not named after a new report")
	}
}

// Guards against followers that miss a gate, or keep one that is gone, when they are told changes only.
func TestGatesAsChanges(t *testing.T) {
	r := table()
	gate := func(vm string, sequence uint64) roster.Gate {
		return roster.Gate{VM: vm, Started: 5, Sequence: sequence, Ready: true}
	}
	r.Hear(start, gate("gate-1", 1), 0)
	r.Hear(start, gate("gate-2", 1), 0)
	first := r.Since(0)
	if !first.HasGates || len(first.Gates) != 2 {
		t.Fatalf("%+v", first)
	}
	r.Hear(start.Add(3*time.Second), gate("gate-3", 1), 0)
	r.Hear(start.Add(3*time.Second), gate("gate-2", 2), 0)
	r.Tick(start.Add(3 * time.Second))
	later := r.Since(first.Version)
	if later.HasGates || len(later.Gates) != 1 || len(later.GatesGone) != 1 || later.GatesGone[0] != "gate-1" {
		t.Fatalf("%+v", later)
	}
	known := roster.ApplyGates(first.Gates, &later)
	if len(known) != 2 || known[0].VM != "gate-2" || known[1].VM != "gate-3" {
		t.Errorf("%+v", known)
	}
	r.AllGates(&later)
	if !later.HasGates || len(later.Gates) != 2 || len(later.GatesGone) != 0 {
		t.Errorf("a follower of whole lists gets %+v", later)
	}
}

// Guards against an address that nobody can take over: a replica that moved, and one that was forgotten, held it.
func TestAnAddressIsFreeOnceItsReplicaMovedOrIsForgotten(t *testing.T) {
	r := table()
	r.Announce(start, announcement("r1", 9, 1, "10.0.0.9:80"), 0)
	r.Announce(start, announcement("r1", 9, 2, "10.0.0.10:80"), 0)
	if v := r.Announce(start, announcement("r2", 5, 1, "10.0.0.9:80"), 0); v != roster.Changed {
		t.Fatalf("after a move: %v", v)
	}
	r.Tick(start.Add(21 * time.Second))
	if v := r.Announce(start.Add(21*time.Second), announcement("r3", 3, 1, "10.0.0.10:80"), 0); v != roster.Changed {
		t.Errorf("after it was forgotten: %v", v)
	}
}
