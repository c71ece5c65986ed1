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

// leavingLimit is how long after it announced that it leaves an upstream may
// still be sent new requests.
const leavingLimit = 2 * time.Second

// completionCall asks for a plain completion of the prompt.
func completionCall(prompt string, tokens int) *call {
	return &call{method: http.MethodPost, path: "/v1/completions", body: map[string]any{
		"model": model, "prompt": prompt, "max_tokens": tokens,
	}}
}

// askUntil sends completions with prompts of their own through all gates, width
// at a time, until ctx ends. The answers are given to took, one at a time.
func askUntil(ctx context.Context, gates []string, width int, header map[string]string, took func(prompt string, got *answer, err error)) *sync.WaitGroup {
	var mu sync.Mutex
	var workers sync.WaitGroup
	for worker := range width {
		workers.Go(func() {
			defer GinkgoRecover()
			for i := 0; ctx.Err() == nil; i++ {
				prompt := fmt.Sprintf("asked %d-%d", worker, i)
				asked := completionCall(prompt, itemTokens)
				asked.header = header
				// A request that has begun ends by itself: whether it ran must be
				// known, and cutting it off would hide that.
				got, err := asked.send(context.WithoutCancel(ctx), gates[(worker+i)%len(gates)])
				mu.Lock()
				took(prompt, got, err)
				mu.Unlock()
			}
		})
	}
	return &workers
}

var _ = Describe("an upstream", func() {
	// An operator takes an engine away under load. It announces that it leaves
	// to the gates and still takes requests for a while, because gates hear of
	// it late. Two seconds on, none of the gates may send it anything, online or
	// batch, and no caller may notice.
	It("that leaves gets nothing new after two seconds from any gate", func(ctx SpecContext) {
		fleet, engines := startGuild(ctx, 3, "--leave-grace", "6s", "--slots", "8")
		submitJob(ctx, fleet.Callers(), "beside", 2000)
		asking, stop := context.WithCancel(ctx)
		refused := 0
		workers := askUntil(asking, fleet.Callers(), 6, nil, func(_ string, got *answer, err error) {
			if err != nil || got.status != http.StatusOK {
				refused++
			}
		})
		leaving := engines[0]
		Eventually(ctx, func() int { return len(runsOf(engines[:1])) }).Should(BeNumerically(">=", 20))
		Expect(leaving.Terminate()).To(Succeed())
		told := time.Now()
		code, err := leaving.ExitCode(patience)
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(BeZero())
		stop()
		workers.Wait()
		late := lastStart(engines[:1]).Sub(told)
		AddReportEntry("last request after the announcement by", late.String())
		Expect(late).To(BeNumerically("<", leavingLimit))
		Expect(refused).To(BeZero())
	}, NodeTimeout(2*patience))

	// One request crashes each engine that runs it. Its caller sends it again,
	// fifty times, through all gates. Two engines may be lost before the request
	// is known for what it is; then it is refused at once and for good, and the
	// other callers' requests go on.
	It("is not lost to a request that killed two others, whoever resends it", func(ctx SpecContext) {
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
	}, NodeTimeout(2*patience))
})

var _ = Describe("a caller", func() {
	// Engines are killed, frozen and started again while callers send requests
	// that must not run twice. A caller that is told "ran: no" sends its request
	// anew elsewhere; had it run, a plate would be confirmed twice.
	It("that is told its request was not run, is told the truth", func(ctx SpecContext) {
		fleet, engines := startGuild(ctx, 3, "--slots", "4")
		asking, stop := context.WithCancel(ctx)
		told := map[string]string{}
		workers := askUntil(asking, fleet.Callers(), 12, map[string]string{nonIdempotentHeader: "true"}, func(prompt string, got *answer, err error) {
			switch {
			case err != nil:
				told[prompt] = "unknown"
			case got.status == http.StatusOK:
				told[prompt] = "answered"
			default:
				told[prompt] = got.refusal().Error.Ran
			}
		})
		random := rand.New(rand.NewPCG(7, 7))
		for range 8 {
			disturbUpstream(engines[random.IntN(len(engines))], random)
		}
		stop()
		workers.Wait()
		runs := runsOf(engines)
		counts := map[string]int{}
		for prompt, ran := range told {
			counts[ran]++
			Expect(runs[prompt]).To(BeNumerically("<=", 1), "%s ran %d times", prompt, runs[prompt])
			switch ran {
			case "no":
				Expect(runs[prompt]).To(BeZero(), "%s was told not to have run", prompt)
			case "answered":
				Expect(runs[prompt]).To(Equal(1), "%s was answered", prompt)
			}
		}
		AddReportEntry("requests by what their callers were told", fmt.Sprint(counts))
		Expect(counts["answered"]).To(BeNumerically(">", 100))
	}, NodeTimeout(2*patience))

	// A publisher's job fills all engines, with items that take two seconds. A
	// clerk's request comes: engines admit in order, so batch that stands before
	// it in an engine's queue, or does not give its slot up, holds it up for as
	// long as an item takes.
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
	}, NodeTimeout(2*patience))
})

// waitsOf are the sorted times that requests, whose prompts begin with a
// prefix, waited for a slot at the engines.
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

// disturbUpstream kills an upstream and starts it again, or freezes it for a
// while.
func disturbUpstream(upstream *harness.Upstream, random *rand.Rand) {
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
