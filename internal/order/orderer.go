package order

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Orderer plans the orders for the engines of a place. It is not safe for concurrent use.
type Orderer struct {
	config         Config
	lease          Lease
	superseded     bool // an engine has received a greater fencing number
	engines        []*engine
	wants          []Want
	targets        map[key]*target
	storeBusyUntil time.Time // time until which earlier loads reserve the weight store
	blocked        []Blocked

	ignoreInFlight bool // for tests: assume that no earlier orderer's order is in flight
}

// engine is an engine with its last known state and its pending order.
type engine struct {
	Engine
	state        State
	queriedAt    time.Time // start of the last completed state query; zero if none
	queryStarted time.Time // start of the state query in progress; zero if none
	pending      *Order
	sentAt       time.Time // when pending was sent
	exported     bool      // its KV cache was exported for the next change
}

// Blocked is a want for which no replica can be added now, and the reason.
type Blocked struct {
	Model  Model
	Role   string
	Reason string
}

// New creates an Orderer without a lease.
func New(config Config) *Orderer {
	config = config.withDefaults()
	return &Orderer{
		config:  config,
		targets: map[key]*target{},
	}
}

// SetLease records a new or renewed lease. A new fencing number discards all state read
// before, because another orderer may have been active in between.
func (o *Orderer) SetLease(lease Lease) {
	if lease.Fence == o.lease.Fence {
		o.lease.Until = lease.Until
		return
	}
	o.lease = lease
	o.superseded = false
	for _, e := range o.engines {
		e.queriedAt, e.queryStarted = time.Time{}, time.Time{}
		e.pending = nil
	}
}

// UpdateEngine records an engine's announcement. If the engine has restarted, its known
// state is discarded and queried again.
func (o *Orderer) UpdateEngine(announced Engine) {
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

// Remove removes an engine that no longer exists.
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

// RecordState records an engine's answer to a state query.
func (o *Orderer) RecordState(name string, state State) {
	i, found := o.find(name)
	if !found {
		return
	}
	e := o.engines[i]
	e.state = state
	e.queriedAt, e.queryStarted = e.queryStarted, time.Time{}
	if state.Fence > o.lease.Fence {
		o.superseded = true
	}
	if e.pending != nil && e.queriedAt.After(e.sentAt) {
		// An export whose answer was lost is not repeated: it only saves work, and
		// must not delay the change that follows it.
		e.exported = e.pending.Kind == ExportKV
		e.pending = nil
	}
}

// RecordFailure records the failure of an order or state query. If the engine rejected the
// order, its state is queried again immediately; if the outcome is unknown, only after
// MaxOrderDuration.
func (o *Orderer) RecordFailure(name string, refused bool) {
	i, found := o.find(name)
	if !found {
		return
	}
	e := o.engines[i]
	e.queryStarted = time.Time{}
	if refused {
		e.pending = nil
		e.queriedAt = time.Time{}
	}
}

// ConfirmOrder records an engine's confirmation that the pending order took effect.
func (o *Orderer) ConfirmOrder(name string, state State) {
	i, found := o.find(name)
	if !found || o.engines[i].pending == nil {
		return
	}
	e := o.engines[i]
	e.exported = e.pending.Kind == ExportKV
	e.pending = nil
	e.state = state
}

// Blocked returns the wants for which the last Step could not add a replica.
func (o *Orderer) Blocked() []Blocked { return o.blocked }

// Step returns the calls to make now.
func (o *Orderer) Step(now time.Time) []Action {
	o.updateTargets(now)
	o.blocked = nil
	if !o.hasLease(now) {
		return nil
	}
	actions := o.stateQueries(now)
	return append(actions, o.plan(now)...)
}

// hasLease reports whether this orderer may send orders: its lease lasts for at least
// SendMargin, and no engine has received a newer fencing number.
func (o *Orderer) hasLease(now time.Time) bool {
	return o.lease.Fence > 0 && !o.superseded && now.Add(o.config.SendMargin).Before(o.lease.Until)
}

// mayOrder reports whether e may receive an order. An engine that ignores fencing numbers
// executes a delayed order of the previous orderer whenever it arrives, possibly undoing one
// of this orderer: it gets no order until MaxOrderDuration has passed and its state has been
// queried after that. An engine that checks fencing numbers rejects the delayed order once
// it has received a newer number: it gets orders as soon as its state has been queried.
func (o *Orderer) mayOrder(now time.Time, e *engine) bool {
	if e.pending != nil || e.queriedAt.IsZero() || e.Leaving || !e.Ready {
		return false
	}
	return !e.queriedAt.Before(o.ordersAllowedFrom(e)) && now.Add(o.config.SendMargin).Before(o.lease.Until)
}

func (o *Orderer) ordersAllowedFrom(e *engine) time.Time {
	if e.ChecksFencing || o.ignoreInFlight {
		return o.lease.Since
	}
	return o.lease.Since.Add(o.config.MaxOrderDuration)
}

// stateQueries returns the state queries that are due: for engines that were never
// queried, at the regular interval, and when the outcome of an order is still unknown
// after MaxOrderDuration.
func (o *Orderer) stateQueries(now time.Time) []Action {
	var actions []Action
	for _, e := range o.engines {
		if !o.stateQueryDue(now, e) {
			continue
		}
		e.queryStarted = now
		actions = append(actions, Action{Engine: e.Name, Read: true, NotAfter: now.Add(o.config.QueryInterval)})
	}
	return actions
}

func (o *Orderer) stateQueryDue(now time.Time, e *engine) bool {
	if !e.queryStarted.IsZero() && now.Sub(e.queryStarted) < o.config.QueryInterval {
		return false // in progress
	}
	if e.pending != nil && now.Sub(e.sentAt) < o.config.MaxOrderDuration {
		return false
	}
	needed := e.queriedAt.Before(o.ordersAllowedFrom(e)) && !now.Before(o.ordersAllowedFrom(e))
	return e.queriedAt.IsZero() || needed || now.Sub(e.queriedAt) >= o.config.QueryInterval
}

// send returns the action that sends an order and records the order as pending.
func (o *Orderer) send(now time.Time, e *engine, order Order) Action {
	e.pending = &order
	e.sentAt = now
	return Action{Engine: e.Name, Order: order, Fence: o.lease.Fence, NotAfter: o.lease.Until}
}

func (o *Orderer) find(name string) (int, bool) {
	return slices.BinarySearchFunc(o.engines, name, func(e *engine, n string) int { return strings.Compare(e.Name, n) })
}
