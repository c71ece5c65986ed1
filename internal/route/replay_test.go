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

// replayer replays a trace.
type replayer struct {
	trace    trace
	shards   map[string]*route.Shard
	nowMS    int
	sequence uint64
	attempts map[string]*replayAttempt // by request and number
	byID     map[string]*replayAttempt // by gate and attempt ID
	tried    map[string]int
	state    map[string]string // final state of requests
	cancels  map[string]int
	dead     map[upstream.ReplicaID]bool
	frozen   map[upstream.ReplicaID]bool
	peak     int // highest number of concurrent attempts on a replica that runs batch work
	failures []string
	pending  []delayed
}

type replayAttempt struct {
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

func (b *replayer) time() time.Time { return epoch.Add(time.Duration(b.nowMS) * time.Millisecond) }

func newReplayer(tr trace, guards route.Guards) *replayer {
	b := &replayer{
		trace: tr, shards: map[string]*route.Shard{}, attempts: map[string]*replayAttempt{}, byID: map[string]*replayAttempt{},
		tried: map[string]int{}, state: map[string]string{}, cancels: map[string]int{},
		dead: map[upstream.ReplicaID]bool{}, frozen: map[upstream.ReplicaID]bool{},
	}
	for i, name := range tr.Gates {
		config := route.Config{
			Self: name, Place: "glas-a", Disabled: guards,
			HedgeMin: time.Duration(tr.Hedge) * time.Millisecond, EntryLifetime: time.Hour,
		}
		b.shards[name] = route.NewShard(config, rand.New(rand.NewPCG(1, uint64(i))))
		b.deliver(name, route.GatesChanged{Gates: gatesOf(tr.Gates)})
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

func (b *replayer) announce(st step) {
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
		b.deliver(name, in)
	}
}

func (b *replayer) deliver(gate string, in route.Input) {
	shard := b.shards[gate]
	if shard == nil {
		return
	}
	for _, o := range slices.Clone(shard.Step(b.time(), in)) {
		b.handleOutput(gate, o)
	}
}

func (b *replayer) handleOutput(gate string, o route.Output) {
	switch o := o.(type) {
	case route.Dispatch:
		b.recordDispatch(gate, o)
	case route.Cancel:
		b.end(gate, o.Attempt)
		b.cancels[string(o.Cause)]++
	case route.Refuse:
		b.state[o.ID] = string(o.Err.Reason)
	case route.Probe:
		b.answerProbe(gate, o.Replica)
	case route.ReportLoad:
		b.deliver(o.Gate, route.LoadReported{Gate: gate, Replica: o.Replica, Online: o.Online, Batch: o.Batch})
	case route.ReportCrashes:
		for _, other := range b.trace.Gates {
			if other != gate {
				b.deliver(other, route.CrashesReported{Crashes: o.Crashes})
			}
		}
	}
}

// Delays of the replay, in ms.
const (
	probeTime    = 2   // a probe of a live replica, or of a VM whose process has ended
	probeTimeout = 400 // a probe of a frozen replica
	breakTime    = 5   // until the connections to a killed process break
)

func (b *replayer) answerProbe(gate string, id upstream.ReplicaID) {
	answer := route.Probed{Replica: id, Alive: !b.dead[id] && !b.frozen[id], Refused: b.dead[id]}
	if b.frozen[id] {
		b.after(probeTimeout, gate, answer)
		return
	}
	b.after(probeTime, gate, answer)
}

// killReplica ends a replica's process: all connections to it break.
func (b *replayer) killReplica(id upstream.ReplicaID) {
	b.dead[id] = true
	for _, key := range slices.Sorted(maps.Keys(b.byID)) {
		if r := b.byID[key]; r.live && r.replica == id {
			b.after(breakTime, r.gate, route.Failed{Attempt: r.attempt, Cause: route.CauseBroken})
		}
	}
}

func (b *replayer) recordDispatch(gate string, o route.Dispatch) {
	b.tried[o.ID]++
	r := &replayAttempt{
		gate: gate, id: o.ID, attempt: o.Attempt, replica: o.Target.Replica,
		at: b.nowMS, live: true, batch: strings.HasPrefix(o.ID, "b"),
	}
	b.attempts[fmt.Sprintf("%s#%d", o.ID, b.tried[o.ID])] = r
	b.byID[fmt.Sprint(gate, o.Attempt)] = r
	b.state[o.ID] = string(r.replica)
	if b.trace.Crash > 0 && strings.HasPrefix(o.ID, "poison") || b.dead[r.replica] {
		b.killReplica(r.replica)
	}
}

func (b *replayer) end(gate string, id route.AttemptID) {
	if r := b.byID[fmt.Sprint(gate, id)]; r != nil {
		r.live = false
		if b.state[r.id] == string(r.replica) {
			b.state[r.id] = "waiting"
		}
	}
}

func (b *replayer) after(ms int, gate string, in route.Input) {
	b.pending = append(b.pending, delayed{at: b.nowMS + ms, gate: gate, in: in})
	slices.SortStableFunc(b.pending, func(x, y delayed) int { return x.at - y.at })
}

// recordPeak records the load of the replicas that run batch work at the end of a step.
func (b *replayer) recordPeak() {
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

// advance lets time pass in ticks and delivers the pending inputs that are due.
func (b *replayer) advance(to int) {
	for b.nowMS < to {
		b.nowMS++
		for len(b.pending) > 0 && b.pending[0].at <= b.nowMS {
			next := b.pending[0]
			b.pending = b.pending[1:]
			if failed, ok := next.in.(route.Failed); ok {
				b.end(next.gate, failed.Attempt)
			}
			b.deliver(next.gate, next.in)
		}
		if b.nowMS%tickMS == 0 {
			for _, name := range b.trace.Gates {
				b.deliver(name, route.Tick{})
			}
			b.sendTokens()
		}
	}
}

func (b *replayer) sendTokens() {
	if !b.trace.Paced {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(b.byID)) {
		if r := b.byID[key]; r.live && !b.dead[r.replica] && !b.frozen[r.replica] {
			r.tokens++
			b.deliver(r.gate, route.Progress{Attempt: r.attempt, Tokens: r.tokens, Delivered: !r.batch})
		}
	}
}

func (b *replayer) replicaOf(st step) upstream.ReplicaID {
	if r := b.attempts[st.Replica]; r != nil {
		return r.replica
	}
	return upstream.ReplicaID(st.Replica)
}

func (b *replayer) run(st step) {
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
			b.deliver(gate, route.Arrive{Request: b.request(st, i)})
		}
	case "progress":
		b.deliver(r.gate, route.Progress{Attempt: r.attempt, Tokens: st.Tokens, Delivered: !r.batch})
	case "finish":
		if r.live {
			b.end(r.gate, r.attempt)
			b.state[r.id] = "done"
		}
		b.deliver(r.gate, route.Finished{Attempt: r.attempt})
	case "fail":
		b.end(r.gate, r.attempt)
		b.deliver(r.gate, route.Failed{Attempt: r.attempt, Cause: route.FailureCause(st.Cause)})
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
				b.killGate(name)
			}
		}
		for _, name := range st.Gates {
			b.deliver(name, route.GatesChanged{Gates: gatesOf(st.Gates)})
		}
	case "expect":
		b.expect(st)
	default:
		b.failf("unknown step %q", st.Do)
	}
	b.recordPeak()
}

func (b *replayer) killGate(gate string) {
	delete(b.shards, gate)
	for _, r := range b.byID {
		r.live = r.live && r.gate != gate
	}
}

func (b *replayer) request(st step, i int) route.Request {
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

func (b *replayer) failf(format string, args ...any) {
	b.failures = append(b.failures, fmt.Sprintf("at %d ms: ", b.nowMS)+fmt.Sprintf(format, args...))
}

func (b *replayer) expect(st step) {
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
	b.expectReplicas(st)
}

func (b *replayer) expectReplicas(st step) {
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
				b.failf("%s was sent to %s", key, id)
			}
		}
	}
}
