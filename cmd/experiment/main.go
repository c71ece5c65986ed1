// Command experiment measures slateway on one machine: it starts whole fleets
// of slateway processes and stand-in upstreams on loopback addresses, generates
// load, injects faults and reports the results as callers see them.
//
// It is a tool for developers. It starts processes, which the daemon never does.
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
