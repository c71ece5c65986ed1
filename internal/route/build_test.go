package route_test

import (
	"fmt"
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// announceBuild announces a ready replica of two slots whose software has the given version.
func (r *rig) announceBuild(id, build string, incarnation uint64) {
	r.announceState(id, build, incarnation, upstream.Load{Slots: 2, Ready: true})
}

func (r *rig) announceState(id, build string, incarnation uint64, load upstream.Load) {
	r.sequence++
	r.step(route.Announced{Announcement: upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: upstream.ReplicaID(id), Incarnation: incarnation, Build: build,
		Sequence: r.sequence, Address: "10.0.0.1:80", Place: "glas-a", CanResume: true, Load: load,
	}})
}

// newBuildRig returns a rig with two replicas of build v1, a1 and a2.
func newBuildRig(t *testing.T) *streams {
	s := newStreamRig(t, 0)
	for _, id := range []string{"a1", "a2"} {
		s.announceBuild(id, "v1", 1)
	}
	s.pass(2 * time.Second)
	return s
}

// startOn starts a stream that runs on a replica of the build, and passes three events on.
func (s *streams) startOn(id, build string) {
	s.t.Helper()
	s.arrive(route.Request{ID: id, Class: route.Online, Repeatable: true, Resumable: true, MaxAttempts: 3, Fingerprint: upstream.FingerprintOf(id, nil)})
	if got := s.lastDispatch[id].Target; got == nil || got.Build != build {
		s.t.Fatalf("%s runs at %+v, want build %s", id, got, build)
	}
	s.run(60*time.Millisecond, id)
}

// breakRun ends the run of a request with its replica, which does not come back.
func (s *streams) breakRun(id string) upstream.ReplicaID {
	d := s.lastDispatch[id]
	s.step(route.Failed{Attempt: d.Attempt, Cause: route.CauseBroken})
	s.step(route.Probed{Replica: d.Target.Replica, Refused: true})
	return d.Target.Replica
}

// Guards against an answer that goes on at another build after its replica has crashed.
func TestABrokenStreamGoesOnAtItsBuild(t *testing.T) {
	for try := range 20 {
		s := newBuildRig(t)
		s.startOn("stream", "v1")
		for i := range 6 {
			s.announceBuild(fmt.Sprint("b", i), "v2", 1)
		}
		s.pass(time.Duration(try%5) * time.Second / 4)
		s.run(20*time.Millisecond, "stream")
		s.breakRun("stream")
		s.pass(100 * time.Millisecond)
		if d := s.lastDispatch["stream"]; s.sent["stream"] < 2 || d.Target.Build != "v1" {
			t.Fatalf("sent %d times, last to %s of build %s", s.sent["stream"], d.Target.Replica, d.Target.Build)
		}
	}
}

// Guards against an answer that is handed over to another build after a stall.
func TestAStalledStreamIsHandedOverWithinItsBuild(t *testing.T) {
	s := newBuildRig(t)
	for _, id := range []string{"stalled", "moving"} {
		s.arrive(route.Request{ID: id, Class: route.Online, Movable: true, MaxAttempts: 1, Prefix: 7, Fingerprint: upstream.FingerprintOf(id, nil)})
	}
	for i := range 6 {
		s.announceBuild(fmt.Sprint("b", i), "v2", 1)
	}
	s.run(300*time.Millisecond, "stalled", "moving")
	s.run(2*stallMin, "moving")
	if len(s.handOvers) == 0 {
		t.Fatal("the stalled stream was not handed over")
	}
	for _, o := range s.handOvers {
		if o.To.Build != o.From.Build {
			t.Errorf("handed over from build %s to %s", o.From.Build, o.To.Build)
		}
	}
}

// Guards against a text of a batch item that one build began and another goes on with.
func TestAPreemptedItemGoesOnAtItsBuildOrStartsAnew(t *testing.T) {
	s := newBuildRig(t)
	s.arrive(route.Request{ID: "item", Class: route.Batch, Repeatable: true, Resumable: true, Fingerprint: upstream.FingerprintOf("item", nil)})
	s.step(route.Progress{Attempt: s.lastDispatch["item"].Attempt, Tokens: 3})
	s.announceBuild("b0", "v2", 1)
	s.pass(2 * time.Second)
	s.step(route.Withdrawn{Replica: "a1", Incarnation: 1})
	s.step(route.Withdrawn{Replica: "a2", Incarnation: 1})
	s.breakRun("item")
	s.pass(1500 * time.Millisecond)
	d := s.lastDispatch["item"]
	if s.sent["item"] != 2 || d.Target.Build != "v2" || d.Resume {
		t.Fatalf("sent %d times, last to build %s, resumed %t", s.sent["item"], d.Target.Build, d.Resume)
	}
}

