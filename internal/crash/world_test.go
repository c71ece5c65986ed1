package crash_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

const (
	service       = "wordroom"
	tick          = 25 * time.Millisecond
	slots         = 8
	eventGap      = 40 * time.Millisecond
	events        = 14
	sharedPart    = crash.Part(1)   // first part of most prompts
	harmfulPart   = crash.Part(666) // crashes each replica that begins to answer a request with it
	contactWindow = 3 * time.Second
)

// schedule is what happens to a world.
type schedule struct {
	seed     uint64
	gates    int
	replicas int
	sound    float64 // requests a second over all gates
	harmful  float64
	from     time.Duration // when harmful requests begin to come
	until    time.Duration // when they end
	end      time.Duration
	restart  time.Duration // until a process that ended is back, under another ID
	parts    []crash.Part  // harmful ones; nil: harmfulPart
	first    bool          // the harmful part is the first of its prompts
	items    int           // batch items with a harmful part
	owed     int           // sound batch items
	given    time.Duration // until an item is given up

	spontaneous float64         // replicas that end by themselves, a second
	groups      []time.Duration // when a third of the replicas ends within half a second
	powerCuts   []time.Duration // when all replicas end at once
	stops       []time.Duration // when all gates stop and start again
	kills       []time.Duration // when one gate is killed, and back after a second
	freezes     []time.Duration // when one gate is frozen for two seconds
	cuts        []time.Duration // when one gate is cut off from the others for two seconds
	late        time.Duration   // latest arrival of a message between gates
	rule        crash.Rule
	disabled    route.Guards
}

// replica is a replica's process.
type replica struct {
	id       upstream.ReplicaID
	up       bool
	attempts []*run
	waiting  []*run
}

// run is an attempt of a request on a process.
type run struct {
	gate    *gate
	attempt route.AttemptID
	asked   *request
	replica *replica
	begun   bool
	stopped bool
	sent    int // events
}

// gate is a gate with the decisions of one service.
type gate struct {
	id        string
	shard     *route.Shard
	up        bool
	frozen    time.Time // until then
	cut       time.Time // until then
	disturbed time.Time // when it was last not in touch
	runs      map[route.AttemptID]*run
	started   int
}

func (g *gate) reachable(now time.Time) bool {
	return g.up && !now.Before(g.frozen) && !now.Before(g.cut)
}

func (g *gate) inTouch(now time.Time) bool {
	return g.reachable(now) && now.Sub(g.disturbed) >= contactWindow
}

// request is what a caller has sent.
type request struct {
	id         string
	parts      []crash.Part
	harmful    bool
	gate       *gate
	at         time.Time
	since      time.Time // when it came first
	due        time.Time // when an item is given up
	begun      bool      // at its first attempt
	firstAfter time.Duration
	done       bool
	refused    *apierr.Error
	sends      int
	batch      bool
	leases     int
	crashes    int // processes that ended under an item since its answer last began
	flowed     time.Time
	tried      bool // an attempt is on a replica and has not begun
}

// world is a site of gates and replicas. A replica that ends comes back under another ID.
type world struct {
	schedule
	random     *rand.Rand
	now        time.Time
	began      time.Time
	queue      timers
	gates      []*gate
	control    *crash.Ledger // of the control VMs, which keep it on disk
	replicas   []*replica
	requests   []*request
	byID       map[string]*request
	count      int
	timerCount int

	deaths     []time.Time // of processes that harmful requests ended
	deathsOf   map[crash.Part][]time.Time
	verdicts   map[crash.Part]int // deaths of harmful parts until their first verdict
	ended      int                // processes that ended by themselves
	afterFifth int                // harmful requests sent later than the window after the fifth death, by gates in touch
	sends      int                // harmful requests sent
	itemsLate  int                // the same as afterFifth, of harmful batch items
	itemDeaths int                // processes that harmful items ended
	lastEnd    time.Time          // when a process last ended, of gates too
	together   []string           // items tried on a replica beside another one

	soundCondemned int // verdicts of gates on sound parts
	trace          func(format string, args ...any)
}

