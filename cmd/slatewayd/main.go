// Command slatewayd is slateway's daemon. It runs a gate, a keeper, or both, as
// configured in its settings file.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"slateway.example/slateway/internal/daemon"
	"slateway.example/slateway/internal/settings"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/platform"
)

// Exit codes.
const (
	exitFailed   = 1 // the daemon could not start, or stopped on an error
	exitSettings = 2 // invalid settings or command line
)

// errSettings wraps errors in the settings or the command line.
var errSettings = errors.New("settings")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// A reload signal must not end the process before watchSettings handles it.
	signal.Ignore(syscall.SIGHUP)
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	if errors.Is(err, errSettings) {
		return exitSettings
	}
	return exitFailed
}

func command() *cli.Command {
	return &cli.Command{
		Name:      "slatewayd",
		Usage:     "serve online and batch inference as configured in a settings file",
		ArgsUsage: "FILE",
		Action:    run,
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "check a settings file without starting",
			ArgsUsage: "FILE",
			Action:    checkSettings,
		}},
	}
}

// settingsPath returns the path of the settings file: the argument or, without
// one, the platform's default.
func settingsPath(command *cli.Command) (string, error) {
	switch command.Args().Len() {
	case 1:
		return command.Args().First(), nil
	case 0:
		if path := platform.SettingsPath(); path != "" {
			return path, nil
		}
	}
	return "", fmt.Errorf("%w: no settings file or more than one given; usage: slatewayd FILE", errSettings)
}

func loadSettings(command *cli.Command) (settings.Settings, error) {
	path, err := settingsPath(command)
	if err != nil {
		return settings.Settings{}, err
	}
	loaded, err := settings.Load(path)
	if err != nil {
		return settings.Settings{}, fmt.Errorf("%w: %w", errSettings, err)
	}
	return loaded, nil
}

func checkSettings(_ context.Context, command *cli.Command) error {
	if _, err := loadSettings(command); err != nil {
		return err
	}
	fmt.Println("the settings are valid")
	return nil
}

func run(ctx context.Context, command *cli.Command) error {
	loaded, err := loadSettings(command)
	if err != nil {
		return err
	}
	log, err := telemetry.NewLogger(loaded.Log.Level, loaded.Log.Format)
	if err != nil {
		return err
	}
	defer log.Close()
	daemon.SetMemoryLimit(&loaded)
	if loaded.HasControl() {
		return runSite(ctx, command, loaded, log)
	}
	d, err := daemon.New(loaded, log.Logger)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
