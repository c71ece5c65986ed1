package ctl

import (
	"fmt"
	"io"
	"time"

	"github.com/schollz/progressbar/v3"
)

// progress shows the progress of a long task: as a bar on a terminal, else as a line
// for each tenth.
type progress struct {
	out     io.Writer
	name    string
	total   int64
	bar     *progressbar.ProgressBar // nil if out is not a terminal
	started bool
	tenth   int64
}

// newProgress returns the progress display of a task with total units, or -1 if the
// total is not known.
func newProgress(out io.Writer, name string, total int64) *progress {
	p := &progress{out: out, name: name, total: total}
	if isTerminal(out) {
		p.bar = progressbar.NewOptions64(total,
			progressbar.OptionSetWriter(out),
			progressbar.OptionSetDescription(name),
			progressbar.OptionShowCount(),
			progressbar.OptionThrottle(100*time.Millisecond),
			progressbar.OptionOnCompletion(func() { fmt.Fprintln(out) }),
		)
	}
	return p
}

// update shows that done units are completed.
func (p *progress) update(done int64) {
	if p.bar != nil {
		_ = p.bar.Set64(done)
		return
	}
	if p.total <= 0 {
		return
	}
	tenth := done * 10 / p.total
	if p.started && tenth == p.tenth {
		return
	}
	p.started = true
	p.tenth = tenth
	fmt.Fprintf(p.out, "%s: %d of %d\n", p.name, done, p.total)
}
