package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// buildStatus is one build of a service as one gate knows it.
type buildStatus struct {
	Gate      string `json:"gate"`
	Service   string `json:"service"`
	Build     string `json:"build"`
	Replicas  int    `json:"replicas"`
	AgeMillis int64  `json:"age_ms"`
	Sole      bool   `json:"sole"`
	Doubt     string `json:"doubt"`
}

var buildList = gateList[buildStatus]{
	path:    "/v1/builds",
	subject: "service",
	keep: func(_ *cli.Command, b *buildStatus, service string) bool {
		return service == "" || b.Service == service
	},
	compare: func(a, b buildStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Build, b.Build), cmp.Compare(a.Gate, b.Gate))
	},
	header: "SERVICE\tBUILD\tREPLICAS\tLEFT\tSOLE\tGATE",
	write: func(w io.Writer, b *buildStatus) {
		fmt.Fprintf(w, "%s\t%s\t%d\t%dms\t%s\t%s\n", b.Service, b.Build, b.Replicas, b.AgeMillis, b.state(), b.Gate)
	},
}

func (a *app) buildCommand() *cli.Command {
	return &cli.Command{
		Name:  "build",
		Usage: "versions of the software that the replicas of a service run",
		Commands: []*cli.Command{{
			Name:        "list",
			Usage:       "list the builds of services and how many replicas run each",
			ArgsUsage:   "[SERVICE]",
			Description: "queries the metrics address of each --server, a gate; SOLE is why streams without a record cannot be taken up there, or yes",
			Action: func(ctx context.Context, command *cli.Command) error {
				return buildList.list(ctx, a, command)
			},
		}},
	}
}

// state returns why the gate does not take the build for the only one of its service.
func (b *buildStatus) state() string {
	if b.Sole {
		return "yes"
	}
	return b.Doubt
}
