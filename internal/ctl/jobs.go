package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"
)

// jobsPath is the path of the jobs API.
const jobsPath = "/v1/jobs"

// jobPoll is the interval at which the progress of a job is polled.
const jobPoll = 500 * time.Millisecond

func (a *app) jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "batch jobs of the team that --token belongs to",
		Commands: []*cli.Command{
			a.submitCommand(),
			a.resultsCommand(),
			{
				Name:      "status",
				Usage:     "show a job",
				ArgsUsage: "ID",
				Flags:     []cli.Flag{&cli.BoolFlag{Name: "wait", Usage: "wait until the job has ended"}},
				Action:    a.jobStatus,
			},
			{Name: "list", Usage: "list the team's jobs", Action: a.jobList},
			{Name: "cancel", Usage: "cancel a job", ArgsUsage: "ID", Action: a.jobCancel},
		},
	}
}

func jobPath(id string) string { return jobsPath + "/" + url.PathEscape(id) }

func (a *app) jobStatus(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, "ID")
	if err != nil {
		return err
	}
	if command.Bool("wait") {
		return a.waitJob(ctx, command, args[0])
	}
	var job jobStatus
	raw, err := a.client(command).get(ctx, jobPath(args[0]), nil, &job)
	if err != nil {
		return err
	}
	return a.print(command, raw, func(w io.Writer) { writeJobs(w, []jobStatus{job}) })
}

// waitJob shows a job's progress until it has ended, and prints its state.
func (a *app) waitJob(ctx context.Context, command *cli.Command, id string) error {
	var bar *progress
	for {
		var job jobStatus
		raw, err := a.client(command).get(ctx, jobPath(id), nil, &job)
		if err != nil {
			return err
		}
		if bar == nil {
			bar = newProgress(a.streams.Err, "items", job.Items)
		}
		bar.update(job.Done + job.Failed + job.Cancelled)
		if job.ended() {
			return errors.Join(
				a.print(command, raw, func(w io.Writer) { writeJobs(w, []jobStatus{job}) }),
				outcomeError(&job),
			)
		}
		if err := sleep(ctx, jobPoll); err != nil {
			return err
		}
	}
}

// outcomeError returns an error for an ended job that was cancelled or has failed
// items, else nil.
func outcomeError(job *jobStatus) error {
	switch {
	case job.State == jobCancelled:
		return fmt.Errorf("job %s was cancelled", job.ID)
	case job.Failed > 0:
		return fmt.Errorf("%d of %d items of job %s failed; slatectl job results shows the reasons", job.Failed, job.Items, job.ID)
	}
	return nil
}

func (a *app) jobList(ctx context.Context, command *cli.Command) error {
	var jobs []jobStatus
	raw, err := a.client(command).get(ctx, jobsPath, nil, &jobs)
	if err != nil {
		return err
	}
	return a.print(command, raw, func(w io.Writer) { writeJobs(w, jobs) })
}

func (a *app) jobCancel(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, "ID")
	if err != nil {
		return err
	}
	var job jobStatus
	raw, err := a.client(command).json(ctx, &call{method: http.MethodPost, path: jobPath(args[0]) + "/cancel"}, &job)
	if err != nil {
		return err
	}
	return a.print(command, raw, func(w io.Writer) { writeJobs(w, []jobStatus{job}) })
}

func writeJobs(w io.Writer, jobs []jobStatus) {
	fmt.Fprintln(w, "ID\tSTATE\tSERVICE\tITEMS\tDONE\tFAILED\tCANCELLED\tDEADLINE")
	for _, job := range jobs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n",
			job.ID, job.State, job.Service, job.Items, job.Done, job.Failed, job.Cancelled, job.Deadline)
	}
}
