// Package ctl is the command-line tool slatectl: templates, teams, changes,
// batch jobs and the fleet, over the HTTP APIs of slatewayd.
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
   1  failed: a defect, a failed disk or upstream, or a job with failed items
   2  wrong usage
   3  conflict: the object changed meanwhile
   4  not found
   5  unavailable: no server answered in time, or the system cannot serve now
   6  refused: the request is wrong or not allowed as it stands

A request whose answer was lost is sent again, to the next server, with the
same change ID or job key, so that it takes effect once.`

// app holds what the commands share.
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
				Usage:   "`IP:PORT` of an operators' or callers' listener; repeatable, tried in order; one that does not serve a call is passed over",
			},
			&cli.StringFlag{Name: "token", Sources: cli.EnvVars("SLATEWAY_TOKEN"), Usage: "the team's bearer `TOKEN`, for jobs"},
			&cli.DurationFlag{Name: "retry-for", Value: 30 * time.Second, Usage: "how long to try while no server can serve the call"},
			&cli.BoolFlag{Name: "json", Usage: "print answers as JSON"},
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
			a.accountCommand(),
		},
		Reader:    streams.In,
		Writer:    streams.Out,
		ErrWriter: streams.Err,
		// The code and the message come from Main.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	prepare(root)
	return root
}

// prepare makes usage errors of all commands typed, and shows what a group of
// commands offers if none of them is named.
func prepare(command *cli.Command) {
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
		prepare(child)
	}
}

// arguments checks that a command got exactly the arguments that it names.
func arguments(command *cli.Command, names ...string) ([]string, error) {
	given := command.Args().Slice()
	if len(given) < len(names) {
		return nil, &UsageError{Message: fmt.Sprintf("%s needs %s", command.FullName(), names[len(given)])}
	}
	if len(given) > len(names) {
		return nil, &UsageError{Message: fmt.Sprintf("%s does not take %q", command.FullName(), given[len(names)])}
	}
	return given, nil
}

func (a *app) client(command *cli.Command) *Client {
	return NewClient(command.StringSlice("server"), command.String("token"), command.Duration("retry-for"))
}

func newID() string { return uuid.NewString() }
