package proxy_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
	"slateway.example/slateway/standin/link"
)

var _ = Describe("a replica that lost its power", func() {
	It("does not delay requests past their target", func() {
		// Guards against an answer 0.75 s after its target: the gate waits for a
		// connection to a VM without power for the whole dial timeout. The request was
		// never sent, so that another replica may run it even if it is not repeatable.
		const target = 300 * time.Millisecond
		g := newGate(route.Config{}, newFakeEngine("r1", 3, 0))
		for i := range 10 {
			status, _ := g.post(varied(streamBody, i), "Once")
			Expect(status).To(Equal(http.StatusOK))
		}
		unpowered := newFakeEngine("r2", 3, 0)
		DeferCleanup(unpowered.server.Close)
		announcement := unpowered.announcement()
		address, err := link.NewBlackhole()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(address.Close)
		announcement.Address = address.Address
		announcement.Load = upstream.Load{Slots: 4, Ready: true}
		Expect(g.router.Announce(announcement)).To(Succeed())
		for i := range 12 {
			start := time.Now()
			status, data := g.post(varied(streamBody, i), "Once")
			Expect(status).To(Equal(http.StatusOK))
			_, whole := streamText(data)
			Expect(whole).To(BeTrue())
			Expect(time.Since(start)).To(BeNumerically("<", target))
		}
		Expect(g.count(telemetry.RetriedPrefix+"not_sent")()).To(BeNumerically(">", 0), "the replica without power was never tried")
	})
})
