package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
	"golang.org/x/term"
)

// print writes a result to standard output: the server's JSON with --json, else text.
func (a *app) print(command *cli.Command, raw json.RawMessage, text func(w io.Writer)) error {
	if command.Bool("json") {
		_, err := fmt.Fprintln(a.streams.Out, string(trimNewline(raw)))
		return err
	}
	table := tabwriter.NewWriter(a.streams.Out, 0, 8, 2, ' ', 0)
	text(table)
	return table.Flush()
}

func trimNewline(raw []byte) []byte {
	for len(raw) > 0 && raw[len(raw)-1] == '\n' {
		raw = raw[:len(raw)-1]
	}
	return raw
}

// note writes a line that is not part of the result, such as an ID, to standard error.
func (a *app) note(format string, args ...any) {
	fmt.Fprintf(a.streams.Err, format+"\n", args...)
}

// isTerminal reports whether w is a terminal.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	return ok && term.IsTerminal(int(file.Fd()))
}
