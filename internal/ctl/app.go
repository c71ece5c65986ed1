// Package ctl implements the command-line tool slatectl, which manages templates,
// teams, changes, batch jobs and the fleet through the HTTP APIs of slatewayd.
package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
)

// Streams are the standard streams of the process.
type Streams struct {
	In  io.Reader
	Out io.Writer // results only
	Err io.Writer // progress and errors
}

const description = `Exit codes:
   0  done
   1  failed: a bug, a failed disk or upstream, or a job with failed items
   2  wrong usage
   3  conflict: the object changed in the meantime
   4  not found
   5  unavailable: no server answered in time, or the system cannot serve now
   6  refused: the request is invalid or not allowed

A request whose answer was lost is sent again, to the next server, with the
same change ID or job key, so that it takes effect only once.`

// app holds the state that is shared by all commands.
type app struct {
	streams Streams
}

// Main runs slatectl and returns its exit code.
func Main(ctx context.Context, args []string, streams Streams) int {
	err := newApp(streams).Run(ctx, args)
	if err != nil {
		fmt.Fprintln(streams.Err, "slatectl:", err)
	}
	return ExitCode(err)
}

func newApp(streams Streams) *cli.Command {
	a := &app{streams: streams}
	root := &cli.Command{
		Name:        "slatectl",
		Usage:       "operate slateway",
		Description: description,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name:    "server",
				Sources: cli.EnvVars("SLATEWAY_SERVER"),
				Value:   []string{"127.0.0.1:8080", "127.0.0.1:8081"},
				Usage:   "`IP:PORT` of an operators or callers listener; repeatable, tried in order; a listener that does not serve a call is skipped",
			},
			&cli.StringFlag{Name: "token", Sources: cli.EnvVars("SLATEWAY_TOKEN"), Usage: "the team's bearer `TOKEN`, for jobs"},
			&cli.DurationFlag{Name: "retry-for", Value: 30 * time.Second, Usage: "how long to retry while no server can serve the call"},
			&cli.BoolFlag{Name: "json", Usage: "print results as JSON"},
		},
		Commands: []*cli.Command{
			a.templateCommand(),
			a.teamCommand(),
			a.changeCommand(),
			a.jobCommand(),
			a.upstreamCommand(),
			a.memberCommand(),
			a.entriesCommand(),
			a.capCommand(),
			a.paceCommand(),
			a.buildCommand(),
			a.partCommand(),
			a.shareCommand(),
			a.gateCommand(),
			a.accountCommand(),
		},
		Reader:    streams.In,
		Writer:    streams.Out,
		ErrWriter: streams.Err,
		// Main prints the error and returns the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	setErrorHandlers(root)
	return root
}

// setErrorHandlers makes all commands return usage errors as UsageError, and command groups
// show their help if no command is given.
func setErrorHandlers(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &UsageError{Message: err.Error()}
	}
	if command.Action == nil {
		command.Action = func(_ context.Context, command *cli.Command) error {
			if command.Args().Present() {
				return &UsageError{Message: fmt.Sprintf("%s has no command %q; see %s --help", command.FullName(), command.Args().First(), command.FullName())}
			}
			return cli.ShowSubcommandHelp(command)
		}
	}
	for _, child := range command.Commands {
		setErrorHandlers(child)
	}
}

// arguments returns the command's arguments, or a UsageError if there is not exactly
// one for each name.
func arguments(command *cli.Command, names ...string) ([]string, error) {
	args := command.Args().Slice()
	if len(args) < len(names) {
		return nil, &UsageError{Message: fmt.Sprintf("%s: argument %s is missing", command.FullName(), names[len(args)])}
	}
	if len(args) > len(names) {
		return nil, &UsageError{Message: fmt.Sprintf("%s: unexpected argument %q; remove it", command.FullName(), args[len(names)])}
	}
	return args, nil
}

func (a *app) client(command *cli.Command) *Client {
	return NewClient(command.StringSlice("server"), command.String("token"), command.Duration("retry-for"))
}

func newID() string { return uuid.NewString() }
