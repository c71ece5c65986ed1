package test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/test/harness"
)

// completionWithToken returns a short completion call with a bearer token.
func completionWithToken(token string) *call {
	return &call{
		method: http.MethodPost, path: "/v1/completions", header: map[string]string{"Authorization": "Bearer " + token},
		body: map[string]any{"model": model, "prompt": "x", "max_tokens": 1},
	}
}

var _ = Describe("a change that is in force", func() {
	// A leaked token is replaced while one VM is frozen or cut off. Once the change is
	// reported to be in force, that VM must reject the old token, both before and after
	// it recovers. Guards against serving from its outdated configuration.
	DescribeTable("also holds at a gate that could not be notified of it",
		func(ctx SpecContext, fault vmFault) {
			options := threeVMs()
			options.PeerLinks = true
			fleet, _ := startSite(ctx, options, 1)
			affected := fleet.VMs[2]
			for _, gate := range fleet.Callers() {
				Eventually(ctx, func() error { return checkServed(ctx, gate, token) }).Should(Succeed())
			}
			Expect(fault.inject(fleet, affected)).To(Succeed())
			replace := []string{"team", "set", "--team-token", "another-token", "--wait", "guild"}
			_, _, err := fleet.Ctl(ctx, replace...)
			Expect(err).NotTo(HaveOccurred())

			expectRefused(ctx, fleet, affected)
			Expect(fault.heal(fleet, affected)).To(Succeed())
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
				expectRefused(ctx, fleet, affected)
			}
			Eventually(ctx, func() error { return checkServed(ctx, affected.Callers, "another-token") }).Should(Succeed())
		},
		Entry("because it was frozen", vmFault{"freeze", freeze, thaw}, NodeTimeout(3*waitTimeout)),
		Entry("because it was cut off", vmFault{"isolate", isolate, heal}, NodeTimeout(3*waitTimeout)),
	)
})

// checkServed sends a completion to a gate and returns an error unless it is answered.
func checkServed(ctx context.Context, gate, token string) error {
	got, err := completionWithToken(token).send(ctx, gate)
	if err == nil && got.status != http.StatusOK {
		err = fmt.Errorf("%s answered %d: %s", gate, got.status, got.body)
	}
	return err
}

// expectRefused checks that no gate serves the replaced token. Only the gate affected
// may fail to answer.
func expectRefused(ctx context.Context, fleet *harness.Fleet, affected *harness.VM) {
	GinkgoHelper()
	for _, vm := range fleet.VMs {
		got, err := completionWithToken(token).send(ctx, vm.Callers)
		if err != nil {
			Expect(vm).To(Equal(affected))
			continue
		}
		Expect(got.status).NotTo(Equal(http.StatusOK), "%s served the replaced token", vm.Name)
	}
}
