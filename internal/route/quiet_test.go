package route_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// ask sends a request whose caller waits for so long.
func (s *streams) ask(id string, repeatable bool, patience time.Duration) {
	s.arrive(route.Request{
		ID: id, Class: route.Online, Resumable: repeatable, Repeatable: repeatable, MaxAttempts: 2,
		Deadline: s.now.Add(patience), Fingerprint: upstream.FingerprintOf(id, nil),
	})
}

// answerProbes lets the replicas that were asked say that they live.
func (s *streams) answerProbes() {
	asked := s.probed
	s.probed = nil
	for _, id := range asked {
		s.step(route.Probed{Replica: id, Alive: true})
	}
}

// A replica loses its power in the middle of two letters. Their readers see the text
// stop, and leave after two seconds: nothing tells the gate that the replica is gone,
// and the time that an event may take is longer.
func TestStreamsLeaveAReplicaThatWentDark(t *testing.T) {
	a := newStreamRig(t, 1)
	a.ask("letter", true, 5*time.Second)
	a.ask("query", false, 5*time.Second)
	a.announce("r1", 1)
	a.run(400*time.Millisecond, "letter", "query")
	stopped := a.now
	for len(a.probed) == 0 && a.now.Sub(stopped) < time.Second {
		a.run(eventGap)
	}
	if len(a.probed) != 1 || a.probed[0] != "r0" {
		t.Fatalf("asked %v", a.probed)
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
		a := newStreamRig(t, 1)
		a.ask("x", false, 5*time.Second)
		a.ask("y", false, 5*time.Second)
		a.run(300*time.Millisecond, "x", "y")
		a.run(time.Second, "y")
		if len(a.probed) > 0 {
			t.Errorf("asked %v", a.probed)
		}
	})
	t.Run("it lives and was asked a moment ago", func(t *testing.T) {
		a := newStreamRig(t, 1)
		a.ask("x", false, 5*time.Second)
		a.ask("y", false, 5*time.Second)
		a.run(300*time.Millisecond, "x", "y")
		a.run(200 * time.Millisecond)
		a.step(route.Probed{Replica: "r0", Alive: true})
		a.run(500 * time.Millisecond)
		if len(a.probed) != 1 {
			t.Errorf("asked %d times", len(a.probed))
		}
	})
}

// Something between gate and replica has lost track of the connections in the pool.
// Each caller waits in vain, and tries again over the next such connection, for as
// many as there are. Other connections work.
func TestARequestLooksForItsAnswerOverAnotherConnection(t *testing.T) {
	for _, replicas := range []int{1, 2} {
		a := newStreamRig(t, replicas)
		const patience = 3 * time.Second
		for _, id := range []string{"a", "b", "c", "d"} {
			a.ask(id, true, patience)
			a.run(30 * time.Millisecond)
			a.step(route.Finished{Attempt: a.on[id].Attempt})
		}
		a.ask("page", true, patience)
		first := a.on["page"]
		for end := a.now.Add(patience); a.now.Before(end) && a.sent["page"] == 1; {
			a.run(25 * time.Millisecond)
			a.answerProbes()
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
	a := newStreamRig(t, 2)
	const patience = 3 * time.Second
	for _, id := range []string{"a", "b", "c", "d"} {
		a.announce("r0", 1)
		a.announce("r1", 1)
		a.ask(id, true, patience)
		a.run(2 * time.Second)
		a.step(route.Finished{Attempt: a.on[id].Attempt})
	}
	a.ask("page", true, patience)
	for range 100 {
		a.run(25 * time.Millisecond)
		a.answerProbes()
	}
	if a.sent["page"] != 1 {
		t.Errorf("sent %d times, refused %v", a.sent["page"], a.refused["page"])
	}
}

// A service answers nothing for two seconds, and is sound again. Requests that looked
// for their answers meanwhile must not keep its only replica out of use after that.
func TestAReplicaThatWasSilentIsUsedAgainAtOnce(t *testing.T) {
	a := newStreamRig(t, 1)
	const patience = 1500 * time.Millisecond
	for _, id := range []string{"a", "b", "c", "d"} {
		a.ask(id, true, patience)
		a.run(30 * time.Millisecond)
		a.step(route.Finished{Attempt: a.on[id].Attempt})
	}
	for n := range 2 {
		for i := range 4 {
			a.ask(fmt.Sprint("unanswered-", n, "-", i), true, patience)
		}
		for left := a.now.Add(patience); a.now.Before(left); {
			a.run(25 * time.Millisecond)
			a.answerProbes()
		}
		for i := range 4 {
			a.step(route.Abandon{ID: fmt.Sprint("unanswered-", n, "-", i)})
		}
	}
	a.ask("page", true, patience)
	a.run(25 * time.Millisecond)
	a.answerProbes()
	a.run(25 * time.Millisecond)
	if a.sent["page"] != 1 {
		t.Errorf("sent %d times, refused %v", a.sent["page"], a.refused["page"])
	}
}
