package route_test

import (
	"fmt"
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// backlog lets requests come at once, evenly to all gates, whose callers have waited too long already.
func (c *crowd) backlog(count int) {
	for i := range count {
		id := requestAt(c.now.Add(-2*time.Second), i)
		c.step(c.gates[i%len(c.gates)], route.Arrive{Request: route.Request{
			ID: id, Class: route.Online, MaxAttempts: 1, Fingerprint: upstream.FingerprintOf(id, nil),
			Deadline: c.now.Add(4 * time.Second), UsefulUntil: c.now.Add(-time.Second),
		}})
	}
}

// freshLate counts the requests that came from a moment on and waited longer than d for a slot.
func (c *crowd) freshLate(since time.Time, d time.Duration) (late, all int) {
	for _, start := range c.starts {
		if start.came.Before(since) {
			continue
		}
		all++
		if start.at.Sub(start.came) > d {
			late++
		}
	}
	return late, all
}

// Guards against callers who wait behind thousands that are late already, after all gates were stopped.
func TestLateRequestsLeaveSlotsToThoseInTime(t *testing.T) {
	for _, size := range []struct{ gates, engines int }{{8, 9}, {66, 36}, {246, 130}} {
		t.Run(fmt.Sprintf("%d gates", size.gates), func(t *testing.T) {
			slots := size.engines * crowdSlots
			perSecond := 0.4 * float64(slots) / ((shortAnswer + longAnswer) / 2).Seconds()
			var late, all, served [2]int
			for i, disabled := range []bool{true, false} {
				c := newCrowdOf(size.gates, size.engines, func(config *route.Config) {
					config.PlaceWait = 40 * time.Millisecond
					config.Disabled.LateShare = disabled
				})
				began := c.now
				c.backlog(2 * slots)
				c.play(perSecond, time.Second)
				late[i], all[i] = c.freshLate(began, 150*time.Millisecond)
				c.play(0, 3*time.Second)
				served[i] = len(c.starts)
			}
			t.Logf("of %d requests in time %d waited over 150 ms without the share, %d of %d with it; %d and %d started",
				all[0], late[0], late[1], all[1], served[0], served[1])
			if late[1]*10 > all[1] {
				t.Errorf("%d of %d requests in time waited over 150 ms", late[1], all[1])
			}
			if late[0] < 2*late[1] {
				t.Errorf("without the share %d of %d waited: the load shows nothing", late[0], all[0])
			}
			if served[1]*100 < served[0]*98 {
				t.Errorf("%d requests started in 4 s, %d without the share", served[1], served[0])
			}
		})
	}
}