func newWorld(s schedule) *world {
	w := &world{
		schedule: s, random: rand.New(rand.NewPCG(s.seed, 1)), now: time.Unix(1_000_000, 0), byID: map[string]*request{}, control: crash.NewLedger(s.rule),
		deathsOf: map[crash.Part][]time.Time{}, verdicts: map[crash.Part]int{}, trace: func(string, ...any) {},
	}
	w.began = w.now
	if len(w.schedule.parts) == 0 {
		w.schedule.parts = []crash.Part{harmfulPart}
	}
	for range s.replicas {
		w.startReplica()
	}
	for i := range s.gates {
		w.gates = append(w.gates, &gate{id: fmt.Sprint("gate-", i)})
		w.startGate(w.gates[i])
	}
	return w
}

// at calls do at a time.
func (w *world) at(at time.Time, do func()) {
	w.timerCount++
	heap.Push(&w.queue, timer{at, w.timerCount, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

func (w *world) between(from, to time.Duration) time.Duration {
	return from + time.Duration(w.random.Int64N(int64(to-from)+1))
}

// run plays the schedule.
func (w *world) run() {
	w.arrivals(w.sound, 0, w.end, func() { w.send(w.soundRequest()) })
	w.arrivals(w.harmful, w.from, w.until, func() { w.send(w.harmfulRequest()) })
	for range w.items {
		w.at(w.began.Add(w.between(w.from, w.from+time.Second)), func() {
			r := w.harmfulRequest()
			r.batch = true
			w.send(r)
		})
	}
	for range w.owed {
		w.at(w.began.Add(w.between(0, w.until)), func() { w.send(w.itemRequest()) })
	}
	w.arrivals(w.spontaneous, 0, w.end, w.endOne)
	for _, at := range w.groups {
		for range len(w.replicas) / 3 {
			w.at(w.began.Add(at+w.between(0, 500*time.Millisecond)), w.endOne)
		}
	}
	for _, at := range w.powerCuts {
		w.at(w.began.Add(at), func() {
			for _, r := range slices.Clone(w.replicas) {
				w.endByItself(r)
			}
		})
	}
	for _, at := range w.stops {
		w.at(w.began.Add(at), func() {
			for _, g := range w.gates {
				w.killGate(g, 300*time.Millisecond)
			}
		})
	}
	for _, at := range w.kills {
		w.at(w.began.Add(at), func() { w.killGate(w.anyGate(), time.Second) })
	}
	for _, at := range w.freezes {
		w.at(w.began.Add(at), func() {
			g := w.anyGate()
			g.frozen = w.now.Add(2 * time.Second)
			g.disturbed = g.frozen
		})
	}
	for _, at := range w.cuts {
		w.at(w.began.Add(at), func() {
			g := w.anyGate()
			g.cut = w.now.Add(2 * time.Second)
			g.disturbed = g.cut
		})
	}
	for end := w.began.Add(w.end); len(w.queue) > 0 && w.queue[0].at.Before(end); {
		next := heap.Pop(&w.queue).(timer)
		w.now = next.at
		next.do()
	}
}

// arrivals calls do at random times with a mean rate a second.
func (w *world) arrivals(rate float64, from, until time.Duration, do func()) {
	if rate <= 0 {
		return
	}
	at := from
	for {
		at += time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return
		}
		w.at(w.began.Add(at), do)
	}
}

func (w *world) anyGate() *gate { return w.gates[w.random.IntN(len(w.gates))] }

func (w *world) startGate(g *gate) {
	g.started++
	config := route.Config{
		Self: g.id, Place: "glas-a", HedgeMin: -1, ProbeAfter: time.Hour, EntryLifetime: time.Hour, StallMin: 70 * time.Millisecond,
		CrashRule: w.rule, Disabled: w.disabled,
	}
	g.shard = route.NewShard(config, rand.New(rand.NewPCG(w.seed, uint64(len(g.id)*1000+g.started))))
	g.runs = map[route.AttemptID]*run{}
	g.up = true
	var gates []route.Gate
	for i := range w.schedule.gates {
		gates = append(gates, route.Gate{ID: fmt.Sprint("gate-", i), Place: "glas-a"})
	}
	w.step(g, route.GatesChanged{Gates: gates})
	w.poll(g)
	for _, r := range w.replicas {
		w.announce(g, r)
	}
	w.ticks(g, g.started)
	w.polls(g, g.started)
}

func (w *world) ticks(g *gate, started int) {
	w.after(tick, func() {
		if g.started != started || !g.up {
			return
		}
		if !w.now.Before(g.frozen) {
			w.step(g, route.Tick{})
		}
		w.ticks(g, started)
	})
}

// pollInterval is how often a gate compares its records with those of a control VM.
const pollInterval = 500 * time.Millisecond

func (w *world) polls(g *gate, started int) {
	w.after(pollInterval, func() {
		if g.started != started || !g.up {
			return
		}
		if g.reachable(w.now) {
			w.poll(g)
		}
		w.polls(g, started)
	})
}

// poll lets a gate have the lasting records of the control VMs, if they differ from its own.
func (w *world) poll(g *gate) {
	if g.shard.PartsHash() == w.control.Hash() {
		return
	}
	w.receive(nil, g, route.ReportCrashes{Parts: w.control.Lasting(w.now)})
	if g.shard.PartsHash() != w.control.Hash() {
		w.control.Merge(w.now, g.shard.LastingParts(w.now))
	}
}

func (w *world) killGate(g *gate, down time.Duration) {
	if !g.up {
		return
	}
	g.up = false
	for _, id := range slices.Sorted(maps.Keys(g.runs)) {
		g.runs[id].leave(w) // a replica drops a request when its connection closes
	}
	g.disturbed = w.now.Add(down)
	w.lastEnd = w.now
	for _, r := range w.requests {
		if r.batch && !r.done && r.gate == g {
			w.leaseAgain(r, leaseTime)
		}
	}
	w.after(down, func() { w.startGate(g) })
}

// leaseTime is how long after its gate has ended an item is leased by another one, and returnTime
// how long after it was returned.
const (
	leaseTime  = time.Second
	returnTime = 50 * time.Millisecond
)

// leaseAgain brings an item that no gate holds any more to a gate later.
func (w *world) leaseAgain(r *request, after time.Duration) {
	r.tried, r.gate = false, nil
	r.leases++
	lease := r.leases
	w.after(after, func() {
		if r.leases == lease {
			w.send(r)
		}
	})
}

func (w *world) startReplica() {
	w.count++
	r := &replica{id: upstream.ReplicaID(fmt.Sprint("i-", w.count)), up: true}
	w.replicas = append(w.replicas, r)
	for _, g := range w.gates {
		w.after(w.between(20*time.Millisecond, 400*time.Millisecond), func() {
			if g.up {
				w.announce(g, r)
			}
		})
	}
}

func (w *world) announce(g *gate, r *replica) {
	if !r.up {
		return
	}
	w.step(g, route.Announced{Announcement: upstream.Announcement{
		Service: service, Kind: upstream.KindEngine, Replica: r.id, Incarnation: 1, Sequence: 1, Address: "10.0.0.1:" + string(r.id[2:]),
		Place: "glas-a", CanResume: true, Load: upstream.Load{Slots: slots, Ready: true},
	}})
}

// endOne ends one process.
func (w *world) endOne() {
	if len(w.replicas) > 0 {
		w.endByItself(w.replicas[w.random.IntN(len(w.replicas))])
	}
}

func (w *world) endByItself(r *replica) {
	if r.up {
		w.ended++
		w.endReplica(r)
	}
}

// endReplica ends a process; another one starts later.
func (w *world) endReplica(r *replica) {
	r.up = false
	w.lastEnd = w.now
	w.replicas = slices.DeleteFunc(w.replicas, func(other *replica) bool { return other == r })
	for _, a := range slices.Concat(r.attempts, r.waiting) {
		a.stopped = true
		a.asked.tried = false
		a.asked.crashes++
		w.after(w.between(time.Millisecond, 20*time.Millisecond), func() { w.report(a, route.Failed{Attempt: a.attempt, Cause: route.CauseBroken}) })
	}
	w.after(w.restart, w.startReplica)
}

// report passes what a gate sees of an attempt to it, later if it is frozen.
func (w *world) report(a *run, in route.Input) {
	g := a.gate
	if !g.up || g.runs[a.attempt] != a {
		return
	}
	if w.now.Before(g.frozen) {
		w.at(g.frozen, func() { w.report(a, in) })
		return
	}
	switch in.(type) {
	case route.Failed, route.Finished:
		delete(g.runs, a.attempt)
	}
	w.step(g, in)
}

func (w *world) soundRequest() *request {
	return w.newRequest([]crash.Part{sharedPart, crash.Part(1000 + w.random.IntN(2000))}, false)
}

// itemParts are parts of items: of all, of some, and of online requests too.
var itemParts = []crash.Part{50, 50, 51, sharedPart}

func (w *world) itemRequest() *request {
	r := w.newRequest([]crash.Part{itemParts[w.random.IntN(len(itemParts))]}, false)
	r.batch = true
	return r
}

func (w *world) harmfulRequest() *request {
	part := w.schedule.parts[w.random.IntN(len(w.schedule.parts))]
	if w.first {
		return w.newRequest([]crash.Part{part, crash.Part(10_000 + w.count)}, true)
	}
	return w.newRequest([]crash.Part{sharedPart, part}, true)
}

// begin records that the answer has begun at the first attempt.
func (r *request) begin(now time.Time) {
	if !r.begun {
		r.begun, r.firstAfter = true, now.Sub(r.at)
	}
}

func (w *world) newRequest(parts []crash.Part, harmful bool) *request {
	w.count++
	r := &request{id: fmt.Sprint("request-", w.count), parts: parts, harmful: harmful}
	w.requests = append(w.requests, r)
	w.byID[r.id] = r
	return r
}

// send brings a request to a gate.
func (w *world) send(r *request) {
	g := w.anyGate()
	for range 10 {
		if g.up && (!r.batch || g.shard.BatchCapacity(route.ThroughputPolicy()) > 0) {
			break
		}
		g = w.anyGate()
	}
	if !g.up && r.batch {
		w.leaseAgain(r, leaseTime)
		return
	}
	if !g.up {
		r.done = true
		return
	}
	r.gate, r.at = g, w.now
	if r.due.IsZero() {
		r.due, r.since = w.now.Add(cmp.Or(w.given, 20*time.Second)), w.now
	}
	if w.now.Before(g.frozen) {
		w.at(g.frozen, func() { w.send(r) })
		return
	}
	in := route.Request{
		ID: r.id, Class: route.Online, Repeatable: true, Resumable: true, MaxAttempts: 2, Parts: r.parts,
		Deadline: w.now.Add(5 * time.Second), Fingerprint: upstream.FingerprintOf(r.id, nil),
	}
	if r.batch {
		in.Class, in.RetryUntilAnswered, in.Policy, in.Deadline = route.Batch, true, route.ThroughputPolicy(), r.due
	}
	w.step(g, route.Arrive{Request: in})
}

// step applies an input to a gate and carries out its outputs.
func (w *world) step(g *gate, in route.Input) {
	delay := time.Duration(0)
	for _, o := range slices.Clone(g.shard.Step(w.now, in)) {
		delay = w.carryOut(g, o, delay)
	}
}

// carryOut carries out one output. It returns how long the next ones wait.
func (w *world) carryOut(g *gate, o route.Output, delay time.Duration) time.Duration {
	switch o := o.(type) {
	case route.Dispatch:
		w.dispatch(g, o, delay)
	case route.Cancel:
		if a := g.runs[o.Attempt]; a != nil && a.asked.batch {
			w.trace("%v %s cancels %s: %s", w.now.Sub(w.began), g.id, a.asked.id, o.Cause)
		}
		if a := g.runs[o.Attempt]; a != nil {
			delete(g.runs, o.Attempt)
			a.leave(w)
		}
	case route.Refuse:
		r := w.byID[o.ID]
		if r.batch && o.Err.Kind == apierr.Unavailable && w.now.Before(r.due) {
			w.trace("%v %s returns %s: %v", w.now.Sub(w.began), g.id, o.ID, o.Err)
			w.leaseAgain(r, returnTime)
			break
		}
		r.refused, r.done = o.Err, true
		w.trace("%v %s refuses %s parts %v: %v", w.now.Sub(w.began), g.id, o.ID, r.parts, o.Err)
	case route.Probe:
		w.probe(g, o)
	case route.ReportCrashes:
		delay = w.spread(g, o)
	case route.ReportParts:
		if o.ControlOnly {
			w.tellControl(g, o.Records)
			break
		}
		w.spread(g, route.ReportCrashes{Parts: o.Records})
	case route.PartJudged:
		w.judged(g, &o.Change)
	}
	return delay
}

func (w *world) probe(g *gate, o route.Probe) {
	started := g.started
	w.after(w.between(time.Millisecond, 12*time.Millisecond), func() {
		if !g.up || g.started != started {
			return
		}
		alive := slices.ContainsFunc(w.replicas, func(r *replica) bool { return r.id == o.Replica })
		w.step(g, route.Probed{Replica: o.Replica, Alive: alive, Refused: !alive})
	})
}

// spread sends reports of crashes to the other gates and returns how long the next outputs wait.
func (w *world) spread(g *gate, o route.ReportCrashes) time.Duration {
	longest := time.Duration(0)
	if len(o.Parts) > 0 {
		w.tellControl(g, o.Parts)
	}
	for _, other := range w.gates {
		if other == g {
			continue
		}
		arrival := w.between(2*time.Millisecond, max(15*time.Millisecond, w.late))
		longest = max(longest, arrival)
		w.after(arrival, func() {
			if other.reachable(w.now) && g.reachable(w.now) {
				w.receive(g, other, o)
			}
		})
	}
	return min(longest, 250*time.Millisecond)
}

func (w *world) tellControl(g *gate, records []crash.Record) {
	w.after(w.between(2*time.Millisecond, 20*time.Millisecond), func() {
		if g.reachable(w.now) {
			w.control.Merge(w.now, records)
		}
	})
}

// receive applies reports at a gate, whose answer goes back.
func (w *world) receive(from, to *gate, o route.ReportCrashes) {
	if len(o.Crashes) > 0 {
		w.step(to, route.CrashesReported{Crashes: o.Crashes})
	}
	if len(o.Parts) == 0 {
		return
	}
	var answer []crash.Record
	for _, out := range slices.Clone(to.shard.Step(w.now, route.PartsReported{Records: o.Parts})) {
		if a, ok := out.(route.AnswerParts); ok {
			answer = a.Records
			continue
		}
		w.carryOut(to, out, 0)
	}
	if len(answer) > 0 && from == nil { // the control VMs
		w.control.Merge(w.now, answer)
		return
	}
	if len(answer) > 0 {
		w.after(w.between(2*time.Millisecond, 15*time.Millisecond), func() {
			if from.reachable(w.now) {
				w.step(from, route.PartsReported{Records: answer, Answer: true})
			}
		})
	}
}

// judged records that a gate has changed its judgement of a part.
func (w *world) judged(g *gate, c *crash.Change) {
	w.trace("%v %s: part %d %s, %d deaths", w.now.Sub(w.began), g.id, uint64(c.Part), c.Standing, c.Deaths)
	if c.Standing != crash.Condemned {
		return
	}
	if !slices.Contains(w.schedule.parts, c.Part) {
		w.soundCondemned++
		return
	}
	if _, known := w.verdicts[c.Part]; !known {
		w.verdicts[c.Part] = len(w.deathsOf[c.Part])
	}
}

func (w *world) firstVerdicts() []int { return slices.Collect(maps.Values(w.verdicts)) }

// harmfulPart returns the harmful part of a request.
func (r *request) harmfulPart(w *world) crash.Part {
	i := slices.IndexFunc(r.parts, func(part crash.Part) bool { return slices.Contains(w.schedule.parts, part) })
	return r.parts[i]
}

func (w *world) dispatch(g *gate, o route.Dispatch, delay time.Duration) {
	a := &run{gate: g, attempt: o.Attempt, asked: w.byID[o.ID]}
	if o.Resume {
		a.sent = 1
	}
	g.runs[o.Attempt] = a
	w.after(delay, func() {
		if g.runs[a.attempt] != a || a.stopped {
			return
		}
		if delay > 0 {
			w.step(g, route.Sent{Attempt: o.Attempt})
		}
		w.after(w.between(time.Millisecond, 5*time.Millisecond), func() { w.arrive(a, o.Target.Replica) })
	})
}

// arrive brings an attempt to its replica.
func (w *world) arrive(a *run, id upstream.ReplicaID) {
	if a.gate.runs[a.attempt] != a || a.stopped {
		return
	}
	at := slices.IndexFunc(w.replicas, func(r *replica) bool { return r.id == id })
	if at < 0 {
		w.after(2*time.Millisecond, func() { w.report(a, route.Failed{Attempt: a.attempt, Cause: route.CauseNotSent}) })
		return
	}
	r := w.replicas[at]
	a.replica = r
	a.asked.sends++
	if a.asked.batch {
		w.trace("%v %s item %s arrives at %s crashes %d", w.now.Sub(w.began), a.gate.id, a.asked.id, r.id, a.asked.crashes)
	}
	w.checkAlone(a)
	a.asked.tried = true
	if a.asked.harmful {
		w.sends++
		deaths := w.deathsOf[a.asked.harmfulPart(w)]
		fifth := len(deaths) >= 5 && w.now.Sub(deaths[4]) > contactWindow
		w.trace("%v %s sends harmful %s to %s (deaths %d)", w.now.Sub(w.began), a.gate.id, a.asked.id, r.id, len(w.deaths))
		switch {
		case !fifth || !a.gate.inTouch(w.now):
		case a.asked.batch:
			w.itemsLate++
		default:
			w.afterFifth++
		}
	}
	if len(r.attempts) >= slots {
		r.waiting = append(r.waiting, a)
		return
	}
	w.admit(r, a)
}

func (w *world) admit(r *replica, a *run) {
	r.attempts = append(r.attempts, a)
	w.after(w.between(20*time.Millisecond, 60*time.Millisecond)+time.Duration(len(r.attempts))*4*time.Millisecond, func() { w.begin(r, a) })
}

// begin makes a replica write the first event of an attempt.
func (w *world) begin(r *replica, a *run) {
	if !r.up || a.stopped {
		return
	}
	if a.asked.harmful {
		w.deaths = append(w.deaths, w.now)
		part := a.asked.harmfulPart(w)
		w.deathsOf[part] = append(w.deathsOf[part], w.now)
		if a.asked.batch {
			w.itemDeaths++
		}
		w.trace("%v %s ends of %s (death %d)", w.now.Sub(w.began), r.id, a.asked.id, len(w.deaths))
		w.endReplica(r)
		return
	}
	a.begun = true
	a.asked.tried, a.asked.crashes, a.asked.flowed = false, 0, w.now
	w.event(r, a)
}

func (w *world) event(r *replica, a *run) {
	if !r.up || a.stopped {
		return
	}
	a.sent++
	if a.sent > events {
		a.leave(w)
		a.asked.done = true
		w.after(time.Millisecond, func() { w.report(a, route.Finished{Attempt: a.attempt}) })
		return
	}
	sent := a.sent
	w.after(2*time.Millisecond, func() {
		if a.asked.sends == 1 && a.gate.runs[a.attempt] == a {
			a.asked.begin(w.now)
		}
		w.report(a, route.Progress{Attempt: a.attempt, Tokens: sent, Delivered: !a.asked.batch})
	})
	w.after(eventGap, func() { w.event(r, a) })
}

// checkAlone records an item under which processes have ended and that comes to a replica on which
// another such item has not begun.
func (w *world) checkAlone(a *run) {
	isOwed := func(r *request) bool { return r.batch && r.crashes >= 2 }
	if !isOwed(a.asked) || !a.gate.inTouch(w.now) {
		return
	}
	for _, other := range slices.Concat(a.replica.attempts, a.replica.waiting) {
		if isOwed(other.asked) && other.asked.tried && other.asked != a.asked {
			w.together = append(w.together, a.asked.id+" beside "+other.asked.id)
		}
	}
}

// leave frees an attempt's slot.
func (a *run) leave(w *world) {
	a.stopped = true
	a.asked.tried = false
	r := a.replica
	if r == nil || !r.up {
		return
	}
	isIt := func(other *run) bool { return other == a }
	r.waiting = slices.DeleteFunc(r.waiting, isIt)
	r.attempts = slices.DeleteFunc(r.attempts, isIt)
	for len(r.attempts) < slots && len(r.waiting) > 0 {
		next := r.waiting[0]
		r.waiting = r.waiting[1:]
		w.admit(r, next)
	}
}

// beganAtFirst returns how many sound requests sent in a period there were, and how many began
// at their first attempt.
func (w *world) beganAtFirst(from, to time.Time) (sent, begun int) {
	for _, r := range w.requests {
		if r.harmful || r.at.Before(from) || !r.at.Before(to) || r.gate == nil || r.batch {
			continue
		}
		sent++
		if r.begun {
			begun++
		}
	}
	return sent, begun
}

// refusedSound returns the sound requests that were refused for what they hold.
func (w *world) refusedSound(reasons ...apierr.Reason) (found []*request) {
	for _, r := range w.requests {
		if !r.harmful && r.refused != nil && slices.Contains(reasons, r.refused.Reason) {
			found = append(found, r)
		}
	}
	return found
}

// timer is what happens at a time; equal times keep their order.
type timer struct {
	at     time.Time
	number int
	do     func()
}

type timers []timer

func (q timers) Len() int { return len(q) }
func (q timers) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].number, q[j].number)) < 0
}
func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timers) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
