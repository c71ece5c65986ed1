package ctl

import (
	"fmt"
	"io"
	"time"

	"github.com/schollz/progressbar/v3"
)

// progress shows how far a long task has come: a bar on a terminal, a line at
// each tenth elsewhere.
type progress struct {
	out     io.Writer
	name    string
	total   int64
	bar     *progressbar.ProgressBar // nil if out is no terminal
	started bool
	tenth   int64
}

// newProgress makes a progress for total units; -1 if that is not known.
func newProgress(out io.Writer, name string, total int64) *progress {
	shown := &progress{out: out, name: name, total: total}
	if isTerminal(out) {
		shown.bar = progressbar.NewOptions64(total,
			progressbar.OptionSetWriter(out),
			progressbar.OptionSetDescription(name),
			progressbar.OptionShowCount(),
			progressbar.OptionThrottle(100*time.Millisecond),
			progressbar.OptionOnCompletion(func() { fmt.Fprintln(out) }),
		)
	}
	return shown
}

// set shows that so many units are done.
func (p *progress) set(done int64) {
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
