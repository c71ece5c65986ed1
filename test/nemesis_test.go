package test

import (
	"context"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/test/harness"
)

// disturbance is one fault of a VM, with the way back.
type disturbance struct {
	name  string
	bring func(vm *harness.VM) error
	heal  func(vm *harness.VM) error
}

var disturbances = []disturbance{
	{"kill", kill, (*harness.VM).Start},
	{"freeze", func(vm *harness.VM) error { return vm.Freeze() }, func(vm *harness.VM) error { return vm.Thaw() }},
}

func kill(vm *harness.VM) error {
	vm.Kill()
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
// first one has caught up.
func disturb(ctx context.Context, vms []*harness.VM, random *rand.Rand) {
	defer GinkgoRecover()
	for ctx.Err() == nil {
		vm := vms[random.IntN(len(vms))]
		fault := disturbances[random.IntN(len(disturbances))]
		Expect(fault.bring(vm)).To(Succeed())
		rest(ctx, shortestFault+time.Duration(random.Int64N(int64(longestFault-shortestFault))))
		Expect(fault.heal(vm)).To(Succeed())
		rest(ctx, time.Duration(random.Int64N(int64(longestPeace))))
	}
}

func rest(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
