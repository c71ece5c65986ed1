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

// disturbance is one fault of a VM, with the way back.
type disturbance struct {
	name  string
	bring func(fleet *harness.Fleet, vm *harness.VM) error
	heal  func(fleet *harness.Fleet, vm *harness.VM) error
}

var disturbances = []disturbance{
	{"kill", kill, restart},
	{"freeze", freeze, thaw},
	{"isolate", isolate, heal},
	{"deafen", deafen, heal},
	{"mute", mute, heal},
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

// replaceDisk brings a killed VM back with a blank disk, and returns when it
// counts in place of the lost one in every group: of three disks no second one
// may be lost before that.
func replaceDisk(fleet *harness.Fleet, vm *harness.VM) error {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	asked := fleet.VMs[0]
	if asked == vm {
		asked = fleet.VMs[1]
	}
	// Before the loss is noticed the groups look whole, as they will later.
	Eventually(ctx, func() bool { return spare(groups(ctx, asked)) }).Should(BeFalse())
	if err := errors.Join(vm.LoseDisk(), vm.Start()); err != nil {
		return err
	}
	replace := &call{method: http.MethodPost, path: "/v1/members/" + vm.Name + "/replace"}
	Eventually(ctx, func() int {
		got, err := replace.send(ctx, asked.Operators)
		if err != nil {
			return 0
		}
		return got.status
	}).Should(Equal(http.StatusAccepted))
	Eventually(ctx, func() bool { return whole(groups(ctx, asked), len(fleet.VMs)) }).Should(BeTrue())
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
// first one has caught up. It returns how often each fault came.
func disturb(ctx context.Context, fleet *harness.Fleet, random *rand.Rand) map[string]int {
	faults := make(map[string]int)
	for ctx.Err() == nil {
		vm := fleet.VMs[random.IntN(len(fleet.VMs))]
		fault := disturbances[random.IntN(len(disturbances))]
		Expect(fault.bring(fleet, vm)).To(Succeed())
		rest(ctx, shortestFault+time.Duration(random.Int64N(int64(longestFault-shortestFault))))
		Expect(fault.heal(fleet, vm)).To(Succeed())
		rest(ctx, time.Duration(random.Int64N(int64(longestPeace))))
		faults[fault.name]++
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
