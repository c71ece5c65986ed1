package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/standin/engine"
	"slateway.example/slateway/test/harness"
)

// jobStatus holds the fields of a job's status that the tests check.
type jobStatus struct {
	ID        string `json:"id"`
	State     string `json:"state"`
	Items     int    `json:"items"`
	Done      int    `json:"done"`
	Failed    int    `json:"failed"`
	Cancelled int    `json:"cancelled"`
}

// prompt returns the prompt of a job's item.
func prompt(key string, item int) string { return fmt.Sprintf("%s item %d", key, item) }

// itemTokens is the length of each item's answer in tokens.
const itemTokens = 8

// items returns the items from, inclusive, to to, exclusive, of a job as NDJSON.
func items(key string, from, to int) []byte {
	var lines strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&lines, `{"custom_id":"%d","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}}`+"\n",
			i, model, itemTokens, prompt(key, i))
	}
	return []byte(lines.String())
}

// createCall returns a call that creates a job, or finds the one with the same key.
func createCall(key string) *call {
	return &call{method: http.MethodPost, path: "/v1/jobs", body: map[string]any{"job_key": key, "service": model}}
}

// submitJob submits a job in parts of 250 items through the gates in turn, and returns
// its ID.
func submitJob(ctx context.Context, gates []string, key string, count int) string {
	GinkgoHelper()
	created, err := createCall(key).sendUntilDefinite(ctx, gates, 0)
	Expect(err).NotTo(HaveOccurred())
	var job jobStatus
	created.decode(&job)
	Expect(job.ID).NotTo(BeEmpty(), string(created.body))
	const partItems = 250
	parts := 0
	for from := 0; from < count; from += partItems {
		part := &call{
			method: http.MethodPut,
			path:   fmt.Sprintf("/v1/jobs/%s/parts/%d", job.ID, parts),
			body:   items(key, from, min(from+partItems, count)),
			header: map[string]string{"Content-Type": "application/x-ndjson"},
		}
		sent, err := part.sendUntilDefinite(ctx, gates, parts)
		Expect(err).NotTo(HaveOccurred())
		Expect(sent.status).To(Equal(http.StatusOK), string(sent.body))
		parts++
	}
	sealed, err := (&call{method: http.MethodPost, path: "/v1/jobs/" + job.ID + "/seal", body: map[string]int{"parts": parts}}).sendUntilDefinite(ctx, gates, 0)
	Expect(err).NotTo(HaveOccurred())
	Expect(sealed.status).To(Equal(http.StatusOK), string(sealed.body))
	return job.ID
}

// readJob returns a job's status from the first gate that answers.
func readJob(ctx context.Context, gates []string, id string) jobStatus {
	GinkgoHelper()
	got, err := (&call{method: http.MethodGet, path: "/v1/jobs/" + id}).sendUntilDefinite(ctx, gates, 0)
	Expect(err).NotTo(HaveOccurred())
	var job jobStatus
	got.decode(&job)
	return job
}

// resultLine is one line of a job's results.
type resultLine struct {
	Index    int             `json:"index"`
	CustomID string          `json:"custom_id"`
	Status   json.RawMessage `json:"status"`
	Response json.RawMessage `json:"response"`
	Error    json.RawMessage `json:"error"`
}

// readResults reads all results of an ended job through one gate.
func readResults(ctx context.Context, gate, id string) []resultLine {
	GinkgoHelper()
	var results []resultLine
	for next := "0"; ; {
		page, err := (&call{method: http.MethodGet, path: "/v1/jobs/" + id + "/results?limit=300&from=" + next}).sendUntilDefinite(ctx, []string{gate}, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.status).To(Equal(http.StatusOK), string(page.body))
		lines := json.NewDecoder(strings.NewReader(string(page.body)))
		for lines.More() {
			var line resultLine
			Expect(lines.Decode(&line)).To(Succeed())
			results = append(results, line)
		}
		if page.header.Get("Results-Complete") == "true" {
			return results
		}
		last := next
		next = page.header.Get("Next-From")
		Expect(next).NotTo(Equal(last), "results stop at %s", last)
	}
}

// expectAllAnswered checks that each item has exactly one result, its own answer.
func expectAllAnswered(results []resultLine, key string, count int) {
	GinkgoHelper()
	Expect(results).To(HaveLen(count))
	for i, line := range results {
		Expect(line.Index).To(Equal(i))
		Expect(line.CustomID).To(Equal(fmt.Sprint(i)))
		Expect(string(line.Response)).To(ContainSubstring(engine.Answer(prompt(key, i), itemTokens)), "item %d: %s %s", i, line.Status, line.Error)
	}
}

