package ctl_test

import (
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("part", func() {
	It("lists the parts of prompts under which replicas crashed, the worst first", func() {
		gate := newFakeServer(map[string]http.HandlerFunc{"GET /v1/parts": answer(200,
			`[{"gate":"gate-1","service":"scribe","part":"5c1e","standing":"suspect","crashes":1,"replicas":["r-4"],"teams":["council"],"age_ms":40},`+
				`{"gate":"gate-1","service":"scribe","part":"bad0","standing":"condemned","crashes":3,"replicas":["r-1","r-2","r-3"],"teams":["council"],"doubtful":true,"trials":1,"age_ms":900,"seen_ms":20}]`)})
		got := run([]*fakeServer{gate}, "part", "list")
		Expect(got.code).To(Equal(0), got.err)
		Expect(got.out).To(MatchRegexp(`(?s)bad0\s+scribe\s+condemned\?\s+3\s+1\s+900ms\s+20ms\s+council\s+r-1,r-2,r-3\s+gate-1.*5c1e\s+scribe\s+suspect`))
		Expect(run([]*fakeServer{gate}, "part", "list", "5c1e").out).NotTo(ContainSubstring("bad0"))
	})

	It("lifts a verdict at the first gate that knows the part", func() {
		lifted := ""
		gate := newFakeServer(map[string]http.HandlerFunc{"POST /v1/parts/lift": func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			lifted = string(body)
			_, _ = w.Write([]byte("{}"))
		}})
		got := run([]*fakeServer{gate}, "part", "lift", "scribe", "bad0")
		Expect(got.code).To(Equal(0), got.err)
		Expect(lifted).To(MatchJSON(`{"service":"scribe","part":"bad0"}`))
	})

	It("asks for both arguments", func() {
		got := run([]*fakeServer{newFakeServer(nil)}, "part", "lift", "scribe")
		Expect(got.code).NotTo(Equal(0))
		Expect(got.err).To(ContainSubstring("takes a service and a part"))
	})
})
