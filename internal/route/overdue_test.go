package route_test

import (
	"fmt"
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// arriveOverdue delivers requests that are already past their target, all at once and
// evenly to all gates.
func (c *gateSim) arriveOverdue(count int) {
	for i := range count {
		id := requestAt(c.now.Add(-2*time.Second), i)
		c.step(c.gates[i%len(c.gates)], route.Arrive{Request: route.Request{
			ID: id, Class: route.Online, MaxAttempts: 1, Fingerprint: upstream.FingerprintOf(id, nil),
			Deadline: c.now.Add(4 * time.Second), UsefulUntil: c.now.Add(-time.Second),
		}})
	}
}

// countWaitedSince counts the requests that arrived at or after since: those that
// waited longer than d for a slot, and all.
func (c *gateSim) countWaitedSince(since time.Time, d time.Duration) (waited, all int) {
	for _, start := range c.starts {
		if start.arrived.Before(since) {
			continue
		}
		all++
		if start.started.Sub(start.arrived) > d {
			waited++
		}
	}
	return waited, all
}

// Guards against callers who wait behind thousands of requests that are already
// overdue, after an outage of all gates.
func TestLateRequestsLeaveSlotsToThoseInTime(t *testing.T) {
	for _, size := range []struct{ gates, engines int }{{8, 9}, {66, 36}, {246, 130}} {
		t.Run(fmt.Sprintf("%d gates", size.gates), func(t *testing.T) {
			slots := size.engines * simSlots
			perSecond := 0.4 * float64(slots) / ((shortAnswer + longAnswer) / 2).Seconds()
			var waited, all, served [2]int
			for i, disabled := range []bool{true, false} {
				c := newGateSimWith(size.gates, size.engines, func(config *route.Config) {
					config.ReservationWait = 40 * time.Millisecond
					config.Disabled.LateShare = disabled
				})
				began := c.now
				c.arriveOverdue(2 * slots)
				c.play(perSecond, time.Second)
				waited[i], all[i] = c.countWaitedSince(began, 150*time.Millisecond)
				c.play(0, 3*time.Second)
				served[i] = len(c.starts)
			}
			t.Logf("of %d requests in time %d waited over 150 ms without the limit on overdue requests, %d of %d with it; %d and %d started",
				all[0], waited[0], waited[1], all[1], served[0], served[1])
			if waited[1]*10 > all[1] {
				t.Errorf("%d of %d requests in time waited over 150 ms", waited[1], all[1])
			}
			if waited[0] < 2*waited[1] {
				t.Errorf("without the limit on overdue requests only %d of %d waited: the load does not exercise it", waited[0], all[0])
			}
			if served[1]*100 < served[0]*98 {
				t.Errorf("%d requests started in 4 s, %d without the limit on overdue requests", served[1], served[0])
			}
		})
	}
}
