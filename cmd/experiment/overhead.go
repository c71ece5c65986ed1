package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"slateway.example/slateway/internal/load"
	"slateway.example/slateway/test/harness"
)

// streamsMeasured lists the numbers of concurrent streams to measure.
var streamsMeasured = []int{1, 32, 256}

func overheadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overhead",
		Usage: "measure the latency and CPU time that one gate adds to direct calls of a stand-in engine",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "length", Value: 8 * time.Second, Usage: "duration of each measurement"},
			&cli.IntFlag{Name: "rounds", Value: 2, Usage: "repetitions; calls to the engine and through the gate alternate"},
			&cli.StringFlag{Name: "folder", Usage: "`FOLDER` for settings and logs; default: a temporary folder"},
			&cli.StringFlag{Name: "out", Usage: "JSON `FILE` for the results"},
		},
		Action: measureOverhead,
	}
}

// sample is one measurement.
type sample struct {
	Streams   int          `json:"streams"`
	Round     int          `json:"round"`
	Via       string       `json:"via"` // "engine" or "gate"
	Summary   load.Summary `json:"summary"`
	TokenRate float64      `json:"tokens_per_second"`
	GateCPU   float64      `json:"gate_cpu_ms_per_1000_tokens"`
}

func measureOverhead(ctx context.Context, command *cli.Command) error {
	folder, programs, err := prepareFolder(command.String("folder"))
	if err != nil {
		return err
	}
	length := min(command.Duration("length"), maxLength)
	s, err := startSite(ctx, programs, folder, "overhead", overheadWorkload())
	if err != nil {
		return err
	}
	defer s.Close()
	var samples []sample
	for round := range command.Int("rounds") {
		for _, streams := range streamsMeasured {
			for _, via := range []string{"engine", "gate"} {
				one, err := s.takeSample(ctx, streams, round, via, length)
				if err != nil {
					return err
				}
				samples = append(samples, one)
			}
		}
	}
	printSamples(samples)
	if name := command.String("out"); name != "" {
		encoded, err := json.MarshalIndent(samples, "", "  ")
		if err != nil {
			return err
		}
		return os.WriteFile(name, encoded, 0o644)
	}
	return nil
}

// overheadWorkload returns a fleet of one VM, both gate and keeper, and one engine
// with more slots than concurrent streams, so that no request is queued.
func overheadWorkload() *workload {
	return &workload{
		name:        "overhead",
		places:      newPlaces("local", "local"),
		gates:       1,
		engine:      "wordroom",
		engines:     1,
		slots:       1024,
		latency:     uniformLatency,
		batchPolicy: "tail",
	}
}

func (s *site) takeSample(ctx context.Context, streams, round int, via string, length time.Duration) (sample, error) {
	target := s.engines[0].Address
	if via == "gate" {
		target = s.VMs[0].Callers
	}
	mix := s.workload.mix()
	requests := mix.Requests(rand.New(rand.NewPCG(uint64(streams), uint64(round))), via, 10_000)
	client := load.NewClient([]string{target}, teamToken, nil)
	before, err := s.gateUsage()
	if err != nil {
		return sample{}, err
	}
	sampleCtx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	summary := load.ClosedLoop(sampleCtx, requests, streams, maxItems, client.Stream).Summary()
	after, err := s.gateUsage()
	if err != nil {
		return sample{}, err
	}
	used := after.CPU - before.CPU
	return sample{
		Streams:   streams,
		Round:     round,
		Via:       via,
		Summary:   summary,
		TokenRate: float64(summary.Tokens) / summary.Seconds,
		GateCPU:   float64(used.Milliseconds()) / (float64(summary.Tokens) / 1000),
	}, nil
}

func (s *site) gateUsage() (harness.Usage, error) { return s.VMs[0].Usage() }

func printSamples(samples []sample) {
	table := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "streams\tround\tvia\tanswered\tother ends\tfirst token median ms\tp99 ms\ttokens/s\tgate CPU ms/1000 tokens\t")
	for _, one := range samples {
		summary := one.Summary
		others := summary.Offered - summary.Answered - summary.Outcomes[load.Abandoned]
		fmt.Fprintf(table, "%d\t%d\t%s\t%d\t%d\t%.2f\t%.2f\t%.0f\t%.1f\t\n", one.Streams, one.Round, one.Via,
			summary.Answered, others, summary.FirstToken.Median, summary.FirstToken.P99, one.TokenRate, one.GateCPU)
	}
	table.Flush()
	fmt.Println()
	printDifferences(samples)
}

// printDifferences prints what the gate added in each pair of direct and gate samples.
func printDifferences(samples []sample) {
	for i := 0; i+1 < len(samples); i += 2 {
		direct, gate := samples[i], samples[i+1]
		fmt.Printf("%d streams, round %d: gate adds %.2f ms median, %.2f ms p99 to the first token; tokens/s ratio %.3f\n",
			direct.Streams, direct.Round,
			gate.Summary.FirstToken.Median-direct.Summary.FirstToken.Median,
			gate.Summary.FirstToken.P99-direct.Summary.FirstToken.P99,
			gate.TokenRate/direct.TokenRate)
	}
}
