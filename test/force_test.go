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

// askWith asks a gate for a short answer with a bearer token.
func askWith(token string) *call {
	return &call{
		method: http.MethodPost, path: "/v1/completions", header: map[string]string{"Authorization": "Bearer " + token},
		body: map[string]any{"model": model, "prompt": "x", "max_tokens": 1},
	}
}

var _ = Describe("a change that is in force", func() {
	// A token leaks, and an operator replaces it while one VM is frozen or cut
	// off from the others. Once the change is reported in force, the VM comes
	// back, or is still asked directly: it must not serve the old token by the
	// configuration that it still has, not even for a moment.
	DescribeTable("holds also at a gate that could not hear of it",
		func(ctx SpecContext, fault disturbance) {
			options := threeVMs()
			options.PeerLinks = true
			fleet, _ := startSite(ctx, options, 1)
			missing := fleet.VMs[2]
			for _, gate := range fleet.Callers() {
				Eventually(ctx, func() error { return served(ctx, gate, token) }).Should(Succeed())
			}
			Expect(fault.bring(fleet, missing)).To(Succeed())
			replace := []string{"team", "set", "--team-token", "another-token", "--wait", "guild"}
			_, _, err := fleet.Ctl(ctx, replace...)
			Expect(err).NotTo(HaveOccurred())

			expectRefused(ctx, fleet, missing)
			Expect(fault.heal(fleet, missing)).To(Succeed())
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
				expectRefused(ctx, fleet, missing)
			}
			Eventually(ctx, func() error { return served(ctx, missing.Callers, "another-token") }).Should(Succeed())
		},
		Entry("because it was frozen", disturbance{"freeze", freeze, thaw}, NodeTimeout(3*patience)),
		Entry("because it was cut off", disturbance{"isolate", isolate, heal}, NodeTimeout(3*patience)),
	)
})

// served asks a gate for an answer, and says what else it gave.
func served(ctx context.Context, gate, token string) error {
	got, err := askWith(token).send(ctx, gate)
	if err == nil && got.status != http.StatusOK {
		err = fmt.Errorf("%s answered %d: %s", gate, got.status, got.body)
	}
	return err
}

// expectRefused checks that no gate serves the replaced token. One that gives no
// answer does not serve it either.
func expectRefused(ctx context.Context, fleet *harness.Fleet, missing *harness.VM) {
	GinkgoHelper()
	for _, vm := range fleet.VMs {
		got, err := askWith(token).send(ctx, vm.Callers)
		if err != nil {
			Expect(vm).To(Equal(missing))
			continue
		}
		Expect(got.status).NotTo(Equal(http.StatusOK), "%s served the replaced token", vm.Name)
	}
}
