package route_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// bench replays a trace.
type bench struct {
	trace    trace
	shards   map[string]*route.Shard
	at       int
	sequence uint64
	attempts map[string]*ran // by request and number
	byID     map[string]*ran // by gate and attempt ID
	tried    map[string]int
	state    map[string]string // final state of requests
	cancels  map[string]int
	dead     map[upstream.ReplicaID]bool
	frozen   map[upstream.ReplicaID]bool
	peak     int // highest number of attempts at once on one replica, batch being there
	failures []string
	later    []delayed
}

type ran struct {
	gate, id string
	attempt  route.AttemptID
	replica  upstream.ReplicaID
	at       int
	live     bool
	batch    bool
	tokens   int
}

type delayed struct {
	at   int
	gate string
	in   route.Input
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (b *bench) time() time.Time { return epoch.Add(time.Duration(b.at) * time.Millisecond) }

func newBench(tr trace, guards route.Guards) *bench {
	b := &bench{
		trace: tr, shards: map[string]*route.Shard{}, attempts: map[string]*ran{}, byID: map[string]*ran{},
		tried: map[string]int{}, state: map[string]string{}, cancels: map[string]int{},
		dead: map[upstream.ReplicaID]bool{}, frozen: map[upstream.ReplicaID]bool{},
	}
	for i, name := range tr.Gates {
		config := route.Config{
			Self: name, Place: "glas-a", Disabled: guards,
			HedgeMin: time.Duration(tr.Hedge) * time.Millisecond, EntryLifetime: time.Hour,
		}
		b.shards[name] = route.NewShard(config, rand.New(rand.NewPCG(1, uint64(i))))
		b.give(name, route.GatesChanged{Gates: gatesOf(tr.Gates)})
	}
	for i := range tr.Replicas {
		b.announce(step{Replica: fmt.Sprintf("r%d", i+1)})
	}
	return b
}

func gatesOf(names []string) []route.Gate {
	var gates []route.Gate
	for _, name := range names {
		gates = append(gates, route.Gate{ID: name, Place: "glas-a"})
	}
	return gates
}

func (b *bench) announce(st step) {
	b.sequence++
	sequence := b.sequence
	if st.Sequence > 0 {
		sequence = uint64(st.Sequence)
	}
	in := route.Announced{Announcement: upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: upstream.ReplicaID(st.Replica), Incarnation: 1,
		Sequence: sequence, Address: "10.0.0.1:8000", Place: "glas-a", CanResume: true,
		Load: upstream.Load{Slots: b.trace.Slots, Ready: true, Leaving: st.Leaving, Running: st.Running},
	}}
	for _, name := range b.trace.Gates {
		b.give(name, in)
	}
}

func (b *bench) give(gate string, in route.Input) {
	shard := b.shards[gate]
	if shard == nil {
		return
	}
	for _, o := range slices.Clone(shard.Step(b.time(), in)) {
		b.take(gate, o)
	}
}

func (b *bench) take(gate string, o route.Output) {
	switch o := o.(type) {
	case route.Dispatch:
		b.dispatched(gate, o)
	case route.Cancel:
		b.end(gate, o.Attempt)
		b.cancels[string(o.Cause)]++
	case route.Refuse:
		b.state[o.ID] = string(o.Err.Reason)
	case route.Probe:
		b.answerProbe(gate, o.Replica)
	case route.YieldTo:
		b.give(o.Gate, route.YieldAsked{Gate: gate, Replica: o.Replica, Online: o.Online, Batch: o.Batch})
	case route.Spread:
		for _, other := range b.trace.Gates {
			if other != gate {
				b.give(other, route.Struck(o))
			}
		}
	}
}

// Times of the replay, in ms.
const (
	probeTime    = 2   // a probe of a live replica, or of a VM whose process has ended
	probeTimeout = 400 // a probe of a frozen replica
	breakTime    = 5   // until the connections to a killed process break
)

