package control_test

import (
	"context"
	"testing"
	"time"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/rpc"
)

// follower asks a control VM as a gate does.
type follower struct {
	t       *testing.T
	calls   *rpc.Client
	request *controlapi.FollowRequest
	last    *controlapi.FollowResponse
}

func newFollower(t *testing.T, calls *rpc.Client, vm string) *follower {
	return &follower{t: t, calls: calls, request: &controlapi.FollowRequest{
		Gate: roster.Gate{VM: vm, Ready: true, Started: 1}, Routes: 5, TakesGateChanges: true, Wait: 100 * time.Millisecond,
	}}
}

// ask asks once and gives the gates that live.
func (f *follower) ask(address string) []roster.Gate {
	f.t.Helper()
	f.request.Gate.Sequence++
	response, err := rpc.Call(f.t.Context(), f.calls, address, controlapi.Follow, f.request)
	if err != nil {
		f.t.Fatal(err)
	}
	f.last = response
	return response.Changes.Gates
}

// namedFor asks for everything until the gate is named no more, or the time is over.
func namedFor(f *follower, address, gate string, longest time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < longest {
		named := false
		for _, g := range f.ask(address) {
			named = named || g.VM == gate
		}
		if !named {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// Guards against callers who are sent to a frozen gate until its lifetime is over.
func TestAGateThatAsksNoMoreIsLeftOutSoon(t *testing.T) {
	first, calls := startControl(t, &member{})
	frozen := newFollower(t, calls, "gate-1")
	frozen.ask(first)
	other := newFollower(t, calls, "gate-2")
	if took := namedFor(other, first, "gate-1", 3*time.Second); took < 300*time.Millisecond || took > time.Second {
		t.Errorf("left out after %s", took)
	}
	frozen.ask(first)
	if took := namedFor(other, first, "gate-1", 200*time.Millisecond); took < 200*time.Millisecond {
		t.Error("not named though it asks again")
	}
}

// Guards against a gate that is left out because it has turned to another control VM.
func TestAGateThatAsksElsewhereIsNotSilent(t *testing.T) {
	first, calls := startControl(t, &member{})
	second, _ := startControl(t, &member{}, first)
	moving := newFollower(t, calls, "gate-1")
	moving.ask(first)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			moving.request.Gate.Sequence++
			_, _ = rpc.Call(ctx, calls, second, controlapi.Follow, moving.request)
		}
	}()
	other := newFollower(t, calls, "gate-2")
	if took := namedFor(other, first, "gate-1", 1500*time.Millisecond); took < 1500*time.Millisecond {
		t.Errorf("left out after %s", took)
	}
}

// Guards against a gate that is left out while one of its two questions is still held.
func TestAGateWhoseQuestionIsHeldIsNotSilent(t *testing.T) {
	address, calls := startControl(t, &member{})
	other := newFollower(t, calls, "gate-2")
	other.ask(address)
	held := newFollower(t, calls, "gate-1")
	held.ask(address)
	go func() {
		request := *held.request
		request.Epoch, request.Since, request.Wait = held.last.Epoch, held.last.Changes.Version, time.Second
		request.Gate.Sequence++
		_, _ = rpc.Call(t.Context(), calls, address, controlapi.Follow, &request) // held until the test has ended
	}()
	if took := namedFor(other, address, "gate-1", 600*time.Millisecond); took < 600*time.Millisecond {
		t.Errorf("left out after %s", took)
	}
}
