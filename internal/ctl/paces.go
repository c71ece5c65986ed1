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

const pacesPath = "/v1/paces"

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

func (a *app) paceCommand() *cli.Command {
	return &cli.Command{
		Name:  "pace",
		Usage: "how long work takes on replicas that share their machines",
		Commands: []*cli.Command{{
			Name:        "list",
			Usage:       "list replicas, the slowest first",
			ArgsUsage:   "[REPLICA]",
			Description: "queries the metrics address of each --server, a gate; each gate knows the replicas that it or their owner gates have used within the last second",
			Action:      a.paceList,
		}},
	}
}

func (a *app) paceList(ctx context.Context, command *cli.Command) error {
	if command.Args().Len() > 1 {
		return &UsageError{Message: command.FullName() + " takes one replica at most"}
	}
	rows, err := queryServers[paceStatus](ctx, command, pacesPath)
	if len(rows) == 0 && err != nil {
		return err
	}
	replica := command.Args().First()
	rows = slices.DeleteFunc(rows, func(p paceStatus) bool { return replica != "" && p.Replica != replica })
	slices.SortFunc(rows, func(a, b paceStatus) int {
		return cmp.Or(cmp.Compare(b.Percent, a.Percent), cmp.Compare(a.Replica, b.Replica), cmp.Compare(a.Gate, b.Gate))
	})
	if err != nil {
		fmt.Fprintln(a.streams.Err, "slatectl: not all gates answered:", err)
	}
	raw, err := json.Marshal(rows)
	if err != nil {
		return err
	}
	return a.print(command, raw, func(w io.Writer) {
		fmt.Fprintln(w, "REPLICA\tSERVICE\tPACE\tAGE\tSTATE\tONLINE\tBATCH\tGATE")
		for _, p := range rows {
			fmt.Fprintf(w, "%s\t%s\t%d%%\t%dms\t%s\t%d\t%d\t%s\n", p.Replica, p.Service, p.Percent, p.AgeMillis, p.state(), p.Online, p.Batch, p.Gate)
		}
	})
}

func (p *paceStatus) state() string {
	if p.Distrusted {
		return "distrusted"
	}
	return "used"
}
