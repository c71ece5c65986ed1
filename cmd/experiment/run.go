package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"slateway.example/slateway/internal/load"
	"slateway.example/slateway/standin/engine"
	"slateway.example/slateway/test/harness"
)

// Limits of one cell of an experiment.
const (
	maxLength     = 2 * time.Minute
	maxOpen       = 5000
	answerTimeout = 30 * time.Second // wait for outstanding answers
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run online load next to batch work, in several modes and under faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "workload", Value: "guild", Usage: "guild or registry"},
			&cli.StringFlag{Name: "policy", Usage: "batch policy of the team; default: the workload's"},
			&cli.IntFlag{Name: "gates", Usage: "number of gates; default: the workload's"},
			&cli.StringSliceFlag{Name: "mode", Value: []string{string(modeNone), string(modeUncontrolled), string(modeFixed), string(modeSlateway)}, Usage: "`MODE`; repeatable"},
			&cli.StringSliceFlag{Name: "fault", Value: []string{"none"}, Usage: "`FAULT`; repeatable"},
			&cli.Float64Flag{Name: "share", Value: 0.4, Usage: "online load as a share of the capacity"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "duration of each cell"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals and requests"},
			&cli.StringFlag{Name: "folder", Usage: "`FOLDER` for settings, logs and results; default: a temporary folder"},
			&cli.StringFlag{Name: "out", Value: "experiment", Usage: "`NAME` of NAME.json and NAME.svg"},
		},
		Action: run,
	}
}

// experiment is a set of cells, each a mode under a fault on a fresh fleet.
type experiment struct {
	workload workload
	folder   string
	programs harness.Programs
	share    float64
	length   time.Duration
	seed     uint64
	capacity float64 // requests per second without gates, measured once
}

func run(ctx context.Context, command *cli.Command) error {
	chosen, ok := workloads[command.String("workload")]
	if !ok {
		return fmt.Errorf("unknown workload %q; use guild or registry", command.String("workload"))
	}
	if policy := command.String("policy"); policy != "" {
		chosen.batchPolicy = policy
	}
	if gates := command.Int("gates"); gates > 0 {
		chosen.gates = gates
	}
	length := command.Duration("length")
	if length > maxLength {
		return fmt.Errorf("--length %s exceeds the maximum of %s", length, maxLength)
	}
	folder, programs, err := prepareFolder(command.String("folder"))
	if err != nil {
		return err
	}
	e := &experiment{
		workload: chosen, folder: folder, programs: programs,
		share: command.Float64("share"), length: length, seed: command.Uint64("seed"),
	}
	report := &report{
		Command: strings.Join(os.Args, " "), Workload: chosen.name, Policy: chosen.batchPolicy, Gates: chosen.gates,
		Seed: e.seed, Share: e.share, Length: length.String(),
	}
	for _, faultName := range command.StringSlice("fault") {
		for _, modeName := range command.StringSlice("mode") {
			cell, err := e.runCell(ctx, mode(modeName), faultName)
			if err != nil {
				return fmt.Errorf("%s under %s: %w", modeName, faultName, err)
			}
			report.Capacity = e.capacity
			report.addCell(cell)
			report.printCell(os.Stdout, cell)
		}
	}
	report.printTable(os.Stdout)
	return report.save(command.String("out"))
}

// runCell measures one mode under one fault on a fresh fleet.
func (e *experiment) runCell(ctx context.Context, m mode, faultName string) (*cell, error) {
	injected, err := findFault(faultName)
	if err != nil {
		return nil, err
	}
	s, err := startSite(ctx, e.programs, e.folder, string(m)+"-"+faultName, &e.workload)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	if e.capacity == 0 {
		e.capacity = s.measureCapacity(ctx, e.seed, 5*time.Second)
	}
	return e.measure(ctx, s, m, injected)
}

func (e *experiment) measure(ctx context.Context, s *site, m mode, injected fault) (*cell, error) {
	ctx, cancel := context.WithTimeout(ctx, e.length+answerTimeout+startTimeout)
	defer cancel()
	mix := e.workload.mix()
	items := mix.Requests(rand.New(rand.NewPCG(e.seed, 2)), "batch", maxItems)
	batchCtx, stopBatch := context.WithCancel(ctx)
	defer stopBatch()
	done, err := s.startBatch(batchCtx, m, items)
	if err != nil {
		return nil, err
	}
	sleep(ctx, warmUp)

	before, err := done(ctx)
	if err != nil {
		return nil, err
	}
	countersBefore := s.Counters(ctx)
	failed := make(chan error, 1)
	go func() {
		sleep(ctx, e.length/3)
		failed <- injected.inject(ctx, s)
	}()
	recorder := e.offerLoad(ctx, s, injected.name)
	after, err := done(ctx)
	if err != nil {
		return nil, err
	}
	if err := <-failed; err != nil {
		return nil, err
	}
	counters := s.Counters(ctx)
	maps.DeleteFunc(counters, func(name string, count int64) bool { return count == countersBefore[name] })
	for name := range counters {
		counters[name] -= countersBefore[name]
	}
	return newCell(m, injected.name, recorder, float64(after-before), counters, s.lostEngines(), e.capacity), nil
}

// warmUp is the time for batch work to fill the idle slots before the measurement.
const warmUp = 3 * time.Second

// offerLoad sends the online load and waits for the answers.
func (e *experiment) offerLoad(ctx context.Context, s *site, faultName string) *load.Recorder {
	profile := load.Profile{Rate: e.share * e.capacity, Length: e.length}
	if faultName == "burst" {
		profile.Bursts = []load.Burst{{At: e.length / 3, For: 3 * time.Second, Factor: 5}}
	}
	arrivals := profile.Arrivals(rand.New(rand.NewPCG(e.seed, 0)))
	mix := e.workload.mix()
	requests := mix.Requests(rand.New(rand.NewPCG(e.seed, 1)), "online", len(arrivals))
	client := load.NewClient(s.Callers(), teamToken, func(request *load.Request, text string) bool {
		return text == engine.Answer(request.Prompt, request.MaxTokens)
	})
	loadCtx, cancel := context.WithTimeout(ctx, e.length+answerTimeout)
	defer cancel()
	return load.OpenLoop(loadCtx, arrivals, requests, maxOpen, client.Stream)
}
