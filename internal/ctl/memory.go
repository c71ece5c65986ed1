package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/urfave/cli/v3"
)

const memoryPath = "/v1/memory"

// memoryStatus is what one gate holds for its callers and for items of jobs.
type memoryStatus struct {
	Gate   string       `json:"gate"`
	Held   int64        `json:"held_bytes"`
	Peak   int64        `json:"peak_bytes"`
	Budget int64        `json:"budget_bytes"`
	Teams  []teamMemory `json:"teams"`
}

type teamMemory struct {
	Team     string `json:"team"`
	Held     int64  `json:"held_bytes"`
	Requests int    `json:"requests"`
}

func (a *app) gateCommand() *cli.Command {
	return &cli.Command{
		Name:  "gate",
		Usage: "state of gates",
		Commands: []*cli.Command{{
			Name:        "status",
			Usage:       "list the memory that gates hold for callers, by gate and team",
			Description: "queries the operators' or metrics address of each --server; the fullest gate is listed first",
			Action:      a.gateStatus,
		}},
	}
}

func (a *app) gateStatus(ctx context.Context, command *cli.Command) error {
	if command.Args().Len() > 0 {
		return &UsageError{Message: command.FullName() + " takes no arguments"}
	}
	rows, err := a.queryMemory(ctx, command)
	if len(rows) == 0 && err != nil {
		return err
	}
	slices.SortFunc(rows, func(a, b memoryStatus) int {
		return cmp.Or(cmp.Compare(b.used(), a.used()), cmp.Compare(a.Gate, b.Gate))
	})
	if err != nil {
		fmt.Fprintln(a.streams.Err, "slatectl: not all gates answered:", err)
	}
	raw, err := json.Marshal(rows)
	if err != nil {
		return err
	}
	return a.print(command, raw, func(w io.Writer) {
		fmt.Fprintln(w, "GATE\tTEAM\tREQUESTS\tHELD MB\tPEAK MB\tBUDGET MB")
		for _, gate := range rows {
			requests := 0
			for _, team := range gate.Teams {
				requests += team.Requests
			}
			fmt.Fprintf(w, "%s\t(all)\t%d\t%.1f\t%.1f\t%.1f\n", gate.Gate, requests, megabytes(gate.Held), megabytes(gate.Peak), megabytes(gate.Budget))
			for _, team := range gate.Teams {
				fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t\t\n", gate.Gate, cmp.Or(team.Team, "(none)"), team.Requests, megabytes(team.Held))
			}
		}
	})
}

// used returns the part of the budget that is used.
func (m *memoryStatus) used() float64 { return float64(m.Held) / float64(max(m.Budget, 1)) }

func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// queryMemory queries each server once. It returns the answers, and an error that joins
// the errors of the servers without one.
func (a *app) queryMemory(ctx context.Context, command *cli.Command) ([]memoryStatus, error) {
	var rows []memoryStatus
	var failed []error
	for _, server := range command.StringSlice("server") {
		var status memoryStatus
		if _, err := NewClient([]string{server}, "", 0).get(ctx, memoryPath, nil, &status); err != nil {
			failed = append(failed, err)
			continue
		}
		rows = append(rows, status)
	}
	return rows, errors.Join(failed...)
}
