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

// crowd plays online requests that come to several gates of one place, whose
// engines admit in the order of arrival. Words between gates take a while.
type crowd struct {
	now     time.Time
	random  *rand.Rand
	gates   []*crowdGate
	engines []*crowdEngine
	mail    []letter // words and answers under way, in the order of sending
	waits   []time.Duration
	starts  []crowdStart
	asked   int // words between gates
}

type crowdGate struct {
	id    string
	shard *route.Shard
	sent  map[route.AttemptID]*crowdEngine
}

// crowdEngine runs as many requests as it has slots; the others wait.
type crowdEngine struct {
	id      upstream.ReplicaID
	running []*crowdRun
	waiting []*crowdRun
}

type crowdRun struct {
	gate    *crowdGate
	attempt route.AttemptID
	came    time.Time // to its gate
	ends    time.Time
}

// crowdStart is when a request got its slot.
type crowdStart struct{ came, at time.Time }

// letter is handed over at a time.
type letter struct {
	at   time.Time
	open func()
}

const (
	crowdPlace = "mid-a"
	crowdSlots = 8
	crowdWord  = 500 * time.Microsecond // one way between gates
	crowdTick  = 25 * time.Millisecond
	crowdStep  = 250 * time.Microsecond
)

func newCrowd(gates, engines int, wait time.Duration) *crowd {
	return newCrowdOf(gates, engines, func(config *route.Config) { config.PlaceWait = wait })
}

func newCrowdOf(gates, engines int, set func(*route.Config)) *crowd {
	c := &crowd{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(5, 6))}
	for i := range engines {
		c.engines = append(c.engines, &crowdEngine{id: upstream.ReplicaID(fmt.Sprint("r", i))})
	}
	for i := range gates {
		id := fmt.Sprint("gate-", i)
		config := route.Config{Self: id, Place: crowdPlace, HedgeMin: -1, ProbeAfter: time.Hour}
		set(&config)
		c.gates = append(c.gates, &crowdGate{
			id: id, sent: map[route.AttemptID]*crowdEngine{},
			shard: route.NewShard(config, rand.New(rand.NewPCG(uint64(i), 7))),
		})
	}
	for _, g := range c.gates {
		c.step(g, route.GatesChanged{Gates: listed(c.gates)})
		for _, e := range c.engines {
			c.step(g, route.Announced{Announcement: upstream.Announcement{
				Service: "letters", Kind: upstream.KindEngine, Replica: e.id, Incarnation: 1, Sequence: 1,
				Address: "10.0.0.1:80", Place: crowdPlace, Load: upstream.Load{Slots: crowdSlots, Ready: true},
			}})
		}
	}
	return c
}

func (c *crowd) gate(id string) *crowdGate {
	return c.gates[slices.IndexFunc(c.gates, func(g *crowdGate) bool { return g.id == id })]
}

// feeder is the gate that feeds the only replica, as all gates believe at first.
func (c *crowd) feeder() *crowdGate { return c.gate(c.gates[0].shard.Replicas()[0].Feeder) }

func (c *crowd) others(than *crowdGate) []*crowdGate {
	return slices.DeleteFunc(slices.Clone(c.gates), func(g *crowdGate) bool { return g == than })
}

// listed gives the gates as the control VMs list them.
func listed(gates []*crowdGate) []route.Gate {
	var list []route.Gate
	for _, g := range gates {
		list = append(list, route.Gate{ID: g.id, Place: crowdPlace})
	}
	return list
}

func (c *crowd) step(g *crowdGate, in route.Input) {
	for _, o := range slices.Clone(g.shard.Step(c.now, in)) {
		switch o := o.(type) {
		case route.Dispatch:
			e := c.engines[slices.IndexFunc(c.engines, func(e *crowdEngine) bool { return e.id == o.Target.Replica })]
			g.sent[o.Attempt] = e
			e.waiting = append(e.waiting, &crowdRun{gate: g, attempt: o.Attempt, came: arrivedAt(o.ID)})
		case route.YieldTo:
			c.word(g, o)
		}
	}
}

// word carries a gate's word to the feeder and its answer back.
func (c *crowd) word(from *crowdGate, said route.YieldTo) {
	c.asked++
	c.post(func() {
		to := c.gate(said.Gate)
		c.step(to, route.YieldAsked{Gate: from.id, Replica: said.Replica, Online: said.Online})
		feeding := to.shard.FedNow(said.Replica)
		c.post(func() { c.step(from, route.Fed{Feeding: feeding, Answers: said.Word, Told: said.Online}) })
	})
}

func (c *crowd) post(open func()) {
	c.mail = append(c.mail, letter{at: c.now.Add(crowdWord), open: open})
}

// A request's ID holds when it came.
func requestAt(at time.Time, n int) string { return fmt.Sprintf("%d/%d", at.UnixNano(), n) }

