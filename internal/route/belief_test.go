package route_test

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// On call, somebody asks why a gate sent nothing to a replica for two seconds. What
// the gate took it for, from what, and how long it had been quiet, must be told.
func TestBeliefsAreTold(t *testing.T) {
	r := newRig(t, route.Config{HedgeMin: -1}, 1)
	var told []route.Believed
	step := func(in route.Input) {
		for _, o := range r.shard.Step(r.now, in) {
			switch o := o.(type) {
			case route.Believed:
				told = append(told, o)
			case route.Dispatch:
				r.on[o.ID] = o
			}
		}
	}
	step(route.Arrive{Request: route.Request{ID: "a", Class: route.Online, Deadline: r.now.Add(time.Minute)}})
	step(route.Progress{Attempt: r.on["a"].Attempt, Tokens: 1, Delivered: true})
	r.now = r.now.Add(300 * time.Millisecond)
	step(route.Failed{Attempt: r.on["a"].Attempt, Cause: route.CauseBroken})
	step(route.Probed{Replica: "r0", Refused: true})
	step(route.Announced{Announcement: upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: "r0", Incarnation: 2, Sequence: 9,
		Address: "10.0.0.1:80", Place: "glas-a", Load: upstream.Load{Slots: 2, Ready: true},
	}})
	want := []route.Believed{
		{Replica: "r0", Belief: route.BeliefSuspect, Evidence: route.Evidence(route.CauseBroken), Failures: 1, Quiet: 300 * time.Millisecond},
		{Replica: "r0", Belief: route.BeliefDead, Evidence: route.EvidenceRefused, Failures: 1, Quiet: 300 * time.Millisecond},
		{Replica: "r0", Belief: route.BeliefReturned, Evidence: route.EvidenceAnnounced, Quiet: 300 * time.Millisecond, Slowly: true},
	}
	if len(told) != len(want) {
		t.Fatalf("told %+v", told)
	}
	for i := range want {
		if told[i] != want[i] {
			t.Errorf("told %+v, want %+v", told[i], want[i])
		}
	}
}

// An owner asks why an item was stopped: the line names the request it made room for.
func TestAPreemptionNamesTheRequestItIsFor(t *testing.T) {
	r := newRig(t, route.Config{HedgeMin: -1}, 1)
	r.step(route.GatesChanged{Gates: []route.Gate{{ID: "gate-1", Place: "glas-a"}}})
	for _, id := range []string{"item-1", "item-2"} {
		r.arrive(route.Request{ID: id, Class: route.Batch, Repeatable: true, Policy: route.ThroughputPolicy()})
	}
	var stopped []route.Cancel
	for _, o := range r.shard.Step(r.now, route.Arrive{Request: route.Request{ID: "page", Class: route.Online, Deadline: r.now.Add(time.Minute)}}) {
		if c, is := o.(route.Cancel); is {
			stopped = append(stopped, c)
		}
	}
	if len(stopped) != 1 || stopped[0].Cause != route.CancelPreempted || stopped[0].For != "page" {
		t.Errorf("stopped %+v", stopped)
	}
}