// runsOf returns the number of runs started at all engines, by prompt.
func runsOf(engines []*harness.Upstream) map[string]int {
	GinkgoHelper()
	count := map[string]int{}
	for _, upstream := range engines {
		runs, err := upstream.Runs()
		Expect(err).NotTo(HaveOccurred())
		for _, run := range runs {
			count[run.Prompt]++
		}
	}
	return count
}

// lastStart returns the time at which the last run started at any engine.
func lastStart(engines []*harness.Upstream) time.Time {
	GinkgoHelper()
	var last time.Time
	for _, upstream := range engines {
		runs, err := upstream.Runs()
		Expect(err).NotTo(HaveOccurred())
		for _, run := range runs {
			if run.Started.After(last) {
				last = run.Started
			}
		}
	}
	return last
}

var _ = Describe("a batch job", func() {
	// Guards against lost or duplicated items when an engine, and then a VM that is gate
	// and keeper, is killed with items in flight. These items must run again elsewhere,
	// and every remaining gate must return all results.
	It("answers each of 1,000 items exactly once while an engine and a gate are killed", func(ctx SpecContext) {
		fleet, engines := startGuild(ctx, 3)
		id := submitJob(ctx, fleet.Callers(), "bulletin", 1000)
		doneItems := func() int { return readJob(ctx, fleet.Callers(), id).Done }
		Eventually(ctx, doneItems).Should(BeNumerically(">=", 150))
		engines[0].Kill()
		Eventually(ctx, doneItems).Should(BeNumerically(">=", 300))
		fleet.VMs[2].Kill()
		gates := fleet.Callers()[:2]
		Eventually(ctx, func() jobStatus { return readJob(ctx, gates, id) }).Should(HaveField("State", "done"))
		Expect(readJob(ctx, gates, id)).To(And(HaveField("Done", 1000), HaveField("Failed", 0)))
		for _, gate := range gates {
			expectAllAnswered(readResults(ctx, gate, id), "bulletin", 1000)
		}
	}, NodeTimeout(3*waitTimeout))

	// The VM that acknowledged a job is lost at once, and the client submits the job
	// again through another VM. It must get the same, complete job. Guards against losing
	// an acknowledged job and against running its items as a second job.
	It("survives the VM that acknowledged it, and a resend finds it", func(ctx SpecContext) {
		fleet, engines := startGuild(ctx, 2)
		first := fleet.VMs[0]
		id := submitJob(ctx, []string{first.Callers}, "notices", 40)
		first.Kill()
		gates := fleet.Callers()[1:]
		Expect(submitJob(ctx, gates, "notices", 40)).To(Equal(id))
		Eventually(ctx, func() jobStatus { return readJob(ctx, gates, id) }).Should(HaveField("State", "done"))
		Expect(readJob(ctx, gates, id)).To(HaveField("Items", 40))
		expectAllAnswered(readResults(ctx, gates[0], id), "notices", 40)
		Expect(runsOf(engines)).To(HaveLen(40))
	}, NodeTimeout(3*waitTimeout))

	// A job is cancelled while its items run, which would take another 15 s. Gates learn
	// of the cancellation with their next heartbeat; they must then cancel the streams
	// and start no further items. Earlier results must stay readable.
	It("that is cancelled stops", func(ctx SpecContext) {
		fleet, engines := startGuild(ctx, 2, "--token-every", "30ms", "--slots", "4")
		gates := fleet.Callers()
		id := submitJob(ctx, gates, "stopped", 500)
		Eventually(ctx, func() int { return readJob(ctx, gates, id).Done }).Should(BeNumerically(">=", 8))
		cancelled, err := (&call{method: http.MethodPost, path: "/v1/jobs/" + id + "/cancel"}).sendUntilDefinite(ctx, gates, 0)
		Expect(err).NotTo(HaveOccurred())
		acknowledged := time.Now()
		var job jobStatus
		cancelled.decode(&job)
		Expect(job.State).To(Equal("cancelled"))

		started := -1
		Eventually(ctx, func() bool {
			before := started
			started = len(runsOf(engines))
			return started == before
		}).WithPolling(2 * time.Second).Should(BeTrue())
		Expect(started).To(BeNumerically("<", 500))
		delay := lastStart(engines).Sub(acknowledged)
		AddReportEntry("last item started after the acknowledged cancel by", delay.String())
		Expect(delay).To(BeNumerically("<", 10*time.Second))
		job = readJob(ctx, gates, id)
		Expect(job.Done + job.Failed + job.Cancelled).To(Equal(500))
		for _, line := range readResults(ctx, gates[1], id) {
			if line.Response != nil {
				Expect(string(line.Response)).To(ContainSubstring(engine.Answer(prompt("stopped", line.Index), itemTokens)))
			}
		}
	}, NodeTimeout(3*waitTimeout))
})
