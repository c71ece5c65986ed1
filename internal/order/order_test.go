package order_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"slateway.example/slateway/internal/order"
)

// TestMain fixes the seed of the property tests, so that each run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20260105") // a number always parses
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

var (
	v1 = order.Model{Name: "wordroom", Version: "1"}
	v2 = order.Model{Name: "wordroom", Version: "2"}
)

// fakeEngine executes orders after a delay, as engines do.
type fakeEngine struct {
	order.Engine
	state   order.State
	arrived []arrival
	applied []order.Order
}

type arrival struct {
	order order.Order
	fence uint64
	at    time.Time
}

func newEngine(name string, checks bool, models ...order.Model) *fakeEngine {
	return &fakeEngine{
		Engine: order.Engine{Name: name, Ready: true, Slots: 8, ChecksFencing: checks, MaxModels: 1},
		state:  order.State{Models: models, Role: "any"},
	}
}

func (e *fakeEngine) read() order.State {
	state := e.state
	state.Models = slices.Clone(e.state.Models)
	state.Adapters = slices.Clone(e.state.Adapters)
	return state
}

// advance executes the orders that have arrived by now.
func (e *fakeEngine) advance(now time.Time) {
	for len(e.arrived) > 0 && !e.arrived[0].at.After(now) {
		next := e.arrived[0]
		e.arrived = e.arrived[1:]
		if e.ChecksFencing && next.fence < e.state.Fence {
			continue
		}
		e.state.Fence = max(e.state.Fence, next.fence)
		e.apply(next.order)
	}
}

func (e *fakeEngine) apply(o order.Order) {
	e.applied = append(e.applied, o)
	switch o.Kind {
	case order.LoadModel:
		e.state.Models = append(e.state.Models, o.Model)
	case order.UnloadModel:
		e.state.Models = slices.DeleteFunc(e.state.Models, func(m order.Model) bool { return m == o.Model })
	case order.LoadAdapter:
		e.state.Adapters = append(e.state.Adapters, o.Adapter)
	case order.SetRole:
		e.state.Role = o.Role
	}
}

func newOrderer(fence uint64, since time.Time, wants []order.Want, engines ...*fakeEngine) *order.Orderer {
	o := order.New(order.Config{MaxOrderDuration: 10 * time.Second})
	o.SetWants(wants)
	for _, e := range engines {
		o.UpdateEngine(e.Engine)
	}
	o.SetLease(order.Lease{Fence: fence, Since: since, Until: since.Add(time.Hour)})
	return o
}

// execute executes the actions of a step: state queries immediately, orders after delay.
func execute(o *order.Orderer, now time.Time, delay time.Duration, engines ...*fakeEngine) []order.Action {
	actions := o.Step(now)
	for _, action := range actions {
		i := slices.IndexFunc(engines, func(e *fakeEngine) bool { return e.Name == action.Engine })
		if action.Read {
			o.RecordState(action.Engine, engines[i].read())
			continue
		}
		engines[i].arrived = append(engines[i].arrived, arrival{action.Order, action.Fence, now.Add(delay)})
	}
	return actions
}

