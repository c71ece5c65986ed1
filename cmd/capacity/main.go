// Command capacity measures the cost of a fleet's control traffic at several fleet
// sizes on one machine and fits a line through the results. docs/CAPACITY.md is
// based on its figures. It runs the real decision code and codec, and counts packets
// with the headers that they would have on the wire.
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
		Usage: "measure the cost of control traffic and how it grows with the fleet",
		Commands: []*cli.Command{
			{Name: "place", Usage: "membership and loads within one place, by number of VMs", Action: measurePlace},
			{Name: "fleet", Usage: "the whole fleet of 6 regions and 22 places, by number of VMs", Action: measureFleet},
			{Name: "announcement", Usage: "bytes of one upstream announcement", Action: measureAnnouncement},
			{Name: "losses", Usage: "virtual time until failures in the whole fleet are detected and recovered from", Action: measureLosses},
			{Name: "sockets", Usage: "membership over loopback sockets, by number of VMs in a place", Action: measureSockets},
			{
				Name: "processes", Usage: "running daemons, by number of gates in a fleet with 3 keepers", Action: measureProcesses,
				Flags: []cli.Flag{
					&cli.IntSliceFlag{Name: "gates", Value: []int{4, 8, 16, 32}, Usage: "sizes to measure"},
					&cli.StringFlag{Name: "settings", Usage: "TOML text added to each VM's settings"},
				},
			},
			{Name: "replicas", Usage: "upstream records, by number of replicas", Action: measureReplicas},
			{Name: "teams", Usage: "configuration, by number of teams", Action: measureTeams},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
