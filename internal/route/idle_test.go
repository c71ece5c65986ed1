package route_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// startRequest sends a request with the given time until its deadline.
func (s *streams) startRequest(id string, repeatable bool, timeout time.Duration) {
	s.arrive(route.Request{
		ID: id, Class: route.Online, Resumable: repeatable, Repeatable: repeatable, MaxAttempts: 2,
		Deadline: s.now.Add(timeout), Fingerprint: upstream.FingerprintOf(id, nil),
	})
}

// answerProbes answers all open probes: the replicas are alive.
func (s *streams) answerProbes() {
	probed := s.probed
	s.probed = nil
	for _, id := range probed {
		s.step(route.Probed{Replica: id, Alive: true})
	}
}

// Guards against streams that stall until their callers leave after two seconds because
// their replica lost power: no error arrives, and the token timeout is longer.
func TestStreamsLeaveAReplicaThatWentDark(t *testing.T) {
	a := newStreamRig(t, 1)
	a.startRequest("letter", true, 5*time.Second)
	a.startRequest("query", false, 5*time.Second)
	a.announce("r1", 1)
	a.run(400*time.Millisecond, "letter", "query")
	stopped := a.now
	for len(a.probed) == 0 && a.now.Sub(stopped) < time.Second {
		a.run(eventGap)
	}
	if len(a.probed) != 1 || a.probed[0] != "r0" {
		t.Fatalf("probed %v", a.probed)
	}
	a.now = a.now.Add(100 * time.Millisecond) // the time of a connection attempt
	a.step(route.Probed{Replica: "r0"})
	if took := a.now.Sub(stopped); took > 250*time.Millisecond {
		t.Errorf("the letter resumed after %s", took)
	}
	again := a.lastDispatch["letter"]
	if a.sent["letter"] != 2 || again.Target.Replica != "r1" || !again.Resume {
		t.Errorf("the letter was sent %d times, last as %+v", a.sent["letter"], again)
	}
	if a.sent["query"] != 1 || a.refused["query"] != nil {
		t.Errorf("the query may not run again, and was sent %d times, refused %v", a.sent["query"], a.refused["query"])
	}
}

func TestReplicasThatAreNotProbed(t *testing.T) {
	t.Run("one of its streams makes progress", func(t *testing.T) {
		a := newStreamRig(t, 1)
		a.startRequest("x", false, 5*time.Second)
		a.startRequest("y", false, 5*time.Second)
		a.run(300*time.Millisecond, "x", "y")
		a.run(time.Second, "y")
		if len(a.probed) > 0 {
			t.Errorf("probed %v", a.probed)
		}
	})
	t.Run("it is alive and has just been probed", func(t *testing.T) {
		a := newStreamRig(t, 1)
		a.startRequest("x", false, 5*time.Second)
		a.startRequest("y", false, 5*time.Second)
		a.run(300*time.Millisecond, "x", "y")
		a.run(200 * time.Millisecond)
		a.step(route.Probed{Replica: "r0", Alive: true})
		a.run(500 * time.Millisecond)
		if len(a.probed) != 1 {
			t.Errorf("probed %d times", len(a.probed))
		}
	})
}

// A device between gate and replica has lost the state of the pooled connections.
// Guards against requests that wait for their callers' whole time, one pooled
// connection after the other, although new connections work.
func TestARequestLooksForItsAnswerOverAnotherConnection(t *testing.T) {
	for _, replicas := range []int{1, 2} {
		a := newStreamRig(t, replicas)
		const timeout = 3 * time.Second
		for _, id := range []string{"a", "b", "c", "d"} {
			a.startRequest(id, true, timeout)
			a.run(30 * time.Millisecond)
			a.step(route.Finished{Attempt: a.lastDispatch[id].Attempt})
		}
		a.startRequest("page", true, timeout)
		first := a.lastDispatch["page"]
		for end := a.now.Add(timeout); a.now.Before(end) && a.sent["page"] == 1; {
			a.run(25 * time.Millisecond)
			a.answerProbes()
		}
		if a.sent["page"] != 2 {
			t.Fatalf("%d replicas: not retried before its caller's deadline", replicas)
		}
		if !slices.Contains(a.resets, first.Target.Replica) {
			t.Errorf("%d replicas: the connection pool of %s was not closed", replicas, first.Target.Replica)
		}
		a.step(route.Finished{Attempt: a.lastDispatch["page"].Attempt})
		if a.refused["page"] != nil {
			t.Errorf("%d replicas: refused %v", replicas, a.refused["page"])
		}
	}
}

// Answers take nearly as long as callers wait. Another attempt would have no time left
// and would only double the work.
func TestSlowServiceIsNotRetried(t *testing.T) {
	a := newStreamRig(t, 2)
	const timeout = 3 * time.Second
	for _, id := range []string{"a", "b", "c", "d"} {
		a.announce("r0", 1)
		a.announce("r1", 1)
		a.startRequest(id, true, timeout)
		a.run(2 * time.Second)
		a.step(route.Finished{Attempt: a.lastDispatch[id].Attempt})
	}
	a.startRequest("page", true, timeout)
	for range 100 {
		a.run(25 * time.Millisecond)
		a.answerProbes()
	}
	if a.sent["page"] != 1 {
		t.Errorf("sent %d times, refused %v", a.sent["page"], a.refused["page"])
	}
}

// A service does not answer for two seconds, then recovers. Requests that were retried
// over other connections meanwhile must not keep its only replica out of use
// afterwards.
func TestAReplicaThatWasSilentIsUsedAgainAtOnce(t *testing.T) {
	a := newStreamRig(t, 1)
	const timeout = 1500 * time.Millisecond
	for _, id := range []string{"a", "b", "c", "d"} {
		a.startRequest(id, true, timeout)
		a.run(30 * time.Millisecond)
		a.step(route.Finished{Attempt: a.lastDispatch[id].Attempt})
	}
	for n := range 2 {
		for i := range 4 {
			a.startRequest(fmt.Sprint("unanswered-", n, "-", i), true, timeout)
		}
		for left := a.now.Add(timeout); a.now.Before(left); {
			a.run(25 * time.Millisecond)
			a.answerProbes()
		}
		for i := range 4 {
			a.step(route.Abandon{ID: fmt.Sprint("unanswered-", n, "-", i)})
		}
	}
	a.startRequest("page", true, timeout)
	a.run(25 * time.Millisecond)
	a.answerProbes()
	a.run(25 * time.Millisecond)
	if a.sent["page"] != 1 {
		t.Errorf("sent %d times, refused %v", a.sent["page"], a.refused["page"])
	}
}
