package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/urfave/cli/v3"
)

const sharesPath = "/v1/shares"

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

func (a *app) shareCommand() *cli.Command {
	return &cli.Command{
		Name:  "share",
		Usage: "shares of teams of scarce capacity",
		Commands: []*cli.Command{{
			Name:        "list",
			Usage:       "list teams by waiting requests",
			ArgsUsage:   "[TEAM]",
			Description: "queries the metrics or operators address of each --server; list all gates, since each gate shows its own requests only",
			Action:      a.shareList,
		}},
	}
}

func (a *app) shareList(ctx context.Context, command *cli.Command) error {
	if command.Args().Len() > 1 {
		return &UsageError{Message: command.FullName() + " takes one team at most"}
	}
	rows, err := queryServers[shareStatus](ctx, command, sharesPath)
	if len(rows) == 0 && err != nil {
		return err
	}
	team := command.Args().First()
	rows = slices.DeleteFunc(rows, func(s shareStatus) bool { return team != "" && s.Team != team })
	slices.SortFunc(rows, func(a, b shareStatus) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Started, a.Started),
			cmp.Compare(a.Team, b.Team), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Gate, b.Gate))
	})
	if err != nil {
		fmt.Fprintln(a.streams.Err, "slatectl: not all gates answered:", err)
	}
	raw, err := json.Marshal(rows)
	if err != nil {
		return err
	}
	return a.print(command, raw, func(w io.Writer) {
		fmt.Fprintln(w, "TEAM\tSERVICE\tWEIGHT\tWAITING\tSTARTED IN 10 S\tLEAD\tGATE")
		for _, s := range rows {
			fmt.Fprintf(w, "%s\t%s\t%g\t%d\t%d\t%.0f\t%s\n", cmp.Or(s.Team, "-"), s.Service, s.Weight, s.Waiting, s.Started, s.Lead, s.Gate)
		}
	})
}
