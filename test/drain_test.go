package test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/internal/load"
)

var _ = Describe("a gate that is asked to end", func() {
	// A VM is restarted while callers read long streams from it. It must leave the
	// directory at once and exit only after all streams are complete. The streams last
	// much longer than the lifetime of the directory's answers, so a VM that waits only
	// for that lifetime would cut them off.
	It("leaves the directory, finishes its streams and exits 0", func(ctx SpecContext) {
		fleet, _ := startGuild(ctx, 2, "--token-every", "50ms", "--slots", "16")
		gate := fleet.VMs[2]
		Eventually(ctx, func() []string { return entries(ctx, fleet.VMs[0].Callers) }).Should(ConsistOf(fleet.Callers()))
		client := load.NewClient([]string{gate.Callers}, token, isExpectedAnswer)
		const streams = 8
		answered := make(chan load.Result, streams)
		for i := range streams {
			go func() {
				request := load.Request{Model: model, Prompt: fmt.Sprintf("long %d", i), MaxTokens: 120}
				answered <- client.Stream(context.Background(), time.Now(), &request)
			}()
		}
		Eventually(ctx, func() int { return inFlight(ctx, gate.Callers) }).Should(Equal(streams))
		Expect(gate.Terminate()).To(Succeed())
		Eventually(ctx, func() []string { return entries(ctx, fleet.VMs[0].Callers) }).ShouldNot(ContainElement(gate.Callers))
		Expect(gate.Running()).To(BeTrue())
		for range streams {
			Expect(<-answered).To(And(HaveField("Outcome", load.Answered), HaveField("Tokens", 120)))
		}
		code, err := gate.ExitCode(waitTimeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(BeZero())
	}, NodeTimeout(2*waitTimeout))
})

// inFlight returns the number of a gate's requests that are running at upstreams.
func inFlight(ctx context.Context, gate string) int {
	GinkgoHelper()
	got, err := (&call{method: http.MethodGet, path: "/v1/upstreams"}).sendUntilDefinite(ctx, []string{gate}, 0)
	Expect(err).NotTo(HaveOccurred())
	var upstreams []struct {
		InFlight int `json:"in_flight"`
	}
	got.decode(&upstreams)
	total := 0
	for _, upstream := range upstreams {
		total += upstream.InFlight
	}
	return total
}

// entries returns the addresses that a gate's directory lists for callers, sorted.
func entries(ctx context.Context, gate string) []string {
	GinkgoHelper()
	got, err := (&call{method: http.MethodGet, path: "/v1/entries"}).sendUntilDefinite(ctx, []string{gate}, 0)
	Expect(err).NotTo(HaveOccurred())
	var directory struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
	}
	got.decode(&directory)
	var addresses []string
	for _, entry := range directory.Entries {
		addresses = append(addresses, entry.Address)
	}
	slices.Sort(addresses)
	return addresses
}
