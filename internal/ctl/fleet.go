package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/urfave/cli/v3"
)

// Paths of the fleet API.
const (
	upstreamsPath = "/v1/upstreams"
	membersPath   = "/v1/members"
	entriesPath   = "/v1/entries"
)

func (a *app) upstreamCommand() *cli.Command {
	return &cli.Command{
		Name:     "upstream",
		Usage:    "upstreams as known to a gate",
		Commands: []*cli.Command{{Name: "list", Usage: "list replicas, their state and load", Action: a.upstreamList}},
	}
}

func (a *app) upstreamList(ctx context.Context, command *cli.Command) error {
	var upstreams []upstreamStatus
	raw, err := a.client(command).get(ctx, upstreamsPath, nil, &upstreams)
	if err != nil {
		return err
	}
	return a.print(command, raw, func(w io.Writer) {
		fmt.Fprintln(w, "REPLICA\tSERVICE\tKIND\tSTATE\tPLACE\tADDRESS\tSLOTS\tRUNNING\tQUEUED\tIN FLIGHT\tMODELS")
		for _, u := range upstreams {
			models := make([]string, len(u.Models))
			for i, model := range u.Models {
				models[i] = model.Name + "@" + model.Version
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", u.Replica, u.Service, u.Kind, u.State, u.Place,
				u.Address, u.Slots, u.Running, u.Queued, u.InFlight, strings.Join(models, " "))
		}
	})
}

func (a *app) memberCommand() *cli.Command {
	return &cli.Command{
		Name:  "member",
		Usage: "VMs of the fleet",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list VMs and the replicated groups that they are members of", Action: a.memberList},
			{
				Name:      "replace",
				Usage:     "replace a keeper whose disk was lost by a new one on the same VM's blank disk",
				ArgsUsage: "VM",
				Action:    a.memberReplace,
			},
		},
	}
}

func (a *app) memberList(ctx context.Context, command *cli.Command) error {
	var members []memberStatus
	raw, err := a.client(command).get(ctx, membersPath, nil, &members)
	if err != nil {
		return err
	}
	return a.print(command, raw, func(w io.Writer) {
		fmt.Fprintln(w, "VM\tSTATE\tROLES\tREGION\tPLACE\tCALLERS\tPEERS")
		for _, m := range members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.VM, m.State, strings.Join(m.Roles, ","), m.Region, m.Place, m.Callers, m.Peers)
			for _, group := range m.Groups {
				fmt.Fprintf(w, "  group %d\tleader %s\tvoters %s\tlearners %s\ttolerance %d\n", group.Group, group.Leader,
					strings.Join(group.Voters, ","), strings.Join(group.Learners, ","), group.Tolerance)
			}
		}
	})
}

// memberReplace replaces a member. The request is not resent once a server may have
// received it: a second one would replace the replacement that the first one started.
func (a *app) memberReplace(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, "VM")
	if err != nil {
		return err
	}
	request := &call{method: http.MethodPost, path: membersPath + "/" + url.PathEscape(args[0]) + "/replace", noResend: true}
	raw, err := a.client(command).json(ctx, request, nil)
	if err != nil {
		return err
	}
	return a.print(command, raw, func(w io.Writer) {
		fmt.Fprintf(w, "replacing %s; slatectl member list shows when it is a voter again\n", args[0])
	})
}

func (a *app) entriesCommand() *cli.Command {
	return &cli.Command{
		Name:  "entries",
		Usage: "list the gates that callers may connect to, best first",
		Flags: []cli.Flag{&cli.StringFlag{Name: "place", Usage: "`NAME` of the caller's own place"}},
		Action: func(ctx context.Context, command *cli.Command) error {
			query := url.Values{}
			if place := command.String("place"); place != "" {
				query.Set("place", place)
			}
			var entries entriesBody
			raw, err := a.client(command).get(ctx, entriesPath, query, &entries)
			if err != nil {
				return err
			}
			return a.print(command, raw, func(w io.Writer) {
				fmt.Fprintf(w, "# revision %d, valid for %s\n", entries.Revision, entries.lifetime())
				fmt.Fprintln(w, "ADDRESS\tVM\tPLACE")
				for _, entry := range entries.Entries {
					fmt.Fprintf(w, "%s\t%s\t%s\n", entry.Address, entry.VM, entry.Place)
				}
			})
		},
	}
}
