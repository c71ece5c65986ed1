package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/standin/engine"
	"slateway.example/slateway/test/harness"
)

// leavingLimit is how long an upstream may still receive new requests after it has
// announced that it is leaving.
const leavingLimit = 2 * time.Second

// completionCall returns a call for a non-streaming completion of the prompt.
func completionCall(prompt string, tokens int) *call {
	return &call{method: http.MethodPost, path: "/v1/completions", body: map[string]any{
		"model": model, "prompt": prompt, "max_tokens": tokens,
	}}
}

// askUntil sends completions with unique prompts through all gates, width at a time,
// until ctx ends. It calls record for each answer; the calls do not overlap.
func askUntil(ctx context.Context, gates []string, width int, header map[string]string, record func(prompt string, got *answer, err error)) *sync.WaitGroup {
	var mu sync.Mutex
	var workers sync.WaitGroup
	for worker := range width {
		workers.Go(func() {
			defer GinkgoRecover()
			for i := 0; ctx.Err() == nil; i++ {
				prompt := fmt.Sprintf("asked %d-%d", worker, i)
				asked := completionCall(prompt, itemTokens)
				asked.header = header
				// A started request is not cancelled, so that its answer shows whether it
				// ran.
				got, err := asked.send(context.WithoutCancel(ctx), gates[(worker+i)%len(gates)])
				mu.Lock()
				record(prompt, got, err)
				mu.Unlock()
			}
		})
	}
	return &workers
}

var _ = Describe("an upstream", func() {
	// An engine is shut down under load. It announces this to the gates, and accepts
	// requests for a while because the announcement takes time to reach them. After two
	// seconds no gate may send it online or batch requests, and no caller may see an
	// error.
	It("that leaves gets nothing new after two seconds from any gate", func(ctx SpecContext) {
		fleet, engines := startGuild(ctx, 3, "--leave-grace", "6s", "--slots", "8")
		submitJob(ctx, fleet.Callers(), "beside", 2000)
		askCtx, stop := context.WithCancel(ctx)
		refused := 0
		workers := askUntil(askCtx, fleet.Callers(), 6, nil, func(_ string, got *answer, err error) {
			if err != nil || got.status != http.StatusOK {
				refused++
			}
		})
		leaving := engines[0]
		Eventually(ctx, func() int { return len(runsOf(engines[:1])) }).Should(BeNumerically(">=", 20))
		Expect(leaving.Terminate()).To(Succeed())
		terminated := time.Now()
		code, err := leaving.ExitCode(waitTimeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(BeZero())
		stop()
		workers.Wait()
		delay := lastStart(engines[:1]).Sub(terminated)
		AddReportEntry("last request after the announcement by", delay.String())
		Expect(delay).To(BeNumerically("<", leavingLimit))
		Expect(refused).To(BeZero())
	}, NodeTimeout(2*waitTimeout))

	// A request that crashes every engine that runs it is sent 50 times through all
	// gates. At most two engines may be lost before the gates identify the request and
	// refuse it permanently. Other requests must still be answered.
	It("is not lost to a request that killed two others, whichever gate gets it", func(ctx SpecContext) {
		fleet, engines := startGuild(ctx, 5)
		gates := fleet.Callers()
		var last *answer
		for i := range 50 {
			got, err := completionCall("crash-upstream please", itemTokens).send(ctx, gates[i%len(gates)])
			Expect(err).NotTo(HaveOccurred())
			Expect(got.status).NotTo(Equal(http.StatusOK))
			last = got
		}
		Expect(last.status).To(Equal(http.StatusUnprocessableEntity), string(last.body))
		Expect(last.header.Get("Retry-After")).To(BeEmpty())
		lost := 0
		for _, upstream := range engines {
			if !upstream.Running() {
				lost++
			}
		}
		Expect(lost).To(BeNumerically("<=", 2))
		for i := range 20 {
			prompt := fmt.Sprintf("bystander %d", i)
			got, err := completionCall(prompt, itemTokens).send(ctx, gates[i%len(gates)])
			Expect(err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusOK), string(got.body))
			Expect(string(got.body)).To(ContainSubstring(engine.Answer(prompt, itemTokens)))
		}
	}, NodeTimeout(2*waitTimeout))
})

