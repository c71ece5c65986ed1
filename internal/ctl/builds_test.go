package ctl_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("build list", func() {
	It("lists the builds of a service and why they are not the only ones", func() {
		gate := newFakeServer(map[string]http.HandlerFunc{"GET /v1/builds": answer(200,
			`[{"gate":"gate-1","service":"scribe","build":"v2","replicas":3,"doubt":"several_builds"},`+
				`{"gate":"gate-1","service":"scribe","build":"v1","age_ms":410,"doubt":"several_builds"},`+
				`{"gate":"gate-1","service":"pages","build":"v7","replicas":2,"sole":true}]`)})
		got := run([]*fakeServer{gate}, "build", "list")
		Expect(got.code).To(Equal(0), got.err)
		Expect(got.out).To(MatchRegexp(`(?s)pages\s+v7\s+2\s+0ms\s+yes\s+gate-1.*scribe\s+v1\s+0\s+410ms\s+several_builds.*scribe\s+v2\s+3`))
		Expect(run([]*fakeServer{gate}, "build", "list", "pages").out).NotTo(ContainSubstring("scribe"))
	})
})
