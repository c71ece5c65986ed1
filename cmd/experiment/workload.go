package main

import (
	"fmt"
	"time"

	"slateway.example/slateway/internal/load"
	"slateway.example/slateway/test/harness"
)

// workload is the fleet of one of the sites, and what its callers ask for.
type workload struct {
	name        string
	places      []harness.Place
	linkDelay   time.Duration // one way between places
	gates       int
	engine      string // service of the engines
	engines     int
	service     string // plain service
	services    int
	slots       int // of an engine
	pace        pace
	batchPolicy string
}

// Workloads by name. Each replica is in the next place in turn.
var workloads = map[string]workload{
	"guild": {
		name:        "guild",
		places:      places("scot-central", "glas-a", "edin-b", "perth-c"),
		linkDelay:   3 * time.Millisecond,
		gates:       8,
		engine:      "wordroom",
		engines:     9,
		service:     "pagedesk",
		services:    3,
		slots:       8,
		pace:        sitePace,
		batchPolicy: "throughput",
	},
	"registry": {
		name:        "registry",
		places:      places("tx-central", "austin-a", "austin-b", "round-rock"),
		linkDelay:   4 * time.Millisecond,
		gates:       8,
		engine:      "register-llm",
		engines:     12,
		service:     "plate-app",
		services:    3,
		slots:       8,
		pace:        sitePace,
		batchPolicy: "tail",
	},
}

func places(region string, names ...string) []harness.Place {
	all := make([]harness.Place, len(names))
	for i, name := range names {
		all[i] = harness.Place{Name: name, Region: region}
	}
	return all
}

// keepers is the number of VMs that keep state.
const keepers = 3

// pace is how quick an engine is.
type pace struct {
	firstToken       time.Duration
	firstTokenCached time.Duration
	tokenEvery       time.Duration
	tokenPerRunning  time.Duration
}

// sitePace is that of the sites: a first token takes a prefill, a quarter of
// it for a cached prefix, and each further stream slows all tokens down.
var sitePace = pace{
	firstToken:       60 * time.Millisecond,
	firstTokenCached: 15 * time.Millisecond,
	tokenEvery:       10 * time.Millisecond,
	tokenPerRunning:  500 * time.Microsecond,
}

// evenPace is the same for every request, so that differences come from
// elsewhere.
var evenPace = pace{
	firstToken:       15 * time.Millisecond,
	firstTokenCached: 15 * time.Millisecond,
	tokenEvery:       10 * time.Millisecond,
}

// mix is what both online callers and batch jobs ask for.
func (w *workload) mix() load.Mix {
	return load.Mix{Model: modelName, Prefixes: 200, PrefixBytes: 64, MinTokens: 8, MaxTokens: 32}
}

// modelName is the model that all engines have.
const modelName = "small"

// totalSlots is the number of streams that all engines run at the same time.
func (w *workload) totalSlots() int { return w.engines * w.slots }

func (w *workload) engineFlags() []string {
	return []string{
		"--model", modelName + "@1",
		"--slots", fmt.Sprint(w.slots),
		"--first-token", w.pace.firstToken.String(),
		"--first-token-cached", w.pace.firstTokenCached.String(),
		"--token-every", w.pace.tokenEvery.String(),
		"--token-per-running", w.pace.tokenPerRunning.String(),
	}
}

// vms lays the gates over the places in turn; the first ones are keepers too.
func (w *workload) vms() []harness.VMOptions {
	vms := make([]harness.VMOptions, w.gates)
	for i := range vms {
		vms[i] = harness.VMOptions{Place: w.places[i%len(w.places)], Gate: true, Keeper: i < keepers}
	}
	return vms
}

// template is the configuration of the one team that the load comes from.
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