var _ = Describe("a caller", func() {
	// Engines are killed, frozen and restarted while callers send non-idempotent requests.
	// A caller that receives "ran: no" may resend its request, so a request with that
	// answer must not have run; otherwise it would run twice.
	It("that receives ran: no for a request can rely on it", func(ctx SpecContext) {
		fleet, engines := startGuild(ctx, 3, "--slots", "4")
		askCtx, stop := context.WithCancel(ctx)
		outcomes := map[string]string{}
		workers := askUntil(askCtx, fleet.Callers(), 12, map[string]string{nonIdempotentHeader: "true"}, func(prompt string, got *answer, err error) {
			switch {
			case err != nil:
				outcomes[prompt] = "unknown"
			case got.status == http.StatusOK:
				outcomes[prompt] = "answered"
			default:
				outcomes[prompt] = got.refusal().Error.Ran
			}
		})
		random := rand.New(rand.NewPCG(7, 7))
		for range 8 {
			injectUpstreamFault(engines[random.IntN(len(engines))], random)
		}
		stop()
		workers.Wait()
		runs := runsOf(engines)
		counts := map[string]int{}
		for prompt, ran := range outcomes {
			counts[ran]++
			Expect(runs[prompt]).To(BeNumerically("<=", 1), "%s ran %d times", prompt, runs[prompt])
			switch ran {
			case "no":
				Expect(runs[prompt]).To(BeZero(), "%s was reported as not run", prompt)
			case "answered":
				Expect(runs[prompt]).To(Equal(1), "%s was answered", prompt)
			}
		}
		AddReportEntry("requests by the outcome that their callers received", fmt.Sprint(counts))
		Expect(counts["answered"]).To(BeNumerically(">", 100))
	}, NodeTimeout(2*waitTimeout))

	// A batch job with items of two seconds fills all engines, and online requests are
	// sent. Engines admit requests in order: a batch item that is ahead of an online
	// request in an engine's queue, or does not give up its slot, delays it by up to the
	// item's duration.
	It("does not wait behind batch at an engine", func(ctx SpecContext) {
		fleet, engines := startGuild(ctx, 2, "--slots", "4", "--token-every", "250ms")
		submitJob(ctx, fleet.Callers(), "filling", 1000)
		Eventually(ctx, func() int { return len(runsOf(engines)) }).Should(BeNumerically(">=", 8))
		const requests = 60
		for i := range requests {
			got, err := completionCall(fmt.Sprintf("clerk %d", i), 1).send(ctx, fleet.Callers()[i%3])
			Expect(err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusOK), string(got.body))
		}
		waits := waitsOf(engines, "clerk ")
		Expect(len(waits)).To(BeNumerically(">=", requests))
		AddReportEntry("waits for a slot beside a full batch: median and longest", fmt.Sprint(waits[len(waits)/2], " ", waits[len(waits)-1]))
		Expect(waits[len(waits)-1]).To(BeNumerically("<", 500*time.Millisecond))
	}, NodeTimeout(2*waitTimeout))
})

// waitsOf returns the sorted times for which requests whose prompts begin with prefix
// waited for a slot at the engines.
func waitsOf(engines []*harness.Upstream, prefix string) []time.Duration {
	GinkgoHelper()
	var waits []time.Duration
	for _, upstream := range engines {
		runs, err := upstream.Runs()
		Expect(err).NotTo(HaveOccurred())
		for _, run := range runs {
			if strings.HasPrefix(run.Prompt, prefix) {
				waits = append(waits, run.Waited)
			}
		}
	}
	slices.Sort(waits)
	return waits
}

// injectUpstreamFault kills and restarts an upstream, or freezes it for a random time.
func injectUpstreamFault(upstream *harness.Upstream, random *rand.Rand) {
	GinkgoHelper()
	length := shortestFault + time.Duration(random.Int64N(int64(longestFault)))
	if random.IntN(2) == 0 {
		Expect(upstream.Freeze()).To(Succeed())
		time.Sleep(length)
		Expect(upstream.Thaw()).To(Succeed())
		return
	}
	upstream.Kill()
	time.Sleep(length)
	Expect(upstream.Restart()).To(Succeed())
}
