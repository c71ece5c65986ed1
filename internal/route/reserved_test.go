package route_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

const (
	replicaSlots = 8
	itemCount    = 20
	itemTime     = 6 * time.Second
	onlineTime   = 650 * time.Millisecond
	onlineEvery  = 700 * time.Millisecond
)

// playOnlineOverBatch simulates online requests that arrive one by one on a replica
// beside batch items, until all items are done. It returns how often an item was
// preempted, and the time until the last item was done. A due of zero means no target.
func playOnlineOverBatch(t *testing.T, due time.Duration) (preempted int, took time.Duration) {
	r := newRig(t, route.Config{HedgeMin: -1, EntryLifetime: time.Hour}, 0)
	r.step(route.GatesChanged{Gates: []route.Gate{{ID: "gate-1", Place: "glas-a"}}})
	r.step(route.Announced{Announcement: upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: "r0", Incarnation: 1, Sequence: 1,
		Address: "10.0.0.1:80", Place: "glas-a", CanResume: true, Load: upstream.Load{Slots: replicaSlots, Ready: true},
	}})
	start := r.now
	for i := range itemCount {
		id := fmt.Sprint("item-", i)
		item := route.Request{
			ID: id, Class: route.Batch, Repeatable: true, Resumable: true, RetryUntilAnswered: true, Fingerprint: upstream.FingerprintOf(id, nil),
			Policy: route.ThroughputPolicy(), ExpectedRunTime: itemTime, Deadline: r.now.Add(time.Hour),
		}
		if due > 0 {
			item.UsefulUntil = r.now.Add(due)
		}
		r.arrive(item)
	}
	work := map[string]time.Duration{}
	ends := map[string]time.Time{}
	next := r.now
	const step = 10 * time.Millisecond
	for n, left := 0, itemCount; left > 0; n++ {
		r.now = r.now.Add(step)
		if !r.now.Before(next) {
			next = r.now.Add(onlineEvery)
			id := fmt.Sprint("page-", n)
			r.arrive(route.Request{ID: id, Class: route.Online, Fingerprint: upstream.FingerprintOf(id, nil)})
			ends[id] = r.now.Add(onlineTime)
		}
		for _, id := range slices.Sorted(maps.Keys(r.lastDispatch)) {
			d := r.lastDispatch[id]
			if _, over := r.cancelled[d.Attempt]; over {
				continue
			}
			r.step(route.Progress{Attempt: d.Attempt, Tokens: n + 1})
			end, online := ends[id]
			if !online {
				work[id] += step
			}
			if online && r.now.Before(end) || !online && work[id] < itemTime {
				continue
			}
			r.step(route.Finished{Attempt: d.Attempt})
			delete(r.lastDispatch, id)
			if !online {
				left--
			}
		}
		r.step(route.Tick{})
		if r.now.Sub(start) > time.Hour {
			t.Fatalf("%d items are not done", left)
		}
	}
	for _, cause := range r.cancelled {
		if cause == route.CancelPreempted {
			preempted++
		}
	}
	return preempted, r.now.Sub(start)
}

// Guards against online requests that arrive one by one on an engine full of batch work
// and each preempt an item that has just started: half of all runs lasted less than 0.2
// s, and each opened a connection and processed its prompt again.
func TestItemsWithSlackLeaveReservedSlots(t *testing.T) {
	const due = 3 * time.Minute
	reserved, took := playOnlineOverBatch(t, due)
	unreserved, without := playOnlineOverBatch(t, 0)
	t.Logf("with a reserved slot %d runs were preempted in %s, without it %d in %s", reserved, took, unreserved, without)
	if reserved > 0 {
		t.Errorf("%d runs were preempted for requests that arrive one by one", reserved)
	}
	if unreserved == 0 {
		t.Errorf("%d runs were preempted without a reserved slot: the load does not exercise it", unreserved)
	}
	if took > due {
		t.Errorf("the last item took %s, due after %s", took, due)
	}
}

// Items that are short of time take every free slot, as if none were reserved.
func TestItemsWithoutSlackUseEverySlot(t *testing.T) {
	_, took := playOnlineOverBatch(t, 2*itemTime)
	if _, without := playOnlineOverBatch(t, 0); took > without+itemTime {
		t.Errorf("the last item took %s, %s without reserved slots", took, without)
	}
}
