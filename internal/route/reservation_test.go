package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// gateSim simulates online requests that arrive at several gates of one place, whose
// engines admit in order of arrival. Messages between gates are delayed.
type gateSim struct {
	now         time.Time
	random      *rand.Rand
	gates       []*simGate
	engines     []*simEngine
	messages    []message // load reports and acknowledgements under way, in order of sending
	waits       []time.Duration
	starts      []simStart
	reportCount int // load reports sent
	// paceOf returns how long work takes on an engine, and what the engine tells of it,
	// in percent of the usual; nil: the engines do not tell.
	paceOf func(e *simEngine, at time.Time) (actual, told int)
	// batchStarts counts the batch items that were sent to engines.
	batchStarts int
}

type simGate struct {
	id         string
	shard      *route.Shard
	dispatched map[route.AttemptID]*simEngine
}

// simEngine runs as many requests as it has slots; the others wait.
type simEngine struct {
	id      upstream.ReplicaID
	running []*simRun
	waiting []*simRun
}

type simRun struct {
	gate    *simGate
	attempt route.AttemptID
	arrived time.Time // arrival at its gate
	firstAt time.Time // first event; zero: it was sent
	batch   bool
	ends    time.Time
}

// simStart records when a request arrived and when it got its slot.
type simStart struct {
	arrived, started time.Time
	first            time.Time // first event, where engines tell their pace
	engine           *simEngine
}

// message is delivered at a given time.
type message struct {
	at      time.Time
	deliver func()
}

const (
	simPlace   = "mid-a"
	simSlots   = 8
	simLatency = 500 * time.Microsecond // one way between gates
	simTick    = 25 * time.Millisecond
	simStep    = 250 * time.Microsecond
)

func newGateSim(gates, engines int, wait time.Duration) *gateSim {
	return newGateSimWith(gates, engines, func(config *route.Config) { config.ReservationWait = wait })
}

func newGateSimWith(gates, engines int, set func(*route.Config)) *gateSim {
	c := &gateSim{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(5, 6))}
	for i := range engines {
		c.engines = append(c.engines, &simEngine{id: upstream.ReplicaID(fmt.Sprint("r", i))})
	}
	for i := range gates {
		id := fmt.Sprint("gate-", i)
		config := route.Config{Self: id, Place: simPlace, HedgeMin: -1, ProbeAfter: time.Hour}
		set(&config)
		c.gates = append(c.gates, &simGate{
			id: id, dispatched: map[route.AttemptID]*simEngine{},
			shard: route.NewShard(config, rand.New(rand.NewPCG(uint64(i), 7))),
		})
	}
	for _, g := range c.gates {
		c.step(g, route.GatesChanged{Gates: gateList(c.gates)})
		for _, e := range c.engines {
			c.step(g, route.Announced{Announcement: upstream.Announcement{
				Service: "letters", Kind: upstream.KindEngine, Replica: e.id, Incarnation: 1, Sequence: 1,
				Address: "10.0.0.1:80", Place: simPlace, Load: upstream.Load{Slots: simSlots, Ready: true},
			}})
		}
	}
	return c
}

func (c *gateSim) gate(id string) *simGate {
	return c.gates[slices.IndexFunc(c.gates, func(g *simGate) bool { return g.id == id })]
}

// owner returns the owner of the only replica, on which all gates agree at first.
func (c *gateSim) owner() *simGate { return c.gate(c.gates[0].shard.Replicas()[0].Owner) }

func (c *gateSim) others(than *simGate) []*simGate {
	return slices.DeleteFunc(slices.Clone(c.gates), func(g *simGate) bool { return g == than })
}

// gateList returns the gates as the control VMs list them.
func gateList(gates []*simGate) []route.Gate {
	var list []route.Gate
	for _, g := range gates {
		list = append(list, route.Gate{ID: g.id, Place: simPlace})
	}
	return list
}

