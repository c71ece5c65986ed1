package test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/test/harness"
)

// vmFault is a fault of a VM and its recovery.
type vmFault struct {
	name   string
	inject func(fleet *harness.Fleet, vm *harness.VM) error
	heal   func(fleet *harness.Fleet, vm *harness.VM) error
}

var vmFaults = []vmFault{
	{"kill", kill, restart},
	{"freeze", freeze, thaw},
	{"isolate", isolate, heal},
	{"deafen", blockInbound, heal},
	{"mute", blockOutbound, heal},
	{"lose disk", kill, replaceDisk},
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

// blockInbound cuts the traffic from all other VMs to a VM; it can still send.
func blockInbound(fleet *harness.Fleet, vm *harness.VM) error {
	for _, other := range fleet.VMs {
		if other != vm {
			fleet.Cut(other, vm, true)
		}
	}
	return nil
}

// blockOutbound cuts the traffic from a VM to all others; it can still receive.
func blockOutbound(fleet *harness.Fleet, vm *harness.VM) error {
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

// replaceDisk restarts a killed VM with an empty disk. It returns once the VM is a voter
// in every group again: until then, no second of the three disks may be lost.
func replaceDisk(fleet *harness.Fleet, vm *harness.VM) error {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	observer := fleet.VMs[0]
	if observer == vm {
		observer = fleet.VMs[1]
	}
	// Wait until the loss is detected; before that the groups look fully replicated too.
	Eventually(ctx, func() bool { return allTolerateLoss(groups(ctx, observer)) }).Should(BeFalse())
	if err := errors.Join(vm.WipeDisk(), vm.Start()); err != nil {
		return err
	}
	replace := &call{method: http.MethodPost, path: "/v1/members/" + vm.Name + "/replace"}
	Eventually(ctx, func() int {
		got, err := replace.send(ctx, observer.Operators)
		if err != nil {
			return 0
		}
		return got.status
	}).Should(Equal(http.StatusAccepted))
	Eventually(ctx, func() bool { return fullyReplicated(groups(ctx, observer), len(fleet.VMs)) }).Should(BeTrue())
	return nil
}

// Durations of faults and maximum time between them.
const (
	shortestFault   = 100 * time.Millisecond
	longestFault    = 1500 * time.Millisecond
	longestFaultGap = 500 * time.Millisecond
)

// injectFaults injects random faults into random VMs, one at a time, until ctx ends; all
// VMs are up when it returns. A fault may begin before the VM of the previous one has
// caught up. It returns the number of faults by name.
func injectFaults(ctx context.Context, fleet *harness.Fleet, random *rand.Rand) map[string]int {
	faults := make(map[string]int)
	for ctx.Err() == nil {
		vm := fleet.VMs[random.IntN(len(fleet.VMs))]
		fault := vmFaults[random.IntN(len(vmFaults))]
		Expect(fault.inject(fleet, vm)).To(Succeed())
		sleep(ctx, shortestFault+time.Duration(random.Int64N(int64(longestFault-shortestFault))))
		Expect(fault.heal(fleet, vm)).To(Succeed())
		sleep(ctx, time.Duration(random.Int64N(int64(longestFaultGap))))
		faults[fault.name]++
	}
	return faults
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
