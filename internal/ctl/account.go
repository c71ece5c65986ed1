package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"slateway.example/slateway/internal/account"
)

func (a *app) accountCommand() *cli.Command {
	return &cli.Command{
		Name:      "account",
		Usage:     "say from processes' logs what became of each request, and why it was not served in time",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "pause", Usage: "`TIME` between two events from which on a stream counts as paused; as its route says if not given"},
			&cli.StringFlag{Name: "plot", Usage: "`FILE` (svg, png or pdf) to draw the losses by the second to"},
		},
		Action: a.account,
	}
}

func (a *app) account(_ context.Context, command *cli.Command) error {
	files := command.Args().Slice()
	if len(files) == 0 {
		return &UsageError{Message: command.FullName() + " needs the log files of the site's processes"}
	}
	ledger := account.NewLedger(command.Duration("pause"))
	for _, file := range files {
		if err := a.readLog(ledger, file); err != nil {
			return err
		}
	}
	report := ledger.Report()
	if path := command.String("plot"); path != "" {
		if err := report.Plot(path); err != nil {
			return fmt.Errorf("draw %s: %w", path, err)
		}
	}
	if command.Bool("json") {
		return json.NewEncoder(a.streams.Out).Encode(report)
	}
	return report.Write(a.streams.Out)
}

// readLog takes in one process's log. Its name stands for the process where the lines
// do not say which it is.
func (a *app) readLog(ledger *account.Ledger, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return &UsageError{Message: err.Error()}
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	shown := newProgress(a.streams.Err, filepath.Base(path), info.Size())
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if err := ledger.Read(name, &counted{from: file, shown: shown}); err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	return nil
}

// counted shows how much of a file has been read.
type counted struct {
	from  io.Reader
	read  int64
	shown *progress
}

func (c *counted) Read(into []byte) (int, error) {
	n, err := c.from.Read(into)
	c.read += int64(n)
	c.shown.set(c.read)
	return n, err
}
