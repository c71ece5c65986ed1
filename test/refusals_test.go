package test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/test/harness"
)

// badInput is a request that must be refused, and the expected refusal.
type badInput struct {
	name     string
	asked    *call
	operator bool // sent to the operators' listener
	status   int
	reason   string
	names    string // text that the message must contain
}

func chatCall(body any) *call {
	return &call{method: http.MethodPost, path: "/v1/chat/completions", body: body}
}

func withHeader(asked *call, name, value string) *call {
	asked.header = map[string]string{name: value}
	return asked
}

// chatBody returns a valid chat completion request.
func chatBody(model string) map[string]any {
	return map[string]any{"model": model, "max_tokens": 2, "messages": []map[string]string{{"role": "user", "content": "hello"}}}
}

// maxBody is the default of the setting limits.max_body_bytes.
const maxBody = 8 << 20

func badInputs(job string) []badInput {
	brokenPart := append(items("broken", 0, 2), []byte("{\"custom_id\":\n")...)
	announcement := map[string]any{
		"service": "wordroom", "kind": "engine", "replica": "r", "incarnation": 1, "sequence": 1,
		"address": "0.0.0.0:0", "place": "glas-a", "slots": 1,
	}
	jobWith := func(deadline string) *call {
		return &call{method: http.MethodPost, path: "/v1/jobs", body: map[string]any{"job_key": "bad", "service": model, "deadline": deadline}}
	}
	part := func(job string, body []byte) *call {
		return &call{method: http.MethodPut, path: "/v1/jobs/" + job + "/parts/0", body: body, header: map[string]string{"Content-Type": "application/x-ndjson"}}
	}
	return []badInput{
		{"a body over the limit", chatCall(bytes.Repeat([]byte(" "), maxBody+1)), false, 413, "body_too_large", fmt.Sprint(maxBody)},
		{"a body that is not JSON", chatCall([]byte(`{"model":`)), false, 400, "malformed_request", "JSON"},
		{"an unknown model", chatCall(chatBody("none")), false, 404, "unknown_model", "none"},
		{"an unknown token", withHeader(chatCall(chatBody(model)), "Authorization", "Bearer none"), false, 401, "unknown_token", "token"},
		{"an unknown service", &call{method: http.MethodGet, path: "/services/none/x"}, false, 404, "unknown_service", "none"},
		{"a deadline that has passed", withHeader(chatCall(chatBody(model)), "Slateway-Deadline", "-5s"), false, 504, "past_deadline", "-5s"},
		{"a deadline that is none", withHeader(chatCall(chatBody(model)), "Slateway-Deadline", "soon"), false, 400, "bad_deadline", "soon"},
		{"a job's deadline that has passed", jobWith("2020-01-01T00:00:00Z"), false, 400, "past_deadline", "2020"},
		{"a job's deadline that is none", jobWith("tomorrow"), false, 400, "bad_deadline", "tomorrow"},
		{"a part with a broken line", part(job, brokenPart), false, 400, "bad_line", "line 3"},
		{"a part of an unknown job", part("job-none", items("x", 0, 1)), false, 404, "unknown_job", "job-none"},
		{"an impossible address", &call{method: http.MethodPost, path: "/v1/upstreams/announce", body: announcement}, false, 400, "bad_address", "0.0.0.0:0"},
		{"a parameter out of its bounds", putTeam("bad", 0, "bad-1", 0), true, 400, "invalid_team", "concurrent"},
		{"an unknown team", getTeam("none"), true, 404, "unknown_team", "none"},
		{"an unknown template", &call{method: http.MethodPut, path: "/v1/teams/bad", body: map[string]any{
			"template": "none", "base_revision": 0, "change_id": "bad-2",
		}}, true, 404, "unknown_template", "none"},
	}
}

var _ = Describe("bad input", func() {
	It("is refused with its reason and remedy, is counted, and loses nothing", func(ctx SpecContext) {
		fleet, _ := startGuild(ctx, 1)
		gate := fleet.VMs[0]
		created, err := createCall("good").sendUntilDefinite(ctx, []string{gate.Callers}, 0)
		Expect(err).NotTo(HaveOccurred())
		var job jobStatus
		created.decode(&job)
		for _, bad := range badInputs(job.ID) {
			By(bad.name)
			expectBadInput(ctx, gate, bad)
		}

		By("a part sent twice")
		part := &call{method: http.MethodPut, path: "/v1/jobs/" + job.ID + "/parts/0", body: items("good", 0, 3), header: map[string]string{"Content-Type": "application/x-ndjson"}}
		for range 2 {
			got, err := part.send(ctx, gate.Callers)
			Expect(err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusOK), string(got.body))
		}
		other := *part
		other.body = items("other", 0, 3)
		expectBadInput(ctx, gate, badInput{"other items under the number of a part", &other, false, 409, "part_conflict", "part 0"})
		Expect(readJob(ctx, []string{gate.Callers}, job.ID).Items).To(Equal(3))

		got, err := chatCall(chatBody(model)).send(ctx, gate.Callers)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusOK), "without a deadline: %s", got.body)
	}, NodeTimeout(2*waitTimeout))
})

func expectBadInput(ctx context.Context, gate *harness.VM, bad badInput) {
	GinkgoHelper()
	before, err := gate.Counters(ctx)
	Expect(err).NotTo(HaveOccurred())
	address := gate.Callers
	if bad.operator {
		address = gate.Operators
	}
	got, err := bad.asked.send(ctx, address)
	Expect(err).NotTo(HaveOccurred())
	refused := got.refusal().Error
	Expect(got.status).To(Equal(bad.status), string(got.body))
	Expect(refused.Reason).To(Equal(bad.reason), string(got.body))
	Expect(refused.Message).To(ContainSubstring(bad.names))
	Expect(refused.Remedy).NotTo(BeEmpty())
	Expect(refused.Ran).To(Equal("no"))
	after, err := gate.Counters(ctx)
	Expect(err).NotTo(HaveOccurred())
	counter := "refused." + bad.reason
	Expect(after[counter]).To(Equal(before[counter]+1), "counter %s", counter)
}
