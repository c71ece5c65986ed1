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

// A stream of the played load holds its slot for shortAnswer to longAnswer, as
// streams of 26 to 44 events do, 18 ms apart.
const (
	shortAnswer = 470 * time.Millisecond
	longAnswer  = 790 * time.Millisecond
)

// load plays callers against one shard with replicas of two slots each.
type load struct {
	*rig
	random  *rand.Rand
	ends    map[string]time.Time
	started map[string]time.Duration // from arrival to the last dispatch
	arrived map[string]time.Time
}

func newLoad(t *testing.T, replicas int) *load {
	return &load{
		rig:    newRig(t, route.Config{HedgeMin: -1, ProbeAfter: time.Hour}, replicas),
		random: rand.New(rand.NewPCG(3, 4)),
		ends:   map[string]time.Time{}, started: map[string]time.Duration{}, arrived: map[string]time.Time{},
	}
}

func (l *load) arrive(id string, target, patience time.Duration) {
	l.arrived[id] = l.now
	l.step(route.Arrive{Request: route.Request{
		ID: id, Team: "t", Class: route.Online, Repeatable: true, Fingerprint: upstream.FingerprintOf(id, nil),
		Deadline: l.now.Add(patience), UsefulUntil: l.now.Add(target),
	}})
}

// pass lets time go by in steps of 10 ms.
func (l *load) pass(d time.Duration) {
	for until := l.now.Add(d); l.now.Before(until); {
		l.now = l.now.Add(10 * time.Millisecond)
		for _, id := range slices.Sorted(maps.Keys(l.on)) {
			dispatch := l.on[id]
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

// served counts the callers who came in time and were served in time, and the
// late ones who were served at all, by how their IDs begin.
func (l *load) served(target time.Duration) (inTime, late int) {
	for id, wait := range l.started {
		switch {
		case strings.HasPrefix(id, "late"):
			late++
		case wait <= target:
			inTime++
		}
	}
	return inTime, late
}

// A site was down for a second. Those who waited come again together, already
// late, and take all slots; an editor who opens a page after that sees it late
// too, and so does the next, for as long as it takes to serve the late ones.
func TestCallersInTimeDoNotWaitBehindLateOnes(t *testing.T) {
	const target, patience = 300 * time.Millisecond, 4 * time.Second
	l := newLoad(t, 10) // 20 slots, 33 answers a second
	for i := range 60 {
		l.arrive(fmt.Sprint("late-", i), -time.Second, patience)
	}
	l.pass(shortAnswer) // nothing helps those who come while all slots have just been taken
	for i := range 40 {
		id := fmt.Sprint("fresh-", i)
		l.arrive(id, target, patience)
		l.pass(50 * time.Millisecond) // 20 a second
	}
	l.pass(3 * time.Second)
	inTime, late := l.served(target)
	if inTime < 38 {
		t.Errorf("%d of 40 callers who came in time were served in time", inTime)
	}
	if late != 60 {
		t.Errorf("%d of 60 late callers were served within their patience", late)
	}
}

// Load stays above what the replicas can do. Those who are late get their turn
// still, and those who will not are told so long before their time is over.
func TestLateCallersAreServedOrRefusedSoon(t *testing.T) {
	const target, patience = 300 * time.Millisecond, 4 * time.Second
	l := newLoad(t, 5) // 10 slots, 16 answers a second
	late := 0
	for i := range 400 {
		l.arrive(fmt.Sprint("r-", i), target, patience) // 40 a second
		l.pass(25 * time.Millisecond)
	}
	l.pass(patience)
	for id, wait := range l.started {
		if wait > target {
			late++
		}
		delete(l.refused, id)
	}
	if late < 20 {
		t.Errorf("only %d late callers had their turn in ten seconds of overload", late)
	}
	for id, refusal := range l.refused {
		if refusal.Reason == route.ReasonDeadline {
			t.Errorf("%s was held to its deadline", id)
		}
		if refusal.RetryAfter <= 0 {
			t.Errorf("%s was refused without a time to come back", id)
		}
	}
}

// Two batch items wait for one slot. The one that is due next cannot be done by
// then; run first, it makes the other late too. And when online work takes a slot
// back, the item that is late anyhow gives way.
func TestBatchItemsThatCanBeInTimeGoFirst(t *testing.T) {
	const work = 5 * time.Second
	l := newLoad(t, 1) // 2 slots
	item := func(id string, due time.Duration) {
		l.step(route.Arrive{Request: route.Request{
			ID: id, Team: "t", Class: route.Batch, Repeatable: true, Fingerprint: upstream.FingerprintOf(id, nil),
			Deadline: l.now.Add(time.Minute), UsefulUntil: l.now.Add(due), Takes: work, Policy: route.ThroughputPolicy(),
		}})
	}
	item("before", time.Minute)
	l.now = l.now.Add(work)
	l.step(route.Finished{Attempt: l.on["before"].Attempt}) // tells how long items take
	l.arrive("online-1", time.Second, time.Minute)
	l.arrive("online-2", time.Second, time.Minute)
	item("cannot", 3*time.Second)
	item("can", 8*time.Second)
	l.step(route.Finished{Attempt: l.on["online-1"].Attempt})
	if l.sent["can"] != 1 || l.sent["cannot"] != 0 {
		t.Errorf("sent: can %d, cannot %d", l.sent["can"], l.sent["cannot"])
	}
	l.step(route.Finished{Attempt: l.on["online-2"].Attempt})
	if l.sent["cannot"] != 1 {
		t.Error("the late item does not use the slot that is left")
	}
	l.step(route.Progress{Attempt: l.on["cannot"].Attempt, Tokens: 100})
	l.arrive("online-3", time.Second, time.Minute)
	if l.stopped[l.on["cannot"].Attempt] != route.CancelPreempted || len(l.stopped) != 1 {
		t.Errorf("stopped: %v", l.stopped)
	}
}

// A replica breaks off while it answers, and every other one is full. The caller
// has half of a text before it: it goes on before any text that has not begun.
func TestAnAnswerThatHasBegunGoesOnFirst(t *testing.T) {
	l := newLoad(t, 2)
	begun := route.Request{
		ID: "begun", Team: "t", Class: route.Online, Repeatable: true, Resumable: true, Fingerprint: upstream.FingerprintOf("begun", nil),
		Deadline: l.now.Add(4 * time.Second), UsefulUntil: l.now.Add(300 * time.Millisecond),
	}
	l.step(route.Arrive{Request: begun})
	first := l.on["begun"]
	l.step(route.Progress{Attempt: first.Attempt, Tokens: 3, Delivered: true})
	l.now = l.now.Add(time.Second) // its first token was in time long ago
	for i := range 6 {
		l.arrive(fmt.Sprint("waiting-", i), 300*time.Millisecond, 4*time.Second)
	}
	l.step(route.Failed{Attempt: first.Attempt, Cause: route.CauseBroken})
	l.step(route.Probed{Replica: first.Target.Replica, Alive: true, Incarnation: 1})
	for id, dispatch := range l.on {
		if id != "begun" && dispatch.Target.Replica != first.Target.Replica {
			l.step(route.Finished{Attempt: dispatch.Attempt})
			break
		}
	}
	if l.sent["begun"] != 2 {
		t.Error("the answer that has begun waits behind others")
	}
}

// Guards against a customer of high priority that waits behind the others' step, and the others waiting for good.
func TestAStepIsServedByPriorityAndNobodyIsLeftOut(t *testing.T) {
	l := newLoad(t, 4)
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
