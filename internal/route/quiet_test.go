package route_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// asking is a rig that keeps the probes asked for.
type asking struct {
	*streams
	probes []upstream.ReplicaID
	resets []upstream.ReplicaID
}

func (a *asking) step(in route.Input) {
	for _, o := range slices.Clone(a.shard.Step(a.now, in)) {
		switch o := o.(type) {
		case route.Dispatch:
			a.on[o.ID] = o
			a.sent[o.ID]++
		case route.Cancel:
			a.stopped[o.Attempt] = o.Cause
		case route.Refuse:
			a.refused[o.ID] = o.Err
		case route.Probe:
			a.probes = append(a.probes, o.Replica)
		case route.Reset:
			a.resets = append(a.resets, o.Replica)
		}
	}
}

// run lets events come for the streams named, and ticks pass.
func (a *asking) run(d time.Duration, ids ...string) {
	for end := a.now.Add(d); a.now.Before(end); {
		a.now = a.now.Add(eventGap)
		for _, id := range ids {
			a.tokens[id]++
			a.step(route.Progress{Attempt: a.on[id].Attempt, Tokens: a.tokens[id], Delivered: true})
		}
		a.step(route.Tick{})
	}
}

func newAsking(t *testing.T, replicas int) *asking {
	config := route.Config{HedgeMin: -1, ProbeAfter: time.Hour, StallMin: stallMin}
	return &asking{streams: &streams{rig: newRig(t, config, replicas), tokens: map[string]int{}}}
}

func (a *asking) arrive(id string, resumable bool, deadline time.Duration) {
	a.step(route.Arrive{Request: route.Request{
		ID: id, Class: route.Online, Resumable: resumable, Repeatable: resumable, MaxAttempts: 2,
		Deadline: a.now.Add(deadline), Fingerprint: upstream.FingerprintOf(id, nil),
	}})
}

// A replica loses its power in the middle of two letters. Their readers see the text
// stop, and leave after two seconds: nothing tells the gate that the replica is gone,
// and the time that an event may take is longer.
func TestStreamsLeaveAReplicaThatWentDark(t *testing.T) {
	a := newAsking(t, 1)
	a.arrive("letter", true, 5*time.Second)
	a.arrive("query", false, 5*time.Second)
	a.announce("r1", 1)
	a.run(400*time.Millisecond, "letter", "query")
	stopped := a.now
	for len(a.probes) == 0 && a.now.Sub(stopped) < time.Second {
		a.run(eventGap)
	}
	if len(a.probes) != 1 || a.probes[0] != "r0" {
		t.Fatalf("asked %v", a.probes)
	}
	a.now = a.now.Add(100 * time.Millisecond) // what a connection may take
	a.step(route.Probed{Replica: "r0"})
	if took := a.now.Sub(stopped); took > 250*time.Millisecond {
		t.Errorf("the letter goes on after %s", took)
	}
	again := a.on["letter"]
	if a.sent["letter"] != 2 || again.Target.Replica != "r1" || !again.Resume {
		t.Errorf("the letter was sent %d times, last as %+v", a.sent["letter"], again)
	}
	if a.sent["query"] != 1 || a.refused["query"] != nil {
		t.Errorf("the query may not run again, and was sent %d times, refused %v", a.sent["query"], a.refused["query"])
	}
}

func TestReplicasThatAreNotAsked(t *testing.T) {
	t.Run("one of its streams moves", func(t *testing.T) {
		a := newAsking(t, 1)
		a.arrive("x", false, 5*time.Second)
		a.arrive("y", false, 5*time.Second)
		a.run(300*time.Millisecond, "x", "y")
		a.run(time.Second, "y")
		if len(a.probes) > 0 {
			t.Errorf("asked %v", a.probes)
		}
	})
	t.Run("it lives and was asked a moment ago", func(t *testing.T) {
		a := newAsking(t, 1)
		a.arrive("x", false, 5*time.Second)
		a.arrive("y", false, 5*time.Second)
		a.run(300*time.Millisecond, "x", "y")
		a.run(200 * time.Millisecond)
		a.step(route.Probed{Replica: "r0", Alive: true})
		a.run(500 * time.Millisecond)
		if len(a.probes) != 1 {
			t.Errorf("asked %d times", len(a.probes))
		}
	})
}

