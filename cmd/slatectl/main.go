// Command slatectl operates slateway from the command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"slateway.example/slateway/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctx, os.Args, ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
