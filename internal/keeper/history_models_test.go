package keeper_test

import (
	"github.com/anishathalye/porcupine"

	"slateway.example/slateway/internal/claim"
	"slateway.example/slateway/internal/job"
)

// The models check linearizability. The history of one object is a set of concurrent
// calls with their answers. Whatever faults the keepers had, there must be an order of
// the calls, each within its start and end, that explains all answers. A call without
// an answer may take effect at any time after its start, or never.

// call is one operation on one object.
type call struct {
	object string // the team, job or claim key
	kind   string // put, read; complete, cancel, status; claim, finish
	id     string // value that it writes
	base   uint64 // base revision of a put
}

// callResult is the answer that the caller received.
type callResult struct {
	lost     bool   // no answer
	state    string // state in terms of the model
	value    string // value that the call read
	revision uint64 // revision that the call read or wrote
}

// object is the state of an object in the model.
type object struct {
	state    string
	value    string
	revision uint64
}

// step returns the possible states after a call, none if the state before it cannot
// explain the answer.
type step func(before object, in call, out callResult) []object

func model(start object, transition step) porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := make(map[string][]porcupine.Operation)
			for _, op := range history {
				name := op.Input.(call).object
				parts[name] = append(parts[name], op)
			}
			var all [][]porcupine.Operation
			for _, part := range parts {
				all = append(all, part)
			}
			return all
		},
		Init: func() []any { return []any{start} },
		Step: func(state, input, output any) []any {
			var after []any
			for _, next := range transition(state.(object), input.(call), output.(callResult)) {
				after = append(after, next)
			}
			return after
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return nondeterministic.ToModel()
}

// teamStep models a team: a put wins if its base is the team's revision, and a read
// returns the value and the revision.
func teamStep(before object, in call, out callResult) []object {
	wins := in.kind == "put" && in.base == before.revision
	switch {
	case in.kind == "read" && (out.lost || out.revision == before.revision && out.value == before.value):
		return []object{before}
	case in.kind == "read":
		return nil
	case out.lost:
		// Whether the put was accepted is unknown, and so is its revision. editTeam
		// resends a put until it is answered, so this case does not occur.
		return []object{before}
	case out.state == "won" && wins && out.revision > before.revision:
		return []object{{value: in.id, revision: out.revision}}
	case out.state == "conflict" && !wins:
		return []object{before}
	default:
		return nil
	}
}

// jobStep models a job of one item: the first result or cancellation determines its
// final state.
func jobStep(before object, in call, out callResult) []object {
	running := before.state == string(job.StateRunning)
	after := before
	switch {
	case in.kind == "status":
		if !out.lost && (out.state != before.state || out.value != before.value) {
			return nil
		}
		return []object{before}
	case in.kind == "complete" && running:
		after = object{state: string(job.StateCompleted), value: in.id}
	case in.kind == "cancel" && running:
		after = object{state: string(job.StateCancelled)}
	}
	if out.lost {
		return []object{before, after}
	}
	refused := in.kind == "cancel" && before.state == string(job.StateCompleted)
	if refused != (out.state == "refused") {
		return nil
	}
	return []object{after}
}

// claimStep models a claim: the first claim is granted, and all others return its
// state.
func claimStep(before object, in call, out callResult) []object {
	after := before
	expected := before.state
	switch {
	case in.kind == "claim" && before.state == "":
		after, expected = object{state: string(claim.StateRunning), value: in.id}, string(claim.StateGranted)
	case in.kind == "finish" && before.state == string(claim.StateRunning):
		after = object{state: string(claim.StateDone), value: in.id}
	}
	if out.lost {
		return []object{before, after}
	}
	if in.kind == "finish" {
		return []object{after}
	}
	if out.state != expected || expected == string(claim.StateDone) && out.value != before.value {
		return nil
	}
	return []object{after}
}
