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

const capsPath = "/v1/caps"

// capStatus is a team's rate limit and remaining credit at one gate.
type capStatus struct {
	Team   string  `json:"team"`
	Gate   string  `json:"gate"`
	Owner  bool    `json:"owner"`
	Rate   float64 `json:"rate_per_second"`
	Burst  int     `json:"burst"`
	Credit float64 `json:"credit"`
	Low    bool    `json:"low"`
}

func (a *app) capCommand() *cli.Command {
	return &cli.Command{
		Name:  "cap",
		Usage: "rate limits of teams and their remaining credit",
		Commands: []*cli.Command{{
			Name:        "list",
			Usage:       "list teams by remaining credit",
			ArgsUsage:   "[TEAM]",
			Description: "queries the metrics address of each --server; list all gates, since each gate holds the credit of some teams only",
			Flags:       []cli.Flag{&cli.BoolFlag{Name: "all-gates", Usage: "also list gates that hold credit of a team without being its owner"}},
			Action:      a.capList,
		}},
	}
}

func (a *app) capList(ctx context.Context, command *cli.Command) error {
	if command.Args().Len() > 1 {
		return &UsageError{Message: command.FullName() + " takes one team at most"}
	}
	rows, err := queryEach[capStatus](ctx, command, capsPath)
	if len(rows) == 0 && err != nil {
		return err
	}
	team := command.Args().First()
	rows = slices.DeleteFunc(rows, func(c capStatus) bool {
		return team != "" && c.Team != team || !c.Owner && !command.Bool("all-gates")
	})
	slices.SortFunc(rows, func(a, b capStatus) int {
		return cmp.Or(cmp.Compare(a.Credit, b.Credit), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Gate, b.Gate))
	})
	if err != nil {
		fmt.Fprintln(a.streams.Err, "slatectl: not all gates answered:", err)
	}
	raw, err := json.Marshal(rows)
	if err != nil {
		return err
	}
	return a.print(command, raw, func(w io.Writer) {
		fmt.Fprintln(w, "TEAM\tCREDIT\tRATE\tBURST\tSTATE\tGATE")
		for _, c := range rows {
			fmt.Fprintf(w, "%s\t%.1f\t%g\t%d\t%s\t%s\n", c.Team, c.Credit, c.Rate, c.Burst, c.state(), c.Gate)
		}
	})
}

func (c *capStatus) state() string {
	switch {
	case !c.Owner:
		return "standby"
	case c.Credit < 1:
		return "over"
	case c.Low:
		return "low"
	default:
		return "plenty"
	}
}

// queryEach queries each server once for a list. It returns the elements of all answers, and
// an error that joins the errors of the servers without one.
func queryEach[T any](ctx context.Context, command *cli.Command, path string) ([]T, error) {
	var rows []T
	var failed []error
	for _, server := range command.StringSlice("server") {
		var list []T
		if _, err := NewClient([]string{server}, "", 0).get(ctx, path, nil, &list); err != nil {
			failed = append(failed, err)
			continue
		}
		rows = append(rows, list...)
	}
	return rows, errors.Join(failed...)
}