func (c *gateSim) step(g *simGate, in route.Input) {
	for _, o := range slices.Clone(g.shard.Step(c.now, in)) {
		switch o := o.(type) {
		case route.Dispatch:
			e := c.engines[slices.IndexFunc(c.engines, func(e *simEngine) bool { return e.id == o.Target.Replica })]
			g.dispatched[o.Attempt] = e
			run := &simRun{gate: g, attempt: o.Attempt, arrived: arrivedAt(o.ID), batch: isItem(o.ID)}
			if run.batch {
				c.batchStarts++
			}
			e.waiting = append(e.waiting, run)
		case route.Cancel:
			c.stop(g, o.Attempt)
		case route.ReportLoad:
			c.sendReport(g, o)
		}
	}
}

// sendReport delivers a gate's load report to the owner and the acknowledgement back.
func (c *gateSim) sendReport(from *simGate, report route.ReportLoad) {
	c.reportCount++
	c.send(func() {
		to := c.gate(report.Gate)
		c.step(to, route.LoadReported{
			Gate: from.id, Replica: report.Replica, Online: report.Online, Pace: report.Pace, Waiting: report.Waiting,
		})
		load := to.shard.OwnerLoad(report.Replica)
		c.send(func() {
			c.step(from, route.OwnerReported{Load: load, Acknowledges: report.ReportNumber, ReportedOnline: report.Online})
		})
	})
}

func (c *gateSim) send(deliver func()) {
	c.messages = append(c.messages, message{at: c.now.Add(simLatency), deliver: deliver})
}

// requestAt returns a request ID that encodes its arrival time.
func requestAt(at time.Time, n int) string { return fmt.Sprintf("%d/%d", at.UnixNano(), n) }

func arrivedAt(id string) time.Time {
	var at int64
	var n int
	_, _ = fmt.Sscanf(id, "%d/%d", &at, &n) // made by requestAt
	return time.Unix(0, at)
}

// play lets requests arrive at a rate for a while, each at a random gate.
func (c *gateSim) play(perSecond float64, d time.Duration) {
	tick := c.now
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(simStep) {
		for len(c.messages) > 0 && !c.now.Before(c.messages[0].at) {
			first := c.messages[0]
			c.messages = c.messages[1:]
			first.deliver()
		}
		if c.random.Float64() < perSecond*simStep.Seconds() {
			id := requestAt(c.now, len(c.waits)+c.random.IntN(1<<30))
			c.step(c.gates[c.random.IntN(len(c.gates))], route.Arrive{Request: route.Request{
				ID: id, Class: route.Online, MaxAttempts: 1, Fingerprint: upstream.FingerprintOf(id, nil),
				Deadline: c.now.Add(5 * time.Second), UsefulUntil: c.now.Add(300 * time.Millisecond),
			}})
		}
		for _, e := range c.engines {
			c.runEngine(e)
		}
		if c.now.Sub(tick) >= simTick {
			tick = c.now
			for _, g := range c.gates {
				c.step(g, route.Tick{})
			}
		}
	}
}

func (c *gateSim) runEngine(e *simEngine) {
	c.sendFirstEvents(e)
	e.running = slices.DeleteFunc(e.running, func(r *simRun) bool {
		if c.now.Before(r.ends) {
			return false
		}
		c.step(r.gate, route.Finished{Attempt: r.attempt})
		return true
	})
	for len(e.waiting) > 0 && len(e.running) < simSlots {
		first := e.waiting[0]
		e.waiting = e.waiting[1:]
		if c.paceOf != nil {
			c.startAtPace(e, first)
			continue
		}
		c.waits = append(c.waits, c.now.Sub(first.arrived))
		c.starts = append(c.starts, simStart{arrived: first.arrived, started: c.now})
		first.ends = c.now.Add(shortAnswer + time.Duration(c.random.Int64N(int64(longAnswer-shortAnswer))))
		e.running = append(e.running, first)
		c.step(first.gate, route.Progress{Attempt: first.attempt, Tokens: 1, Delivered: true})
	}
}

// countWaitedOver counts the requests that waited longer than d for a slot.
func (c *gateSim) countWaitedOver(d time.Duration) int {
	count := 0
	for _, wait := range c.waits {
		if wait > d {
			count++
		}
	}
	return count
}

