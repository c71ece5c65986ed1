// Command standin-service runs a simulated plain service. It is for tests and the
// quickstart only.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"slateway.example/slateway/standin/announce"
	"slateway.example/slateway/standin/host"
	"slateway.example/slateway/standin/service"
)

// exitCrashed is the exit code after a call that contains the crash marker.
const exitCrashed = 3

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin-service:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin-service",
		Usage: "a stand-in for a plain service",
		Flags: append(
			host.Flags(),
			&cli.DurationFlag{Name: "delay", Value: service.Defaults().Delay, Usage: "duration of a call"},
		),
		Action: run,
	}
}

func run(ctx context.Context, command *cli.Command) error {
	file, err := host.OpenRunLog(command)
	if err != nil {
		return err
	}
	settings := host.SettingsFrom(command, "service")
	options := service.Options{
		Incarnation: settings.Identity.Incarnation,
		Name:        command.String("service"),
		Replica:     command.String("replica"),
		Slots:       command.Int("slots"),
		Delay:       command.Duration("delay"),
		CrashMarker: command.String("crash-marker"),
		OnCrash:     func() { os.Exit(exitCrashed) },
	}
	if file != nil {
		options.Log = file
	}
	instance := service.New(options)
	return host.Run(ctx, settings, instance, func(current *announce.Announcement) {
		load := instance.Load()
		current.Running = load.Running
		current.Queued = load.Queued
	})
}
