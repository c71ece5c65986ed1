package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/test/harness"
)

// seedsVariable names the seeds of the history checks, as FIRST-LAST.
const seedsVariable = "SLATEWAY_TEST_SEEDS"

// defaultSeeds keep a run short enough for each commit.
const defaultSeeds = "1-20"

// checkTime bounds the check of one history.
const checkTime = time.Minute

// history collects operations of concurrent clients.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

func newHistory() *history { return &history{start: time.Now()} }

// record runs an operation and notes when it began and ended. The operation
// spans all resends of its call: they carry one ID and must act as one.
func (h *history) record(client int, input any, run func() any) {
	began := time.Since(h.start)
	output := run()
	ended := time.Since(h.start)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: input, Call: began.Nanoseconds(), Output: output, Return: ended.Nanoseconds(),
	})
}

// expectLinearizable checks the history, and keeps a drawing of a wrong one.
func (h *history) expectLinearizable(model porcupine.Model, name string) {
	GinkgoHelper()
	verdict, info := porcupine.CheckOperationsVerbose(model, h.operations, checkTime)
	if verdict != porcupine.Ok {
		drawing := filepath.Join(os.TempDir(), name+".html")
		Expect(porcupine.VisualizePath(model, info, drawing)).To(Succeed())
		Fail(fmt.Sprintf("%s: %s after %d operations; see %s", name, verdict, len(h.operations), drawing))
	}
}

// run is one seed's clients on a fleet.
type seedRun struct {
	seed      uint64
	operators []string
	gates     []string
	config    *history
	jobs      *history

	mu     sync.Mutex
	claims map[string][]*answer // answers by idempotency key
}

// Sizes of one seed's run.
const (
	configClients = 4
	jobClients    = 3
	claimClients  = 3
	operationsOf  = 20 // of each client
)

// clients runs all clients of a seed to their end.
func (r *seedRun) clients(ctx context.Context) {
	var running sync.WaitGroup
	start := func(count int, work func(ctx context.Context, client int, random *rand.Rand)) {
		for client := range count {
			running.Go(func() {
				defer GinkgoRecover()
				work(ctx, client, rand.New(rand.NewPCG(r.seed, uint64(client))))
			})
		}
	}
	start(configClients, r.configClient)
	start(jobClients, r.jobClient)
	start(claimClients, r.claimClient)
	running.Wait()
}

// configClient reads and changes two teams, at times on an old revision.
func (r *seedRun) configClient(ctx context.Context, client int, random *rand.Rand) {
	known := map[string]uint64{}
	for op := range operationsOf {
		team := fmt.Sprintf("s%d-%d", r.seed, random.IntN(2))
		input := configInput{team: team, kind: drawKind(random), base: known[team], value: 1 + client*operationsOf + op}
		if input.kind == deleteTeam && input.base == 0 {
			input.kind = readTeam
		}
		r.config.record(client, input, func() any {
			output := r.configure(ctx, client, input, fmt.Sprintf("%s-%d-%d", team, client, op))
			known[team] = output.revision
			if input.kind == deleteTeam && !output.refused {
				known[team] = 0
			}
			return output
		})
		rest(ctx, time.Duration(random.IntN(60))*time.Millisecond)
	}
}

func drawKind(random *rand.Rand) configKind {
	switch draw := random.IntN(10); {
	case draw < 3:
		return readTeam
	case draw < 9:
		return changeTeam
	}
	return deleteTeam
}

func (r *seedRun) configure(ctx context.Context, client int, input configInput, changeID string) configOutput {
	asked := getTeam(input.team)
	switch input.kind {
	case changeTeam:
		asked = putTeam(input.team, input.base, changeID, input.value)
	case deleteTeam:
		asked = &call{method: http.MethodDelete, path: fmt.Sprintf("/v1/teams/%s?base_revision=%d&change_id=%s", input.team, input.base, changeID)}
	}
	got, err := asked.persist(ctx, r.operators, client)
	Expect(err).NotTo(HaveOccurred())
	if got.status != http.StatusOK {
		Expect(got.status).To(BeElementOf(http.StatusConflict, http.StatusNotFound), string(got.body))
		return configOutput{refused: input.kind != readTeam}
	}
	var state teamState
	got.decode(&state)
	value, _ := strconv.Atoi(state.Parameters["concurrent"])
	return configOutput{revision: state.Revision, value: value}
}

