package route_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// trace is a recorded run with expected outcomes. All of them must hold, and at least
// one must fail when any of its guards is disabled.
type trace struct {
	Story  string   `json:"story"`
	Guards []string `json:"guards"`
	Gates  []string `json:"gates"` // all in place glas-a; the first is the default
	// Replicas of place glas-a, each with Slots slots.
	Replicas int `json:"replicas"`
	Slots    int `json:"slots"`
	// Crash is the fingerprint of a request that crashes each replica that runs it; 0:
	// none.
	Crash upstream.Fingerprint `json:"crash"`
	Paced bool                 `json:"paced"` // each attempt receives a token at each tick
	Hedge int                  `json:"hedge_ms"`
	Steps []step               `json:"steps"`
}

// step is an input to a gate, or an outcome that must hold at that point. Attempts are
// named by request and number, such as q1#2; replicas by ID or by an attempt that runs
// on them.
type step struct {
	At       int               `json:"at"` // ms from the start
	Gate     string            `json:"gate"`
	Do       string            `json:"do"`
	ID       string            `json:"id"`
	Count    int               `json:"count"` // number of requests, named ID-0 and so on
	Batch    string            `json:"batch"` // the policy; empty: an online request
	Once     bool              `json:"once"`  // not repeatable
	Print    int               `json:"print"`
	Attempt  string            `json:"attempt"`
	Tokens   int               `json:"tokens"`
	Cause    string            `json:"cause"`
	Replica  string            `json:"replica"`
	Leaving  bool              `json:"leaving"`
	Sequence int               `json:"sequence"`
	Running  int               `json:"running"`
	Gates    []string          `json:"gates"`
	Want     map[string]string `json:"want"`    // request: the ID of its replica, running, done, waiting or a reason
	Cancels  map[string]int    `json:"cancels"` // cause: count so far
	Lost     *int              `json:"lost"`    // maximum number of replicas crashed so far
	MaxLoad  int               `json:"max_load"`
	Apart    []string          `json:"apart"` // attempts that must be on different replicas
	Not      []string          `json:"not"`   // replicas that got no attempt after Since
	Since    int               `json:"since"`
}

func replay(tr trace, guards route.Guards) []string {
	b := newReplayer(tr, guards)
	for _, st := range tr.Steps {
		b.run(st)
	}
	return b.failures
}

func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) { checkTrace(t, file) })
	}
}

func checkTrace(t *testing.T, file string) {
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var tr trace
	if err := json.Unmarshal(data, &tr); err != nil {
		t.Fatal(err)
	}
	for _, failure := range replay(tr, route.Guards{}) {
		t.Errorf("%s\n%s", failure, tr.Story)
	}
	for _, guard := range tr.Guards {
		var off route.Guards
		reflect.ValueOf(&off).Elem().FieldByName(guard).SetBool(true)
		failures := replay(tr, off)
		if len(failures) == 0 {
			t.Errorf("the trace holds without the guard %s: it does not test it", guard)
			continue
		}
		t.Logf("without %s: %s", guard, failures[0])
	}
}
