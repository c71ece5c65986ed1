package order

import (
	"cmp"
	"slices"
	"time"
)

// plan returns the next orders: first those for wants that lack replicas, in order of
// need, then loads of adapters, then unloads of versions that are no longer needed.
func (o *Orderer) plan(now time.Time) []Action {
	var actions []Action
	for _, want := range o.wantsBelowTarget() {
		if action, ok := o.addReplica(now, want); ok {
			actions = append(actions, action)
		}
	}
	for i := range o.wants {
		actions = append(actions, o.loadAdapters(now, &o.wants[i])...)
	}
	return append(actions, o.unloadOldVersions(now)...)
}

// wantsBelowTarget returns the wants below their target, in ascending order of the share
// of their target that they have.
func (o *Orderer) wantsBelowTarget() []*Want {
	var lacking []*Want
	for i := range o.wants {
		if o.count(&o.wants[i]) < o.targets[o.wants[i].key()].count {
			lacking = append(lacking, &o.wants[i])
		}
	}
	share := func(w *Want) float64 { return float64(o.count(w)) / float64(o.targets[w.key()].count) }
	slices.SortStableFunc(lacking, func(a, b *Want) int { return cmp.Compare(share(a), share(b)) })
	return lacking
}

// count returns the number of engines that have the want's model or are loading it.
func (o *Orderer) count(want *Want) int {
	count := 0
	for _, e := range o.engines {
		if e.serves(want, true) {
			count++
		}
	}
	return count
}

// serves reports whether e is ready and has the want's version in its role. With
// planned, engines that are loading it or are not ready count too.
func (e *engine) serves(want *Want, planned bool) bool {
	if e.Leaving || !e.hasRole(want.Role) {
		return false
	}
	if planned && e.pending != nil && e.pending.Kind == LoadModel && e.pending.Model == want.Model {
		return true
	}
	return (e.Ready || planned) && slices.Contains(e.state.Models, want.Model)
}

func (e *engine) hasRole(role string) bool { return role == "" || e.state.Role == role }

func (e *engine) hasCapacity() bool { return len(e.state.Models) < max(1, e.MaxModels) }

// addReplica returns the next order towards one more replica of want: a load on an
// engine with free capacity, else an unload that frees capacity, else a role change.
func (o *Orderer) addReplica(now time.Time, want *Want) (Action, bool) {
	candidates := o.candidates(now, want)
	for _, e := range candidates {
		if e.hasRole(want.Role) && e.hasCapacity() {
			return o.load(now, e, want)
		}
	}
	for _, e := range candidates {
		if !e.hasRole(want.Role) {
			continue
		}
		if model, ok := o.evictableModel(e); ok {
			return o.withExport(now, e, Order{Kind: UnloadModel, Model: model}), true
		}
	}
	for _, e := range candidates {
		if !e.hasRole(want.Role) && o.mayUnloadAll(e) {
			return o.withExport(now, e, Order{Kind: SetRole, Role: want.Role}), true
		}
	}
	o.blocked = append(o.blocked, Blocked{
		Model: want.Model, Role: want.Role,
		Reason: "no engine has room, and none can unload a model without removing the last ready replica of a wanted model",
	})
	return Action{}, false
}

// candidates returns the engines that may receive an order and lack the want's model,
// the least busy first.
func (o *Orderer) candidates(now time.Time, want *Want) []*engine {
	var list []*engine
	for _, e := range o.engines {
		if o.mayOrder(now, e) && !slices.Contains(e.state.Models, want.Model) {
			list = append(list, e)
		}
	}
	slices.SortStableFunc(list, func(a, b *engine) int { return cmp.Compare(a.Running, b.Running) })
	return list
}

// load returns a load order if the rate of the weight store allows one. A token bucket
// does not fit, since one model is larger than any sensible burst. Instead each load
// reserves the store for the time that its bytes take at the store's rate, and the next
// load waits until then.
func (o *Orderer) load(now time.Time, e *engine, want *Want) (Action, bool) {
	if now.Before(o.storeBusyUntil) {
		o.blocked = append(o.blocked, Blocked{Model: want.Model, Role: want.Role, Reason: "the rate limit of the weight store is reached; the load waits for earlier ones"})
		return Action{}, false
	}
	seconds := float64(want.Bytes) / float64(o.config.StoreBytesPerSecond)
	o.storeBusyUntil = now.Add(time.Duration(seconds * float64(time.Second)))
	return o.send(now, e, Order{Kind: LoadModel, Model: want.Model}), true
}