// jobClient drives one of two jobs that all clients share.
func (r *seedRun) jobClient(ctx context.Context, client int, random *rand.Rand) {
	for range 2 {
		key := fmt.Sprintf("job-%d-%d", r.seed, random.IntN(2))
		id := ""
		r.jobs.record(client, jobInput{key, createJob}, func() any {
			got, err := createCall(key).persist(ctx, r.gates, client)
			Expect(err).NotTo(HaveOccurred())
			var job jobStatus
			got.decode(&job)
			id = job.ID
			return jobOutput{state: job.State}
		})
		part := &call{method: http.MethodPut, path: "/v1/jobs/" + id + "/parts/0", body: items(key, 0, 3), header: map[string]string{"Content-Type": "application/x-ndjson"}}
		_, err := part.persist(ctx, r.gates, client)
		Expect(err).NotTo(HaveOccurred())
		for range operationsOf / 2 {
			r.jobOperation(ctx, client, key, id, random)
			rest(ctx, time.Duration(random.IntN(100))*time.Millisecond)
		}
	}
}

func (r *seedRun) jobOperation(ctx context.Context, client int, key, id string, random *rand.Rand) {
	asked := &call{method: http.MethodGet, path: "/v1/jobs/" + id}
	kind := readState
	switch draw := random.IntN(10); {
	case draw < 2:
		kind = sealJob
		asked = &call{method: http.MethodPost, path: "/v1/jobs/" + id + "/seal", body: map[string]int{"parts": 1}}
	case draw < 3:
		kind = cancelJob
		asked = &call{method: http.MethodPost, path: "/v1/jobs/" + id + "/cancel"}
	}
	r.jobs.record(client, jobInput{key, kind}, func() any {
		got, err := asked.persist(ctx, r.gates, client)
		Expect(err).NotTo(HaveOccurred())
		if got.status != http.StatusOK {
			return jobOutput{refused: true}
		}
		var job jobStatus
		got.decode(&job)
		return jobOutput{state: job.State}
	})
}

// Headers of a request that must not run twice.
const (
	keyHeader           = "Idempotency-Key"
	nonIdempotentHeader = "Slateway-Non-Idempotent"
)

// claimTries is how often a client sends one non-idempotent request.
const claimTries = 4

// claimClient sends the same non-idempotent requests as all other clients,
// each through several gates, until it has an answer.
func (r *seedRun) claimClient(ctx context.Context, client int, random *rand.Rand) {
	for number := range operationsOf / 2 {
		key := fmt.Sprintf("plate-%d-%d", r.seed, number)
		confirm := &call{
			method: http.MethodPost, path: "/services/pagedesk/confirm/" + key, body: map[string]string{"plate": key},
			header: map[string]string{keyHeader: key, nonIdempotentHeader: "true"},
		}
		for try := range claimTries {
			got, err := confirm.send(ctx, r.gates[(client+try)%len(r.gates)])
			if err == nil {
				r.mu.Lock()
				r.claims[key] = append(r.claims[key], got)
				r.mu.Unlock()
			}
			if err == nil && got.status == http.StatusOK {
				break
			}
			rest(ctx, time.Duration(50+random.IntN(100))*time.Millisecond)
		}
	}
}

// expectAtMostOnce compares what callers were told with what ran.
func (r *seedRun) expectAtMostOnce(service *harness.Upstream) {
	GinkgoHelper()
	calls, err := service.Calls()
	Expect(err).NotTo(HaveOccurred())
	runs := map[string]int{}
	for _, ran := range calls {
		runs[filepath.Base(ran.Path)]++
	}
	for key, answers := range r.claims {
		Expect(runs[key]).To(BeNumerically("<=", 1), "%s ran %d times", key, runs[key])
		outcome, mayHaveRun := "", false
		for _, got := range answers {
			if got.status != http.StatusOK {
				mayHaveRun = mayHaveRun || got.refusal().Error.Ran != "no"
				continue
			}
			Expect(runs[key]).To(Equal(1), "%s was answered and did not run", key)
			if outcome == "" {
				outcome = string(got.body)
			}
			Expect(string(got.body)).To(Equal(outcome), "two outcomes of %s", key)
		}
		if len(answers) == claimClients*claimTries && outcome == "" && !mayHaveRun {
			Expect(runs[key]).To(BeZero(), "%s was told not to have run, and ran", key)
		}
	}
}