// Guards against a gate that sends a request to an engine whose slots other gates have
// just filled, although another engine has free slots: at peak load its caller waited a
// quarter of a second for the first token.
func TestRequestsOfManyGatesFindTheFreeSlots(t *testing.T) {
	for _, size := range []struct {
		gates, engines int
	}{{4, 6}, {22, 20}} {
		t.Run(fmt.Sprintf("%d gates", size.gates), func(t *testing.T) {
			slots := float64(size.engines * simSlots)
			busy := 0.8 * slots / ((shortAnswer + longAnswer) / 2).Seconds()
			played := map[time.Duration]*gateSim{}
			for _, wait := range []time.Duration{0, 40 * time.Millisecond} {
				c := newGateSim(size.gates, size.engines, wait)
				for range 4 {
					c.play(0.2*busy, time.Second)
					c.play(busy, 2500*time.Millisecond)
				}
				c.play(0, 2*time.Second)
				played[wait] = c
				t.Logf("wait %s: of %d requests %d waited over 100 ms, %d over 10 ms; %d load reports", wait, len(c.waits),
					c.countWaitedOver(100*time.Millisecond), c.countWaitedOver(10*time.Millisecond), c.reportCount)
			}
			reserved, unreserved := played[40*time.Millisecond], played[0]
			if waited := reserved.countWaitedOver(100 * time.Millisecond); waited*100 > len(reserved.waits) {
				t.Errorf("%d of %d requests waited over 100 ms", waited, len(reserved.waits))
			}
			if unreserved.countWaitedOver(100*time.Millisecond) < 3*reserved.countWaitedOver(100*time.Millisecond) {
				t.Errorf("without reservations only %d of %d waited: the load does not exercise them", unreserved.countWaitedOver(100*time.Millisecond), len(unreserved.waits))
			}
		})
	}
}

// Guards against requests that wait for an owner that has lost power. They wait for its
// acknowledgement once, briefly, and then not for a while.
func TestUnresponsiveOwnerDoesNotDelayRequests(t *testing.T) {
	c := newGateSim(2, 1, 40*time.Millisecond)
	other := c.others(c.owner())[0]
	arrive := func(n int) string {
		id := requestAt(c.now, n)
		c.step(other, route.Arrive{Request: route.Request{ID: id, Class: route.Online, Deadline: c.now.Add(time.Second)}})
		return id
	}
	wait := func(d time.Duration) {
		for end := c.now.Add(d); c.now.Before(end); {
			c.now = c.now.Add(simTick)
			c.step(other, route.Tick{})
		}
	}
	arrive(1)
	if len(other.dispatched) != 0 {
		t.Fatal("dispatched before the owner's acknowledgement")
	}
	wait(75 * time.Millisecond)
	if len(other.dispatched) != 1 {
		t.Fatal("still waiting although the owner does not answer")
	}
	arrive(2)
	if len(other.dispatched) != 2 {
		t.Error("the second request waits for an owner that has just failed to answer")
	}
}

// The caller of a request with a reservation leaves: the slot must be free again, and
// the owner must be notified.
func TestAbandonedRequestReleasesItsReservation(t *testing.T) {
	c := newGateSim(2, 1, 40*time.Millisecond)
	owner := c.owner()
	other := c.others(owner)[0]
	id := requestAt(c.now, 1)
	c.step(other, route.Arrive{Request: route.Request{ID: id, Class: route.Online, Deadline: c.now.Add(time.Second)}})
	c.step(other, route.Abandon{ID: id})
	c.play(0, 10*time.Millisecond)
	if len(other.dispatched) != 0 {
		t.Error("dispatched after it was abandoned")
	}
	if load := owner.shard.OwnerLoad("r0"); load.Online != 0 {
		t.Errorf("the owner counts %d requests", load.Online)
	}
}

