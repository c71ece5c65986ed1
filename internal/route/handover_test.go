package route_test

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// newMovableStreams starts streams that may not run twice on one of three replicas.
func newMovableStreams(t *testing.T, ids ...string) *streams {
	m := newStreamRig(t, 1)
	for _, id := range ids {
		m.arrive(route.Request{
			ID: id, Class: route.Online, Movable: true, MaxAttempts: 1, Fingerprint: upstream.FingerprintOf(id, nil),
		})
	}
	m.announce("r1", 1)
	m.announce("r2", 1)
	return m
}

// stall lets both streams run for a while, then only the other one until the first
// counts as stalled.
func (s *streams) stall(id, other string) {
	s.run(300*time.Millisecond, id, other)
	s.run(stallMin+eventGap, other)
}

// Guards against a stream that stalls for a quarter of a second after a packet between
// engine and gate was lost. The request may not run twice and cannot be sent again, but
// its run can continue elsewhere.
func TestAStalledStreamThatMayNotRunTwiceIsHandedOver(t *testing.T) {
	for _, copied := range []bool{true, false} {
		m := newMovableStreams(t, "stalled", "moving")
		m.stall("stalled", "moving")
		first := m.lastDispatch["stalled"]
		if len(m.handOvers) != 1 || m.handOvers[0].Attempt != first.Attempt || m.handOvers[0].From.Replica != "r0" || m.handOvers[0].To.Replica == "r0" {
			t.Fatalf("requested handovers: %+v", m.handOvers)
		}
		m.step(route.HandedOver{Attempt: first.Attempt, Memory: "kept", Copied: copied})
		again, want := m.lastDispatch["stalled"], m.handOvers[0].From.Replica
		if copied {
			want = m.handOvers[0].To.Replica
		}
		if m.sent["stalled"] != 2 || !again.Resume || again.Memory != "kept" || again.Target.Replica != want {
			t.Fatalf("copied %t: sent %d times, last as %+v", copied, m.sent["stalled"], again)
		}
		if m.cancelled[first.Attempt] != route.CancelStalled {
			t.Errorf("the stalled attempt was cancelled as %q", m.cancelled[first.Attempt])
		}
	}
}

// The engine stops the run, and the end of its stream reaches the gate before the
// HandedOver input. Treated as a failure, the end would break the answer.
func TestAStreamThatEndsWhileItIsHandedOverGoesOn(t *testing.T) {
	m := newMovableStreams(t, "stalled", "moving")
	m.stall("stalled", "moving")
	first := m.lastDispatch["stalled"]
	m.step(route.Failed{Attempt: first.Attempt, Cause: route.CauseBroken})
	if err := m.refused["stalled"]; err != nil {
		t.Fatalf("refused: %v", err)
	}
	m.step(route.HandedOver{Attempt: first.Attempt, Memory: "kept"})
	if again := m.lastDispatch["stalled"]; again.Memory != "kept" {
		t.Fatalf("last sent as %+v", again)
	}
}

// Under peak load the first replica that is asked to take over the run has no free
// slot, but the next one has.
func TestAStalledStreamIsOfferedToAnotherReplica(t *testing.T) {
	m := newMovableStreams(t, "stalled", "moving")
	m.stall("stalled", "moving")
	first := m.lastDispatch["stalled"]
	m.step(route.HandedOver{Attempt: first.Attempt, NoRoom: true})
	if len(m.handOvers) != 2 || m.handOvers[1].To.Replica == m.handOvers[0].To.Replica || m.handOvers[1].To.Replica == "r0" {
		t.Fatalf("requested handovers: %+v", m.handOvers)
	}
	m.step(route.HandedOver{Attempt: first.Attempt, NoRoom: true})
	if len(m.handOvers) != 2 {
		t.Errorf("further handovers were requested: %+v", m.handOvers[2:])
	}
}

func TestAStreamThatWasNotHandedOver(t *testing.T) {
	t.Run("goes on where it was", func(t *testing.T) {
		m := newMovableStreams(t, "stalled", "moving")
		m.stall("stalled", "moving")
		m.step(route.HandedOver{Attempt: m.lastDispatch["stalled"].Attempt})
		m.run(300*time.Millisecond, "stalled", "moving")
		if m.sent["stalled"] != 1 || m.refused["stalled"] != nil {
			t.Errorf("sent %d times, refused %v", m.sent["stalled"], m.refused["stalled"])
		}
	})
	t.Run("ends if it broke", func(t *testing.T) {
		m := newMovableStreams(t, "stalled", "moving")
		m.stall("stalled", "moving")
		first := m.lastDispatch["stalled"]
		m.step(route.Failed{Attempt: first.Attempt, Cause: route.CauseBroken})
		m.step(route.HandedOver{Attempt: first.Attempt})
		m.step(route.Probed{Replica: "r0", Alive: true})
		if m.refused["stalled"] == nil || m.sent["stalled"] != 1 {
			t.Errorf("sent %d times, refused %v", m.sent["stalled"], m.refused["stalled"])
		}
	})
}
