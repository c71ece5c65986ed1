package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"slateway.example/slateway/internal/load"
)

// mode is a way of running batch work next to online requests.
type mode string

const (
	modeNone         mode = "no-batch"
	modeUncontrolled mode = "uncontrolled" // batch items sent as online requests, 1.5 per slot
	modeFixed        mode = "fixed-share"  // batch items sent as online requests on fixedShare of the slots
	modeSlateway     mode = "slateway"     // a batch job under the team's policy
)

var modes = []mode{modeNone, modeUncontrolled, modeFixed, modeSlateway}

// fixedShare is the share of the slots that modeFixed uses for batch.
const fixedShare = 0.25

// maxItems is the maximum number of batch items in a run.
const maxItems = 50_000

// itemCounter returns the number of batch items answered so far.
type itemCounter func(ctx context.Context) (int64, error)

// startBatch starts the batch work of a mode; it runs until ctx ends.
func (s *site) startBatch(ctx context.Context, m mode, items []load.Request) (itemCounter, error) {
	slots := float64(s.workload.totalSlots())
	switch m {
	case modeNone:
		return func(context.Context) (int64, error) { return 0, nil }, nil
	case modeUncontrolled:
		return s.sendItemsAsOnline(ctx, items, int(1.5*slots)), nil
	case modeFixed:
		return s.sendItemsAsOnline(ctx, items, int(fixedShare*slots)), nil
	case modeSlateway:
		return s.submitJob(ctx, items)
	}
	return nil, fmt.Errorf("unknown mode %q; use no-batch, uncontrolled, fixed-share or slateway", m)
}

// sendItemsAsOnline sends items as online requests, width at a time.
func (s *site) sendItemsAsOnline(ctx context.Context, items []load.Request, width int) itemCounter {
	client := load.NewClient(s.Callers(), teamToken, nil)
	counted := load.NewRecorder()
	go load.ClosedLoop(ctx, items, width, len(items), func(ctx context.Context, at time.Time, item *load.Request) load.Result {
		result := client.Stream(ctx, at, item)
		counted.Record(&result)
		return result
	})
	return func(context.Context) (int64, error) { return counted.Summary().Answered, nil }
}

// item is one line of a job.
type item struct {
	CustomID string   `json:"custom_id"`
	URL      string   `json:"url"`
	Body     itemBody `json:"body"`
}

type itemBody struct {
	Model     string        `json:"model"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []itemMessage `json:"messages"`
}

type itemMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// submitJob submits all items as one job with a deadline of 12 hours, far beyond
// the run.
func (s *site) submitJob(ctx context.Context, items []load.Request) (itemCounter, error) {
	name := filepath.Join(s.Folder, "items.ndjson")
	if err := writeItems(name, items); err != nil {
		return nil, err
	}
	out, _, err := s.Ctl(ctx, "--json", "--token", teamToken, "job", "submit", "--service", modelName, "--deadline", "12h", name)
	if err != nil {
		return nil, err
	}
	var job struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal([]byte(out), &job); err != nil {
		return nil, err
	}
	return func(ctx context.Context) (int64, error) { return s.readItemsDone(ctx, job.ID) }, nil
}

func (s *site) readItemsDone(ctx context.Context, id string) (int64, error) {
	out, _, err := s.Ctl(ctx, "--json", "--token", teamToken, "job", "status", id)
	if err != nil {
		return 0, err
	}
	var job struct {
		Done int64 `json:"done"`
	}
	err = json.Unmarshal([]byte(out), &job)
	return job.Done, err
}

func writeItems(name string, items []load.Request) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	defer file.Close()
	lines := json.NewEncoder(file)
	for i, request := range items {
		line := item{
			CustomID: fmt.Sprint(i),
			URL:      "/v1/chat/completions",
			Body: itemBody{
				Model:     request.Model,
				MaxTokens: request.MaxTokens,
				Messages:  []itemMessage{{Role: "user", Content: request.Prompt}},
			},
		}
		if err := lines.Encode(line); err != nil {
			return err
		}
	}
	return nil
}

// measureCapacity returns how many requests of the mix per second the engines
// answer when all their slots are busy and no gate is in between.
func (s *site) measureCapacity(ctx context.Context, seed uint64, length time.Duration) float64 {
	mix := s.workload.mix()
	requests := mix.Requests(rand.New(rand.NewPCG(seed, 99)), "capacity", maxItems)
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	client := load.NewClient(s.engineAddresses(), "", nil)
	width := s.workload.totalSlots() * 5 / 4
	return answerRate(load.ClosedLoop(ctx, requests, width, maxItems, client.Stream).Summary())
}

func answerRate(summary load.Summary) float64 { return float64(summary.Answered) / summary.Seconds }
