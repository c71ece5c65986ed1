package route_test

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// A waiting request whose replica may be used again because time has passed must not wait
// for an announcement with news: the next tick starts it.
func TestUnchangedAnnouncementLeavesTheStartToTheNextTick(t *testing.T) {
	r := newRig(t, route.Config{}, 1)
	r.arrive(route.Request{ID: "q", Class: route.Online, Repeatable: true})
	r.step(route.Failed{Attempt: r.lastDispatch["q"].Attempt, Cause: route.CauseDeclined})
	r.step(route.Arrive{Request: route.Request{ID: "waits", Class: route.Online, Deadline: r.now.Add(time.Minute)}})
	if r.sent["waits"] != 0 {
		t.Fatal("a request was sent to a replica that has just declined one")
	}
	r.now = r.now.Add(60 * time.Millisecond)
	r.announce("r0", 1)
	if r.sent["waits"] != 0 {
		t.Error("an announcement without news started a waiting request")
	}
	r.step(route.Tick{})
	if r.sent["waits"] != 1 {
		t.Error("the tick did not start the waiting request")
	}
}

// An announcement that only repeats the load must still return a replica to use whose
// state has changed for another reason, and count requests that no gate reports any more.
func TestAnnouncementWithTheSameLoadAndUnreportedRequests(t *testing.T) {
	r := newRig(t, route.Config{}, 0)
	r.announceRunning("r0", 1)
	r.step(route.LoadReported{Gate: "gate-2", Replica: "r0", Online: 1})
	r.step(route.LoadReported{Gate: "gate-2", Replica: "r0", Online: 0})
	r.now = r.now.Add(5 * time.Second)
	r.announceRunning("r0", 1) // still runs a request, which no gate reports
	if load := r.shard.OwnerLoad("r0"); load.Online != 1 {
		t.Errorf("the owner counts %d requests, want the 1 that the replica announces", load.Online)
	}
}

func (r *rig) announceRunning(id upstream.ReplicaID, running int) {
	r.sequence++
	a := siteAnnouncement(0, r.sequence)
	a.Replica, a.Place, a.Running = id, "glas-a", running
	r.step(route.Announced{Announcement: a})
}
