package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// darkAddress gives an address at which connections are neither accepted nor
// refused, as at a VM without power: the queue of its listener is full.
func darkAddress() string {
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = syscall.Close(descriptor) })
	Expect(syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	Expect(syscall.Listen(descriptor, 0)).To(Succeed())
	bound, err := syscall.Getsockname(descriptor)
	Expect(err).NotTo(HaveOccurred())
	address := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	for {
		connection, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		DeferCleanup(func() { _ = connection.Close() })
	}
}

var _ = Describe("a replica that lost its power", func() {
	It("does not make the callers late whose requests are sent there", func() {
		// A school's letter is drafted 0.75 s late: the request was sent to a replica
		// without power, and the gate waited for a connection for as long as one may
		// take at most. It was never sent, so that another replica may run it, also
		// if it may not be repeated.
		const target = 300 * time.Millisecond
		g := newGate(route.Config{}, newFakeEngine("r1", 3, 0))
		for i := range 10 {
			status, _ := g.post(varied(streamBody, i), "Once")
			Expect(status).To(Equal(http.StatusOK))
		}
		dark := newFakeEngine("r2", 3, 0)
		DeferCleanup(dark.server.Close)
		announcement := dark.announcement()
		announcement.Address = darkAddress()
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
		Expect(g.count(telemetry.RetriedPrefix + "not_sent")()).To(BeNumerically(">", 0), "the dark replica was never tried")
	})
})
