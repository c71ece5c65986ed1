package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// Guards against a new process under the same ID that is avoided, or whose pace is ignored
// for 10 s, because of what the process before it told.
func TestANewProcessInheritsNeitherPaceNorDistrust(t *testing.T) {
	r := newRig(t, route.Config{}, 1)
	for i := range 12 {
		id := fmt.Sprint("q", i)
		r.arrive(route.Request{ID: id, Class: route.Online})
		attempt := r.lastDispatch[id].Attempt
		r.step(route.PaceObserved{Attempt: attempt, Percent: 300})
		r.now = r.now.Add(50 * time.Millisecond)
		r.step(route.Finished{Attempt: attempt})
	}
	if !r.shard.Replicas()[0].Distrusted {
		t.Fatal("the pace is not distrusted: the test exercises nothing")
	}
	r.announce("r0", 2)
	if view := r.shard.Replicas()[0]; view.Distrusted || view.Pace != (upstream.Pace{}) {
		t.Errorf("the new process has pace %+v, distrusted: %t", view.Pace, view.Distrusted)
	}
	r.arrive(route.Request{ID: "a", Class: route.Online})
	r.now = r.now.Add(time.Millisecond)
	r.step(route.PaceObserved{Attempt: r.lastDispatch["a"].Attempt, Percent: 250})
	if pace := r.shard.Load("r0").Pace; pace != 2.5 {
		t.Errorf("the pace of the new process counts as %g, 2.5 wanted", pace)
	}
	r.announce("r0", 3)
	if pace := r.shard.Load("r0").Pace; pace != 1 {
		t.Errorf("the pace of the process before counts as %g", pace)
	}
}

// Guards against a pace that never expires because a gate and an owner return it to each
// other: the time that each message takes makes the same observation younger.
func TestAPaceThatIsPassedOnExpires(t *testing.T) {
	const latency = 15 * time.Millisecond // one way between the gates
	now := time.Unix(1_000_000, 0)
	newShard := func(id string) *route.Shard {
		s := route.NewShard(route.Config{Self: id, Place: simPlace}, rand.New(rand.NewPCG(1, 2)))
		s.Step(now, route.Announced{Announcement: upstream.Announcement{
			Service: "wordroom", Kind: upstream.KindEngine, Replica: "r0", Incarnation: 1, Sequence: 1,
			Address: "10.0.0.1:80", Place: simPlace, Load: upstream.Load{Slots: simSlots, Ready: true},
		}})
		s.Step(now, route.GatesChanged{Gates: []route.Gate{{ID: "owner", Place: simPlace}}})
		return s
	}
	gate, owner := newShard("gate-1"), newShard("owner")
	var messages []message
	step := func(in route.Input) (attempt route.AttemptID) {
		for _, o := range gate.Step(now, in) {
			switch o := o.(type) {
			case route.Dispatch:
				attempt = o.Attempt
			case route.ReportLoad:
				messages = append(messages, message{at: now.Add(latency), deliver: func() {
					owner.Step(now, route.LoadReported{Gate: "gate-1", Replica: o.Replica, Online: o.Online, Pace: o.Pace})
					load := owner.OwnerLoad(o.Replica)
					messages = append(messages, message{at: now.Add(latency), deliver: func() {
						gate.Step(now, route.OwnerReported{Load: load, Acknowledges: o.ReportNumber, ReportedOnline: o.Online})
					}})
				}})
			}
		}
		return attempt
	}
	told := now
	var running route.AttemptID
	for i := 0; now.Before(told.Add(2 * time.Second)); i++ {
		now = now.Add(5 * time.Millisecond)
		for len(messages) > 0 && !messages[0].at.After(now) {
			next := messages[0]
			messages = messages[1:]
			next.deliver()
		}
		switch i % 8 {
		case 0:
			running = step(route.Arrive{Request: route.Request{ID: fmt.Sprint("q", i), Class: route.Online, Deadline: now.Add(time.Minute)}})
			if i == 0 {
				step(route.PaceObserved{Attempt: running, Percent: 250})
			}
		case 4:
			step(route.Finished{Attempt: running})
		}
		if i == 20 && owner.Load("r0").Pace < 2 {
			t.Fatalf("the owner does not know the pace: %g", owner.Load("r0").Pace)
		}
	}
	if pace := gate.Load("r0").Pace; pace != 1 {
		t.Errorf("at the gate, a pace told 2 s ago counts as %g", pace)
	}
	if pace := owner.Load("r0").Pace; pace != 1 {
		t.Errorf("at the owner, a pace told 2 s ago counts as %g", pace)
	}
}

