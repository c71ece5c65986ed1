package order

import (
	"math"
	"time"
)

// target is the planned number of replicas of a want.
type target struct {
	count    int
	lowSince time.Time // when demand fell below the target; zero if it has not
}

// updateTargets adjusts the targets to demand: up immediately, down only after demand
// has been lower for ScaleDownDelay. Loading weights takes long and the store is slow,
// so following each dip would cause needless unloads and loads.
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
		t.adjust(now, o.neededReplicas(want), o.config.ScaleDownDelay)
	}
	for k := range o.targets {
		if !wanted[k] {
			delete(o.targets, k)
		}
	}
}

func (t *target) adjust(now time.Time, needed int, downAfter time.Duration) {
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

// neededReplicas returns the number of replicas that serve the demand at the planned
// utilization, within the want's limits.
func (o *Orderer) neededReplicas(want *Want) int {
	slots := o.meanSlots()
	count := int(math.Ceil(want.Demand / (slots * o.config.TargetUtilization)))
	count = max(count, want.Min)
	if want.Max > 0 {
		count = min(count, want.Max)
	}
	return count
}

// meanSlots returns the mean number of slots per engine, 1 if there are none.
func (o *Orderer) meanSlots() float64 {
	sum := 0
	for _, e := range o.engines {
		sum += e.Slots
	}
	if sum == 0 {
		return 1
	}
	return float64(sum) / float64(len(o.engines))
}

// Target returns the planned number of replicas of a want, for metrics and operators.
func (o *Orderer) Target(model Model, role string) int {
	if t := o.targets[key{model, role}]; t != nil {
		return t.count
	}
	return 0
}
