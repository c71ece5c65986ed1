package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

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

var capList = gateList[capStatus]{
	path:    "/v1/caps",
	subject: "team",
	keep: func(command *cli.Command, c *capStatus, team string) bool {
		return (team == "" || c.Team == team) && (c.Owner || command.Bool("all-gates"))
	},
	compare: func(a, b capStatus) int {
		return cmp.Or(cmp.Compare(a.Credit, b.Credit), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Gate, b.Gate))
	},
	header: "TEAM\tCREDIT\tRATE\tBURST\tSTATE\tGATE",
	write: func(w io.Writer, c *capStatus) {
		fmt.Fprintf(w, "%s\t%.1f\t%g\t%d\t%s\t%s\n", c.Team, c.Credit, c.Rate, c.Burst, c.state(), c.Gate)
	},
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
			Action: func(ctx context.Context, command *cli.Command) error {
				return capList.list(ctx, a, command)
			},
		}},
	}
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