// withExport returns an order to export the KV cache if change would lose it and it has
// not been exported yet, else the order for the change itself.
func (o *Orderer) withExport(now time.Time, e *engine, change Order) Action {
	if e.KVExport && !e.exported {
		return o.send(now, e, Order{Kind: ExportKV, Model: change.Model})
	}
	e.exported = false
	return o.send(now, e, change)
}

// evictableModel returns a model that e may unload.
func (o *Orderer) evictableModel(e *engine) (Model, bool) {
	for _, model := range e.state.Models {
		if o.mayUnload(e, model) {
			return model, true
		}
	}
	return Model{}, false
}

func (o *Orderer) mayUnloadAll(e *engine) bool {
	return !slices.ContainsFunc(e.state.Models, func(m Model) bool { return !o.mayUnload(e, m) })
}

// mayUnload reports whether e may unload model. It may unload a wanted version if the
// want has more replicas than its target and a ready one elsewhere, an old version if
// another engine has a ready replica of any version of the model, and an unwanted model
// always.
func (o *Orderer) mayUnload(e *engine, model Model) bool {
	for i := range o.wants {
		want := &o.wants[i]
		if want.Model.Name != model.Name || !e.hasRole(want.Role) {
			continue
		}
		if want.Model == model {
			enough := o.count(want) > o.targets[want.key()].count
			return enough && o.readyElsewhere(e, want) > 0
		}
		if o.modelElsewhere(e, want) == 0 {
			return false
		}
	}
	return true
}

// modelElsewhere returns the number of ready replicas of any version of the want's model
// on engines other than e without a pending order.
func (o *Orderer) modelElsewhere(e *engine, want *Want) int {
	count := 0
	for _, other := range o.engines {
		has := slices.ContainsFunc(other.state.Models, func(m Model) bool { return m.Name == want.Model.Name })
		if other != e && other.pending == nil && other.Ready && !other.Leaving && other.hasRole(want.Role) && has {
			count++
		}
	}
	return count
}

// readyElsewhere returns the number of ready replicas of want on engines other than e
// without a pending order, which could remove it.
func (o *Orderer) readyElsewhere(e *engine, want *Want) int {
	count := 0
	for _, other := range o.engines {
		if other != e && other.pending == nil && other.serves(want, false) {
			count++
		}
	}
	return count
}

// loadAdapters returns an order to load one missing adapter for each engine that serves
// the want.
func (o *Orderer) loadAdapters(now time.Time, want *Want) []Action {
	var actions []Action
	for _, e := range o.engines {
		if !o.mayOrder(now, e) || !e.serves(want, false) {
			continue
		}
		i := slices.IndexFunc(want.Adapters, func(a string) bool { return !slices.Contains(e.state.Adapters, a) })
		if i >= 0 {
			actions = append(actions, o.send(now, e, Order{Kind: LoadAdapter, Model: want.Model, Adapter: want.Adapters[i]}))
		}
	}
	return actions
}

// unloadOldVersions returns orders to unload versions without a want, once a want of the
// same model has reached its target.
func (o *Orderer) unloadOldVersions(now time.Time) []Action {
	var actions []Action
	for i := range o.wants {
		want := &o.wants[i]
		if o.readyCount(want) < o.targets[want.key()].count {
			continue
		}
		for _, e := range o.engines {
			old, ok := o.oldVersion(e, want)
			if ok && o.mayOrder(now, e) && o.mayUnload(e, old) {
				actions = append(actions, o.withExport(now, e, Order{Kind: UnloadModel, Model: old}))
			}
		}
	}
	return actions
}

func (o *Orderer) readyCount(want *Want) int { return o.readyElsewhere(nil, want) }

// oldVersion returns a version of the want's model on e for which there is no want.
func (o *Orderer) oldVersion(e *engine, want *Want) (Model, bool) {
	if !e.hasRole(want.Role) {
		return Model{}, false
	}
	i := slices.IndexFunc(e.state.Models, func(m Model) bool {
		return m.Name == want.Model.Name && !slices.ContainsFunc(o.wants, func(w Want) bool { return w.Model == m })
	})
	if i < 0 {
		return Model{}, false
	}
	return e.state.Models[i], true
}