func arrivedAt(id string) time.Time {
	var at int64
	var n int
	_, _ = fmt.Sscanf(id, "%d/%d", &at, &n) // made by requestAt
	return time.Unix(0, at)
}

// play lets requests come at a rate for a while, each to a gate by lot.
func (c *crowd) play(perSecond float64, d time.Duration) {
	tick := c.now
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(crowdStep) {
		for len(c.mail) > 0 && !c.now.Before(c.mail[0].at) {
			first := c.mail[0]
			c.mail = c.mail[1:]
			first.open()
		}
		if c.random.Float64() < perSecond*crowdStep.Seconds() {
			id := requestAt(c.now, len(c.waits)+c.random.IntN(1<<30))
			c.step(c.gates[c.random.IntN(len(c.gates))], route.Arrive{Request: route.Request{
				ID: id, Class: route.Online, MaxAttempts: 1, Fingerprint: upstream.FingerprintOf(id, nil),
				Deadline: c.now.Add(5 * time.Second), UsefulUntil: c.now.Add(300 * time.Millisecond),
			}})
		}
		for _, e := range c.engines {
			c.run(e)
		}
		if c.now.Sub(tick) >= crowdTick {
			tick = c.now
			for _, g := range c.gates {
				c.step(g, route.Tick{})
			}
		}
	}
}

func (c *crowd) run(e *crowdEngine) {
	e.running = slices.DeleteFunc(e.running, func(r *crowdRun) bool {
		if c.now.Before(r.ends) {
			return false
		}
		c.step(r.gate, route.Finished{Attempt: r.attempt})
		return true
	})
	for len(e.waiting) > 0 && len(e.running) < crowdSlots {
		first := e.waiting[0]
		e.waiting = e.waiting[1:]
		c.waits = append(c.waits, c.now.Sub(first.came))
		c.starts = append(c.starts, crowdStart{came: first.came, at: c.now})
		first.ends = c.now.Add(shortAnswer + time.Duration(c.random.Int64N(int64(longAnswer-shortAnswer))))
		e.running = append(e.running, first)
		c.step(first.gate, route.Progress{Attempt: first.attempt, Tokens: 1, Delivered: true})
	}
}

// late counts the requests that waited longer than d for a slot.
func (c *crowd) late(d time.Duration) int {
	count := 0
	for _, wait := range c.waits {
		if wait > d {
			count++
		}
	}
	return count
}

// A trip leader opens a letter at the busiest moment of the hour and waits a quarter
// of a second for its first word: the gate sent the request to an engine whose slots
// other gates had just filled, while the engine beside it had three free.
func TestRequestsOfManyGatesFindTheFreeSlots(t *testing.T) {
	for _, size := range []struct {
		gates, engines int
	}{{4, 6}, {22, 20}} {
		t.Run(fmt.Sprintf("%d gates", size.gates), func(t *testing.T) {
			slots := float64(size.engines * crowdSlots)
			busy := 0.8 * slots / ((shortAnswer + longAnswer) / 2).Seconds()
			played := map[time.Duration]*crowd{}
			for _, wait := range []time.Duration{0, 40 * time.Millisecond} {
				c := newCrowd(size.gates, size.engines, wait)
				for range 4 {
					c.play(0.2*busy, time.Second)
					c.play(busy, 2500*time.Millisecond)
				}
				c.play(0, 2*time.Second)
				played[wait] = c
				t.Logf("wait %s: of %d requests %d waited over 100 ms, %d over 10 ms; %d words", wait, len(c.waits),
					c.late(100*time.Millisecond), c.late(10*time.Millisecond), c.asked)
			}
			confirmed, blind := played[40*time.Millisecond], played[0]
			if late := confirmed.late(100 * time.Millisecond); late*100 > len(confirmed.waits) {
				t.Errorf("%d of %d requests waited over 100 ms", late, len(confirmed.waits))
			}
			if blind.late(100*time.Millisecond) < 3*confirmed.late(100*time.Millisecond) {
				t.Errorf("without the feeder's word %d of %d waited: the load shows nothing", blind.late(100*time.Millisecond), len(blind.waits))
			}
		})
	}
}

// The feeding gate has lost its power. Requests for its replica wait for its word
// once, for a moment, and not again for a while.
func TestAFeederThatDoesNotAnswerHoldsUpNobody(t *testing.T) {
	c := newCrowd(2, 1, 40*time.Millisecond)
	other := c.others(c.feeder())[0]
	arrive := func(n int) string {
		id := requestAt(c.now, n)
		c.step(other, route.Arrive{Request: route.Request{ID: id, Class: route.Online, Deadline: c.now.Add(time.Second)}})
		return id
	}
	wait := func(d time.Duration) {
		for end := c.now.Add(d); c.now.Before(end); {
			c.now = c.now.Add(crowdTick)
			c.step(other, route.Tick{})
		}
	}
	arrive(1)
	if len(other.sent) != 0 {
		t.Fatal("sent before the feeder's word")
	}
	wait(75 * time.Millisecond)
	if len(other.sent) != 1 {
		t.Fatal("held although the feeder does not answer")
	}
	arrive(2)
	if len(other.sent) != 2 {
		t.Error("the second request waits for a feeder that has just not answered")
	}
}

