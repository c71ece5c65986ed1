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

// newStreamRig makes a rig without streams.
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

// run lets events come for the streams named, and ticks pass.
func (s *streams) run(d time.Duration, ids ...string) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(eventGap)
		for _, id := range ids {
			s.tokens[id]++
			s.step(route.Progress{Attempt: s.on[id].Attempt, Tokens: s.tokens[id], Delivered: true})
		}
		s.step(route.Tick{})
	}
}

// A reader sees a text stop for a quarter of a second in the middle of a sentence:
// a packet on the connection to the replica was lost, and TCP waits before it
// sends it again. The replica is in good order and answers others.
func TestAStalledStreamGoesOnOverAnotherConnection(t *testing.T) {
	s := newStreams(t, true, "stalled", "moving")
	s.run(300*time.Millisecond, "stalled", "moving")
	first := s.on["stalled"]
	s.run(stallMin-eventGap, "moving")
	if s.sent["stalled"] != 1 {
		t.Fatal("taken up after a pause that may be usual")
	}
	s.run(2*eventGap, "moving")
	again := s.on["stalled"]
	if s.sent["stalled"] != 2 || !again.Resume || again.Target.Replica != first.Target.Replica {
		t.Fatalf("sent %d times, last as %+v", s.sent["stalled"], again)
	}
	if again.Queued != 0 {
		t.Errorf("said to have waited %s for the second attempt", again.Queued)
	}
	if cause := s.stopped[first.Attempt]; cause != route.CancelStalled {
		t.Errorf("the stalled attempt was stopped as %q", cause)
	}
	// It stalls again: more likely the replica than the connection.
	s.run(time.Second, "moving")
	if s.sent["stalled"] != 2 {
		t.Errorf("sent %d times", s.sent["stalled"])
	}
}

func TestStreamsThatAreLeftAlone(t *testing.T) {
	t.Run("no stream of the replica moves", func(t *testing.T) {
		s := newStreams(t, true, "a", "b")
		s.run(300*time.Millisecond, "a", "b")
		s.run(500 * time.Millisecond)
		if s.sent["a"] != 1 || s.sent["b"] != 1 {
			t.Errorf("sent %d and %d times", s.sent["a"], s.sent["b"])
		}
	})
	t.Run("it cannot go on at an event", func(t *testing.T) {
		s := newStreams(t, false, "a", "b")
		s.run(300*time.Millisecond, "a", "b")
		s.run(500*time.Millisecond, "b")
		if s.sent["a"] != 1 {
			t.Errorf("sent %d times", s.sent["a"])
		}
	})
	t.Run("nothing has come yet", func(t *testing.T) {
		s := newStreams(t, true, "a", "b")
		s.run(500*time.Millisecond, "b")
		if s.sent["a"] != 1 {
			t.Errorf("sent %d times", s.sent["a"])
		}
	})
}

// An engine turns slow: its events come 100 ms apart. To take up each answer
// again would only add prompts to its work; the limit follows the pauses.
func TestASlowEngineIsNoStall(t *testing.T) {
	s := newStreams(t, true, "a", "b")
	s.run(300*time.Millisecond, "a", "b")
	for range 30 {
		for _, id := range []string{"a", "b"} {
			s.run(45*time.Millisecond, id)
		}
	}
	if taken := s.sent["a"] + s.sent["b"] - 2; taken > 2 {
		t.Errorf("%d answers were taken up", taken)
	}
	s.run(110*time.Millisecond, "b")
	if s.sent["a"] > 2 {
		t.Errorf("sent %d times", s.sent["a"])
	}
}
