package route_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// A simulated stream holds its slot for shortAnswer to longAnswer, like streams of 26
// to 44 events at intervals of 18 ms.
const (
	shortAnswer = 470 * time.Millisecond
	longAnswer  = 790 * time.Millisecond
)

// callerSim simulates callers of one shard with replicas of two slots each.
type callerSim struct {
	*rig
	random  *rand.Rand
	ends    map[string]time.Time
	started map[string]time.Duration // from arrival to the first dispatch
	arrived map[string]time.Time
}

func newCallerSim(t *testing.T, replicas int) *callerSim {
	return &callerSim{
		rig:    newRig(t, route.Config{HedgeMin: -1, ProbeAfter: time.Hour}, replicas),
		random: rand.New(rand.NewPCG(3, 4)),
		ends:   map[string]time.Time{}, started: map[string]time.Duration{}, arrived: map[string]time.Time{},
	}
}

func (l *callerSim) arrive(id string, target, timeout time.Duration) {
	l.arrived[id] = l.now
	l.step(route.Arrive{Request: route.Request{
		ID: id, Team: "t", Class: route.Online, Repeatable: true, Fingerprint: upstream.FingerprintOf(id, nil),
		Deadline: l.now.Add(timeout), UsefulUntil: l.now.Add(target),
	}})
}

// pass advances time in steps of 10 ms.
func (l *callerSim) pass(d time.Duration) {
	for until := l.now.Add(d); l.now.Before(until); {
		l.now = l.now.Add(10 * time.Millisecond)
		for _, id := range slices.Sorted(maps.Keys(l.lastDispatch)) {
			dispatch := l.lastDispatch[id]
			if _, known := l.started[id]; !known {
				l.started[id] = l.now.Sub(l.arrived[id])
				l.ends[id] = l.now.Add(shortAnswer + time.Duration(l.random.Int64N(int64(longAnswer-shortAnswer))))
				l.step(route.Progress{Attempt: dispatch.Attempt, Tokens: 1})
			}
			if end, running := l.ends[id]; running && !l.now.Before(end) {
				delete(l.ends, id)
				l.step(route.Finished{Attempt: dispatch.Attempt})
			}
		}
		l.step(route.Tick{})
	}
}

// countServed counts the callers who arrived in time and were served within the target, and
// the overdue ones who were served at all, by the prefix of their IDs.
func (l *callerSim) countServed(target time.Duration) (inTime, overdue int) {
	for id, wait := range l.started {
		switch {
		case strings.HasPrefix(id, "late"):
			overdue++
		case wait <= target:
			inTime++
		}
	}
	return inTime, overdue
}

// Guards against a queue ordered by deadline alone: after an outage of a second the
// waiting callers return together, already overdue, and take all slots; new callers
// would then miss their targets until all overdue ones are served.
func TestCallersInTimeDoNotWaitBehindOverdueOnes(t *testing.T) {
	const target, timeout = 300 * time.Millisecond, 4 * time.Second
	l := newCallerSim(t, 10) // 20 slots, 33 answers per second
	for i := range 60 {
		l.arrive(fmt.Sprint("late-", i), -time.Second, timeout)
	}
	l.pass(shortAnswer) // callers who arrive while all slots have just been taken wait in any case
	for i := range 40 {
		id := fmt.Sprint("fresh-", i)
		l.arrive(id, target, timeout)
		l.pass(50 * time.Millisecond) // 20 per second
	}
	l.pass(3 * time.Second)
	inTime, overdue := l.countServed(target)
	if inTime < 38 {
		t.Errorf("%d of 40 callers who arrived in time were served in time", inTime)
	}
	if overdue != 60 {
		t.Errorf("%d of 60 overdue callers were served before their deadline", overdue)
	}
}

// Under sustained overload, overdue requests must still get a share of the starts, and
// those that will not start in time must be refused well before their deadline.
func TestOverdueCallersAreServedOrRefusedEarly(t *testing.T) {
	const target, timeout = 300 * time.Millisecond, 4 * time.Second
	l := newCallerSim(t, 5) // 10 slots, 16 answers per second
	overdue := 0
	for i := range 400 {
		l.arrive(fmt.Sprint("r-", i), target, timeout) // 40 per second
		l.pass(25 * time.Millisecond)
	}
	l.pass(timeout)
	for id, wait := range l.started {
		if wait > target {
			overdue++
		}
		delete(l.refused, id)
	}
	if overdue < 20 {
		t.Errorf("only %d overdue callers were served in ten seconds of overload", overdue)
	}
	for id, refusal := range l.refused {
		if refusal.Reason == route.ReasonDeadline {
			t.Errorf("%s was held until its deadline", id)
		}
		if refusal.RetryAfter <= 0 {
			t.Errorf("%s was refused without a retry delay", id)
		}
	}
}

