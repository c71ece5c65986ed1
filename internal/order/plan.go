package order

import (
	"cmp"
	"slices"
	"time"
)

// plan decides orders: first loads for wants that lack replicas, the neediest
// first, then adapters, then old versions that nothing needs any more.
func (o *Orderer) plan(now time.Time) []Action {
	var actions []Action
	for _, want := range o.neediest() {
		if action, ok := o.provide(now, want); ok {
			actions = append(actions, action)
		}
	}
	for i := range o.wants {
		actions = append(actions, o.adapters(now, &o.wants[i])...)
	}
	return append(actions, o.cleanUp(now)...)
}

// neediest lists the wants below their target, those without any replica first.
func (o *Orderer) neediest() []*Want {
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

// count gives the engines that have, or are getting, what want asks for.
func (o *Orderer) count(want *Want) int {
	count := 0
	for _, e := range o.engines {
		if e.serves(want, true) {
			count++
		}
	}
	return count
}

// serves reports whether e has the want's version in its role. Planned counts
// loads under way, too.
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

func (e *engine) hasRoom() bool { return len(e.state.Models) < max(1, e.MaxModels) }

// provide moves one step towards one more replica of want: load it where there
// is room, else make room, else change a role.
func (o *Orderer) provide(now time.Time, want *Want) (Action, bool) {
	candidates := o.candidates(now, want)
	for _, e := range candidates {
		if e.hasRole(want.Role) && e.hasRoom() {
			return o.load(now, e, want)
		}
	}
	for _, e := range candidates {
		if !e.hasRole(want.Role) {
			continue
		}
		if model, ok := o.spareModel(e); ok {
			return o.withExport(now, e, Order{Kind: UnloadModel, Model: model}), true
		}
	}
	for _, e := range candidates {
		if !e.hasRole(want.Role) && o.allSpare(e) {
			return o.withExport(now, e, Order{Kind: SetRole, Role: want.Role}), true
		}
	}
	o.blocked = append(o.blocked, Blocked{
		Model: want.Model, Role: want.Role,
		Reason: "no engine has room, and none can give up a model without taking a wanted model's last ready replica",
	})
	return Action{}, false
}

// candidates lists the engines that may be ordered and lack the want, the least
// busy first.
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

// load orders a load if the weight store has time for it. A token bucket does not
// fit: one model is larger than any sensible burst. Each load takes the store for
// its bytes at the store's rate instead, and the next one waits for that.
func (o *Orderer) load(now time.Time, e *engine, want *Want) (Action, bool) {
	if now.Before(o.storeFree) {
		o.blocked = append(o.blocked, Blocked{Model: want.Model, Role: want.Role, Reason: "the weight store's rate is used up"})
		return Action{}, false
	}
	seconds := float64(want.Bytes) / float64(o.config.StoreBytesPerSecond)
	o.storeFree = now.Add(time.Duration(seconds * float64(time.Second)))
	return o.send(now, e, Order{Kind: LoadModel, Model: want.Model}), true
}

// withExport puts an export of the KV cache before a change that loses it.
func (o *Orderer) withExport(now time.Time, e *engine, change Order) Action {
	if e.KVExport && !e.exported {
		return o.send(now, e, Order{Kind: ExportKV, Model: change.Model})
	}
	e.exported = false
	return o.send(now, e, change)
}

// spareModel finds a model that e may lose.
func (o *Orderer) spareModel(e *engine) (Model, bool) {
	for _, model := range e.state.Models {
		if o.spare(e, model) {
			return model, true
		}
	}
	return Model{}, false
}

func (o *Orderer) allSpare(e *engine) bool {
	return !slices.ContainsFunc(e.state.Models, func(m Model) bool { return !o.spare(e, m) })
}

// spare reports whether e may lose model: a wanted version if its want keeps its
// target and a ready replica without e, an old version if the model keeps a
// ready replica of some version, an unwanted model always.
func (o *Orderer) spare(e *engine, model Model) bool {
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

// modelElsewhere counts ready replicas of any version of the want's model.
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

// readyElsewhere counts ready replicas of want on engines other than e that are
// not losing it.
func (o *Orderer) readyElsewhere(e *engine, want *Want) int {
	count := 0
	for _, other := range o.engines {
		if other != e && other.pending == nil && other.serves(want, false) {
			count++
		}
	}
	return count
}

// adapters orders one missing adapter for each engine that serves the want.
func (o *Orderer) adapters(now time.Time, want *Want) []Action {
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

// cleanUp unloads versions that nobody wants any more once a want of the same
// model has its target.
func (o *Orderer) cleanUp(now time.Time) []Action {
	var actions []Action
	for i := range o.wants {
		want := &o.wants[i]
		if o.readyCount(want) < o.targets[want.key()].count {
			continue
		}
		for _, e := range o.engines {
			old, ok := o.oldVersion(e, want)
			if ok && o.mayOrder(now, e) && o.spare(e, old) {
				actions = append(actions, o.withExport(now, e, Order{Kind: UnloadModel, Model: old}))
			}
		}
	}
	return actions
}

func (o *Orderer) readyCount(want *Want) int { return o.readyElsewhere(nil, want) }

// oldVersion finds a version of the want's model on e that no want names.
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
