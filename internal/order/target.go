package order

import (
	"math"
	"time"
)

// target is how many replicas a want should have.
type target struct {
	count    int
	lowSince time.Time // zero unless the demand asks for fewer
}

// updateTargets follows demand: up at once, down only when demand has asked for
// fewer for a while. Loading weights takes long and the store is slow, so a
// target that followed each dip would move models for nothing.
func (o *Orderer) updateTargets(now time.Time) {
	wanted := map[key]bool{}
	for i := range o.wants {
		want := &o.wants[i]
		wanted[want.key()] = true
		t := o.targets[want.key()]
		if t == nil {
			t = &target{}
			o.targets[want.key()] = t
		}
		t.follow(now, o.needed(want), o.config.DownAfter)
	}
	for k := range o.targets {
		if !wanted[k] {
			delete(o.targets, k)
		}
	}
}

func (t *target) follow(now time.Time, needed int, downAfter time.Duration) {
	switch {
	case needed >= t.count:
		t.count = needed
		t.lowSince = time.Time{}
	case t.lowSince.IsZero():
		t.lowSince = now
	case now.Sub(t.lowSince) >= downAfter:
		t.count = needed
		t.lowSince = time.Time{}
	}
}

// needed gives the replicas that carry the demand at the planned fill.
func (o *Orderer) needed(want *Want) int {
	slots := o.typicalSlots()
	count := int(math.Ceil(want.Demand / (slots * o.config.FillTo)))
	count = max(count, want.Min)
	if want.Max > 0 {
		count = min(count, want.Max)
	}
	return count
}

// typicalSlots is the mean of the engines' slots.
func (o *Orderer) typicalSlots() float64 {
	sum := 0
	for _, e := range o.engines {
		sum += e.Slots
	}
	if sum == 0 {
		return 1
	}
	return float64(sum) / float64(len(o.engines))
}

// Target gives the replicas planned for a want, for counters and operators.
func (o *Orderer) Target(model Model, role string) int {
	if t := o.targets[key{model, role}]; t != nil {
		return t.count
	}
	return 0
}