// Two batch items wait for one slot. The one that is due first cannot finish by then;
// run first, it would make the other one miss its target too. When online work takes a
// slot back, the item that is overdue anyway must be preempted.
func TestBatchItemsThatCanBeInTimeGoFirst(t *testing.T) {
	const work = 5 * time.Second
	l := newCallerSim(t, 1) // 2 slots
	item := func(id string, due time.Duration) {
		l.step(route.Arrive{Request: route.Request{
			ID: id, Team: "t", Class: route.Batch, Repeatable: true, Fingerprint: upstream.FingerprintOf(id, nil),
			Deadline: l.now.Add(time.Minute), UsefulUntil: l.now.Add(due), ExpectedRunTime: work, Policy: route.ThroughputPolicy(),
		}})
	}
	item("before", time.Minute)
	l.now = l.now.Add(work)
	l.step(route.Finished{Attempt: l.lastDispatch["before"].Attempt}) // establishes how long items take
	l.arrive("online-1", time.Second, time.Minute)
	l.arrive("online-2", time.Second, time.Minute)
	item("cannot", 3*time.Second)
	item("can", 8*time.Second)
	l.step(route.Finished{Attempt: l.lastDispatch["online-1"].Attempt})
	if l.sent["can"] != 1 || l.sent["cannot"] != 0 {
		t.Errorf("sent: can %d, cannot %d", l.sent["can"], l.sent["cannot"])
	}
	l.step(route.Finished{Attempt: l.lastDispatch["online-2"].Attempt})
	if l.sent["cannot"] != 1 {
		t.Error("the overdue item does not use the free slot")
	}
	l.step(route.Progress{Attempt: l.lastDispatch["cannot"].Attempt, Tokens: 100})
	l.arrive("online-3", time.Second, time.Minute)
	if l.cancelled[l.lastDispatch["cannot"].Attempt] != route.CancelPreempted || len(l.cancelled) != 1 {
		t.Errorf("cancelled: %v", l.cancelled)
	}
}

// A replica breaks off while it answers, and every other one is full. The request's
// caller has part of the answer, so it must resume before requests that have not
// started.
func TestPartiallyDeliveredAnswersResumeFirst(t *testing.T) {
	l := newCallerSim(t, 2)
	begun := route.Request{
		ID: "begun", Team: "t", Class: route.Online, Repeatable: true, Resumable: true, Fingerprint: upstream.FingerprintOf("begun", nil),
		Deadline: l.now.Add(4 * time.Second), UsefulUntil: l.now.Add(300 * time.Millisecond),
	}
	l.step(route.Arrive{Request: begun})
	first := l.lastDispatch["begun"]
	l.step(route.Progress{Attempt: first.Attempt, Tokens: 3, Delivered: true})
	l.now = l.now.Add(time.Second) // its first token was in time long ago
	for i := range 6 {
		l.arrive(fmt.Sprint("waiting-", i), 300*time.Millisecond, 4*time.Second)
	}
	l.step(route.Failed{Attempt: first.Attempt, Cause: route.CauseBroken})
	l.step(route.Probed{Replica: first.Target.Replica, Alive: true, Incarnation: 1})
	for id, dispatch := range l.lastDispatch {
		if id != "begun" && dispatch.Target.Replica != first.Target.Replica {
			l.step(route.Finished{Attempt: dispatch.Attempt})
			break
		}
	}
	if l.sent["begun"] != 2 {
		t.Error("the partially delivered answer waits behind others")
	}
}

// Guards against requests of high priority that wait behind a burst of low priority,
// and against requests of low priority that starve.
func TestBurstIsServedByPriorityWithoutStarvation(t *testing.T) {
	l := newCallerSim(t, 4)
	const each = 16
	for i := range each {
		for priority := range 2 {
			id := fmt.Sprintf("p%d-%d", priority, i)
			l.arrived[id] = l.now
			l.step(route.Arrive{Request: route.Request{
				ID: id, Team: "t", Class: route.Online, Repeatable: true, Fingerprint: upstream.FingerprintOf(id, nil),
				Deadline: l.now.Add(6 * time.Second), UsefulUntil: l.now.Add(3 * time.Second), Priority: priority,
			}})
		}
	}
	l.pass(5 * time.Second)
	wait := func(priority int) (mean, longest time.Duration) {
		for i := range each {
			waited, started := l.started[fmt.Sprintf("p%d-%d", priority, i)]
			if !started {
				t.Fatalf("a request of priority %d was not served", priority)
			}
			mean += waited / each
			longest = max(longest, waited)
		}
		return mean, longest
	}
	first, longestFirst := wait(0)
	second, _ := wait(1)
	if first*2 > second || longestFirst > 2*time.Second {
		t.Errorf("priority 0 waits %s, %s at most; priority 1 %s", first, longestFirst, second)
	}
}
