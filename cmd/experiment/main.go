// Command experiment measures slateway on one machine: it starts whole fleets
// of slateway's processes and stand-in upstreams on loopback addresses, offers
// them load, brings about faults and reports what callers saw.
//
// It is a tool for developers, and starts processes; the daemon does not.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:     "experiment",
		Usage:    "measure slateway on one machine",
		Commands: []*cli.Command{runCommand(), overheadCommand()},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		stop()
		os.Exit(1)
	}
}
