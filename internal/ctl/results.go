package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"
)

// Response headers of a page of results.
const (
	nextFromHeader = "Next-From"
	completeHeader = "Results-Complete"
)

// resultsPoll is the interval at which results are polled while the next item has not
// ended.
const resultsPoll = time.Second

func (a *app) resultsCommand() *cli.Command {
	return &cli.Command{
		Name:      "results",
		Usage:     "write a job's results as NDJSON, in the order of its items",
		ArgsUsage: "ID",
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: "from", Usage: "number `N` of the first item, from 0"},
			&cli.IntFlag{Name: "page", Value: 1000, Usage: "maximum number of items in one answer"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "`FILE` to append to; default: standard output"},
			&cli.BoolFlag{Name: "follow", Usage: "continue until the job has ended"},
		},
		Action: a.jobResults,
	}
}

func (a *app) jobResults(ctx context.Context, command *cli.Command) (err error) {
	args, err := arguments(command, "ID")
	if err != nil {
		return err
	}
	out := a.streams.Out
	if name := command.String("output"); name != "" {
		file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return &UsageError{Message: err.Error()}
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		out = file
	}
	reader := &resultReader{client: a.client(command), id: args[0], page: command.Int("page")}
	next, err := reader.copy(ctx, out, command.Int64("from"), command.Bool("follow"))
	if err != nil {
		return fmt.Errorf("%w\nto continue: --from %d", err, next)
	}
	return nil
}

// resultReader reads a job's results page by page.
type resultReader struct {
	client *Client
	id     string
	page   int
}

// copy writes the results starting with item from, and returns the number of the first
// item that it did not write. Without follow it stops at an item that has not ended.
func (r *resultReader) copy(ctx context.Context, out io.Writer, from int64, follow bool) (int64, error) {
	for {
		next, complete, err := r.copyPage(ctx, out, from)
		if err != nil {
			return from, err
		}
		noProgress := next <= from
		from = max(next, from)
		switch {
		case complete, noProgress && !follow:
			return from, nil
		case noProgress:
			if err := sleep(ctx, resultsPoll); err != nil {
				return from, err
			}
		}
	}
}

// copyPage writes one page, or nothing if the connection is lost while it is read, so
// that the page can be read again.
func (r *resultReader) copyPage(ctx context.Context, out io.Writer, from int64) (next int64, complete bool, err error) {
	request := &call{
		method: http.MethodGet,
		path:   jobPath(r.id) + "/results",
		query:  url.Values{"from": {strconv.FormatInt(from, 10)}, "limit": {strconv.Itoa(r.page)}},
	}
	response, err := r.client.do(ctx, request)
	if err != nil {
		return from, false, err
	}
	defer response.Body.Close()
	page, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return from, false, fmt.Errorf("%s: read the answer: %w", request, err)
	}
	next, err = strconv.ParseInt(response.Header.Get(nextFromHeader), 10, 64)
	if err != nil {
		return from, false, fmt.Errorf("%s: the answer has no valid Next-From header: %w", request, err)
	}
	if _, err := out.Write(page); err != nil {
		return from, false, err
	}
	return next, response.Header.Get(completeHeader) == "true", nil
}