func (b *bench) answerProbe(gate string, id upstream.ReplicaID) {
	answer := route.Probed{Replica: id, Alive: !b.dead[id] && !b.frozen[id], Refused: b.dead[id]}
	if b.frozen[id] {
		b.after(probeTimeout, gate, answer)
		return
	}
	b.after(probeTime, gate, answer)
}

// killReplica ends a replica's process: all connections to it break.
func (b *bench) killReplica(id upstream.ReplicaID) {
	b.dead[id] = true
	for _, key := range slices.Sorted(maps.Keys(b.byID)) {
		if r := b.byID[key]; r.live && r.replica == id {
			b.after(breakTime, r.gate, route.Failed{Attempt: r.attempt, Cause: route.CauseBroken})
		}
	}
}

func (b *bench) dispatched(gate string, o route.Dispatch) {
	b.tried[o.ID]++
	r := &ran{
		gate: gate, id: o.ID, attempt: o.Attempt, replica: o.Target.Replica,
		at: b.at, live: true, batch: strings.HasPrefix(o.ID, "b"),
	}
	b.attempts[fmt.Sprintf("%s#%d", o.ID, b.tried[o.ID])] = r
	b.byID[fmt.Sprint(gate, o.Attempt)] = r
	b.state[o.ID] = string(r.replica)
	if b.trace.Crash > 0 && strings.HasPrefix(o.ID, "poison") || b.dead[r.replica] {
		b.killReplica(r.replica)
	}
}

func (b *bench) end(gate string, id route.AttemptID) {
	if r := b.byID[fmt.Sprint(gate, id)]; r != nil {
		r.live = false
		if b.state[r.id] == string(r.replica) {
			b.state[r.id] = "waiting"
		}
	}
}

func (b *bench) after(ms int, gate string, in route.Input) {
	b.later = append(b.later, delayed{at: b.at + ms, gate: gate, in: in})
	slices.SortStableFunc(b.later, func(x, y delayed) int { return x.at - y.at })
}

// measure records the load of the replicas that run batch, when a step is over.
func (b *bench) measure() {
	total, batch := map[upstream.ReplicaID]int{}, map[upstream.ReplicaID]bool{}
	for _, r := range b.byID {
		if r.live {
			total[r.replica]++
			batch[r.replica] = batch[r.replica] || r.batch
		}
	}
	for id, count := range total {
		if batch[id] {
			b.peak = max(b.peak, count)
		}
	}
}

const tickMS = 25

// advance lets time pass in ticks and gives the delayed inputs that fall due.
func (b *bench) advance(to int) {
	for b.at < to {
		b.at++
		for len(b.later) > 0 && b.later[0].at <= b.at {
			next := b.later[0]
			b.later = b.later[1:]
			if failed, ok := next.in.(route.Failed); ok {
				b.end(next.gate, failed.Attempt)
			}
			b.give(next.gate, next.in)
		}
		if b.at%tickMS == 0 {
			for _, name := range b.trace.Gates {
				b.give(name, route.Tick{})
			}
			b.pace()
		}
	}
}

func (b *bench) pace() {
	if !b.trace.Paced {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(b.byID)) {
		if r := b.byID[key]; r.live && !b.dead[r.replica] && !b.frozen[r.replica] {
			r.tokens++
			b.give(r.gate, route.Progress{Attempt: r.attempt, Tokens: r.tokens, Delivered: !r.batch})
		}
	}
}

func (b *bench) replicaOf(st step) upstream.ReplicaID {
	if r := b.attempts[st.Replica]; r != nil {
		return r.replica
	}
	return upstream.ReplicaID(st.Replica)
}

