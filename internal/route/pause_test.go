package route_test

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// Guards against a stream that is resumed over another connection because its caller
// does not read: the replica would run it twice.
func TestPausedStreamIsNotStalled(t *testing.T) {
	s := newStreams(t, true, "slow", "moving")
	s.run(300*time.Millisecond, "slow", "moving")
	attempt := s.lastDispatch["slow"].Attempt
	s.step(route.Paused{Attempt: attempt, Paused: true})
	s.run(500*time.Millisecond, "moving")
	if s.sent["slow"] != 1 {
		t.Fatalf("sent %d times while the gate did not read", s.sent["slow"])
	}
	s.step(route.Paused{Attempt: attempt})
	s.run(stallMin-eventGap, "moving")
	if s.sent["slow"] != 1 {
		t.Error("resumed right after the pause")
	}
	s.run(2*eventGap, "moving")
	if s.sent["slow"] != 2 {
		t.Error("not resumed although the replica sent nothing after the pause")
	}
}

// Guards against a replica that is probed or given up because callers do not read its
// streams.
func TestPausedStreamsAreNotSilent(t *testing.T) {
	for _, paused := range []bool{true, false} {
		config := route.Config{HedgeMin: -1, ProbeAfter: 100 * time.Millisecond, StallMin: stallMin, TokenTimeout: 400 * time.Millisecond}
		s := &streams{rig: newRig(t, config, 1), tokens: map[string]int{}}
		for _, id := range []string{"a", "b"} {
			s.arrive(route.Request{ID: id, Class: route.Online, MaxAttempts: 1, Fingerprint: upstream.FingerprintOf(id, nil)})
		}
		s.run(300*time.Millisecond, "a", "b")
		if paused {
			for _, id := range []string{"a", "b"} {
				s.step(route.Paused{Attempt: s.lastDispatch[id].Attempt, Paused: true})
			}
		}
		s.run(time.Second)
		cause, ended := s.cancelled[s.lastDispatch["a"].Attempt]
		if ended == paused {
			t.Errorf("paused: %t; ended: %t, as %q", paused, ended, cause)
		}
	}
}

// Guards against a stall threshold that falls by the events that arrive together after a
// pause, so that the streams of a slow engine are resumed.
func TestPausesDoNotCountAsGaps(t *testing.T) {
	s := newStreams(t, true, "slow", "other")
	// each has an event every so many steps
	each := func(steps, events int, ids ...string) {
		for range events {
			s.run(time.Duration(steps-1) * eventGap)
			s.run(eventGap, ids...)
		}
	}
	for _, steps := range []int{2, 3, 4, 5, 6} {
		each(steps, 8, "slow", "other")
	}
	attempt := s.lastDispatch["slow"].Attempt
	s.step(route.Paused{Attempt: attempt, Paused: true})
	each(6, 2, "other")
	s.step(route.Paused{Attempt: attempt})
	for range 20 {
		s.tokens["slow"]++
		s.step(route.Progress{Attempt: attempt, Tokens: s.tokens["slow"], Delivered: true})
	}
	s.run(5*eventGap, "slow")
	if s.sent["slow"] != 1 || s.sent["other"] != 1 {
		t.Errorf("sent %d and %d times", s.sent["slow"], s.sent["other"])
	}
}
