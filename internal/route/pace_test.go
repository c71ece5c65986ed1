package route_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

const (
	usualFirstEvent = 100 * time.Millisecond // time to the first event at the usual pace
	itemPrefix      = "item/"
)

// itemAt returns the ID of a batch item that arrives at the given time.
func itemAt(at time.Time, n int) string { return itemPrefix + requestAt(at, n) }

func isItem(id string) bool { return strings.HasPrefix(id, itemPrefix) }

// stop ends a run that its gate has cancelled.
func (c *gateSim) stop(g *simGate, id route.AttemptID) {
	e := g.dispatched[id]
	isIt := func(r *simRun) bool { return r.gate == g && r.attempt == id }
	e.running = slices.DeleteFunc(e.running, isIt)
	e.waiting = slices.DeleteFunc(e.waiting, isIt)
}

// startAtPace starts a run on an engine that tells its pace.
func (c *gateSim) startAtPace(e *simEngine, r *simRun) {
	actual, _ := c.paceOf(e, c.now)
	slower := func(d time.Duration) time.Duration { return d * time.Duration(actual) / 100 }
	r.firstAt = c.now.Add(slower(usualFirstEvent))
	r.ends = r.firstAt.Add(slower(shortAnswer + time.Duration(c.random.Int64N(int64(longAnswer-shortAnswer)))))
	e.running = append(e.running, r)
	if !r.batch {
		c.starts = append(c.starts, simStart{arrived: r.arrived, started: c.now, first: r.firstAt, engine: e})
	}
}

// sendFirstEvents sends the first events that are due, with the engine's pace.
func (c *gateSim) sendFirstEvents(e *simEngine) {
	for _, r := range slices.Clone(e.running) {
		if r.firstAt.IsZero() || c.now.Before(r.firstAt) {
			continue
		}
		r.firstAt = time.Time{}
		_, told := c.paceOf(e, c.now)
		c.step(r.gate, route.PaceObserved{Attempt: r.attempt, Percent: told})
		c.step(r.gate, route.Progress{Attempt: r.attempt, Tokens: 1, Delivered: true})
	}
}

// Slow periods of the engines: 0.6 s of each 4 s, at different times, at 2.5 times the
// usual time.
const (
	slowPeriod   = 4 * time.Second
	slowDuration = 600 * time.Millisecond
	slowPercent  = 250
)

func slowAtTimes(e *simEngine, at time.Time) int {
	offset := time.Duration(uint64(upstream.FingerprintOf(string(e.id), nil))%256) * slowPeriod / 256
	if time.Duration(at.UnixNano()+int64(offset))%slowPeriod < slowDuration {
		return slowPercent
	}
	return 100
}

// lateFirstEvents returns the share of the requests whose first event came later than d.
func (c *gateSim) lateFirstEvents(d time.Duration) float64 {
	late := 0
	for _, s := range c.starts {
		if s.first.Sub(s.arrived) > d {
			late++
		}
	}
	return float64(late) / float64(len(c.starts))
}

func newPaceSim() *gateSim {
	return newGateSimWith(18, 72, func(config *route.Config) { config.ReservationWait = 40 * time.Millisecond })
}

// perSecondAt returns the arrival rate that fills the given share of the simulated slots.
func (c *gateSim) perSecondAt(share float64) float64 {
	return share * float64(len(c.engines)*simSlots) / (usualFirstEvent + (shortAnswer+longAnswer)/2).Seconds()
}

// Guards against requests that are sent to replicas which are slow at the moment while
// others are not: 15% of 72 replicas are slow at any time.
func TestRequestsAvoidReplicasThatAreSlowNow(t *testing.T) {
	var late [2]float64
	for i, tells := range []bool{false, true} {
		c := newPaceSim()
		c.paceOf = func(e *simEngine, at time.Time) (actual, told int) {
			if actual = slowAtTimes(e, at); tells {
				told = actual
			}
			return actual, told
		}
		c.play(c.perSecondAt(0.5), 8*time.Second)
		late[i] = c.lateFirstEvents(2 * usualFirstEvent)
	}
	t.Logf("first events later than %s: %.3f if the pace is not told, %.3f if it is", 2*usualFirstEvent, late[0], late[1])
	if late[0] < 0.1 {
		t.Errorf("only %.3f are late without a told pace: the load does not exercise it", late[0])
	}
	if late[1] > late[0]/2 {
		t.Errorf("%.3f are late with a told pace, %.3f without", late[1], late[0])
	}
}

// Guards against a replica that tells a fast pace and is slow: it must neither draw
// requests nor, once its figures are distrusted, be left without any.
func TestAReplicaThatTellsAWrongPaceNeitherDrawsNorStarves(t *testing.T) {
	for _, wrong := range []struct{ actual, told int }{{300, 50}, {100, 300}} {
		t.Run(fmt.Sprintf("told %d, is %d", wrong.told, wrong.actual), func(t *testing.T) {
			c := newGateSimWith(4, 8, func(config *route.Config) { config.ReservationWait = 40 * time.Millisecond })
			faulty := c.engines[0]
			starts := map[bool]int{}
			c.paceOf = func(e *simEngine, _ time.Time) (actual, told int) {
				if e == faulty {
					return wrong.actual, wrong.told
				}
				return 100, 100
			}
			c.play(c.perSecondAt(0.5), 20*time.Second)
			for _, start := range c.starts {
				starts[start.engine == faulty]++
			}
			mean := starts[false] / (len(c.engines) - 1)
			t.Logf("%d requests on the replica, %d on each other one", starts[true], mean)
			if starts[true] > mean*3/2 {
				t.Errorf("the replica drew %d requests, the others %d each", starts[true], mean)
			}
			if starts[true] < mean/8 {
				t.Errorf("the replica ran %d requests, the others %d each", starts[true], mean)
			}
		})
	}
}

// Guards against figures of three values or none that change anything: such replicas are
// chosen as before, by load alone.
func TestAReplicaThatTellsNoPaceCountsAsUsual(t *testing.T) {
	r := newRig(t, route.Config{}, 1)
	r.arrive(route.Request{ID: "a", Class: route.Online})
	r.step(route.PaceObserved{Attempt: r.lastDispatch["a"].Attempt})
	if view := r.shard.Load("r0"); view.Pace != 1 {
		t.Errorf("pace %g, 1 wanted", view.Pace)
	}
}

// Guards against a pace that is used for longer than it is valid.
func TestAPaceLapses(t *testing.T) {
	r := newRig(t, route.Config{}, 1)
	r.arrive(route.Request{ID: "a", Class: route.Online})
	r.step(route.PaceObserved{Attempt: r.lastDispatch["a"].Attempt, Percent: 250})
	told := r.now
	for _, want := range []struct {
		after time.Duration
		pace  float64
	}{{0, 2.5}, {400 * time.Millisecond, 2.5}, {600 * time.Millisecond, 1.75}, {800 * time.Millisecond, 1}, {2 * time.Second, 1}} {
		r.pass(want.after - r.now.Sub(told))
		if got := r.shard.Load("r0").Pace; got < want.pace-0.15 || got > want.pace+0.15 {
			t.Errorf("after %s the pace counts as %g, %g wanted", want.after, got, want.pace)
		}
	}
}
