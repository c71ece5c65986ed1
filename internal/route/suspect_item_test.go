package route_test

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

func item(id string) route.Request {
	return route.Request{
		ID: id, Class: route.Batch, Repeatable: true, Resumable: true, Patient: true,
		Fingerprint: upstream.FingerprintOf("wordroom", []byte(id)), Policy: route.ThroughputPolicy(),
	}
}

// A replica crashes while it runs an item; the gate that saw it is lost or has
// given the item back. The lease goes to another gate, which must run it: refused
// there, the item went from gate to gate until its job's time was over, with
// every engine idle.
func TestASuspectItemRunsAtTheGateThatHoldsItsLease(t *testing.T) {
	r := newRig(t, route.Config{}, 2)
	r.step(route.GatesChanged{Gates: []route.Gate{{ID: "gate-0", Place: "glas-a"}, {ID: "gate-1", Place: "glas-a"}}})
	first := item("notice-1")
	r.step(route.Struck{Strikes: []upstream.Strike{{
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

// Guards against a job that stands still because the one gate that may try its item owns no replica.
func TestASuspectItemIsTriedByAGateThatOwnsAReplica(t *testing.T) {
	r := newRig(t, route.Config{}, 1)
	r.step(route.GatesChanged{Gates: []route.Gate{{ID: "gate-0", Place: "edin-b"}, {ID: "gate-1", Place: "glas-a"}}})
	first := item("notice-1")
	first.Patient = false
	r.step(route.Struck{Strikes: []upstream.Strike{{
		Fingerprint: first.Fingerprint, Replica: "r9", Incarnation: 1, Gate: "gate-0", At: r.now,
	}}})
	r.arrive(first)
	r.pass(3 * time.Second)
	if err := r.refused["notice-1"]; err != nil || r.sent["notice-1"] != 1 {
		t.Fatalf("sent %d times, refused: %v", r.sent["notice-1"], err)
	}
}

// Replicas go down one after the other under an innocent item. It is not refused
// for good, since its job waits for it; but each death doubles the time until it
// is tried again, so that a harmful one takes few replicas down with it.
func TestAnItemWhoseReplicasDieIsTriedEverMoreSeldom(t *testing.T) {
	r := newRig(t, route.Config{}, 3)
	r.arrive(item("notice-1"))
	var waits []time.Duration
	for range 4 {
		r.die("notice-1")
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

// A gate feeds one replica, to which a connection fails once. The item must go
// there again when the replica is back: no other replica is this gate's to use,
// and the item's lease keeps other gates from running it.
func TestAnItemGoesBackToTheOnlyReplicaThatItsGateFeeds(t *testing.T) {
	r := newRig(t, route.Config{}, 1)
	r.announceAt("r-far", "edin-b")
	r.step(route.GatesChanged{Gates: []route.Gate{{ID: "gate-1", Place: "glas-a"}, {ID: "gate-2", Place: "edin-b"}}})
	r.arrive(item("notice-1"))
	first := r.on["notice-1"]
	r.step(route.Failed{Attempt: first.Attempt, Cause: route.CauseNotSent})
	r.step(route.Probed{Replica: first.Target.Replica, Alive: true})
	r.pass(2 * time.Second)
	if r.sent["notice-1"] != 2 {
		t.Fatalf("sent %d times", r.sent["notice-1"])
	}
}
