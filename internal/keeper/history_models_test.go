package keeper_test

import (
	"github.com/anishathalye/porcupine"

	"slateway.example/slateway/internal/claim"
	"slateway.example/slateway/internal/job"
)

// The history of one object is a sequence of calls and answers; whatever
// happened to the keepers meanwhile, some order of the calls within their times
// must explain all answers. A call without an answer may have happened or not,
// at any time after it began.

// call is one operation on one object.
type call struct {
	object string // the team, job or claim key
	kind   string // put, read; complete, cancel, status; claim, finish
	id     string // what it writes
	base   uint64 // of a put
}

// answerTo is what the caller was told.
type answerTo struct {
	lost  bool   // no answer
	state string // as the model names it
	value string // what it read
	at    uint64 // revision
}

// object is the state of an object in the model.
type object struct {
	state string
	value string
	at    uint64
}

// step gives the states after a call; none if the answer cannot be explained.
type step func(before object, in call, out answerTo) []object

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
			for _, next := range transition(state.(object), input.(call), output.(answerTo)) {
				after = append(after, next)
			}
			return after
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return nondeterministic.ToModel()
}

// teamStep: a put wins if its base is the team's revision; a read gives both.
func teamStep(before object, in call, out answerTo) []object {
	wins := in.kind == "put" && in.base == before.at
	switch {
	case in.kind == "read" && (out.lost || out.at == before.at && out.value == before.value):
		return []object{before}
	case in.kind == "read":
		return nil
	case out.lost:
		// Accepted or not: its revision is unknown, so a later read tells it.
		// lostPut reads it back before the history goes on.
		return []object{before}
	case out.state == "won" && wins && out.at > before.at:
		return []object{{value: in.id, at: out.at}}
	case out.state == "conflict" && !wins:
		return []object{before}
	default:
		return nil
	}
}

// jobStep is a job of one item: the first result or the cancellation decides.
func jobStep(before object, in call, out answerTo) []object {
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

// claimStep: the first claim is granted, all others learn what became of it.
func claimStep(before object, in call, out answerTo) []object {
	after := before
	told := before.state
	switch {
	case in.kind == "claim" && before.state == "":
		after, told = object{state: string(claim.StateRunning), value: in.id}, string(claim.StateGranted)
	case in.kind == "finish" && before.state == string(claim.StateRunning):
		after = object{state: string(claim.StateDone), value: in.id}
	}
	if out.lost {
		return []object{before, after}
	}
	if in.kind == "finish" {
		return []object{after}
	}
	if out.state != told || told == string(claim.StateDone) && out.value != before.value {
		return nil
	}
	return []object{after}
}
