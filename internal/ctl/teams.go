package ctl

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"
)

func (a *app) teamCommand() *cli.Command {
	parameters := func(more ...cli.Flag) []cli.Flag {
		return changeFlags(append(more,
			&cli.StringSliceFlag{Name: "param", Usage: "`NAME=VALUE` of a template parameter; repeatable"},
			&cli.StringSliceFlag{Name: "team-token", Usage: "bearer `TOKEN` of the team's callers; repeatable; replaces all existing tokens"},
		)...)
	}
	return &cli.Command{
		Name:  "team",
		Usage: "teams and their parameters",
		Commands: []*cli.Command{
			{
				Name:      "create",
				Usage:     "create a team from a template",
				ArgsUsage: "NAME",
				Flags:     parameters(&cli.StringFlag{Name: "template", Usage: "`NAME` of the template", Required: true}),
				Action:    a.teamCreate,
			},
			{
				Name:      "set",
				Usage:     "change a team's parameters; those that are not given keep their values",
				ArgsUsage: "NAME",
				Flags: parameters(
					&cli.StringFlag{Name: "template", Usage: "`NAME` of another template"},
					&cli.StringSliceFlag{Name: "unset", Usage: "`NAME` of a parameter to reset to the template's default; repeatable"},
				),
				Action: a.teamSet,
			},
			{Name: "list", Usage: "list teams", Action: a.teamList},
			{Name: "show", Usage: "show a team", ArgsUsage: "NAME", Action: a.teamShow},
			{Name: "delete", Usage: "delete a team", ArgsUsage: "NAME", Flags: changeFlags(), Action: a.teamDelete},
		},
	}
}

func teamPath(name string) string { return teamsPath + "/" + url.PathEscape(name) }

// addParameters adds the NAME=VALUE pairs of --param to into.
func addParameters(into map[string]string, pairs []string) error {
	for _, pair := range pairs {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || name == "" {
			return &UsageError{Message: fmt.Sprintf("--param %q is not NAME=VALUE", pair)}
		}
		into[name] = value
	}
	return nil
}

func (a *app) teamCreate(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, "NAME")
	if err != nil {
		return err
	}
	parameters := make(map[string]string)
	if err := addParameters(parameters, command.StringSlice("param")); err != nil {
		return err
	}
	return a.putTeam(ctx, command, args[0], putTeam{
		changeHeader: newChange(command, 0),
		Template:     command.String("template"),
		Parameters:   parameters,
		Tokens:       command.StringSlice("team-token"),
	})
}

// teamSet reads a team and changes it. If another operator changes the team in between,
// its revision differs and the server refuses the change as a conflict.
func (a *app) teamSet(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, "NAME")
	if err != nil {
		return err
	}
	var current teamBody
	if _, err := a.client(command).get(ctx, teamPath(args[0]), nil, &current); err != nil {
		return err
	}
	parameters := make(map[string]string)
	maps.Copy(parameters, current.Parameters)
	for _, name := range command.StringSlice("unset") {
		delete(parameters, name)
	}
	if err := addParameters(parameters, command.StringSlice("param")); err != nil {
		return err
	}
	template := current.Template
	if command.IsSet("template") {
		template = command.String("template")
	}
	return a.putTeam(ctx, command, args[0], putTeam{
		changeHeader: newChange(command, current.Revision),
		Template:     template,
		Parameters:   parameters,
		Tokens:       command.StringSlice("team-token"),
	})
}

func (a *app) putTeam(ctx context.Context, command *cli.Command, name string, body putTeam) error {
	request, err := putCall(teamPath(name), body)
	if err != nil {
		return err
	}
	return a.submit(ctx, command, request, body.changeHeader)
}

func (a *app) teamDelete(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, "NAME")
	if err != nil {
		return err
	}
	var current teamBody
	if !command.IsSet("base-revision") {
		if _, err := a.client(command).get(ctx, teamPath(args[0]), nil, &current); err != nil {
			return err
		}
	}
	header := newChange(command, current.Revision)
	query := url.Values{
		"base_revision": {strconv.FormatUint(header.BaseRevision, 10)},
		"change_id":     {header.ChangeID},
	}
	if header.Operator != "" {
		query.Set("operator", header.Operator)
	}
	return a.submit(ctx, command, &call{method: http.MethodDelete, path: teamPath(args[0]), query: query}, header)
}

func (a *app) teamList(ctx context.Context, command *cli.Command) error {
	var teams []teamBody
	raw, err := a.client(command).get(ctx, teamsPath, nil, &teams)
	if err != nil {
		return err
	}
	return a.print(command, raw, func(w io.Writer) { writeTeams(w, teams) })
}

func (a *app) teamShow(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, "NAME")
	if err != nil {
		return err
	}
	var team teamBody
	raw, err := a.client(command).get(ctx, teamPath(args[0]), nil, &team)
	if err != nil {
		return err
	}
	return a.print(command, raw, func(w io.Writer) { writeTeams(w, []teamBody{team}) })
}

func writeTeams(w io.Writer, teams []teamBody) {
	fmt.Fprintln(w, "NAME\tTEMPLATE\tREVISION\tPARAMETERS")
	for _, team := range teams {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", team.Name, team.Template, team.Revision, formatParameters(team.Parameters))
	}
}
