package roster_test

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/roster"
)

// A replica whose heartbeats arrive at another control VM must not be removed here, and one
// that was removed because renewals were lost must come back with the next one, unless another
// process has its address.
func TestRenewalsKeepAReplica(t *testing.T) {
	r := table()
	a := announcement("r1", 5, 1, "10.0.0.9:80")
	r.Announce(start, a, 0)
	renewal := roster.RenewalOf(&roster.ReplicaReport{Replica: a, Age: 500 * time.Millisecond})
	renewal.Sequence = 12
	renew := func(now time.Time) roster.Verdict {
		verdict := r.Renew(now, &renewal)
		r.Tick(now)
		return verdict
	}
	now := start.Add(15 * time.Second)
	if v := renew(now); v != roster.Refreshed {
		t.Fatalf("verdict %v on a renewal", v)
	}
	r.Tick(start.Add(30 * time.Second))
	if replicas := r.Since(0).Replicas; len(replicas) != 1 || replicas[0].Sequence != 12 {
		t.Fatalf("replicas %+v after a renewal", replicas)
	}
	r.Tick(start.Add(40 * time.Second))
	if len(r.Since(0).Replicas) != 0 {
		t.Fatal("the replica is kept without renewals")
	}
	if v := renew(start.Add(41 * time.Second)); v != roster.Changed || len(r.Since(0).Replicas) != 1 {
		t.Errorf("verdict %v; a renewal must bring the replica back", v)
	}
	r.Tick(start.Add(70 * time.Second))
	r.Announce(start.Add(70*time.Second), announcement("r2", 9, 1, "10.0.0.9:80"), 0)
	if v := renew(start.Add(71 * time.Second)); v != roster.Stale || r.Since(0).Replicas[0].Replica != "r2" {
		t.Errorf("verdict %v; a renewal must not take the address of a later process", v)
	}
}

// Renewals of another incarnation or state say nothing about the state that is known here.
func TestARenewalOfAnotherStateIsIgnored(t *testing.T) {
	r := table()
	a := announcement("r1", 5, 1, "10.0.0.9:80")
	r.Announce(start, a, 0)
	for name, change := range map[string]func(*roster.Renewal){
		"another incarnation": func(n *roster.Renewal) { n.Incarnation++ },
		"another state":       func(n *roster.Renewal) { n.Hash++ },
		"unknown replica":     func(n *roster.Renewal) { n.Replica = "r2" },
	} {
		renewal := roster.RenewalOf(&roster.ReplicaReport{Replica: a})
		renewal.Sequence = 12
		change(&renewal)
		if v := r.Renew(start, &renewal); v != roster.Stale || r.Since(0).Replicas[0].Sequence != 1 {
			t.Errorf("%s: verdict %v, sequence %d", name, v, r.Since(0).Replicas[0].Sequence)
		}
	}
}
