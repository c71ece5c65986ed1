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

// configInput is what a client asked. Its value tells each change apart.
type configInput struct {
	team  string
	kind  configKind
	base  uint64
	value int
}

// configOutput is what it was told. A change that was not accepted is refused:
// its base revision was not the team's.
type configOutput struct {
	refused  bool
	revision uint64
	value    int
}

// configState is a team; revision 0 means that there is none.
type configState struct {
	revision uint64
	value    int
}

// configModel is a compare-and-set register for each team, whose revisions
// only grow.
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

// jobInput is what a client asked about the job with a key.
type jobInput struct {
	key  string
	kind jobKind
}

// jobOutput is the state that it was told; refused if the operation was.
type jobOutput struct {
	refused bool
	state   string
}

// States of a job in the API, and of one that does not exist.
const (
	stateNone      = ""
	stateOpen      = "open"
	stateSealed    = "sealed"
	stateDone      = "done"
	stateCancelled = "cancelled"
)

// jobModel is a job's life. Its items end at a moment that no client sees:
// that step is hidden before whichever operation shows it first.
var jobModel = porcupine.NondeterministicModel{
	Partition: partitionBy(func(op porcupine.Operation) string { return op.Input.(jobInput).key }),
	Init:      func() []any { return []any{stateNone} },
	Step: func(state, input, output any) []any {
		var after []any
		for _, before := range withHiddenEnd(state.(string)) {
			if next, ok := jobStep(before, input.(jobInput).kind, output.(jobOutput)); ok {
				after = append(after, next)
			}
		}
		return after
	},
}

func withHiddenEnd(state string) []string {
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
	for _, shown := range withHiddenEnd(after) {
		if shown == out.state {
			return shown, true
		}
	}
	return before, false
}

// partitionBy splits a history by a key, in the order of the keys.
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
