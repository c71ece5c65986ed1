package route_test

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

func item(id string) route.Request {
	return route.Request{
		ID: id, Class: route.Batch, Repeatable: true, Resumable: true, RetryUntilAnswered: true,
		Fingerprint: upstream.FingerprintOf("wordroom", []byte(id)), Policy: route.ThroughputPolicy(),
	}
}

// A replica crashes while it runs an item, and the gate that saw it is lost or has
// returned the item. The gate that leases the item next must run it. When it refused,
// the item passed from gate to gate until its job's deadline, with every engine idle.
func TestASuspectItemRunsAtTheGateThatHoldsItsLease(t *testing.T) {
	r := newRig(t, route.Config{}, 2)
	r.step(route.GatesChanged{Gates: []route.Gate{{ID: "gate-0", Place: "glas-a"}, {ID: "gate-1", Place: "glas-a"}}})
	first := item("notice-1")
	r.step(route.CrashesReported{Crashes: []upstream.CrashRecord{{
		Fingerprint: first.Fingerprint, Replica: "r9", Incarnation: 1, Gate: "gate-0", At: r.now,
	}}})
	r.arrive(first)
	r.pass(3 * time.Second)
	if err := r.refused["notice-1"]; err != nil {
		t.Fatalf("refused: %v", err)
	}
	if r.sent["notice-1"] != 1 {
		t.Fatalf("sent %d times", r.sent["notice-1"])
	}
}

// Guards against a job that does not progress because the only gate that may try its
// item owns no replica.
func TestASuspectItemIsTriedByAGateThatOwnsAReplica(t *testing.T) {
	r := newRig(t, route.Config{}, 1)
	r.step(route.GatesChanged{Gates: []route.Gate{{ID: "gate-0", Place: "edin-b"}, {ID: "gate-1", Place: "glas-a"}}})
	first := item("notice-1")
	first.RetryUntilAnswered = false
	r.step(route.CrashesReported{Crashes: []upstream.CrashRecord{{
		Fingerprint: first.Fingerprint, Replica: "r9", Incarnation: 1, Gate: "gate-0", At: r.now,
	}}})
	r.arrive(first)
	r.pass(3 * time.Second)
	if err := r.refused["notice-1"]; err != nil || r.sent["notice-1"] != 1 {
		t.Fatalf("sent %d times, refused: %v", r.sent["notice-1"], err)
	}
}

// Replicas crash one after the other while running a harmless item. The item is never
// refused for good, since its job waits for it, but each crash doubles the time until
// it is retried, so that a harmful item crashes few replicas.
func TestItemIsRetriedWithBackoffAfterCrashes(t *testing.T) {
	r := newRig(t, route.Config{}, 3)
	r.arrive(item("notice-1"))
	var waits []time.Duration
	for range 4 {
		r.killProcess("notice-1")
		died, sent := r.now, r.sent["notice-1"]
		for r.sent["notice-1"] == sent && r.now.Sub(died) < time.Minute {
			r.pass(25 * time.Millisecond)
		}
		waits = append(waits, r.now.Sub(died))
	}
	if err := r.refused["notice-1"]; err != nil {
		t.Fatalf("refused: %v", err)
	}
	for i := 1; i < len(waits); i++ {
		if waits[i] < 2*waits[i-1]-200*time.Millisecond || waits[i] > 20*time.Second {
			t.Fatalf("waits %v", waits)
		}
	}
}

// A gate owns one replica, and a connection to it fails once. The item must return to
// this replica when it is back: the gate owns no other, and the item's lease keeps
// other gates from running it.
func TestItemReturnsToTheOnlyReplicaItsGateOwns(t *testing.T) {
	r := newRig(t, route.Config{}, 1)
	r.announceAt("r-far", "edin-b")
	r.step(route.GatesChanged{Gates: []route.Gate{{ID: "gate-1", Place: "glas-a"}, {ID: "gate-2", Place: "edin-b"}}})
	r.arrive(item("notice-1"))
	first := r.lastDispatch["notice-1"]
	r.step(route.Failed{Attempt: first.Attempt, Cause: route.CauseNotSent})
	r.step(route.Probed{Replica: first.Target.Replica, Alive: true})
	r.pass(2 * time.Second)
	if r.sent["notice-1"] != 2 {
		t.Fatalf("sent %d times", r.sent["notice-1"])
	}
}
