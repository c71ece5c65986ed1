package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// Paths of the configuration API.
const (
	templatesPath = "/v1/templates"
	teamsPath     = "/v1/teams"
	changesPath   = "/v1/changes/"
)

// changePoll is the interval at which a change is checked for being in force.
const changePoll = 200 * time.Millisecond

// changeFlags returns more together with the flags of all commands that change the
// configuration.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return append(more,
		&cli.Uint64Flag{Name: "base-revision", Usage: "revision `N` that the object must still have; default: its current one; 0 for a new object"},
		&cli.StringFlag{Name: "change-id", Usage: "`ID` of this change; a change sent several times with the same ID takes effect once"},
		&cli.StringFlag{Name: "operator", Sources: cli.EnvVars("SLATEWAY_OPERATOR", "USER"), Usage: "`NAME` to record with the change"},
		&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force at every gate"},
		&cli.DurationFlag{Name: "wait-for", Value: time.Minute, Usage: "maximum duration of --wait"},
	)
}

// newChange creates a change from the flags of changeFlags. revision is the object's
// current revision.
func newChange(command *cli.Command, revision uint64) changeHeader {
	result := changeHeader{BaseRevision: revision, ChangeID: command.String("change-id"), Operator: command.String("operator")}
	if command.IsSet("base-revision") {
		result.BaseRevision = command.Uint64("base-revision")
	}
	if result.ChangeID == "" {
		result.ChangeID = newID()
	}
	return result
}

// submit sends a change and prints its revision. If it fails, the error contains the
// change ID with which the change can safely be sent again.
func (a *app) submit(ctx context.Context, command *cli.Command, request *call, header changeHeader) error {
	client := a.client(command)
	var result changeResult
	raw, err := client.json(ctx, request, &result)
	if err != nil {
		return fmt.Errorf("%w\nto send the same change again: --change-id %s --base-revision %d", err, header.ChangeID, header.BaseRevision)
	}
	if command.Bool("wait") {
		if _, err := a.waitInForce(ctx, client, result.Revision, command.Duration("wait-for")); err != nil {
			return err
		}
	}
	return a.print(command, raw, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d\n", result.Revision)
	})
}

func putCall(path string, body any) (*call, error) {
	encoded, err := json.Marshal(body)
	return &call{method: http.MethodPut, path: path, contentType: "application/json", body: encoded}, err
}

// waitInForce waits up to timeout until every live gate serves under revision.
func (a *app) waitInForce(ctx context.Context, client *Client, revision uint64, timeout time.Duration) (json.RawMessage, error) {
	deadline := time.Now().Add(timeout)
	for {
		var status changeStatus
		raw, err := client.get(ctx, changesPath+strconv.FormatUint(revision, 10), nil, &status)
		if err != nil || status.InForce {
			return raw, err
		}
		if time.Now().After(deadline) {
			return nil, &UnreachableError{
				Call:    fmt.Sprintf("wait for revision %d", revision),
				Servers: status.WaitingFor,
				Last:    fmt.Errorf("the gates on these VMs did not apply the revision within %s", timeout),
			}
		}
		if err := sleep(ctx, changePoll); err != nil {
			return nil, err
		}
	}
}

func (a *app) changeCommand() *cli.Command {
	return &cli.Command{
		Name:  "change",
		Usage: "track changes of the configuration",
		Commands: []*cli.Command{{
			Name:      "wait",
			Usage:     "wait until a revision is in force at every gate",
			ArgsUsage: "REVISION",
			Flags:     []cli.Flag{&cli.DurationFlag{Name: "wait-for", Value: time.Minute, Usage: "maximum time to wait"}},
			Action:    a.changeWait,
		}},
	}
}

func (a *app) changeWait(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, "REVISION")
	if err != nil {
		return err
	}
	revision, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return &UsageError{Message: fmt.Sprintf("REVISION %q is not a number", args[0])}
	}
	raw, err := a.waitInForce(ctx, a.client(command), revision, command.Duration("wait-for"))
	if err != nil {
		return err
	}
	return a.print(command, raw, func(w io.Writer) { fmt.Fprintf(w, "revision %d is in force\n", revision) })
}

func (a *app) templateCommand() *cli.Command {
	return &cli.Command{
		Name:  "template",
		Usage: "templates from which teams are created",
		Commands: []*cli.Command{
			{Name: "apply", Usage: "create or change a template", ArgsUsage: "NAME FILE", Flags: changeFlags(), Action: a.templateApply},
			{Name: "list", Usage: "list templates", Action: a.templateList},
			{Name: "show", Usage: "print a template's TOML", ArgsUsage: "NAME", Action: a.templateShow},
		},
	}
}

func (a *app) templateApply(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, "NAME", "FILE")
	if err != nil {
		return err
	}
	source, err := a.readFile(args[1])
	if err != nil {
		return err
	}
	path := templatesPath + "/" + url.PathEscape(args[0])
	var current templateBody
	if err := a.readIfExists(ctx, command, path, &current); err != nil {
		return err
	}
	header := newChange(command, current.Revision)
	request, err := putCall(path, putTemplate{changeHeader: header, Source: string(source)})
	if err != nil {
		return err
	}
	return a.submit(ctx, command, request, header)
}

// readIfExists reads an object if it exists. It does nothing if the base revision is
// set by a flag.
func (a *app) readIfExists(ctx context.Context, command *cli.Command, path string, into any) error {
	if command.IsSet("base-revision") {
		return nil
	}
	_, err := a.client(command).get(ctx, path, nil, into)
	if isNotFound(err) {
		return nil
	}
	return err
}

// readFile reads a file, or standard input if its name is -.
func (a *app) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(a.streams.In)
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, &UsageError{Message: err.Error()}
	}
	return content, nil
}

func (a *app) templateList(ctx context.Context, command *cli.Command) error {
	var templates []templateBody
	raw, err := a.client(command).get(ctx, templatesPath, nil, &templates)
	if err != nil {
		return err
	}
	return a.print(command, raw, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tREVISION")
		for _, template := range templates {
			fmt.Fprintf(w, "%s\t%d\n", template.Name, template.Revision)
		}
	})
}

func (a *app) templateShow(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, "NAME")
	if err != nil {
		return err
	}
	var template templateBody
	raw, err := a.client(command).get(ctx, templatesPath+"/"+url.PathEscape(args[0]), nil, &template)
	if err != nil {
		return err
	}
	if command.Bool("json") {
		return a.print(command, raw, nil)
	}
	_, err = fmt.Fprintf(a.streams.Out, "# revision %d\n%s", template.Revision, template.Source)
	return err
}

// formatParameters formats parameters as name=value pairs, sorted by name.
func formatParameters(parameters map[string]string) string {
	pairs := make([]string, 0, len(parameters))
	for _, name := range slices.Sorted(maps.Keys(parameters)) {
		pairs = append(pairs, name+"="+parameters[name])
	}
	return strings.Join(pairs, " ")
}
