// Command capacity measures what the control of a fleet costs, at several sizes
// on one machine, and fits a line through them. docs/CAPACITY.md is made from its
// figures. It drives the real decision code and codec; packets that the decisions
// send are counted with the headers that they would have on the wire.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	app := &cli.Command{
		Name:  "capacity",
		Usage: "measure the cost of control and its slopes",
		Commands: []*cli.Command{
			{Name: "place", Usage: "membership and loads within one place, by its VMs", Action: measurePlace},
			{Name: "fleet", Usage: "the whole fleet of 6 regions and 22 places, by its VMs", Action: measureFleet},
			{Name: "announcement", Usage: "bytes of one announcement of an upstream", Action: measureAnnouncement},
			{Name: "losses", Usage: "until losses in the whole fleet are noticed and healed, in virtual time", Action: measureLosses},
			{Name: "sockets", Usage: "membership over loopback sockets, by the VMs of a place", Action: measureSockets},
			{
				Name: "processes", Usage: "running daemons, by the gates of a fleet with 3 keepers", Action: measureProcesses,
				Flags: []cli.Flag{
					&cli.IntSliceFlag{Name: "gates", Value: []int{4, 8, 16, 32}, Usage: "sizes to measure"},
					&cli.StringFlag{Name: "settings", Usage: "TOML text added to each VM's settings"},
				},
			},
			{Name: "replicas", Usage: "records of upstreams, by their number", Action: measureReplicas},
			{Name: "teams", Usage: "configuration, by the number of teams", Action: measureTeams},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
