package route_test

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

const (
	stallMin = 70 * time.Millisecond
	eventGap = 18 * time.Millisecond
)

// streams is a rig whose requests stream events.
type streams struct {
	*rig
	tokens map[string]int
}

// newStreamRig returns a rig without streams.
func newStreamRig(t *testing.T, replicas int) *streams {
	config := route.Config{HedgeMin: -1, ProbeAfter: time.Hour, StallMin: stallMin}
	return &streams{rig: newRig(t, config, replicas), tokens: map[string]int{}}
}

// newStreams starts one stream for each ID, all on the one replica.
func newStreams(t *testing.T, resumable bool, ids ...string) *streams {
	s := newStreamRig(t, 1)
	for _, id := range ids {
		s.arrive(route.Request{
			ID: id, Class: route.Online, Resumable: resumable, MaxAttempts: 1, Fingerprint: upstream.FingerprintOf(id, nil),
		})
		if s.sent[id] != 1 {
			t.Fatalf("%s was not sent", id)
		}
	}
	return s
}

// run advances time, with events for the given streams and ticks.
func (s *streams) run(d time.Duration, ids ...string) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(eventGap)
		for _, id := range ids {
			s.tokens[id]++
			s.step(route.Progress{Attempt: s.lastDispatch[id].Attempt, Tokens: s.tokens[id], Delivered: true})
		}
		s.step(route.Tick{})
	}
}

// Guards against a stream that stalls for a quarter of a second: a packet on the
// connection to the replica was lost, and TCP waits before it retransmits. The replica
// works and answers others.
func TestStalledStreamResumesOverAnotherConnection(t *testing.T) {
	s := newStreams(t, true, "stalled", "moving")
	s.run(300*time.Millisecond, "stalled", "moving")
	first := s.lastDispatch["stalled"]
	s.run(stallMin-eventGap, "moving")
	if s.sent["stalled"] != 1 {
		t.Fatal("resumed after a pause that may be normal")
	}
	s.run(2*eventGap, "moving")
	again := s.lastDispatch["stalled"]
	if s.sent["stalled"] != 2 || !again.Resume || again.Target.Replica != first.Target.Replica {
		t.Fatalf("sent %d times, last as %+v", s.sent["stalled"], again)
	}
	if again.Queued != 0 {
		t.Errorf("the second attempt reports a queue wait of %s", again.Queued)
	}
	if cause := s.cancelled[first.Attempt]; cause != route.CancelStalled {
		t.Errorf("the stalled attempt was cancelled as %q", cause)
	}
	// A second stall is more likely caused by the replica than by the connection.
	s.run(time.Second, "moving")
	if s.sent["stalled"] != 2 {
		t.Errorf("sent %d times", s.sent["stalled"])
	}
}

func TestStreamsThatAreNotResumed(t *testing.T) {
	t.Run("no stream of the replica makes progress", func(t *testing.T) {
		s := newStreams(t, true, "a", "b")
		s.run(300*time.Millisecond, "a", "b")
		s.run(500 * time.Millisecond)
		if s.sent["a"] != 1 || s.sent["b"] != 1 {
			t.Errorf("sent %d and %d times", s.sent["a"], s.sent["b"])
		}
	})
	t.Run("it cannot resume at an event", func(t *testing.T) {
		s := newStreams(t, false, "a", "b")
		s.run(300*time.Millisecond, "a", "b")
		s.run(500*time.Millisecond, "b")
		if s.sent["a"] != 1 {
			t.Errorf("sent %d times", s.sent["a"])
		}
	})
	t.Run("no event has arrived yet", func(t *testing.T) {
		s := newStreams(t, true, "a", "b")
		s.run(500*time.Millisecond, "b")
		if s.sent["a"] != 1 {
			t.Errorf("sent %d times", s.sent["a"])
		}
	})
}

// An engine becomes slow: its events arrive 100 ms apart. Resuming each answer would
// only add prompts to its work, so the limit must follow the pauses.
func TestSlowEngineIsNotAStall(t *testing.T) {
	s := newStreams(t, true, "a", "b")
	s.run(300*time.Millisecond, "a", "b")
	for range 30 {
		for _, id := range []string{"a", "b"} {
			s.run(45*time.Millisecond, id)
		}
	}
	if resumed := s.sent["a"] + s.sent["b"] - 2; resumed > 2 {
		t.Errorf("%d answers were resumed", resumed)
	}
	s.run(110*time.Millisecond, "b")
	if s.sent["a"] > 2 {
		t.Errorf("sent %d times", s.sent["a"])
	}
}
