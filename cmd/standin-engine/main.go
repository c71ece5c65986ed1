// Command standin-engine runs a simulated model engine. It is for tests and the
// quickstart only.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"

	"slateway.example/slateway/standin/announce"
	"slateway.example/slateway/standin/engine"
	"slateway.example/slateway/standin/host"
)

// exitCrashed is the exit code after a request that contains the crash marker.
const exitCrashed = 3

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin-engine:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	defaults := engine.Defaults()
	return &cli.Command{
		Name:  "standin-engine",
		Usage: "a stand-in for a model engine",
		Flags: append(
			host.Flags(),
			&cli.StringSliceFlag{Name: "model", Value: []string{"small@1"}, Usage: "`NAME@VERSION` of a loaded model; repeatable"},
			&cli.StringFlag{Name: "role", Value: defaults.Role, Usage: "both, prefill or decode"},
			&cli.IntFlag{Name: "max-tokens", Value: defaults.MaxTokens, Usage: "tokens of an answer if the request sets no limit"},
			&cli.DurationFlag{Name: "first-token", Value: defaults.FirstToken, Usage: "time to the first token"},
			&cli.DurationFlag{Name: "first-token-cached", Value: defaults.FirstTokenCached, Usage: "time to the first token if the prefix is cached"},
			&cli.DurationFlag{Name: "token-every", Value: defaults.TokenEvery, Usage: "time between tokens"},
			&cli.DurationFlag{Name: "token-per-running", Usage: "added to --token-every for each other running stream"},
			&cli.IntFlag{Name: "cached-prefixes", Value: defaults.CachedPrefixes, Usage: "number of prompt prefixes kept in the cache"},
			&cli.DurationFlag{Name: "load-lag", Value: defaults.LoadLag, Usage: "age of the reported load"},
			&cli.DurationFlag{Name: "order-time", Value: defaults.OrderTime, Usage: "duration of an order"},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "reject orders with an outdated fencing number"},
			&cli.BoolFlag{Name: "can-resume", Value: true, Usage: "support continuing a stream at a token"},
			&cli.BoolFlag{Name: "can-cancel", Value: true, Usage: "support cancelling a stream by its request ID"},
		),
		Action: run,
	}
}

func run(ctx context.Context, command *cli.Command) error {
	options, err := optionsFrom(command)
	if err != nil {
		return err
	}
	settings := host.SettingsFrom(command, "engine")
	options.Incarnation = settings.Identity.Incarnation
	instance := engine.New(options)
	settings.Identity.ChecksFencing = options.ChecksFencing
	settings.Identity.CanResume = options.CanResume
	settings.Identity.CanCancel = options.CanCancel
	return host.Run(ctx, settings, instance, func(current *announce.Announcement) {
		load := instance.Load()
		current.Running = load.Running
		current.Queued = load.Queued
		current.Models = instance.Models()
	})
}

func optionsFrom(command *cli.Command) (engine.Options, error) {
	options := engine.Defaults()
	options.Replica = command.String("replica")
	options.Models = modelsFrom(command.StringSlice("model"))
	options.Role = command.String("role")
	options.Slots = command.Int("slots")
	options.MaxTokens = command.Int("max-tokens")
	options.FirstToken = command.Duration("first-token")
	options.FirstTokenCached = command.Duration("first-token-cached")
	options.TokenEvery = command.Duration("token-every")
	options.TokenPerRunning = command.Duration("token-per-running")
	options.CachedPrefixes = command.Int("cached-prefixes")
	options.LoadLag = command.Duration("load-lag")
	options.OrderTime = command.Duration("order-time")
	options.ChecksFencing = command.Bool("checks-fencing")
	options.CanResume = command.Bool("can-resume")
	options.CanCancel = command.Bool("can-cancel")
	options.CrashMarker = command.String("crash-marker")
	options.OnCrash = func() { os.Exit(exitCrashed) }
	file, err := host.OpenRunLog(command)
	if file != nil {
		options.Log = file
	}
	return options, err
}

func modelsFrom(names []string) []announce.Model {
	models := make([]announce.Model, len(names))
	for i, name := range names {
		models[i].Name, models[i].Version, _ = strings.Cut(name, "@")
	}
	return models
}
