package test

import (
	"cmp"
	"maps"
	"slices"

	"github.com/anishathalye/porcupine"
)

// configKind is an operation on one team.
type configKind string

const (
	readTeam   configKind = "read"
	changeTeam configKind = "change"
	deleteTeam configKind = "delete"
)

// configInput is a client's operation on a team. Each change has a unique value.
type configInput struct {
	team  string
	kind  configKind
	base  uint64
	value int
}

// configOutput is the answer to a configInput. A change is refused if its base revision
// is not the team's current one.
type configOutput struct {
	refused  bool
	revision uint64
	value    int
}

// configState is the state of a team; revision 0 means that it does not exist.
type configState struct {
	revision uint64
	value    int
}

// configModel models each team as a compare-and-set register whose revisions only
// increase.
var configModel = porcupine.Model{
	Partition: partitionBy(func(op porcupine.Operation) string { return op.Input.(configInput).team }),
	Init:      func() any { return configState{} },
	Step: func(state, input, output any) (bool, any) {
		before, in, out := state.(configState), input.(configInput), output.(configOutput)
		if in.kind == readTeam {
			return out.revision == before.revision && out.value == before.value, before
		}
		if out.refused {
			return in.base != before.revision, before
		}
		if in.base != before.revision || out.revision <= before.revision {
			return false, before
		}
		if in.kind == deleteTeam {
			return true, configState{}
		}
		return true, configState{revision: out.revision, value: in.value}
	},
}

// jobKind is an operation on one job.
type jobKind string

const (
	createJob jobKind = "create"
	sealJob   jobKind = "seal"
	cancelJob jobKind = "cancel"
	readState jobKind = "read"
)

// jobInput is a client's operation on the job with a key.
type jobInput struct {
	key  string
	kind jobKind
}

// jobOutput is the answer to a jobInput: the job's state, or that the operation was
// refused.
type jobOutput struct {
	refused bool
	state   string
}

// States of a job in the API; stateNone is a job that does not exist.
const (
	stateNone      = ""
	stateOpen      = "open"
	stateSealed    = "sealed"
	stateDone      = "done"
	stateCancelled = "cancelled"
)

// jobModel models the life cycle of a job. Its items finish at a time that no client
// observes, so any operation on a sealed job may find it done.
var jobModel = porcupine.NondeterministicModel{
	Partition: partitionBy(func(op porcupine.Operation) string { return op.Input.(jobInput).key }),
	Init:      func() []any { return []any{stateNone} },
	Step: func(state, input, output any) []any {
		var after []any
		for _, before := range possibleStates(state.(string)) {
			if next, ok := jobStep(before, input.(jobInput).kind, output.(jobOutput)); ok {
				after = append(after, next)
			}
		}
		return after
	},
}

func possibleStates(state string) []string {
	if state == stateSealed {
		return []string{stateSealed, stateDone}
	}
	return []string{state}
}

func jobStep(before string, kind jobKind, out jobOutput) (after string, ok bool) {
	after = before
	switch kind {
	case createJob:
		if before == stateNone {
			after = stateOpen
		}
	case sealJob:
		if out.refused {
			return before, before == stateCancelled || before == stateDone || before == stateNone
		}
		if before == stateOpen {
			after = stateSealed
		}
	case cancelJob:
		if out.refused {
			return before, before == stateDone || before == stateNone
		}
		if before == stateOpen || before == stateSealed {
			after = stateCancelled
		}
	case readState:
		if out.refused {
			return before, before == stateNone
		}
	}
	for _, shown := range possibleStates(after) {
		if shown == out.state {
			return shown, true
		}
	}
	return before, false
}

// partitionBy returns a function that splits a history by key, in sorted order of keys.
func partitionBy(key func(porcupine.Operation) string) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, op := range history {
			parts[key(op)] = append(parts[key(op)], op)
		}
		var all [][]porcupine.Operation
		for _, name := range slices.SortedFunc(maps.Keys(parts), cmp.Compare[string]) {
			all = append(all, parts[name])
		}
		return all
	}
}