// Something between gate and replica has lost track of the connections in the pool.
// Each caller waits in vain, and tries again over the next such connection, for as
// many as there are. Other connections work.
func TestARequestLooksForItsAnswerOverAnotherConnection(t *testing.T) {
	for _, replicas := range []int{1, 2} {
		a := newAsking(t, replicas)
		const patience = 3 * time.Second
		for _, id := range []string{"a", "b", "c", "d"} {
			a.arrive(id, true, patience)
			a.run(30 * time.Millisecond)
			a.step(route.Finished{Attempt: a.on[id].Attempt})
		}
		a.arrive("page", true, patience)
		first := a.on["page"]
		for end := a.now.Add(patience); a.now.Before(end) && a.sent["page"] == 1; {
			a.run(25 * time.Millisecond)
			for _, id := range a.probes {
				a.step(route.Probed{Replica: id, Alive: true})
			}
			a.probes = nil
		}
		if a.sent["page"] != 2 {
			t.Fatalf("%d replicas: not tried again within its caller's time", replicas)
		}
		if !slices.Contains(a.resets, first.Target.Replica) {
			t.Errorf("%d replicas: the pool of %s is kept", replicas, first.Target.Replica)
		}
		a.step(route.Finished{Attempt: a.on["page"].Attempt})
		if a.refused["page"] != nil {
			t.Errorf("%d replicas: refused %v", replicas, a.refused["page"])
		}
	}
}

// Answers take nearly as long as callers wait. Another try would have no time left,
// and only double the work.
func TestASlowServiceIsNotAskedTwice(t *testing.T) {
	a := newAsking(t, 2)
	const patience = 3 * time.Second
	for _, id := range []string{"a", "b", "c", "d"} {
		a.announce("r0", 1)
		a.announce("r1", 1)
		a.arrive(id, true, patience)
		a.run(2 * time.Second)
		a.step(route.Finished{Attempt: a.on[id].Attempt})
	}
	a.arrive("page", true, patience)
	for range 100 {
		a.run(25 * time.Millisecond)
		for _, id := range a.probes {
			a.step(route.Probed{Replica: id, Alive: true})
		}
		a.probes = nil
	}
	if a.sent["page"] != 1 {
		t.Errorf("sent %d times, refused %v", a.sent["page"], a.refused["page"])
	}
}

// A service answers nothing for two seconds, and is sound again. Requests that looked
// for their answers meanwhile must not keep its only replica out of use after that.
func TestAReplicaThatWasSilentIsUsedAgainAtOnce(t *testing.T) {
	a := newAsking(t, 1)
	const patience = 1500 * time.Millisecond
	for _, id := range []string{"a", "b", "c", "d"} {
		a.arrive(id, true, patience)
		a.run(30 * time.Millisecond)
		a.step(route.Finished{Attempt: a.on[id].Attempt})
	}
	probed := func() {
		for _, id := range a.probes {
			a.step(route.Probed{Replica: id, Alive: true})
		}
		a.probes = nil
	}
	for n := range 2 {
		for i := range 4 {
			a.arrive(fmt.Sprint("unanswered-", n, "-", i), true, patience)
		}
		for left := a.now.Add(patience); a.now.Before(left); {
			a.run(25 * time.Millisecond)
			probed()
		}
		for i := range 4 {
			a.step(route.Abandon{ID: fmt.Sprint("unanswered-", n, "-", i)})
		}
	}
	a.arrive("page", true, patience)
	a.run(25 * time.Millisecond)
	probed()
	a.run(25 * time.Millisecond)
	if a.sent["page"] != 1 {
		t.Errorf("sent %d times, refused %v", a.sent["page"], a.refused["page"])
	}
}
