package control_test

import (
	"context"
	"testing"
	"time"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/rpc"
)

// follower polls a control VM as a gate does.
type follower struct {
	t       *testing.T
	calls   *rpc.Client
	request *controlapi.FollowRequest
	last    *controlapi.FollowResponse
}

func newFollower(t *testing.T, calls *rpc.Client, vm string) *follower {
	return &follower{t: t, calls: calls, request: &controlapi.FollowRequest{
		Gate: roster.Gate{VM: vm, Ready: true, Started: 1}, Routes: 5, AcceptsGateChanges: true, Wait: 100 * time.Millisecond,
	}}
}

// poll polls once and returns the gates in the response.
func (f *follower) poll(address string) []roster.Gate {
	f.t.Helper()
	f.request.Gate.Sequence++
	response, err := rpc.Call(f.t.Context(), f.calls, address, controlapi.Follow, f.request)
	if err != nil {
		f.t.Fatal(err)
	}
	f.last = response
	return response.Changes.Gates
}

// listedFor polls for the full list until the gate is no longer in it, for limit at most.
// It returns how long that took.
func listedFor(f *follower, address, gate string, limit time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < limit {
		listed := false
		for _, g := range f.poll(address) {
			listed = listed || g.VM == gate
		}
		if !listed {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// Callers must not be sent to a frozen gate until its lifetime expires.
func TestAGateThatAsksNoMoreIsLeftOutSoon(t *testing.T) {
	first, calls := startControl(t, &member{})
	frozen := newFollower(t, calls, "gate-1")
	frozen.poll(first)
	other := newFollower(t, calls, "gate-2")
	if took := listedFor(other, first, "gate-1", 3*time.Second); took < 300*time.Millisecond || took > time.Second {
		t.Errorf("the frozen gate was removed after %s, want 300ms to 1s", took)
	}
	frozen.poll(first)
	if took := listedFor(other, first, "gate-1", 200*time.Millisecond); took < 200*time.Millisecond {
		t.Error("the gate is not listed although it polls again")
	}
}

// A gate that has switched to another control VM must not be considered unresponsive.
func TestAGateThatAsksElsewhereIsNotSilent(t *testing.T) {
	first, calls := startControl(t, &member{})
	second, _ := startControl(t, &member{}, first)
	moving := newFollower(t, calls, "gate-1")
	moving.poll(first)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			moving.request.Gate.Sequence++
			_, _ = rpc.Call(ctx, calls, second, controlapi.Follow, moving.request)
		}
	}()
	other := newFollower(t, calls, "gate-2")
	if took := listedFor(other, first, "gate-1", 1500*time.Millisecond); took < 1500*time.Millisecond {
		t.Errorf("the gate was removed after %s although it polls another control VM", took)
	}
}

// A gate must not be considered unresponsive while one of its two long polls is open.
func TestAGateWhoseQuestionIsHeldIsNotSilent(t *testing.T) {
	address, calls := startControl(t, &member{})
	other := newFollower(t, calls, "gate-2")
	other.poll(address)
	polling := newFollower(t, calls, "gate-1")
	polling.poll(address)
	go func() {
		request := *polling.request
		request.Epoch, request.Since, request.Wait = polling.last.Epoch, polling.last.Changes.Version, time.Second
		request.Gate.Sequence++
		_, _ = rpc.Call(t.Context(), calls, address, controlapi.Follow, &request) // open until the test ends
	}()
	if took := listedFor(other, address, "gate-1", 600*time.Millisecond); took < 600*time.Millisecond {
		t.Errorf("the gate was removed after %s although its long poll is open", took)
	}
}
