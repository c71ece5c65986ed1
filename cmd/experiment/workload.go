package main

import (
	"fmt"
	"time"

	"slateway.example/slateway/internal/load"
	"slateway.example/slateway/test/harness"
)

// workload describes a site's fleet and the requests of its callers.
type workload struct {
	name        string
	places      []harness.Place
	linkDelay   time.Duration // one-way delay between places
	gates       int
	engine      string // service name of the engines
	engines     int
	service     string // name of a plain service
	services    int
	slots       int // per engine
	latency     engineLatency
	batchPolicy string
}

// workloads holds the workloads by name. Replicas are assigned to the places in turn.
var workloads = map[string]workload{
	"guild": {
		name:        "guild",
		places:      newPlaces("scot-central", "glas-a", "edin-b", "perth-c"),
		linkDelay:   3 * time.Millisecond,
		gates:       8,
		engine:      "wordroom",
		engines:     9,
		service:     "pagedesk",
		services:    3,
		slots:       8,
		latency:     siteLatency,
		batchPolicy: "throughput",
	},
	"registry": {
		name:        "registry",
		places:      newPlaces("tx-central", "austin-a", "austin-b", "round-rock"),
		linkDelay:   4 * time.Millisecond,
		gates:       8,
		engine:      "register-llm",
		engines:     12,
		service:     "plate-app",
		services:    3,
		slots:       8,
		latency:     siteLatency,
		batchPolicy: "tail",
	},
}

func newPlaces(region string, names ...string) []harness.Place {
	all := make([]harness.Place, len(names))
	for i, name := range names {
		all[i] = harness.Place{Name: name, Region: region}
	}
	return all
}

// keeperCount is the number of VMs that are keepers.
const keeperCount = 3

// engineLatency describes how fast an engine answers.
type engineLatency struct {
	firstToken       time.Duration
	firstTokenCached time.Duration
	tokenEvery       time.Duration
	tokenPerRunning  time.Duration
}

// siteLatency models the engines of the sites: the first token takes a prefill, or a
// quarter of it with a cached prefix, and each further stream delays all tokens.
var siteLatency = engineLatency{
	firstToken:       60 * time.Millisecond,
	firstTokenCached: 15 * time.Millisecond,
	tokenEvery:       10 * time.Millisecond,
	tokenPerRunning:  500 * time.Microsecond,
}

// uniformLatency is the same for every request, so that measured differences do not
// come from the engine.
var uniformLatency = engineLatency{
	firstToken:       15 * time.Millisecond,
	firstTokenCached: 15 * time.Millisecond,
	tokenEvery:       10 * time.Millisecond,
}

// mix returns the request mix of both online callers and batch jobs.
func (w *workload) mix() load.Mix {
	return load.Mix{Model: modelName, Prefixes: 200, PrefixBytes: 64, MinTokens: 8, MaxTokens: 32}
}

// modelName is the model that all engines serve.
const modelName = "small"

// totalSlots returns the number of streams that all engines can run concurrently.
func (w *workload) totalSlots() int { return w.engines * w.slots }

func (w *workload) engineFlags() []string {
	return []string{
		"--model", modelName + "@1",
		"--slots", fmt.Sprint(w.slots),
		"--first-token", w.latency.firstToken.String(),
		"--first-token-cached", w.latency.firstTokenCached.String(),
		"--token-every", w.latency.tokenEvery.String(),
		"--token-per-running", w.latency.tokenPerRunning.String(),
	}
}

// vms assigns the gates to the places in turn; the first keeperCount are keepers too.
func (w *workload) vms() []harness.VMOptions {
	vms := make([]harness.VMOptions, w.gates)
	for i := range vms {
		vms[i] = harness.VMOptions{Place: w.places[i%len(w.places)], Gate: true, Keeper: i < keeperCount}
	}
	return vms
}

// template returns the configuration template of the team that sends the load.
func (w *workload) template() string {
	return fmt.Sprintf(`name = %q
services = [%q]
[[models]]
name = %q
service = %q
[online]
requests_per_second = 100000
burst = 100000
concurrent = 100000
queue = 1000
[batch]
policy = %q
`, templateName, w.service, modelName, w.engine, w.batchPolicy)
}

// Names in the configuration of an experiment.
const (
	templateName = "measured"
	teamName     = "callers"
	teamToken    = "token-of-callers"
)
