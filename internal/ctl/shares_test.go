package ctl_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("share list", func() {
	shares := func(body string) *fakeServer {
		return newFakeServer(map[string]http.HandlerFunc{"GET /v1/shares": answer(200, body)})
	}

	// Each gate knows its own requests only, so all must be queried.
	It("queries all gates and lists the teams with the most waiting requests first", func() {
		first := shares(`[{"team":"council","service":"wordroom","gate":"gate-1","weight":1,"waiting":2,"started_last_10s":14,"lead":0}]`)
		second := shares(`[{"team":"","service":"wordroom","gate":"gate-2","weight":1},{"team":"parish","service":"wordroom","gate":"gate-2","weight":2.5,"waiting":40,"started_last_10s":80,"lead":1200}]`)
		got := run([]*fakeServer{first, second}, "share", "list")
		Expect(got.code).To(Equal(0), got.err)
		Expect(got.out).To(MatchRegexp(`(?s)parish\s+wordroom\s+2.5\s+40\s+80\s+1200\s+gate-2.*council\s+wordroom\s+1\s+2\s+14\s+0\s+gate-1.*-\s+wordroom`))
		Expect(run([]*fakeServer{first, second}, "share", "list", "council").out).NotTo(ContainSubstring("parish"))
	})

	It("lists the answers and reports that not all gates answered", func() {
		unresponsive := newFakeServer(map[string]http.HandlerFunc{"GET /v1/shares": dropConnection})
		got := run([]*fakeServer{unresponsive, shares(`[{"team":"council","service":"wordroom","gate":"gate-1","weight":1}]`)}, "share", "list")
		Expect(got.code).To(Equal(0))
		Expect(got.out).To(ContainSubstring("council"))
		Expect(got.err).To(ContainSubstring("not all gates answered"))
	})
})
