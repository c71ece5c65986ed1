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

// Sizes of a job's parts. A single line may be longer than defaultPartBytes.
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
			&cli.StringFlag{Name: "key", Usage: "unique `KEY` of the job; submitting again with the same key finds the same job"},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the model or service; default: the team's first model"},
			&cli.StringFlag{Name: "deadline", Usage: "when the job is due: an RFC 3339 `TIME`, or a duration from now such as 8h"},
			&cli.BoolFlag{Name: "non-idempotent", Usage: "run each item at most once"},
			&cli.IntFlag{Name: "part-items", Value: defaultPartItems, Usage: "maximum number of items in one part"},
			&cli.IntFlag{Name: "part-bytes", Value: defaultPartBytes, Usage: "maximum size of a part in bytes; a larger item is sent as a part of its own"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the job has ended"},
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
		a.note("job key %s; to submit the same job again: --key %s", key, key)
	}
	client := a.client(command)
	if fromNow && command.IsSet("key") {
		if deadline, err = existingDeadline(ctx, client, key, deadline); err != nil {
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

// existingDeadline returns the deadline of the existing job with the key, or fallback if
// there is none. If a job is submitted again with a deadline relative to now, the
// deadline differs, and the server would refuse it as a different job with the same key.
func existingDeadline(ctx context.Context, client *Client, key, fallback string) (string, error) {
	var jobs []jobStatus
	if _, err := client.get(ctx, jobsPath, nil, &jobs); err != nil {
		return "", err
	}
	for _, job := range jobs {
		if job.JobKey == key {
			return job.Deadline, nil
		}
	}
	return fallback, nil
}

// parseDeadline parses an RFC 3339 time or a duration from now, and reports whether it
// was a duration.
func parseDeadline(text string, now time.Time) (deadline string, fromNow bool, err error) {
	if text == "" {
		return "", false, nil
	}
	if duration, err := time.ParseDuration(text); err == nil {
		return now.Add(duration).UTC().Format(time.RFC3339), true, nil
	}
	if _, err := time.Parse(time.RFC3339, text); err != nil {
		return "", false, &UsageError{Message: fmt.Sprintf("--deadline %q is neither RFC 3339, such as 2026-01-31T06:00:00Z, nor a duration from now, such as 8h", text)}
	}
	return text, false, nil
}

// openItems opens a file of items, or standard input if name is -, and returns its size
// in bytes, or -1 if that is not known.
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

// sendParts sends the lines of a file in parts numbered from 0 and returns the number
// of parts. The division depends only on the file and the flags, so that submitting the
// same file again with the same key sends the same parts, and each is accepted once.
func (a *app) sendParts(ctx context.Context, command *cli.Command, client *Client, id string, file io.Reader, size int64) (int, error) {
	splitter := newPartSplitter(file, command.Int("part-items"), command.Int("part-bytes"))
	bar := newProgress(a.streams.Err, "bytes sent", size)
	var sent int64
	for part := 0; ; part++ {
		body, err := splitter.next()
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
			return part, fmt.Errorf("part %d, which begins at line %d: %w", part, splitter.firstLine, err)
		}
		sent += int64(len(body))
		bar.update(sent)
	}
}

// partSplitter divides NDJSON lines into parts.
type partSplitter struct {
	lines     *bufio.Scanner
	maxItems  int
	maxBytes  int
	pending   []byte // line that did not fit into the last part
	line      int    // number of lines read so far
	firstLine int    // number, from 1, of the first line of the last part
}

func newPartSplitter(file io.Reader, maxItems, maxBytes int) *partSplitter {
	lines := bufio.NewScanner(file)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	return &partSplitter{lines: lines, maxItems: max(maxItems, 1), maxBytes: maxBytes}
}

// next returns the lines of the next part, or io.EOF after the last part.
func (p *partSplitter) next() ([]byte, error) {
	var part bytes.Buffer
	items := 0
	for items < p.maxItems {
		line, err := p.nextLine()
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

// nextLine returns the next line that is not blank, or io.EOF.
func (p *partSplitter) nextLine() ([]byte, error) {
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