func (b *bench) run(st step) {
	b.advance(st.At)
	gate := st.Gate
	if gate == "" {
		gate = b.trace.Gates[0]
	}
	r := b.attempts[st.Attempt]
	if st.Attempt != "" && r == nil {
		b.failf("no attempt %s", st.Attempt)
		return
	}
	switch st.Do {
	case "arrive":
		for i := range max(st.Count, 1) {
			b.give(gate, route.Arrive{Request: b.request(st, i)})
		}
	case "progress":
		b.give(r.gate, route.Progress{Attempt: r.attempt, Tokens: st.Tokens, Delivered: !r.batch})
	case "finish":
		if r.live {
			b.end(r.gate, r.attempt)
			b.state[r.id] = "done"
		}
		b.give(r.gate, route.Finished{Attempt: r.attempt})
	case "fail":
		b.end(r.gate, r.attempt)
		b.give(r.gate, route.Failed{Attempt: r.attempt, Cause: route.FailureCause(st.Cause)})
	case "kill":
		b.killReplica(b.replicaOf(st))
	case "freeze":
		b.frozen[b.replicaOf(st)] = true
	case "thaw":
		delete(b.frozen, b.replicaOf(st))
	case "announce":
		st.Replica = string(b.replicaOf(st))
		b.announce(st)
	case "gates":
		for name := range b.shards {
			if !slices.Contains(st.Gates, name) {
				b.kill(name)
			}
		}
		for _, name := range st.Gates {
			b.give(name, route.GatesChanged{Gates: gatesOf(st.Gates)})
		}
	case "expect":
		b.expect(st)
	default:
		b.failf("unknown step %q", st.Do)
	}
	b.measure()
}

func (b *bench) kill(gate string) {
	delete(b.shards, gate)
	for _, r := range b.byID {
		r.live = r.live && r.gate != gate
	}
}

func (b *bench) request(st step, i int) route.Request {
	id := st.ID
	if st.Count > 0 {
		id = fmt.Sprintf("%s-%d", st.ID, i)
	}
	request := route.Request{
		ID: id, Team: "council", Class: route.Online, Deadline: b.time().Add(time.Minute),
		Fingerprint: upstream.FingerprintOf(id, nil), Repeatable: !st.Once, Resumable: true,
	}
	if strings.HasPrefix(id, "poison") {
		request.Fingerprint = b.trace.Crash
	}
	switch st.Batch {
	case "throughput":
		request.Class, request.Policy = route.Batch, route.ThroughputPolicy()
	case "tail":
		request.Class, request.Policy = route.Batch, route.TailPolicy()
	}
	return request
}

func (b *bench) failf(format string, args ...any) {
	b.failures = append(b.failures, fmt.Sprintf("at %d ms: ", b.at)+fmt.Sprintf(format, args...))
}

func (b *bench) expect(st step) {
	for id, want := range st.Want {
		got := b.state[id]
		running := strings.HasPrefix(got, "r") && b.dead[upstream.ReplicaID(got)] == false && len(got) <= 3
		if got != want && !(want == "running" && running) {
			b.failf("%s is %q, want %q", id, got, want)
		}
	}
	for cause, want := range st.Cancels {
		if b.cancels[cause] != want {
			b.failf("%d attempts cancelled as %s, want %d", b.cancels[cause], cause, want)
		}
	}
	if st.Lost != nil && len(b.dead) > *st.Lost {
		b.failf("%d replicas lost, want at most %d", len(b.dead), *st.Lost)
	}
	if st.MaxLoad > 0 && b.peak > st.MaxLoad {
		b.failf("%d requests at once on a replica with batch, want at most %d", b.peak, st.MaxLoad)
	}
	b.expectPlaces(st)
}

func (b *bench) expectPlaces(st step) {
	seen := map[upstream.ReplicaID]string{}
	for _, name := range st.Apart {
		r := b.attempts[name]
		switch {
		case r == nil:
			b.failf("no attempt %s", name)
		case seen[r.replica] != "":
			b.failf("%s and %s both ran on %s", seen[r.replica], name, r.replica)
		default:
			seen[r.replica] = name
		}
	}
	for _, name := range st.Not {
		id := b.replicaOf(step{Replica: name})
		for key, r := range b.attempts {
			if r.replica == id && r.at > st.Since {
				b.failf("%s went to %s", key, id)
			}
		}
	}
}
