package route_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// waitingItem sets up a gate with one waiting batch item and with all its own replicas
// full of online work. Every replica of the other gate has the given load. It advances
// past the time after which the item may be returned.
func waitingItem(t *testing.T, load upstream.OwnerLoad, retryUntilAnswered bool) *rig {
	const replicas = 6 // of two slots
	r := newRig(t, route.Config{HedgeMin: -1, ProbeAfter: time.Hour}, replicas)
	r.step(route.GatesChanged{Gates: []route.Gate{{ID: "gate-1", Place: "glas-a"}, {ID: "gate-2", Place: "glas-a"}}})
	for i := range 2 * replicas {
		id := fmt.Sprint("online-", i)
		r.arrive(route.Request{ID: id, Class: route.Online, Fingerprint: upstream.FingerprintOf(id, nil)})
	}
	var others []upstream.ReplicaID
	for _, view := range r.shard.Replicas() {
		if view.Owner != "gate-1" {
			others = append(others, view.Entry.Replica)
		}
	}
	if len(others) == 0 || len(others) == replicas {
		t.Fatalf("the other gate owns %d of %d replicas", len(others), replicas)
	}
	for _, dispatch := range maps.Clone(r.lastDispatch) {
		if slices.Contains(others, dispatch.Target.Replica) {
			r.step(route.Finished{Attempt: dispatch.Attempt})
		}
	}
	r.arrive(route.Request{
		ID: "item", Class: route.Batch, Repeatable: true, RetryUntilAnswered: retryUntilAnswered, Fingerprint: 9, Policy: route.ThroughputPolicy(),
	})
	if r.sent["item"] != 0 {
		t.Fatal("the item found a slot")
	}
	wait := func(d time.Duration) {
		for _, id := range others {
			load.Replica = id
			r.step(route.OwnerReported{Load: load})
		}
		r.pass(d)
	}
	wait(900 * time.Millisecond)
	if r.refused["item"] != nil {
		t.Fatalf("returned at once: %v", r.refused["item"])
	}
	wait(200 * time.Millisecond)
	return r
}

// Guards against items that wait for seconds at a gate whose slots online work has
// taken, and miss their targets, while the replicas of another gate are idle.
func TestAnItemDoesNotWaitWhileOtherGatesHaveSlots(t *testing.T) {
	r := waitingItem(t, upstream.OwnerLoad{Online: 0, Batch: 0}, true)
	refusal := r.refused["item"]
	if refusal == nil || refusal.Reason != route.ReasonFreeElsewhere || refusal.Ran != apierr.RanNo {
		t.Errorf("the item was not returned as expected: %v", refusal)
	}
}

func TestAnItemWaitsWhereNobodyHasSlots(t *testing.T) {
	if refusal := waitingItem(t, upstream.OwnerLoad{Online: 1, Batch: 1}, true).refused["item"]; refusal != nil {
		t.Errorf("returned although all replicas are full: %v", refusal)
	}
	if refusal := waitingItem(t, upstream.OwnerLoad{}, false).refused["item"]; refusal != nil {
		t.Errorf("returned although a return counts as an attempt: %v", refusal)
	}
}
