package route_test

import (
	"fmt"
	"testing"
	"time"

	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

const reservedWait = 200 * time.Millisecond

// newReservingRig returns a rig whose gate waits for the owners of replicas, which do not answer.
func newReservingRig(t *testing.T) *streams {
	s := &streams{rig: newRig(t, route.Config{HedgeMin: -1, ProbeAfter: time.Hour, ReservationWait: reservedWait}, 0), tokens: map[string]int{}}
	var gates []route.Gate
	for i := range 20 {
		gates = append(gates, route.Gate{ID: fmt.Sprint("gate-", i+1), Place: "glas-a"})
	}
	s.step(route.GatesChanged{Gates: gates})
	return s
}

// Guards against a stream that goes on at another build, with which the replica restarted while the
// gate waited for a slot there.
func TestAReservedSlotIsGivenUpWhenTheBuildChanges(t *testing.T) {
	s := newReservingRig(t)
	s.announceBuild("a0", "v1", 1)
	s.announceBuild("b0", "v2", 1)
	s.announceBuild("b1", "v2", 1)
	s.pass(2 * time.Second)
	s.step(route.Arrive{Request: route.Request{
		ID: "stream", Class: route.Online, Repeatable: true, Resumable: true, MaxAttempts: 5, Continues: true, Build: "v2",
		Fingerprint: upstream.FingerprintOf("stream", nil), Deadline: s.now.Add(time.Minute),
	}})
	if s.sent["stream"] != 0 {
		t.Fatal("the gate did not wait for the owner")
	}
	s.announceBuild("b0", "v1", 2)
	s.announceBuild("b1", "v1", 2)
	s.pass(2 * reservedWait)
	if d, sent := s.lastDispatch["stream"]; sent {
		t.Errorf("goes on at build %s", d.Target.Build)
	}
	if err := s.refused["stream"]; err == nil || err.Reason != route.ReasonBuildGone {
		t.Errorf("refused with %v", err)
	}
}

// Guards against several replicas that crash at once of requests which had reserved slots on them
// before the part that they share became a strong suspect.
func TestReservedSlotsAreGivenUpForAStrongSuspect(t *testing.T) {
	s := newReservingRig(t)
	for i := range 5 {
		s.announce(fmt.Sprint("r", i), 1)
	}
	s.pass(2 * time.Second)
	part := crash.NewPart("bad0")
	for i := range 5 {
		id := fmt.Sprint("harmful", i)
		s.arrive(route.Request{ID: id, Class: route.Online, Repeatable: true, MaxAttempts: 5, Fingerprint: upstream.FingerprintOf(id, nil), Parts: []crash.Part{part}})
	}
	s.step(route.PartsReported{Records: []crash.Record{{Part: part, FlowAge: -1, Deaths: []crash.Death{
		{Process: crash.Process{Replica: "x", Incarnation: 1}, Age: 2 * time.Second}, {Process: crash.Process{Replica: "y", Incarnation: 1}, Age: time.Second},
	}}}})
	s.pass(2 * reservedWait)
	if sent := len(s.lastDispatch); sent != 1 {
		t.Errorf("%d requests were sent at once", sent)
	}
}