// take continues a stream of the build whose caller came from another gate.
func (s *streams) take(id, build string) {
	s.arrive(route.Request{
		ID: id, Class: route.Online, Repeatable: true, Resumable: true, Continues: true, Build: build, MaxAttempts: 3,
		Fingerprint: upstream.FingerprintOf(id, nil),
	})
}

func TestATakenUpStreamWaitsForItsBuild(t *testing.T) {
	t.Run("while its replicas are full", func(t *testing.T) {
		s := newBuildRig(t)
		for i := range 4 {
			s.startOn(fmt.Sprint("running-", i), "v1")
		}
		s.announceBuild("b0", "v2", 1)
		s.run(2*time.Second, "running-0", "running-1", "running-2", "running-3")
		s.take("taken", "v1")
		s.run(500*time.Millisecond, "running-0", "running-1", "running-2", "running-3")
		if s.sent["taken"] > 0 || s.refused["taken"] != nil {
			t.Fatalf("sent to %+v, refused %v", s.lastDispatch["taken"].Target, s.refused["taken"])
		}
		for _, id := range []upstream.ReplicaID{"a1", "a2"} {
			s.step(route.Probed{Replica: id, Alive: true})
		}
		if s.sent["taken"] > 0 {
			t.Fatal("sent to a full replica")
		}
		s.step(route.Finished{Attempt: s.lastDispatch["running-0"].Attempt})
		if d := s.lastDispatch["taken"]; s.sent["taken"] != 1 || d.Target.Build != "v1" {
			t.Errorf("sent %d times, last to %+v", s.sent["taken"], d.Target)
		}
	})
	t.Run("while its replicas are out of reach", func(t *testing.T) {
		s := newBuildRig(t)
		s.announceBuild("b0", "v2", 1)
		for _, id := range []string{"a1", "a2"} {
			s.announceState(id, "v1", 1, upstream.Load{Slots: 2})
		}
		s.take("taken", "v1")
		s.pass(time.Second)
		if s.sent["taken"] > 0 || s.refused["taken"] != nil {
			t.Fatalf("sent to %+v, refused %v", s.lastDispatch["taken"].Target, s.refused["taken"])
		}
		s.announceBuild("a2", "v1", 1)
		if d := s.lastDispatch["taken"]; s.sent["taken"] != 1 || d.Target.Build != "v1" {
			t.Errorf("sent %d times, last to %+v", s.sent["taken"], d.Target)
		}
	})
}

func TestAStreamWhoseBuildIsGoneIsRefusedAtOnce(t *testing.T) {
	gone := func(s *streams, id string) {
		t.Helper()
		if err := s.refused[id]; err == nil || err.Reason != route.ReasonBuildGone {
			t.Errorf("%s: refused with %v, sent %d times", id, err, s.sent[id])
		}
	}
	s := newBuildRig(t)
	s.take("never", "v9")
	gone(s, "never")
	s.startOn("running", "v1")
	s.announceBuild("b0", "v2", 1)
	for _, id := range []string{"a1", "a2"} {
		s.announceState(id, "v1", 1, upstream.Load{Slots: 2, Ready: true, Leaving: true})
	}
	s.take("late", "v1")
	gone(s, "late")
	s.breakRun("running")
	s.pass(50 * time.Millisecond)
	gone(s, "running")
}

// Guards against a stream of a build that other gates have not heard of yet.
func TestANewBuildGetsNoStreamsAtOnce(t *testing.T) {
	s := newBuildRig(t)
	for i := range 4 {
		s.announceBuild(fmt.Sprint("b", i), "v2", 1)
	}
	for i := range 8 {
		s.arrive(route.Request{ID: fmt.Sprint("stream-", i), Class: route.Online, Repeatable: true, Resumable: true, Fingerprint: upstream.FingerprintOf(fmt.Sprint(i), nil)})
	}
	for i := range 4 {
		if d := s.lastDispatch[fmt.Sprint("stream-", i)]; d.Target == nil || d.Target.Build != "v1" {
			t.Errorf("stream %d was sent to %+v", i, d.Target)
		}
	}
	s.arrive(route.Request{ID: "page", Class: route.Online, Repeatable: true, Fingerprint: upstream.FingerprintOf("page", nil)})
	if d := s.lastDispatch["page"]; d.Target == nil || d.Target.Build != "v2" {
		t.Errorf("a request that cannot be taken up was sent to %+v", d.Target)
	}
	s.pass(1600 * time.Millisecond)
	if s.sent["stream-7"] != 1 || s.lastDispatch["stream-7"].Target.Build != "v2" {
		t.Errorf("the last stream was sent %d times", s.sent["stream-7"])
	}
}

// Guards against a stream that waits for a new build while no other one serves.
func TestANewBuildServesAloneAtOnce(t *testing.T) {
	s := newBuildRig(t)
	for _, id := range []string{"a1", "a2"} {
		s.step(route.Withdrawn{Replica: upstream.ReplicaID(id), Incarnation: 1})
	}
	s.announceBuild("b0", "v2", 1)
	s.startOn("stream", "v2")
}

