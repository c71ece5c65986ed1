package route_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// model drives one shard with inputs in any order and checks the invariants after each
// of them.
type model struct {
	t        *rapid.T
	shard    *route.Shard
	now      time.Time
	sequence uint64
	arrived  int
	retries  int // retries and hedges of online requests
	open     map[string]*modelRequest
	live     map[route.AttemptID]*modelAttempt
	replicas map[upstream.ReplicaID]*modelReplica
}

type modelRequest struct {
	route.Request
	sent bool // an attempt may have reached a replica
}

type modelAttempt struct {
	req *modelRequest
	on  *modelReplica
}

type modelReplica struct {
	id      upstream.ReplicaID
	leaving bool
	suspect bool
	online  int
	batch   int
}

const (
	modelSlots    = 3
	modelReplicas = 3
	modelDeadline = 20 * time.Second
	modelReserve  = 10 // maximum saved retries; a fifth of it at the start
)

func (m *model) step(in route.Input) {
	for _, o := range slices.Clone(m.shard.Step(m.now, in)) {
		switch o := o.(type) {
		case route.Dispatch:
			m.recordDispatch(o)
		case route.Cancel:
			if o.Cause == route.CancelSilent || o.Cause == route.CancelDied {
				m.live[o.Attempt].on.suspect = true
			}
			m.end(o.Attempt)
		case route.Refuse:
			m.recordAnswer(o.ID)
		}
	}
}

func (m *model) recordDispatch(o route.Dispatch) {
	req, on := m.open[o.ID], m.replicas[o.Target.Replica]
	if req == nil {
		m.t.Fatalf("%s was sent after its final answer", o.ID)
	}
	if on.leaving || on.suspect {
		m.t.Fatalf("%s was sent to %+v", o.ID, *on)
	}
	if !req.Repeatable && req.sent {
		m.t.Fatalf("%s may not be repeated and was sent again", o.ID)
	}
	req.sent = true
	m.live[o.Attempt] = &modelAttempt{req: req, on: on}
	if req.Class == route.Online {
		on.online++
		if o.Kind == route.Retry || o.Kind == route.Hedge {
			m.retries++
		}
		return
	}
	on.batch++
	if on.online+on.batch > modelSlots {
		m.t.Fatalf("batch %s was sent to a full replica: %+v", o.ID, *on)
	}
}

func (m *model) end(id route.AttemptID) {
	a := m.live[id]
	if a == nil {
		m.t.Fatalf("attempt %d was cancelled and is not live", id)
	}
	delete(m.live, id)
	if a.req.Class == route.Online {
		a.on.online--
	} else {
		a.on.batch--
	}
}

func (m *model) recordAnswer(id string) {
	if m.open[id] == nil {
		m.t.Fatalf("%s got a second final answer", id)
	}
	delete(m.open, id)
}

func (m *model) anyAttempt(t *rapid.T) route.AttemptID {
	if len(m.live) == 0 {
		t.Skip("nothing runs")
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(m.live))).Draw(t, "attempt")
}

func (m *model) anyReplica(t *rapid.T) *modelReplica {
	ids := slices.Sorted(maps.Keys(m.replicas))
	return m.replicas[rapid.SampledFrom(ids).Draw(t, "replica")]
}

func (m *model) arrive(t *rapid.T) {
	m.arrived++
	req := &modelRequest{Request: route.Request{
		ID: fmt.Sprint("q", m.arrived), Class: route.Online, Resumable: true,
		Repeatable:  rapid.Bool().Draw(t, "repeatable"),
		Deadline:    m.now.Add(modelDeadline),
		Fingerprint: upstream.Fingerprint(rapid.IntRange(1, 8).Draw(t, "fingerprint")),
		Prefix:      rapid.Uint64Range(0, 3).Draw(t, "prefix"),
	}}
	if rapid.Bool().Draw(t, "batch") {
		req.Class = route.Batch
		req.Policy = rapid.SampledFrom([]route.Policy{route.TailPolicy(), route.ThroughputPolicy()}).Draw(t, "policy")
	}
	m.open[req.ID] = req
	m.step(route.Arrive{Request: req.Request})
}

