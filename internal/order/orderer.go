package order

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Orderer is the decision of one place. It is not safe for concurrent use.
type Orderer struct {
	config     Config
	tenure     Tenure
	superseded bool // an engine has seen a greater fencing number
	engines    []*engine
	wants      []Want
	targets    map[key]*target
	storeFree  time.Time // when the loads ordered so far have used their share of the store
	blocked    []Blocked

	ignoreFlight bool // tests only: trust the lease, as if no order were in flight
}

// engine is an engine and what was last read of it.
type engine struct {
	Engine
	state    State
	readAt   time.Time // start of the reading; zero if never
	askedAt  time.Time // of the reading under way
	pending  *Order
	sentAt   time.Time
	exported bool // its KV cache was exported for the change that comes next
}

// Blocked names a want that cannot be met, and why.
type Blocked struct {
	Model  Model
	Role   string
	Reason string
}

// New makes an Orderer without tenure.
func New(config Config) *Orderer {
	config = config.withDefaults()
	return &Orderer{
		config:  config,
		targets: map[key]*target{},
	}
}

// Grant takes a new or renewed tenure. A new fencing number makes all that was
// read before void: another orderer may have worked in between.
func (o *Orderer) Grant(tenure Tenure) {
	if tenure.Fence == o.tenure.Fence {
		o.tenure.Until = tenure.Until
		return
	}
	o.tenure = tenure
	o.superseded = false
	for _, e := range o.engines {
		e.readAt, e.askedAt = time.Time{}, time.Time{}
		e.pending = nil
	}
}

// Announce takes what an engine says of itself. After a restart it is read anew.
func (o *Orderer) Announce(announced Engine) {
	i, found := o.find(announced.Name)
	if !found {
		o.engines = slices.Insert(o.engines, i, &engine{Engine: announced})
		return
	}
	e := o.engines[i]
	if e.Incarnation != announced.Incarnation {
		*e = engine{}
	}
	e.Engine = announced
}

// Remove forgets an engine that is gone.
func (o *Orderer) Remove(name string) {
	if i, found := o.find(name); found {
		o.engines = slices.Delete(o.engines, i, i+1)
	}
}

// SetWants replaces what is wanted.
func (o *Orderer) SetWants(wants []Want) {
	o.wants = slices.Clone(wants)
	slices.SortFunc(o.wants, func(a, b Want) int {
		return cmp.Or(
			strings.Compare(a.Model.Name, b.Model.Name),
			strings.Compare(a.Model.Version, b.Model.Version),
			strings.Compare(a.Role, b.Role))
	})
}

// ReadBack takes an engine's answer to a reading.
func (o *Orderer) ReadBack(name string, state State) {
	i, found := o.find(name)
	if !found {
		return
	}
	e := o.engines[i]
	e.state = state
	e.readAt, e.askedAt = e.askedAt, time.Time{}
	if state.Fence > o.tenure.Fence {
		o.superseded = true
	}
	if e.pending != nil && e.readAt.After(e.sentAt) {
		// An export whose answer was lost is not repeated for ever: it saves
		// work, and the change behind it must come.
		e.exported = e.pending.Kind == ExportKV
		e.pending = nil
	}
}

// Failed takes the failure of an order or reading. If the engine refused the
// order it is read anew at once; if the outcome is unknown, only after the
// longest time that the order may take.
func (o *Orderer) Failed(name string, refused bool) {
	i, found := o.find(name)
	if !found {
		return
	}
	e := o.engines[i]
	e.askedAt = time.Time{}
	if refused {
		e.pending = nil
		e.readAt = time.Time{}
	}
}

// Answered takes an engine's confirmation that the pending order took effect.
func (o *Orderer) Answered(name string, state State) {
	i, found := o.find(name)
	if !found || o.engines[i].pending == nil {
		return
	}
	e := o.engines[i]
	e.exported = e.pending.Kind == ExportKV
	e.pending = nil
	e.state = state
}

// Blocked lists the wants that the last step could not meet.
func (o *Orderer) Blocked() []Blocked { return o.blocked }

// Step decides what to do now.
func (o *Orderer) Step(now time.Time) []Action {
	o.updateTargets(now)
	o.blocked = nil
	if !o.holds(now) {
		return nil
	}
	actions := o.readings(now)
	return append(actions, o.plan(now)...)
}

// holds reports whether this orderer may order at all: it has a tenure that
// lasts long enough to send, and no engine has seen a newer one.
func (o *Orderer) holds(now time.Time) bool {
	return o.tenure.Fence > 0 && !o.superseded && now.Add(o.config.SendMargin).Before(o.tenure.Until)
}

// mayOrder guards against the last orders of the orderer before. It may have
// sent one just before its lease ran out, and an engine that ignores fencing
// numbers carries it out whenever it arrives: it would undo an order that this
// orderer sent meanwhile, and nobody would look again. So such an engine is left
// alone until the longest order is over, and is read back after that. An engine
// that checks the number refuses the late order once it has seen a newer one; it
// is read back, then ordered at once.
func (o *Orderer) mayOrder(now time.Time, e *engine) bool {
	if e.pending != nil || e.readAt.IsZero() || e.Leaving || !e.Ready {
		return false
	}
	return !e.readAt.Before(o.orderFrom(e)) && now.Add(o.config.SendMargin).Before(o.tenure.Until)
}

func (o *Orderer) orderFrom(e *engine) time.Time {
	if e.ChecksFencing || o.ignoreFlight {
		return o.tenure.Since
	}
	return o.tenure.Since.Add(o.config.LongestOrder)
}

// readings asks engines for their state: never read, due, or an order whose
// outcome is not known after the longest time that it can take.
func (o *Orderer) readings(now time.Time) []Action {
	var actions []Action
	for _, e := range o.engines {
		if !o.readingDue(now, e) {
			continue
		}
		e.askedAt = now
		actions = append(actions, Action{Engine: e.Name, Read: true, NotAfter: now.Add(o.config.ReadEvery)})
	}
	return actions
}

func (o *Orderer) readingDue(now time.Time, e *engine) bool {
	if !e.askedAt.IsZero() && now.Sub(e.askedAt) < o.config.ReadEvery {
		return false // under way
	}
	if e.pending != nil && now.Sub(e.sentAt) < o.config.LongestOrder {
		return false
	}
	needed := e.readAt.Before(o.orderFrom(e)) && !now.Before(o.orderFrom(e))
	return e.readAt.IsZero() || needed || now.Sub(e.readAt) >= o.config.ReadEvery
}

// send makes the action of an order and remembers that it is under way.
func (o *Orderer) send(now time.Time, e *engine, order Order) Action {
	e.pending = &order
	e.sentAt = now
	return Action{Engine: e.Name, Order: order, Fence: o.tenure.Fence, NotAfter: o.tenure.Until}
}

func (o *Orderer) find(name string) (int, bool) {
	return slices.BinarySearchFunc(o.engines, name, func(e *engine, n string) int { return strings.Compare(e.Name, n) })
}
