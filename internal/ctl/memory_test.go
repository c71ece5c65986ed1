package ctl_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("gate status", func() {
	// Guards against a list that hides which gate is full and which team fills it.
	It("lists the fullest gate first, with its teams, and reports gates without an answer", func() {
		empty := newFakeServer(map[string]http.HandlerFunc{"GET /v1/memory": answer(200, `{"gate":"gate-1","held_bytes":1048576,"peak_bytes":2097152,"budget_bytes":48234496}`)})
		full := newFakeServer(map[string]http.HandlerFunc{"GET /v1/memory": answer(200,
			`{"gate":"gate-2","held_bytes":41943040,"peak_bytes":44040192,"budget_bytes":48234496,"teams":[{"team":"council","held_bytes":39845888,"requests":9},{"held_bytes":2097152,"requests":1}]}`)})
		unresponsive := newFakeServer(map[string]http.HandlerFunc{"GET /v1/memory": dropConnection})
		got := run([]*fakeServer{empty, unresponsive, full}, "gate", "status")
		Expect(got.code).To(Equal(0), got.err)
		Expect(got.out).To(MatchRegexp(`(?s)gate-2\s+\(all\)\s+10\s+40.0\s+42.0\s+46.0.*gate-2\s+council\s+9\s+38.0.*gate-2\s+\(none\)\s+1\s+2.0.*gate-1\s+\(all\)\s+0\s+1.0`))
		Expect(got.err).To(ContainSubstring("not all gates answered"))
	})
})
