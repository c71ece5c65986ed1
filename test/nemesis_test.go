package test

import (
	"context"
	"math/rand/v2"
	"time"

	. "github.com/onsi/gomega"

	"slateway.example/slateway/test/harness"
)

// disturbance is one fault of a VM, with the way back.
type disturbance struct {
	bring func(fleet *harness.Fleet, vm *harness.VM) error
	heal  func(fleet *harness.Fleet, vm *harness.VM) error
}

var disturbances = []disturbance{
	{kill, restart},
	{freeze, thaw},
	{isolate, heal},
	{deafen, heal},
	{mute, heal},
}

func kill(_ *harness.Fleet, vm *harness.VM) error {
	vm.Kill()
	return nil
}

func restart(_ *harness.Fleet, vm *harness.VM) error { return vm.Start() }
func freeze(_ *harness.Fleet, vm *harness.VM) error  { return vm.Freeze() }
func thaw(_ *harness.Fleet, vm *harness.VM) error    { return vm.Thaw() }

func isolate(fleet *harness.Fleet, vm *harness.VM) error {
	fleet.Isolate(vm, true)
	return nil
}

// deafen lets nothing reach a VM that still sends.
func deafen(fleet *harness.Fleet, vm *harness.VM) error {
	for _, other := range fleet.VMs {
		if other != vm {
			fleet.Cut(other, vm, true)
		}
	}
	return nil
}

// mute lets nothing out of a VM that still receives.
func mute(fleet *harness.Fleet, vm *harness.VM) error {
	for _, other := range fleet.VMs {
		if other != vm {
			fleet.Cut(vm, other, true)
		}
	}
	return nil
}

func heal(fleet *harness.Fleet, vm *harness.VM) error {
	fleet.Isolate(vm, false)
	return nil
}

// Lengths of faults and of the times between them.
const (
	shortestFault = 100 * time.Millisecond
	longestFault  = 1500 * time.Millisecond
	longestPeace  = 500 * time.Millisecond
)

// disturb brings one VM after the other down, as drawn from random, until ctx
// ends; then all are up. Two faults in a row may hit different VMs before the
// first one has caught up. It returns the number of faults.
func disturb(ctx context.Context, fleet *harness.Fleet, random *rand.Rand) (faults int) {
	for ctx.Err() == nil {
		vm := fleet.VMs[random.IntN(len(fleet.VMs))]
		fault := disturbances[random.IntN(len(disturbances))]
		Expect(fault.bring(fleet, vm)).To(Succeed())
		rest(ctx, shortestFault+time.Duration(random.Int64N(int64(longestFault-shortestFault))))
		Expect(fault.heal(fleet, vm)).To(Succeed())
		rest(ctx, time.Duration(random.Int64N(int64(longestPeace))))
		faults++
	}
	return faults
}

func rest(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
