package route_test

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// newMovables starts streams that may not run twice on one of three replicas.
func newMovables(t *testing.T, ids ...string) *streams {
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

// stall lets a stream go on for a while, then stand still for as long as it takes to
// be handed over, while the other one moves.
func (s *streams) stall(id, other string) {
	s.run(300*time.Millisecond, id, other)
	s.run(stallMin+eventGap, other)
}

// A parent reads the answer to a question on the trip, and it stands still for a
// quarter of a second: a packet between engine and gate was lost. The question may
// not run twice, so that it cannot be sent once more; its run can go on elsewhere.
func TestAStalledStreamThatMayNotRunTwiceIsHandedOver(t *testing.T) {
	for _, copied := range []bool{true, false} {
		m := newMovables(t, "stalled", "moving")
		m.stall("stalled", "moving")
		first := m.on["stalled"]
		if len(m.handed) != 1 || m.handed[0].Attempt != first.Attempt || m.handed[0].From.Replica != "r0" || m.handed[0].To.Replica == "r0" {
			t.Fatalf("asked %+v", m.handed)
		}
		m.step(route.HandedOver{Attempt: first.Attempt, Memory: "kept", Copied: copied})
		again, want := m.on["stalled"], m.handed[0].From.Replica
		if copied {
			want = m.handed[0].To.Replica
		}
		if m.sent["stalled"] != 2 || !again.Resume || again.Memory != "kept" || again.Target.Replica != want {
			t.Fatalf("copied %t: sent %d times, last as %+v", copied, m.sent["stalled"], again)
		}
		if m.stopped[first.Attempt] != route.CancelStalled {
			t.Errorf("the stalled attempt was stopped as %q", m.stopped[first.Attempt])
		}
	}
}

// The engine stops the run, and the end of its stream reaches the gate before the
// answer that names the memory. Taken for a failure, the end would break the answer.
func TestAStreamThatEndsWhileItIsHandedOverGoesOn(t *testing.T) {
	m := newMovables(t, "stalled", "moving")
	m.stall("stalled", "moving")
	first := m.on["stalled"]
	m.step(route.Failed{Attempt: first.Attempt, Cause: route.CauseBroken})
	if err := m.refused["stalled"]; err != nil {
		t.Fatalf("refused: %v", err)
	}
	m.step(route.HandedOver{Attempt: first.Attempt, Memory: "kept"})
	if again := m.on["stalled"]; again.Memory != "kept" {
		t.Fatalf("last sent as %+v", again)
	}
}

// At the busiest moment the first replica that is asked to take the run over has no
// slot left, and the next one has.
func TestAStalledStreamIsOfferedToAnotherReplica(t *testing.T) {
	m := newMovables(t, "stalled", "moving")
	m.stall("stalled", "moving")
	first := m.on["stalled"]
	m.step(route.HandedOver{Attempt: first.Attempt, NoRoom: true})
	if len(m.handed) != 2 || m.handed[1].To.Replica == m.handed[0].To.Replica || m.handed[1].To.Replica == "r0" {
		t.Fatalf("asked %+v", m.handed)
	}
	m.step(route.HandedOver{Attempt: first.Attempt, NoRoom: true})
	if len(m.handed) != 2 {
		t.Errorf("asked once more: %+v", m.handed[2:])
	}
}

func TestAStreamThatWasNotHandedOver(t *testing.T) {
	t.Run("goes on where it was", func(t *testing.T) {
		m := newMovables(t, "stalled", "moving")
		m.stall("stalled", "moving")
		m.step(route.HandedOver{Attempt: m.on["stalled"].Attempt})
		m.run(300*time.Millisecond, "stalled", "moving")
		if m.sent["stalled"] != 1 || m.refused["stalled"] != nil {
			t.Errorf("sent %d times, refused %v", m.sent["stalled"], m.refused["stalled"])
		}
	})
	t.Run("ends if it broke", func(t *testing.T) {
		m := newMovables(t, "stalled", "moving")
		m.stall("stalled", "moving")
		first := m.on["stalled"]
		m.step(route.Failed{Attempt: first.Attempt, Cause: route.CauseBroken})
		m.step(route.HandedOver{Attempt: first.Attempt})
		m.step(route.Probed{Replica: "r0", Alive: true})
		if m.refused["stalled"] == nil || m.sent["stalled"] != 1 {
			t.Errorf("sent %d times, refused %v", m.sent["stalled"], m.refused["stalled"])
		}
	})
}
