package route_test

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// Guards against a gate that stops using a replica without explanation: the state
// changes must carry the cause, the number of failures and the time without progress.
func TestStateChangesAreReported(t *testing.T) {
	r := newRig(t, route.Config{HedgeMin: -1}, 1)
	var changes []route.StateChanged
	step := func(in route.Input) {
		for _, o := range r.shard.Step(r.now, in) {
			switch o := o.(type) {
			case route.StateChanged:
				changes = append(changes, o)
			case route.Dispatch:
				r.lastDispatch[o.ID] = o
			}
		}
	}
	step(route.Arrive{Request: route.Request{ID: "a", Class: route.Online, Deadline: r.now.Add(time.Minute)}})
	step(route.Progress{Attempt: r.lastDispatch["a"].Attempt, Tokens: 1, Delivered: true})
	r.now = r.now.Add(300 * time.Millisecond)
	step(route.Failed{Attempt: r.lastDispatch["a"].Attempt, Cause: route.CauseBroken})
	step(route.Probed{Replica: "r0", Refused: true})
	step(route.Announced{Announcement: upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: "r0", Incarnation: 2, Sequence: 9,
		Address: "10.0.0.1:80", Place: "glas-a", Load: upstream.Load{Slots: 2, Ready: true},
	}})
	want := []route.StateChanged{
		{Replica: "r0", State: route.StateSuspect, Evidence: route.Evidence(route.CauseBroken), Failures: 1, Idle: 300 * time.Millisecond},
		{Replica: "r0", State: route.StateDead, Evidence: route.EvidenceRefused, Failures: 1, Idle: 300 * time.Millisecond},
		{Replica: "r0", State: route.StateReturned, Evidence: route.EvidenceAnnounced, Idle: 300 * time.Millisecond, SlowStart: true},
	}
	if len(changes) != len(want) {
		t.Fatalf("state changes %+v", changes)
	}
	for i := range want {
		if changes[i] != want[i] {
			t.Errorf("state change %+v, want %+v", changes[i], want[i])
		}
	}
}

// Guards against a preempted item whose cancellation does not show which request it
// made room for.
func TestPreemptionReportsTheRequestItMakesRoomFor(t *testing.T) {
	r := newRig(t, route.Config{HedgeMin: -1}, 1)
	r.step(route.GatesChanged{Gates: []route.Gate{{ID: "gate-1", Place: "glas-a"}}})
	for _, id := range []string{"item-1", "item-2"} {
		r.arrive(route.Request{ID: id, Class: route.Batch, Repeatable: true, Policy: route.ThroughputPolicy()})
	}
	var cancelled []route.Cancel
	for _, o := range r.shard.Step(r.now, route.Arrive{Request: route.Request{ID: "page", Class: route.Online, Deadline: r.now.Add(time.Minute)}}) {
		if c, is := o.(route.Cancel); is {
			cancelled = append(cancelled, c)
		}
	}
	if len(cancelled) != 1 || cancelled[0].Cause != route.CancelPreempted || cancelled[0].For != "page" {
		t.Errorf("cancelled %+v", cancelled)
	}
}
