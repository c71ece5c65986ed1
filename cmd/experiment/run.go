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

// Bounds of one cell of an experiment.
const (
	maxLength  = 2 * time.Minute
	maxOpen    = 5000
	answerTime = 30 * time.Second // wait for the last answers
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "online load beside batch work, in several modes and under faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "workload", Value: "guild", Usage: "guild or registry"},
			&cli.StringFlag{Name: "policy", Usage: "batch policy of the team; the workload's own if not given"},
			&cli.IntFlag{Name: "gates", Usage: "number of gates; the workload's own if not given"},
			&cli.StringSliceFlag{Name: "mode", Value: []string{string(modeNone), string(modeUncontrolled), string(modeFixed), string(modeOurs)}, Usage: "`MODE`; repeatable"},
			&cli.StringSliceFlag{Name: "fault", Value: []string{"none"}, Usage: "`FAULT`; repeatable"},
			&cli.Float64Flag{Name: "share", Value: 0.4, Usage: "online load as a share of the capacity"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "time of each cell"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals and requests"},
			&cli.StringFlag{Name: "folder", Usage: "`FOLDER` for settings, logs and results; a temporary one if not given"},
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
	capacity float64 // requests a second without gates, measured once
}

func run(ctx context.Context, command *cli.Command) error {
	chosen, ok := workloads[command.String("workload")]
	if !ok {
		return fmt.Errorf("no workload %q", command.String("workload"))
	}
	if policy := command.String("policy"); policy != "" {
		chosen.batchPolicy = policy
	}
	if gates := command.Int("gates"); gates > 0 {
		chosen.gates = gates
	}
	length := command.Duration("length")
	if length > maxLength {
		return fmt.Errorf("--length %s is over %s", length, maxLength)
	}
	folder, programs, err := workFolder(command.String("folder"))
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
			cell, err := e.cell(ctx, mode(modeName), faultName)
			if err != nil {
				return fmt.Errorf("%s under %s: %w", modeName, faultName, err)
			}
			report.Capacity = e.capacity
			report.add(cell)
			report.write(os.Stdout, cell)
		}
	}
	report.table(os.Stdout)
	return report.save(command.String("out"))
}

// cell runs one mode under one fault.
func (e *experiment) cell(ctx context.Context, m mode, faultName string) (*cell, error) {
	wrong, err := findFault(faultName)
	if err != nil {
		return nil, err
	}
	s, err := startSite(ctx, e.programs, e.folder, string(m)+"-"+faultName, &e.workload)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	if e.capacity == 0 {
		e.capacity = s.capacity(ctx, e.seed, 5*time.Second)
	}
	return e.measure(ctx, s, m, wrong)
}

func (e *experiment) measure(ctx context.Context, s *site, m mode, wrong fault) (*cell, error) {
	ctx, cancel := context.WithTimeout(ctx, e.length+answerTime+readyTime)
	defer cancel()
	mix := e.workload.mix()
	items := mix.Requests(rand.New(rand.NewPCG(e.seed, 2)), "batch", maxItems)
	batching, stopBatch := context.WithCancel(ctx)
	defer stopBatch()
	done, err := s.startBatch(batching, m, items)
	if err != nil {
		return nil, err
	}
	pause(ctx, warmUp)

	before, err := done(ctx)
	if err != nil {
		return nil, err
	}
	countersBefore := s.Counters(ctx)
	failed := make(chan error, 1)
	go func() {
		pause(ctx, e.length/3)
		failed <- wrong.bring(ctx, s)
	}()
	recorder := e.offer(ctx, s, wrong.name)
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
	return newCell(m, wrong.name, recorder, float64(after-before), counters, s.lostEngines(), e.capacity), nil
}

// warmUp lets batch work fill the idle slots before the measurement.
const warmUp = 3 * time.Second

// offer offers the online load and waits for its answers.
func (e *experiment) offer(ctx context.Context, s *site, faultName string) *load.Recorder {
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
	offering, cancel := context.WithTimeout(ctx, e.length+answerTime)
	defer cancel()
	return load.OpenLoop(offering, arrivals, requests, maxOpen, client.Stream)
}