// A caller leaves while its request waits for the word: its slot is free again, and
// the feeder is told so.
func TestARequestThatIsGivenUpFreesItsPlace(t *testing.T) {
	c := newCrowd(2, 1, 40*time.Millisecond)
	feeder := c.feeder()
	other := c.others(feeder)[0]
	id := requestAt(c.now, 1)
	c.step(other, route.Arrive{Request: route.Request{ID: id, Class: route.Online, Deadline: c.now.Add(time.Second)}})
	c.step(other, route.Abandon{ID: id})
	c.play(0, 10*time.Millisecond)
	if len(other.sent) != 0 {
		t.Error("sent after it was given up")
	}
	if fed := feeder.shard.FedNow("r0"); fed.Online != 0 {
		t.Errorf("the feeder counts %d requests", fed.Online)
	}
}

// A gate is restarted as planned, and serves its callers on for some seconds. The
// others turn to another feeder for its replicas at once. Two gates that take
// themselves for the feeder each know half of the requests, and callers wait behind
// those that they do not know of.
func TestAGateThatDrainsTellsItsRequests(t *testing.T) {
	c := newCrowd(3, 1, 40*time.Millisecond)
	leaving := c.feeder()
	others := c.others(leaving)
	rest := listed(others)
	c.step(leaving, route.Draining{})
	c.step(leaving, route.GatesChanged{Gates: listed(c.gates)})
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
	feeder := c.gate(others[0].shard.Replicas()[0].Feeder)
	if feeder == leaving {
		t.Fatal("the gate that drains still feeds")
	}
	if fed := feeder.shard.FedNow("r0"); fed.Online != 5 {
		t.Errorf("the feeder knows of %d of 5 requests", fed.Online)
	}
	c.step(feeder, route.GatesChanged{Gates: rest})
	if fed := feeder.shard.FedNow("r0"); fed.Online != 5 {
		t.Errorf("after the gates were listed again the feeder knows of %d of 5 requests", fed.Online)
	}
	c.now = c.now.Add(2 * time.Second)
	c.step(feeder, route.GatesChanged{Gates: rest})
	if fed := feeder.shard.FedNow("r0"); fed.Online != 0 {
		t.Errorf("%d requests of a gate count that is gone", fed.Online)
	}
}

// Who feeds a replica changes while a request waits for the word on its slot. The new
// feeder has not heard of it, and must be told.
func TestANewFeederIsToldOfRequestsThatWait(t *testing.T) {
	c := newCrowd(3, 1, 40*time.Millisecond)
	others := c.others(c.feeder())
	rest := listed(others)
	asked := newCrowd(3, 1, 0).gate(rest[0].ID) // of another crowd with the same names
	c.step(asked, route.GatesChanged{Gates: rest})
	feeder := c.gate(asked.shard.Replicas()[0].Feeder)
	waiting := others[0]
	if waiting == feeder {
		waiting = others[1]
	}
	id := requestAt(c.now, 1)
	c.step(waiting, route.Arrive{Request: route.Request{ID: id, Class: route.Online, Deadline: c.now.Add(time.Second)}})
	c.mail = nil // what was said to the old feeder is lost with it
	c.step(feeder, route.GatesChanged{Gates: rest})
	c.step(waiting, route.GatesChanged{Gates: rest})
	c.play(0, 5*time.Millisecond)
	if len(waiting.sent) != 1 {
		t.Error("not sent at the new feeder's word")
	}
	if fed := feeder.shard.FedNow("r0"); fed.Online != 1 {
		t.Errorf("the new feeder knows of %d requests", fed.Online)
	}
}

// All slots are taken, and callers wait at a gate. The requests of other gates end,
// and nobody tells it: its callers wait on beside free slots until what it was told
// last is too old to be believed.
func TestCallersDoNotWaitBesideSlotsThatOthersHaveLeft(t *testing.T) {
	c := newCrowd(3, 1, 40*time.Millisecond)
	others := c.others(c.feeder())
	const many = crowdSlots + crowdSlots/4 // with what an engine's queue is sent
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
	for len(others[1].sent) == 0 && c.now.Sub(came) < 5*time.Second {
		c.play(0, 2*crowdTick)
	}
	// The last of those in slots has ended by then, and two run.
	if waited := c.now.Sub(came); waited > longAnswer+100*time.Millisecond {
		t.Errorf("the request waited %s", waited)
	}
}