func (m *model) finish(t *rapid.T) {
	id := m.anyAttempt(t)
	a := m.live[id]
	m.end(id)
	m.recordAnswer(a.req.ID)
	m.step(route.Finished{Attempt: id})
}

func (m *model) fail(t *rapid.T) {
	id := m.anyAttempt(t)
	causes := []route.FailureCause{route.CauseNotSent, route.CauseBroken, route.CauseStatus, route.CauseMismatch, route.CauseBusy}
	cause := rapid.SampledFrom(causes).Draw(t, "cause")
	a := m.live[id]
	m.end(id)
	if cause == route.CauseNotSent {
		a.req.sent = false
	}
	a.on.suspect = a.on.suspect || cause == route.CauseNotSent || cause == route.CauseBroken
	m.step(route.Failed{Attempt: id, Cause: cause})
}

func (m *model) probed(t *rapid.T) {
	r := m.anyReplica(t)
	alive := rapid.Bool().Draw(t, "alive")
	r.suspect = !alive
	m.step(route.Probed{Replica: r.id, Alive: alive, Refused: !alive})
}

func (m *model) announce(t *rapid.T) {
	r := m.anyReplica(t)
	r.leaving = r.leaving || rapid.IntRange(0, 9).Draw(t, "leaves") == 0
	m.report(r)
}

// report announces the replica with its true load.
func (m *model) report(r *modelReplica) {
	m.sequence++
	m.step(route.Announced{Announcement: upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: r.id, Incarnation: 1, Sequence: m.sequence,
		Address: "10.0.0.1:8000", Place: "glas-a", CanResume: true,
		Load: upstream.Load{Slots: modelSlots, Ready: true, Leaving: r.leaving, Running: r.online + r.batch},
	}})
}

func (m *model) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	m.step(route.Tick{})
}

// check verifies after each input that retries stay within their share, and that no
// replica with preemptible batch work has more requests than slots.
func (m *model) check(t *rapid.T) {
	if allowed := modelReserve/5 + m.arrived/10; m.retries > allowed {
		t.Fatalf("%d retries of %d requests", m.retries, m.arrived)
	}
	stoppable := map[*modelReplica]bool{}
	for _, a := range m.live {
		if a.req.Class == route.Batch && a.req.Repeatable {
			stoppable[a.on] = true
		}
	}
	for r := range stoppable {
		if r.online+r.batch > modelSlots {
			t.Fatalf("batch work is queued at %+v", *r)
		}
	}
}

// TestAnyOrderOfEvents checks random orders of arrivals, answers, faults, announcements
// and time: each request gets exactly one final answer, nothing is sent to a leaving or
// suspect replica, a request that may not be repeated runs once, and the limits of
// check hold.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: epoch, open: map[string]*modelRequest{}, live: map[route.AttemptID]*modelAttempt{},
			replicas: map[upstream.ReplicaID]*modelReplica{},
			shard: route.NewShard(route.Config{
				Self: "g1", Place: "glas-a", HedgeMin: 50 * time.Millisecond, EntryLifetime: 24 * time.Hour,
				RetryReserve: modelReserve,
			}, rand.New(rand.NewPCG(1, 2))),
		}
		for i := range modelReplicas {
			r := &modelReplica{id: upstream.ReplicaID(fmt.Sprint("r", i))}
			m.replicas[r.id] = r
			m.report(r)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "arrive": m.arrive, "arrive more": m.arrive, "finish": m.finish, "fail": m.fail,
			"probed": m.probed, "announce": m.announce, "tick": m.tick,
			"progress": func(t *rapid.T) {
				m.step(route.Progress{Attempt: m.anyAttempt(t), Tokens: rapid.IntRange(0, 9).Draw(t, "tokens"), Delivered: rapid.Bool().Draw(t, "delivered")})
			},
		})
		m.expectAllAnswered()
	})
}

// expectAllAnswered lets time pass until every request must have its answer.
func (m *model) expectAllAnswered() {
	for range 12 {
		m.now = m.now.Add(modelDeadline)
		m.step(route.Tick{})
	}
	for id, req := range m.open {
		m.t.Fatalf("%s never got an answer: %+v", id, req)
	}
}
