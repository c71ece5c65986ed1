package ctl

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"
)

// Sizes of a job's parts. One line may be as long as a whole part.
const (
	defaultPartItems = 1000
	defaultPartBytes = 3 << 20
	maxLineBytes     = 64 << 20
)

// ndjson is the content type of a job's parts.
const ndjson = "application/x-ndjson"

func (a *app) submitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "create a job from a file of NDJSON lines {custom_id, url, body}",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "key", Usage: "the job's own `KEY`; a resend with it finds the same job"},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the model or service; the team's own if not given"},
			&cli.StringFlag{Name: "deadline", Usage: "when the job is due: RFC 3339 `TIME`, or a time from now such as 8h"},
			&cli.BoolFlag{Name: "non-idempotent", Usage: "run each item at most once"},
			&cli.IntFlag{Name: "part-items", Value: defaultPartItems, Usage: "most items in one part"},
			&cli.IntFlag{Name: "part-bytes", Value: defaultPartBytes, Usage: "most bytes in one part; a longer item is a part alone"},
			&cli.BoolFlag{Name: "wait", Usage: "return once the job has ended"},
		},
		Action: a.jobSubmit,
	}
}

func (a *app) jobSubmit(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, "FILE")
	if err != nil {
		return err
	}
	deadline, fromNow, err := parseDeadline(command.String("deadline"), time.Now())
	if err != nil {
		return err
	}
	file, size, err := a.openItems(args[0])
	if err != nil {
		return err
	}
	defer file.Close()

	key := command.String("key")
	if key == "" {
		key = newID()
		a.note("job key %s; to send the same job again: --key %s", key, key)
	}
	client := a.client(command)
	if fromNow && command.IsSet("key") {
		if deadline, err = deadlineOf(ctx, client, key, deadline); err != nil {
			return err
		}
	}
	var job jobStatus
	_, err = client.send(ctx, http.MethodPost, jobsPath, createJob{
		JobKey:        key,
		Service:       command.String("service"),
		Deadline:      deadline,
		NonIdempotent: command.Bool("non-idempotent"),
	}, &job)
	if err != nil {
		return err
	}
	a.note("job %s", job.ID)
	parts, err := a.sendParts(ctx, command, client, job.ID, file, size)
	if err != nil {
		return err
	}
	raw, err := client.send(ctx, http.MethodPost, jobPath(job.ID)+"/seal", sealJob{Parts: parts}, &job)
	if err != nil {
		return err
	}
	if command.Bool("wait") {
		return a.waitJob(ctx, command, job.ID)
	}
	return a.print(command, raw, func(w io.Writer) { writeJobs(w, []jobStatus{job}) })
}

// deadlineOf gives the deadline of the job that has the key already, else the
// new one. Sent again later, a time from now would be another deadline, and the
// job that the first sending made would be refused as another job's.
func deadlineOf(ctx context.Context, client *Client, key, otherwise string) (string, error) {
	var jobs []jobStatus
	if _, err := client.get(ctx, jobsPath, nil, &jobs); err != nil {
		return "", err
	}
	for _, job := range jobs {
		if job.JobKey == key {
			return job.Deadline, nil
		}
	}
	return otherwise, nil
}

// parseDeadline accepts RFC 3339 or a duration from now, and says which.
func parseDeadline(text string, now time.Time) (deadline string, fromNow bool, err error) {
	if text == "" {
		return "", false, nil
	}
	if duration, err := time.ParseDuration(text); err == nil {
		return now.Add(duration).UTC().Format(time.RFC3339), true, nil
	}
	if _, err := time.Parse(time.RFC3339, text); err != nil {
		return "", false, &UsageError{Message: fmt.Sprintf("--deadline %q is neither RFC 3339, such as 2026-01-31T06:00:00Z, nor a time from now, such as 8h", text)}
	}
	return text, false, nil
}

// openItems opens a file of items, or standard input if its name is -, and
// gives its size in bytes; -1 if that is not known.
func (a *app) openItems(name string) (io.ReadCloser, int64, error) {
	if name == "-" {
		return io.NopCloser(a.streams.In), -1, nil
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, &UsageError{Message: err.Error()}
	}
	info, err := file.Stat()
	if err != nil {
		file.Close()
		return nil, 0, err
	}
	return file, info.Size(), nil
}

// sendParts sends a file's lines in parts numbered from 0 and returns how many.
// The cut depends on the file and the flags alone, so that a resend of the same
// file with the same key makes the same parts, and each is accepted once.
func (a *app) sendParts(ctx context.Context, command *cli.Command, client *Client, id string, file io.Reader, size int64) (int, error) {
	cutter := newPartCutter(file, command.Int("part-items"), command.Int("part-bytes"))
	shown := newProgress(a.streams.Err, "bytes sent", size)
	var sent int64
	for part := 0; ; part++ {
		body, err := cutter.next()
		if err == io.EOF {
			return part, nil
		}
		if err != nil {
			return part, err
		}
		_, err = client.json(ctx, &call{
			method:      http.MethodPut,
			path:        jobPath(id) + "/parts/" + strconv.Itoa(part),
			contentType: ndjson,
			body:        body,
		}, &partResult{})
		if err != nil {
			return part, fmt.Errorf("part %d, which begins at line %d: %w", part, cutter.firstLine, err)
		}
		sent += int64(len(body))
		shown.set(sent)
	}
}

// partCutter cuts NDJSON lines into parts.
type partCutter struct {
	lines     *bufio.Scanner
	maxItems  int
	maxBytes  int
	pending   []byte // line that did not fit into the last part
	line      int    // lines read so far
	firstLine int    // line, from 1, at which the last part began
}

func newPartCutter(file io.Reader, maxItems, maxBytes int) *partCutter {
	lines := bufio.NewScanner(file)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	return &partCutter{lines: lines, maxItems: max(maxItems, 1), maxBytes: maxBytes}
}

// next gives the next part's lines, io.EOF after the last part.
func (p *partCutter) next() ([]byte, error) {
	var part bytes.Buffer
	items := 0
	for items < p.maxItems {
		line, err := p.take()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
		if items > 0 && part.Len()+len(line)+1 > p.maxBytes {
			p.pending = line
			break
		}
		if items == 0 {
			p.firstLine = p.line
		}
		part.Write(line)
		part.WriteByte('\n')
		items++
	}
	if items == 0 {
		return nil, io.EOF
	}
	return part.Bytes(), nil
}

// take gives the next line that is not blank.
func (p *partCutter) take() ([]byte, error) {
	if p.pending != nil {
		line := p.pending
		p.pending = nil
		return line, nil
	}
	for p.lines.Scan() {
		p.line++
		if line := bytes.TrimSpace(p.lines.Bytes()); len(line) > 0 {
			return bytes.Clone(line), nil
		}
	}
	if err := p.lines.Err(); err != nil {
		return nil, fmt.Errorf("line %d: %w", p.line+1, err)
	}
	return nil, io.EOF
}