// report counts what happened in a seed's run.
func (r *seedRun) report(faults map[string]int) {
	answered, clerks := 0, 0
	for _, answers := range r.claims {
		for _, got := range answers {
			clerks++
			if got.status == http.StatusOK {
				answered++
			}
		}
	}
	AddReportEntry(fmt.Sprintf("seed %d", r.seed), fmt.Sprintf("faults %v, %d configuration and %d job operations, %d of %d confirmations answered",
		faults, len(r.config.operations), len(r.jobs.operations), answered, clerks))
}

// seeds reads seedsVariable.
func seeds() (first, last uint64) {
	GinkgoHelper()
	text := os.Getenv(seedsVariable)
	if text == "" {
		text = defaultSeeds
	}
	from, to, _ := strings.Cut(text, "-")
	first, err := strconv.ParseUint(from, 10, 64)
	Expect(err).NotTo(HaveOccurred(), "%s=%s", seedsVariable, text)
	last, err = strconv.ParseUint(to, 10, 64)
	Expect(err).NotTo(HaveOccurred(), "%s=%s", seedsVariable, text)
	return first, last
}

var _ = Describe("concurrent histories while VMs are killed, frozen, cut off and lose their disks", func() {
	// Operators race and resend, callers create, seal and cancel shared jobs,
	// and clerks confirm the same plates through several gates, while one VM
	// after the other is killed, frozen, cut off, also in one direction only, or
	// comes back with a blank disk. Whatever was answered must be explained by one
	// order of the operations, each acting once, and no plate may be confirmed
	// twice.
	It("are linearizable, and non-idempotent requests run at most once", func(ctx SpecContext) {
		first, last := seeds()
		var lanes sync.WaitGroup
		for lane := range uint64(historyLanes) {
			options := threeVMs()
			options.PeerLinks = true
			fleet, _ := startSite(ctx, options, 2)
			service, err := fleet.StartService("pagedesk", "pagedesk-1", places[0], "--delay", "20ms")
			Expect(err).NotTo(HaveOccurred())
			Expect(fleet.WaitReady(ctx, map[string]int{"pagedesk": 1})).To(Succeed())
			lanes.Go(func() {
				defer GinkgoRecover()
				for seed := first + lane; seed <= last; seed += historyLanes {
					checkSeed(ctx, fleet, service, seed)
				}
			})
		}
		lanes.Wait()
	}, NodeTimeout(time.Hour))
})

// historyLanes are the fleets whose seeds run at the same time: each spends
// most of its time waiting for faults to pass.
const historyLanes = 3

// checkSeed runs a seed's clients under its faults, and checks what they saw.
func checkSeed(ctx context.Context, fleet *harness.Fleet, service *harness.Upstream, seed uint64) {
	GinkgoHelper()
	By(fmt.Sprintf("seed %d", seed))
	run := &seedRun{
		seed: seed, operators: fleet.Operators(), gates: fleet.Callers(),
		config: newHistory(), jobs: newHistory(), claims: map[string][]*answer{},
	}
	disturbing, peace := context.WithCancel(ctx)
	defer peace()
	var nemesis sync.WaitGroup
	var faults map[string]int
	nemesis.Go(func() {
		defer GinkgoRecover()
		faults = disturb(disturbing, fleet, rand.New(rand.NewPCG(seed, 1000)))
	})
	run.clients(ctx)
	peace()
	nemesis.Wait()
	run.report(faults)
	run.config.expectLinearizable(configModel, fmt.Sprintf("config-seed-%d", seed))
	run.jobs.expectLinearizable(jobModel.ToModel(), fmt.Sprintf("jobs-seed-%d", seed))
	run.expectAtMostOnce(service)
}
