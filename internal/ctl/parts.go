package ctl

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"
)

// partStatus is what speaks against one part of prompts, as one gate knows it.
type partStatus struct {
	Gate      string   `json:"gate"`
	Service   string   `json:"service"`
	Part      string   `json:"part"`
	Standing  string   `json:"standing"`
	Crashes   int      `json:"crashes"`
	Replicas  []string `json:"replicas"`
	Teams     []string `json:"teams"`
	Doubtful  bool     `json:"doubtful"`
	Trials    int      `json:"trials"`
	AgeMillis int64    `json:"age_ms"`
	SeenAgo   int64    `json:"seen_ms"`
}

var partList = gateList[partStatus]{
	path:    "/v1/parts",
	subject: "part",
	keep: func(_ *cli.Command, p *partStatus, part string) bool {
		return part == "" || p.Part == part
	},
	compare: func(a, b partStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Gate, b.Gate))
	},
	header: "PART\tSERVICE\tSTANDING\tCRASHES\tTRIALS\tAGE\tSEEN\tTEAMS\tREPLICAS\tGATE",
	write: func(w io.Writer, p *partStatus) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%dms\t%dms\t%s\t%s\t%s\n", p.Part, p.Service, p.state(), p.Crashes, p.Trials, p.AgeMillis, p.SeenAgo,
			strings.Join(p.Teams, ","), strings.Join(p.Replicas, ","), p.Gate)
	},
}

func (a *app) partCommand() *cli.Command {
	return &cli.Command{
		Name:  "part",
		Usage: "parts of prompts that crash replicas",
		Commands: []*cli.Command{
			{
				Name:        "list",
				Usage:       "list the parts of prompts under which replicas crashed",
				ArgsUsage:   "[PART]",
				Description: "queries the metrics address of each --server, a gate; requests with a condemned part are refused",
				Action: func(ctx context.Context, command *cli.Command) error {
					return partList.list(ctx, a, command)
				},
			},
			{
				Name:        "lift",
				Usage:       "end the verdict or suspicion on a part, at all VMs",
				ArgsUsage:   "SERVICE PART",
				Description: "calls the metrics address of the first --server, a gate, that knows the part; if the part still crashes replicas, it costs three of them",
				Action:      a.liftPart,
			},
		},
	}
}

// state returns the standing, with a mark if it is doubtful.
func (p *partStatus) state() string {
	if p.Doubtful {
		return p.Standing + "?"
	}
	return p.Standing
}

func (a *app) liftPart(ctx context.Context, command *cli.Command) error {
	if command.Args().Len() != 2 {
		return &UsageError{Message: command.FullName() + " takes a service and a part"}
	}
	body := map[string]string{"service": command.Args().Get(0), "part": command.Args().Get(1)}
	var failed []error
	for _, server := range command.StringSlice("server") {
		_, err := NewClient([]string{server}, "", 0).send(ctx, http.MethodPost, "/v1/parts/lift", body, nil)
		if err == nil {
			fmt.Fprintf(a.streams.Out, "lifted part %s of %s\n", body["part"], body["service"])
			return nil
		}
		failed = append(failed, err)
	}
	return errors.Join(failed...)
}