// A draining gate serves its callers for some more seconds, while the other gates
// switch to another owner of its replicas at once. If both gates considered themselves
// the owner, each would know of half of the requests, and callers would wait behind the
// other half.
func TestAGateThatDrainsTellsItsRequests(t *testing.T) {
	c := newGateSim(3, 1, 40*time.Millisecond)
	leaving := c.owner()
	others := c.others(leaving)
	rest := gateList(others)
	c.step(leaving, route.Draining{})
	c.step(leaving, route.GatesChanged{Gates: gateList(c.gates)})
	for _, g := range others {
		c.step(g, route.GatesChanged{Gates: rest})
	}
	for n := range 5 {
		id := requestAt(c.now, n)
		c.step(leaving, route.Arrive{Request: route.Request{
			ID: id, Class: route.Online, Deadline: c.now.Add(time.Second), Fingerprint: upstream.FingerprintOf(id, nil),
		}})
	}
	c.play(0, 10*time.Millisecond)
	owner := c.gate(others[0].shard.Replicas()[0].Owner)
	if owner == leaving {
		t.Fatal("the draining gate is still the owner")
	}
	if load := owner.shard.OwnerLoad("r0"); load.Online != 5 {
		t.Errorf("the owner knows of %d of 5 requests", load.Online)
	}
	c.step(owner, route.GatesChanged{Gates: rest})
	if load := owner.shard.OwnerLoad("r0"); load.Online != 5 {
		t.Errorf("after the gates were listed again the owner knows of %d of 5 requests", load.Online)
	}
	c.now = c.now.Add(2 * time.Second)
	c.step(owner, route.GatesChanged{Gates: rest})
	if load := owner.shard.OwnerLoad("r0"); load.Online != 0 {
		t.Errorf("%d requests of a departed gate still count", load.Online)
	}
}

// The owner of a replica changes while a request waits for its reservation. The new
// owner must receive a load report that includes the request.
func TestANewFeederIsToldOfRequestsThatWait(t *testing.T) {
	c := newGateSim(3, 1, 40*time.Millisecond)
	others := c.others(c.owner())
	rest := gateList(others)
	survivor := newGateSim(3, 1, 0).gate(rest[0].ID) // of another simulation with the same names
	c.step(survivor, route.GatesChanged{Gates: rest})
	owner := c.gate(survivor.shard.Replicas()[0].Owner)
	waiting := others[0]
	if waiting == owner {
		waiting = others[1]
	}
	id := requestAt(c.now, 1)
	c.step(waiting, route.Arrive{Request: route.Request{ID: id, Class: route.Online, Deadline: c.now.Add(time.Second)}})
	c.messages = nil // the load report to the previous owner is lost with it
	c.step(owner, route.GatesChanged{Gates: rest})
	c.step(waiting, route.GatesChanged{Gates: rest})
	c.play(0, 5*time.Millisecond)
	if len(waiting.dispatched) != 1 {
		t.Error("not dispatched after the new owner's acknowledgement")
	}
	if load := owner.shard.OwnerLoad("r0"); load.Online != 1 {
		t.Errorf("the new owner knows of %d requests", load.Online)
	}
}

// All slots are taken, and callers wait at a gate. When requests of other gates end,
// nobody notifies this gate: without a new report its callers would wait beside free
// slots until the last report expires.
func TestCallersDoNotWaitBesideSlotsThatOthersHaveLeft(t *testing.T) {
	c := newGateSim(3, 1, 40*time.Millisecond)
	others := c.others(c.owner())
	const many = simSlots + simSlots/4 // includes the share that may wait in an engine's queue
	for n := range many {
		id := requestAt(c.now, n)
		c.step(others[0], route.Arrive{Request: route.Request{
			ID: id, Class: route.Online, Deadline: c.now.Add(5 * time.Second), Fingerprint: upstream.FingerprintOf(id, nil),
		}})
		c.play(0, 5*time.Millisecond)
	}
	id := requestAt(c.now, many)
	c.step(others[1], route.Arrive{Request: route.Request{
		ID: id, Class: route.Online, Deadline: c.now.Add(5 * time.Second), Fingerprint: upstream.FingerprintOf(id, nil),
	}})
	came := c.now
	for len(others[1].dispatched) == 0 && c.now.Sub(came) < 5*time.Second {
		c.play(0, 2*simTick)
	}
	// The last of the requests in slots has ended by then, and two run.
	if waited := c.now.Sub(came); waited > longAnswer+100*time.Millisecond {
		t.Errorf("the request waited %s", waited)
	}
}