// Guards against a request that asks for a slot on the same slow replica again and again
// because there is no other one.
func TestASlotOnASlowReplicaIsKeptIfThereIsNoBetterOne(t *testing.T) {
	for _, others := range []int{0, 1} {
		r := newRig(t, route.Config{ReservationWait: 40 * time.Millisecond}, 1+others)
		r.step(route.GatesChanged{Gates: []route.Gate{{ID: "owner", Place: "glas-a"}}})
		report := func(id, online int) upstream.OwnerLoad {
			return upstream.OwnerLoad{Replica: upstream.ReplicaID(fmt.Sprint("r", id)), Online: online, Pace: upstream.Pace{Percent: 250}}
		}
		for id := range 1 + others {
			r.announceSlots(fmt.Sprint("r", id), 8)
			r.step(route.OwnerReported{Load: report(id, 6)})
		}
		r.now = r.now.Add(150 * time.Millisecond) // the reports are too old to do without a reservation
		r.arrive(route.Request{ID: "a", Class: route.Online})
		for id := range 1 + others {
			r.step(route.OwnerReported{Load: report(id, 7), Acknowledges: 1, ReportedOnline: 1})
		}
		if r.sent["a"] != 1 {
			t.Errorf("with %d other slow replicas, the request was not sent after the acknowledgement", others)
		}
	}
}

// announceSlots announces a replica with another number of slots than the usual two.
func (r *rig) announceSlots(id string, slots int) {
	r.sequence++
	r.step(route.Announced{Announcement: upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: upstream.ReplicaID(id), Incarnation: 1,
		Sequence: r.sequence, Address: "10.0.0.1:80", Place: "glas-a", CanResume: true,
		Load: upstream.Load{Slots: slots, Ready: true},
	}})
}

// Guards against batch items that start on a slow replica while another one has a free slot,
// also under a policy that fills the replicas with the fewest free slots first.
func TestBatchItemsStartLastOnSlowReplicas(t *testing.T) {
	for _, pack := range []bool{false, true} {
		for _, free := range []int{1, 2} {
			r := newRig(t, route.Config{}, 2)
			for id := range 2 {
				r.step(route.LoadReported{Gate: "gate-2", Replica: upstream.ReplicaID(fmt.Sprint("r", id)), Online: 2 - free})
			}
			r.step(route.LoadReported{Gate: "gate-2", Replica: "r0", Online: 2 - free, Pace: upstream.Pace{Percent: 250}})
			for i := range 2 * free {
				id := fmt.Sprint("item", i)
				r.arrive(route.Request{ID: id, Class: route.Batch, Repeatable: true, Policy: route.Policy{Pack: pack}, Fingerprint: upstream.FingerprintOf(id, nil)})
				if r.sent[id] == 0 {
					t.Fatalf("pack %t, %d free: item %d was not sent", pack, free, i)
				}
				if slow := r.lastDispatch[id].Target.Replica == "r0"; slow != (i >= free) {
					t.Errorf("pack %t, %d free slots on each: item %d went to the slow replica: %t", pack, free, i, slow)
				}
			}
		}
	}
}

// Guards against a replica that is distrusted because it continues streams: the numbers of
// their events start where the attempt before ended.
func TestContinuedStreamsShowThePace(t *testing.T) {
	r := newRig(t, route.Config{}, 1)
	for i := range 24 {
		id := fmt.Sprint("q", i)
		r.arrive(route.Request{ID: id, Class: route.Online, Fingerprint: upstream.FingerprintOf(id, nil)})
		attempt := r.lastDispatch[id].Attempt
		r.step(route.PaceObserved{Attempt: attempt, Percent: 100})
		first := 1
		if i >= 8 {
			first = 200
		}
		for token := range 5 {
			r.now = r.now.Add(100 * time.Millisecond)
			r.step(route.Progress{Attempt: attempt, Tokens: first + token, Delivered: true})
		}
		r.step(route.Finished{Attempt: attempt})
		if r.shard.Replicas()[0].Distrusted {
			t.Fatalf("the replica is distrusted after %d streams at the usual pace", i+1)
		}
	}
}

// Guards against a request that keeps its slot on a slow replica although another one would
// start it sooner.
func TestASlotOnASlowReplicaIsGivenUpForABetterOne(t *testing.T) {
	r := newRig(t, route.Config{ReservationWait: 40 * time.Millisecond}, 2)
	r.step(route.GatesChanged{Gates: []route.Gate{{ID: "owner", Place: "glas-a"}}})
	report := func(id upstream.ReplicaID, online, percent int) upstream.OwnerLoad {
		return upstream.OwnerLoad{Replica: id, Online: online, Pace: upstream.Pace{Percent: percent}}
	}
	for id, online := range map[upstream.ReplicaID]int{"r0": 5, "r1": 6} {
		r.announceSlots(string(id), 8)
		r.step(route.OwnerReported{Load: report(id, online, 0)})
	}
	r.now = r.now.Add(150 * time.Millisecond) // the reports are too old to do without a reservation
	r.arrive(route.Request{ID: "a", Class: route.Online})
	r.step(route.OwnerReported{Load: report("r1", 6, 100)})
	if online := r.shard.Load("r0").Online; online != 1 {
		t.Fatalf("%d slots are reserved on r0: the test exercises nothing", online)
	}
	r.step(route.OwnerReported{Load: report("r0", 6, 250), Acknowledges: 1, ReportedOnline: 1})
	r.step(route.OwnerReported{Load: report("r1", 7, 100), Acknowledges: 1, ReportedOnline: 1})
	if target := r.lastDispatch["a"].Target; target == nil || target.Replica != "r1" {
		t.Errorf("the request went to %+v, r1 wanted", target)
	}
}
