package ctl_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("cap list", func() {
	caps := func(body string) *fakeServer {
		return newFakeServer(map[string]http.HandlerFunc{"GET /v1/caps": answer(200, body)})
	}

	// A team's credit may be held by a gate other than the first one, so all must be queried.
	It("queries all gates and lists the teams with the least credit first", func() {
		first := caps(`[{"team":"council","gate":"gate-1","owner":true,"rate_per_second":10,"burst":20,"credit":17.4}]`)
		second := caps(`[{"team":"council","gate":"gate-2","credit":3},{"team":"parish","gate":"gate-2","owner":true,"rate_per_second":2,"burst":2,"credit":-1.5,"low":true}]`)
		got := run([]*fakeServer{first, second}, "cap", "list")
		Expect(got.code).To(Equal(0), got.err)
		Expect(got.out).To(MatchRegexp(`(?s)parish\s+-1.5\s+2\s+2\s+over\s+gate-2.*council\s+17.4\s+10\s+20\s+plenty\s+gate-1`))
		Expect(got.out).NotTo(ContainSubstring("standby"))
		Expect(run([]*fakeServer{first, second}, "cap", "list", "--all-gates", "council").out).To(ContainSubstring("standby"))
	})

	It("lists the answers and reports that not all gates answered", func() {
		unresponsive := newFakeServer(map[string]http.HandlerFunc{"GET /v1/caps": dropConnection})
		got := run([]*fakeServer{unresponsive, caps(`[{"team":"council","gate":"gate-1","owner":true,"credit":5}]`)}, "cap", "list")
		Expect(got.code).To(Equal(0))
		Expect(got.out).To(ContainSubstring("council"))
		Expect(got.err).To(ContainSubstring("not all gates answered"))
	})
})
