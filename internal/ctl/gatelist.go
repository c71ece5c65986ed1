package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/urfave/cli/v3"
)

// gateList describes a command that asks several gates and prints one table of their answers.
type gateList[Row any] struct {
	path    string // of the call to each server
	subject string // what the optional argument names; empty: the command takes none
	keep    func(command *cli.Command, row *Row, argument string) bool
	compare func(a, b Row) int
	header  string
	write   func(w io.Writer, row *Row)
}

// list runs the command for gates that answer with a list of rows.
func (l *gateList[Row]) list(ctx context.Context, a *app, command *cli.Command) error {
	if err := l.checkArguments(command); err != nil {
		return err
	}
	answers, err := queryServers[[]Row](ctx, command, l.path)
	return l.print(a, command, slices.Concat(answers...), err)
}

// status runs the command for gates that answer with one row.
func (l *gateList[Row]) status(ctx context.Context, a *app, command *cli.Command) error {
	if err := l.checkArguments(command); err != nil {
		return err
	}
	rows, err := queryServers[Row](ctx, command, l.path)
	return l.print(a, command, rows, err)
}

func (l *gateList[Row]) checkArguments(command *cli.Command) error {
	switch {
	case l.subject == "" && command.Args().Len() > 0:
		return &UsageError{Message: command.FullName() + " takes no arguments"}
	case command.Args().Len() > 1:
		return &UsageError{Message: command.FullName() + " takes one " + l.subject + " at most"}
	}
	return nil
}

// print prints the rows, and reports the servers that did not answer.
func (l *gateList[Row]) print(a *app, command *cli.Command, rows []Row, failed error) error {
	if len(rows) == 0 && failed != nil {
		return failed
	}
	if l.keep != nil {
		rows = slices.DeleteFunc(rows, func(row Row) bool { return !l.keep(command, &row, command.Args().First()) })
	}
	slices.SortFunc(rows, l.compare)
	if failed != nil {
		fmt.Fprintln(a.streams.Err, "slatectl: not all gates answered:", failed)
	}
	raw, err := json.Marshal(rows)
	if err != nil {
		return err
	}
	return a.print(command, raw, func(w io.Writer) {
		fmt.Fprintln(w, l.header)
		for i := range rows {
			l.write(w, &rows[i])
		}
	})
}

// queryServers queries each server once. It returns the answers, and an error that joins
// the errors of the servers that did not answer.
func queryServers[Answer any](ctx context.Context, command *cli.Command, path string) ([]Answer, error) {
	var answers []Answer
	var failed []error
	for _, server := range command.StringSlice("server") {
		var answer Answer
		if _, err := NewClient([]string{server}, "", 0).get(ctx, path, nil, &answer); err != nil {
			failed = append(failed, err)
			continue
		}
		answers = append(answers, answer)
	}
	return answers, errors.Join(failed...)
}
