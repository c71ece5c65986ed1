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

// seedsVariable is the environment variable for the seeds of the history checks, as
// FIRST-LAST.
const seedsVariable = "SLATEWAY_TEST_SEEDS"

// defaultSeeds are few enough to run on each commit.
const defaultSeeds = "1-20"

// checkTime limits the check of one history.
const checkTime = time.Minute

// history collects operations of concurrent clients.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

func newHistory() *history { return &history{start: time.Now()} }

// record runs an operation and records its start and end. An operation includes all
// resends of its call, which share one ID and must take effect as one.
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

// expectLinearizable checks the history. If the check fails, it saves a visualization
// and reports its path.
func (h *history) expectLinearizable(model porcupine.Model, name string) {
	GinkgoHelper()
	verdict, info := porcupine.CheckOperationsVerbose(model, h.operations, checkTime)
	if verdict != porcupine.Ok {
		drawing := filepath.Join(os.TempDir(), name+".html")
		Expect(porcupine.VisualizePath(model, info, drawing)).To(Succeed())
		Fail(fmt.Sprintf("%s: %s after %d operations; see %s", name, verdict, len(h.operations), drawing))
	}
}

// seedRun holds the clients of one seed on a fleet and what they recorded.
type seedRun struct {
	seed      uint64
	operators []string
	gates     []string
	config    *history
	jobs      *history

	mu     sync.Mutex
	claims map[string][]*answer // answers, by idempotency key
}

// Numbers of clients and operations per seed.
const (
	configClients       = 4
	jobClients          = 3
	claimClients        = 3
	operationsPerClient = 20
)

// clients runs all clients of a seed until they have finished.
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

// configClient reads, changes and deletes two teams, sometimes from an old revision.
func (r *seedRun) configClient(ctx context.Context, client int, random *rand.Rand) {
	known := map[string]uint64{}
	for op := range operationsPerClient {
		team := fmt.Sprintf("s%d-%d", r.seed, random.IntN(2))
		input := configInput{team: team, kind: drawKind(random), base: known[team], value: 1 + client*operationsPerClient + op}
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
		sleep(ctx, time.Duration(random.IntN(60))*time.Millisecond)
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
	got, err := asked.sendUntilDefinite(ctx, r.operators, client)
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

// jobClient operates on two jobs that all clients share.
func (r *seedRun) jobClient(ctx context.Context, client int, random *rand.Rand) {
	for range 2 {
		key := fmt.Sprintf("job-%d-%d", r.seed, random.IntN(2))
		id := ""
		r.jobs.record(client, jobInput{key, createJob}, func() any {
			got, err := createCall(key).sendUntilDefinite(ctx, r.gates, client)
			Expect(err).NotTo(HaveOccurred())
			var job jobStatus
			got.decode(&job)
			id = job.ID
			return jobOutput{state: job.State}
		})
		part := &call{method: http.MethodPut, path: "/v1/jobs/" + id + "/parts/0", body: items(key, 0, 3), header: map[string]string{"Content-Type": "application/x-ndjson"}}
		_, err := part.sendUntilDefinite(ctx, r.gates, client)
		Expect(err).NotTo(HaveOccurred())
		for range operationsPerClient / 2 {
			r.jobOperation(ctx, client, key, id, random)
			sleep(ctx, time.Duration(random.IntN(100))*time.Millisecond)
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
		got, err := asked.sendUntilDefinite(ctx, r.gates, client)
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

// claimTries is how many times a client sends one non-idempotent request at most.
const claimTries = 4

// claimClient sends the same non-idempotent requests as the other clients, each to
// several gates until one returns a result.
func (r *seedRun) claimClient(ctx context.Context, client int, random *rand.Rand) {
	for number := range operationsPerClient / 2 {
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
			sleep(ctx, time.Duration(50+random.IntN(100))*time.Millisecond)
		}
	}
}

// expectAtMostOnce compares the answers that callers received with the runs in the
// service's log.
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
			Expect(runs[key]).To(BeZero(), "%s was reported as not run, and ran", key)
		}
	}
}

// report adds the counts of a seed's run to the test report.
func (r *seedRun) report(faults map[string]int) {
	answered, confirmations := 0, 0
	for _, answers := range r.claims {
		for _, got := range answers {
			confirmations++
			if got.status == http.StatusOK {
				answered++
			}
		}
	}
	AddReportEntry(fmt.Sprintf("seed %d", r.seed), fmt.Sprintf("faults %v, %d configuration and %d job operations, %d of %d confirmations answered",
		faults, len(r.config.operations), len(r.jobs.operations), answered, confirmations))
}

// seeds returns the first and last seed from seedsVariable or defaultSeeds.
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
	// Clients change teams concurrently, create, seal and cancel shared jobs, and send
	// the same non-idempotent requests through several gates, while VMs in turn are
	// killed, frozen, cut off in one or both directions, or lose their disks. All answers
	// must fit one order of the operations in which each takes effect once, and no
	// non-idempotent request may run twice.
	It("are linearizable, and non-idempotent requests run at most once", func(ctx SpecContext) {
		first, last := seeds()
		var runs sync.WaitGroup
		for offset := range uint64(parallelFleets) {
			options := threeVMs()
			options.PeerLinks = true
			fleet, _ := startSite(ctx, options, 2)
			service, err := fleet.StartService("pagedesk", "pagedesk-1", places[0], "--delay", "20ms")
			Expect(err).NotTo(HaveOccurred())
			Expect(fleet.WaitReady(ctx, map[string]int{"pagedesk": 1})).To(Succeed())
			runs.Go(func() {
				defer GinkgoRecover()
				for seed := first + offset; seed <= last; seed += parallelFleets {
					checkSeed(ctx, fleet, service, seed)
				}
			})
		}
		runs.Wait()
	}, NodeTimeout(time.Hour))
})

// parallelFleets is the number of fleets that run seeds concurrently; each spends most
// of its time waiting for faults to end.
const parallelFleets = 3

// checkSeed runs a seed's clients while injecting its faults, and checks the answers.
func checkSeed(ctx context.Context, fleet *harness.Fleet, service *harness.Upstream, seed uint64) {
	GinkgoHelper()
	By(fmt.Sprintf("seed %d", seed))
	run := &seedRun{
		seed: seed, operators: fleet.Operators(), gates: fleet.Callers(),
		config: newHistory(), jobs: newHistory(), claims: map[string][]*answer{},
	}
	injecting, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	var nemesis sync.WaitGroup
	var faults map[string]int
	nemesis.Go(func() {
		defer GinkgoRecover()
		faults = injectFaults(injecting, fleet, rand.New(rand.NewPCG(seed, 1000)))
	})
	run.clients(ctx)
	stopFaults()
	nemesis.Wait()
	run.report(faults)
	run.config.expectLinearizable(configModel, fmt.Sprintf("config-seed-%d", seed))
	run.jobs.expectLinearizable(jobModel.ToModel(), fmt.Sprintf("jobs-seed-%d", seed))
	run.expectAtMostOnce(service)
}
