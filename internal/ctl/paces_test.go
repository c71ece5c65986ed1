package ctl_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("pace list", func() {
	It("lists the slowest replica first and marks those whose pace is ignored", func() {
		gate := newFakeServer(map[string]http.HandlerFunc{"GET /v1/paces": answer(200,
			`[{"gate":"gate-1","service":"scribe","replica":"r-1","percent":100,"age_ms":40,"online":2},`+
				`{"gate":"gate-1","service":"scribe","replica":"r-2","percent":250,"age_ms":310,"distrusted":true,"batch":3}]`)})
		got := run([]*fakeServer{gate}, "pace", "list")
		Expect(got.code).To(Equal(0), got.err)
		Expect(got.out).To(MatchRegexp(`(?s)r-2\s+scribe\s+250%\s+310ms\s+distrusted\s+0\s+3\s+gate-1.*r-1\s+scribe\s+100%\s+40ms\s+used`))
		Expect(run([]*fakeServer{gate}, "pace", "list", "r-1").out).NotTo(ContainSubstring("r-2"))
	})
})
