package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// paceStatus is the pace of one replica as one gate knows it.
type paceStatus struct {
	Gate       string `json:"gate"`
	Service    string `json:"service"`
	Replica    string `json:"replica"`
	Percent    int    `json:"percent"`
	AgeMillis  int    `json:"age_ms"`
	Distrusted bool   `json:"distrusted"`
	Online     int    `json:"online"`
	Batch      int    `json:"batch"`
}

var paceList = gateList[paceStatus]{
	path:    "/v1/paces",
	subject: "replica",
	keep: func(_ *cli.Command, p *paceStatus, replica string) bool {
		return replica == "" || p.Replica == replica
	},
	compare: func(a, b paceStatus) int {
		return cmp.Or(cmp.Compare(b.Percent, a.Percent), cmp.Compare(a.Replica, b.Replica), cmp.Compare(a.Gate, b.Gate))
	},
	header: "REPLICA\tSERVICE\tPACE\tAGE\tSTATE\tONLINE\tBATCH\tGATE",
	write: func(w io.Writer, p *paceStatus) {
		fmt.Fprintf(w, "%s\t%s\t%d%%\t%dms\t%s\t%d\t%d\t%s\n", p.Replica, p.Service, p.Percent, p.AgeMillis, p.state(), p.Online, p.Batch, p.Gate)
	},
}

func (a *app) paceCommand() *cli.Command {
	return &cli.Command{
		Name:  "pace",
		Usage: "how long work takes on replicas that share their machines",
		Commands: []*cli.Command{{
			Name:        "list",
			Usage:       "list replicas, the slowest first",
			ArgsUsage:   "[REPLICA]",
			Description: "queries the metrics address of each --server, a gate; each gate knows the replicas that it or their owner gates have used within the last second",
			Action: func(ctx context.Context, command *cli.Command) error {
				return paceList.list(ctx, a, command)
			},
		}},
	}
}

func (p *paceStatus) state() string {
	if p.Distrusted {
		return "distrusted"
	}
	return "used"
}