// Guards against a stream that moves although the process that writes it may be another one
// than the gate knew: its replica has restarted with another build.
func TestAStreamOfAnUnknownBuildDoesNotMove(t *testing.T) {
	s := newBuildRig(t)
	s.startOn("stream", "v1")
	s.announceBuild(string(s.lastDispatch["stream"].Target.Replica), "v2", 2)
	s.run(300*time.Millisecond, "stream")
	if s.sent["stream"] != 1 || s.refused["stream"] != nil {
		t.Fatalf("sent %d times, refused %v", s.sent["stream"], s.refused["stream"])
	}
	s.breakRun("stream")
	s.pass(50 * time.Millisecond)
	if err := s.refused["stream"]; err == nil || err.Reason != route.ReasonBuildGone {
		t.Errorf("sent %d times, refused %v", s.sent["stream"], err)
	}
}

// Guards against requests of one build that keep others from starting while no replica of that
// build has room.
func TestStreamsThatWaitForTheirBuildHoldUpNoOthers(t *testing.T) {
	s := newBuildRig(t)
	for i := range 4 {
		s.startOn(fmt.Sprint("running-", i), "v1")
	}
	for i := range 12 {
		s.take(fmt.Sprint("taken-", i), "v1")
	}
	for i := range 4 {
		s.announceBuild(fmt.Sprint("b", i), "v2", 1)
	}
	s.pass(2 * time.Second)
	s.arrive(route.Request{ID: "other", Class: route.Online, Repeatable: true, Resumable: true, Fingerprint: upstream.FingerprintOf("other", nil)})
	if d := s.lastDispatch["other"]; d.Target == nil || d.Target.Build != "v2" {
		t.Errorf("the other request was sent to %+v", d.Target)
	}
}

// identifyAs answers the questions for processes: they are those announced, or later ones.
func (s *streams) identifyAs(later uint64) {
	for _, asked := range s.identify {
		s.step(route.ProcessIdentified{ID: asked.ID, Attempt: asked.Attempt, Incarnation: asked.Target.Incarnation + later})
	}
	s.identify = nil
}

// newTwoBuildRig returns a rig with two replicas of build v1 and one of v2, for some time.
func newTwoBuildRig(t *testing.T) *streams {
	s := newBuildRig(t)
	s.announceBuild("b0", "v2", 1)
	s.pass(2 * time.Second)
	return s
}

// Guards against a stream that moves to the build of the announced process although its replica had
// restarted with another one, which wrote the first event.
func TestAStreamOfAProcessThatIsNotAnnouncedDoesNotMove(t *testing.T) {
	for _, moves := range []bool{true, false} {
		s := newTwoBuildRig(t)
		s.arrive(route.Request{ID: "stream", Class: route.Online, Repeatable: true, Resumable: true, MaxAttempts: 3, Fingerprint: upstream.FingerprintOf("stream", nil)})
		build := s.lastDispatch["stream"].Target.Build
		s.run(60*time.Millisecond, "stream")
		if moves && build == "v1" {
			s.identifyAs(0)
		} else {
			s.identifyAs(1)
		}
		s.breakRun("stream")
		s.pass(50 * time.Millisecond)
		if moves && build == "v1" {
			if d := s.lastDispatch["stream"]; s.sent["stream"] != 2 || d.Target.Build != "v1" {
				t.Errorf("sent %d times, last to %+v, refused %v", s.sent["stream"], d.Target, s.refused["stream"])
			}
			continue
		}
		if err := s.refused["stream"]; err == nil || err.Reason != route.ReasonBuildGone {
			t.Errorf("sent %d times, refused %v", s.sent["stream"], err)
		}
	}
}

// Guards against a text of a batch item that a process which was not announced began and another
// build goes on with, after the item was preempted.
func TestAnItemOfAProcessThatIsNotAnnouncedStartsAnew(t *testing.T) {
	s := newTwoBuildRig(t)
	s.arrive(route.Request{ID: "item", Class: route.Batch, Repeatable: true, Resumable: true, Fingerprint: upstream.FingerprintOf("item", nil)})
	s.step(route.Progress{Attempt: s.lastDispatch["item"].Attempt, Tokens: 2})
	s.breakRun("item")
	s.identifyAs(1)
	s.pass(500 * time.Millisecond)
	if d := s.lastDispatch["item"]; s.sent["item"] != 2 || d.Resume {
		t.Errorf("sent %d times, resumed %t", s.sent["item"], d.Resume)
	}
}

func TestProcessesAreNotIdentifiedWhileThereIsOneBuild(t *testing.T) {
	s := newBuildRig(t)
	s.startOn("stream", "v1")
	if len(s.identify) > 0 {
		t.Errorf("%d replicas were asked", len(s.identify))
	}
}
