package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

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

var memoryList = gateList[memoryStatus]{
	path: "/v1/memory",
	compare: func(a, b memoryStatus) int {
		return cmp.Or(cmp.Compare(b.used(), a.used()), cmp.Compare(a.Gate, b.Gate))
	},
	header: "GATE\tTEAM\tREQUESTS\tHELD MB\tPEAK MB\tBUDGET MB",
	write:  writeMemory,
}

func (a *app) gateCommand() *cli.Command {
	return &cli.Command{
		Name:  "gate",
		Usage: "state of gates",
		Commands: []*cli.Command{{
			Name:        "status",
			Usage:       "list the memory that gates hold for callers, by gate and team",
			Description: "queries the operators' or metrics address of each --server; the fullest gate is listed first",
			Action: func(ctx context.Context, command *cli.Command) error {
				return memoryList.status(ctx, a, command)
			},
		}},
	}
}

func writeMemory(w io.Writer, gate *memoryStatus) {
	requests := 0
	for _, team := range gate.Teams {
		requests += team.Requests
	}
	fmt.Fprintf(w, "%s\t(all)\t%d\t%.1f\t%.1f\t%.1f\n", gate.Gate, requests, megabytes(gate.Held), megabytes(gate.Peak), megabytes(gate.Budget))
	for _, team := range gate.Teams {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t\t\n", gate.Gate, cmp.Or(team.Team, "(none)"), team.Requests, megabytes(team.Held))
	}
}

// used returns the part of the budget that is used.
func (m *memoryStatus) used() float64 { return float64(m.Held) / float64(max(m.Budget, 1)) }

func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }
