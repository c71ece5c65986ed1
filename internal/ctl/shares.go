package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// shareStatus is a team's share of one service's capacity at one gate.
type shareStatus struct {
	Team    string  `json:"team"`
	Service string  `json:"service"`
	Gate    string  `json:"gate"`
	Weight  float64 `json:"weight"`
	Waiting int     `json:"waiting"`
	Started int     `json:"started_last_10s"`
	Lead    float64 `json:"lead"`
}

var shareList = gateList[shareStatus]{
	path:    "/v1/shares",
	subject: "team",
	keep: func(_ *cli.Command, s *shareStatus, team string) bool {
		return team == "" || s.Team == team
	},
	compare: func(a, b shareStatus) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Started, a.Started),
			cmp.Compare(a.Team, b.Team), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Gate, b.Gate))
	},
	header: "TEAM\tSERVICE\tWEIGHT\tWAITING\tSTARTED IN 10 S\tLEAD\tGATE",
	write: func(w io.Writer, s *shareStatus) {
		fmt.Fprintf(w, "%s\t%s\t%g\t%d\t%d\t%.0f\t%s\n", cmp.Or(s.Team, "-"), s.Service, s.Weight, s.Waiting, s.Started, s.Lead, s.Gate)
	},
}

func (a *app) shareCommand() *cli.Command {
	return &cli.Command{
		Name:  "share",
		Usage: "shares of teams of scarce capacity",
		Commands: []*cli.Command{{
			Name:        "list",
			Usage:       "list teams by waiting requests",
			ArgsUsage:   "[TEAM]",
			Description: "queries the metrics or operators address of each --server; list all gates, since each gate shows its own requests only",
			Action: func(ctx context.Context, command *cli.Command) error {
				return shareList.list(ctx, a, command)
			},
		}},
	}
}