// An orderer orders an engine to unload version 1 and loses its lease; the order is
// delayed. Operators return to version 1, and the next orderer finds it loaded. If the
// delayed order were then executed unnoticed, the service would have no replica. Engines
// that check fencing numbers reject it; for the others the next orderer waits until no
// order can be in flight, and queries the state after that.
func TestStaleOrderer(t *testing.T) {
	cases := []struct {
		name           string
		checks         bool
		guard          bool
		delayedApplied bool
		orderedEarly   bool
	}{
		{"engine checks the number", true, true, false, true},
		{"engine ignores the number", false, true, true, false},
		{"engine ignores the number, no guard", false, false, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			engine := newEngine("e1", c.checks, v1)
			delayed := arrival{order.Order{Kind: order.UnloadModel, Model: v1}, 1, start.Add(8 * time.Second)}
			want := []order.Want{{Model: v1, Min: 1, Adapters: []string{"formal"}}}
			next := newOrderer(2, start, want, engine)
			if !c.guard {
				next.IgnoreInFlight()
			}
			early := false
			for second := range 12 {
				now := start.Add(time.Duration(second) * time.Second)
				if second == 8 {
					engine.arrived = append([]arrival{delayed}, engine.arrived...)
				}
				engine.advance(now)
				for _, action := range execute(next, now, 0, engine) {
					early = early || (!action.Read && second < 10)
				}
			}
			lost := slices.ContainsFunc(engine.applied, func(o order.Order) bool { return o.Kind == order.UnloadModel })
			g.Expect(lost).To(Equal(c.delayedApplied))
			g.Expect(early).To(Equal(c.orderedEarly))
		})
	}
}

// The same delayed order on an engine that ignores fencing numbers: after the wait, the
// orderer finds its effect and loads the model again.
func TestEngineThatIgnoresFencingIsPutRight(t *testing.T) {
	g := NewWithT(t)
	engine := newEngine("e1", false, v1)
	engine.arrived = []arrival{{order.Order{Kind: order.UnloadModel, Model: v1}, 1, start.Add(8 * time.Second)}}
	next := newOrderer(2, start, []order.Want{{Model: v1, Min: 1}}, engine)
	for second := range 30 {
		now := start.Add(time.Duration(second) * time.Second)
		engine.advance(now)
		for _, action := range execute(next, now, time.Second, engine) {
			if !action.Read {
				g.Expect(second).To(BeNumerically(">=", 10))
			}
		}
	}
	g.Expect(engine.state.Models).To(Equal([]order.Model{v1}))
}

// An older orderer still believes that it holds the lease. It must send no orders once an
// engine reports a greater fencing number, or when its lease is about to end.
func TestOrdererFallsSilent(t *testing.T) {
	g := NewWithT(t)
	engine := newEngine("e1", true)
	old := newOrderer(1, start, []order.Want{{Model: v1, Min: 1}}, engine)
	engine.state.Fence = 2
	for second := range 20 {
		for _, action := range execute(old, start.Add(time.Duration(second)*time.Second), 0, engine) {
			g.Expect(action.Read).To(BeTrue())
			g.Expect(second).To(BeZero())
		}
	}
	ending := newOrderer(3, start, []order.Want{{Model: v1, Min: 1}}, engine)
	ending.SetLease(order.Lease{Fence: 3, Since: start, Until: start.Add(time.Second)})
	g.Expect(ending.Step(start)).To(BeEmpty())
}

func TestTargetFallsOnlyAfterAWhile(t *testing.T) {
	g := NewWithT(t)
	o := newOrderer(1, start, nil, newEngine("e1", true), newEngine("e2", true))
	target := func(after time.Duration, demand float64) int {
		o.SetWants([]order.Want{{Model: v1, Min: 1, Demand: demand}})
		o.Step(start.Add(after))
		return o.Target(v1, "")
	}
	g.Expect(target(0, 10)).To(Equal(2)) // 10 slots at 8 per engine and a utilization of 0.7
	g.Expect(target(time.Second, 0)).To(Equal(2))
	g.Expect(target(2*time.Second, 20)).To(Equal(4))
	g.Expect(target(3*time.Second, 0)).To(Equal(4))
	g.Expect(target(order.DefaultScaleDownDelay+2*time.Second, 0)).To(Equal(4))
	g.Expect(target(order.DefaultScaleDownDelay+3*time.Second, 0)).To(Equal(1))
}

func TestExportGoesBeforeUnloadAndRoleChange(t *testing.T) {
	g := NewWithT(t)
	engine := newEngine("e1", true, order.Model{Name: "old", Version: "1"})
	engine.KVExport = true
	engine.state.Role = "prefill"
	o := newOrderer(1, start, []order.Want{{Model: v1, Role: "decode", Min: 1, Bytes: 1 << 20}}, engine)
	for second := range 100 {
		now := start.Add(time.Duration(second) * time.Second)
		execute(o, now, time.Second, engine)
		engine.advance(now.Add(time.Second))
	}
	var kinds []order.Kind
	for _, applied := range engine.applied {
		kinds = append(kinds, applied.Kind)
	}
	g.Expect(kinds).To(Equal([]order.Kind{order.ExportKV, order.SetRole, order.ExportKV, order.UnloadModel, order.LoadModel}))
	g.Expect(engine.state.Role).To(Equal("decode"))
	g.Expect(engine.state.Models).To(Equal([]order.Model{v1}))
}

// For any wants and engines, no order removes the last replica of a wanted model, loads
// stay within the store's rate, and each engine has at most one order at a time.
func TestMovesKeepTheLastReplica(t *testing.T) {
	models := []order.Model{v1, v2, {Name: "pagedesk", Version: "1"}, {Name: "plates", Version: "1"}}
	const bytes = 3 * order.DefaultStoreBytesPerSecond // takes the store three seconds to send
	rapid.Check(t, func(rt *rapid.T) {
		var engines []*fakeEngine
		for i := range rapid.IntRange(1, 6).Draw(rt, "engines") {
			e := newEngine(fmt.Sprint("e", i), rapid.Bool().Draw(rt, "checks"), rapid.SampledFrom(models).Draw(rt, "model"))
			e.MaxModels = rapid.IntRange(1, 2).Draw(rt, "room")
			engines = append(engines, e)
		}
		o := newOrderer(1, start, nil, engines...)
		var wants []order.Want
		loaded := 0
		for second := range 120 {
			now := start.Add(time.Duration(second) * time.Second)
			if second%20 == 0 {
				wants = drawWants(rt, models, bytes)
				o.SetWants(wants)
			}
			for _, e := range engines {
				e.advance(now)
			}
			before := make(map[string]int)
			for _, m := range models {
				before[m.Name] = replicas(engines, m.Name)
			}
			for _, action := range execute(o, now, time.Second, engines...) {
				if action.Order.Kind == order.LoadModel {
					loaded += bytes
				}
				if action.Order.Kind != order.UnloadModel {
					continue
				}
				before[action.Order.Model.Name]--
				wanted := slices.ContainsFunc(wants, func(w order.Want) bool { return w.Model.Name == action.Order.Model.Name })
				if wanted && before[action.Order.Model.Name] < 1 {
					rt.Fatalf("second %d: %s loses the last replica of %s", second, action.Engine, action.Order.Model.Name)
				}
			}
			for _, e := range engines {
				if len(e.arrived) > 1 {
					rt.Fatalf("second %d: %s has %d orders in flight, want at most 1", second, e.Name, len(e.arrived))
				}
			}
			if limit := order.DefaultStoreBytesPerSecond*second + bytes; loaded > limit {
				rt.Fatalf("second %d: %d bytes loaded, %d allowed", second, loaded, limit)
			}
		}
	})
}

func drawWants(rt *rapid.T, models []order.Model, bytes int) []order.Want {
	var wants []order.Want
	for _, m := range models {
		if rapid.Bool().Draw(rt, "wanted") {
			wants = append(wants, order.Want{Model: m, Min: rapid.IntRange(0, 3).Draw(rt, "min"), Bytes: bytes})
		}
	}
	return wants
}

// replicas returns the number of engines that have any version of the model and no order
// to unload it.
func replicas(engines []*fakeEngine, name string) int {
	count := 0
	for _, e := range engines {
		has := slices.ContainsFunc(e.state.Models, func(m order.Model) bool { return m.Name == name })
		leaving := slices.ContainsFunc(e.arrived, func(a arrival) bool {
			return a.order.Kind == order.UnloadModel && a.order.Model.Name == name
		})
		if has && !leaving {
			count++
		}
	}
	return count
}
