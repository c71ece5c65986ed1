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
		Usage:     "report from the processes' logs how many requests were not served in time, and why",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "pause", Usage: "`TIME` between two events above which a stream counts as paused; default: the limit of its route"},
			&cli.StringFlag{Name: "plot", Usage: "`FILE` (svg, png or pdf) for a plot of the requests not served in time, by second"},
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

// readLog reads the log of one process. The file's name is used as the name of the
// process until a line of the log names it.
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
	bar := newProgress(a.streams.Err, filepath.Base(path), info.Size())
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if err := ledger.Read(name, &progressReader{from: file, bar: bar}); err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	return nil
}

// progressReader is a reader that shows how much of a file has been read.
type progressReader struct {
	from io.Reader
	read int64
	bar  *progress
}

func (c *progressReader) Read(into []byte) (int, error) {
	n, err := c.from.Read(into)
	c.read += int64(n)
	c.bar.update(c.read)
	return n, err
}
