package account

import (
	"io"
	"slices"
	"strings"
	"time"
)

// Ledger reads log lines and counts requests by cause. A request is kept in memory
// only until it ends. Each batch item is kept until the report as a few counters,
// because several gates may run an item and their logs may be read in any order.
type Ledger struct {
	pause time.Duration
	open  map[requestKey]*request
	items map[string]*item

	start   time.Time // time of the earliest line
	rows    map[rowKey]*Row
	seconds map[secondKey]int
	batch   Batch // counters of runs only; Report adds the counters of items
	foreign []LineError
	unread  int
}

type requestKey struct{ vm, id string }

type rowKey struct {
	cause   Cause
	route   string
	replica string
}

type secondKey struct {
	second int
	cause  Cause
}

// maxListedForeign is the maximum number of unreadable lines that are listed; all of them
// are counted.
const maxListedForeign = 20

// NewLedger returns an empty ledger. A stream counts as paused if two of its events
// are further apart than pause, or, if pause is 0, than its route allows.
func NewLedger(pause time.Duration) *Ledger {
	return &Ledger{
		pause: pause,
		open:  map[requestKey]*request{}, items: map[string]*item{},
		rows: map[rowKey]*Row{}, seconds: map[secondKey]int{},
	}
}

// Read reads the log of one process. vm is the name of the process until a line of
// the log names it.
func (l *Ledger) Read(vm string, from io.Reader) error {
	process := &process{ledger: l, vm: vm}
	err := read(vm, from, process.apply, l.recordForeign)
	process.closeOpen()
	return err
}

func (l *Ledger) recordForeign(f LineError) {
	l.unread++
	if len(l.foreign) < maxListedForeign {
		l.foreign = append(l.foreign, f)
	}
}

// process is the state for reading the log of one process.
type process struct {
	ledger *Ledger
	vm     string
}

func (p *process) apply(in *line) {
	l := p.ledger
	if l.start.IsZero() || in.Time.Before(l.start) {
		l.start = in.Time
	}
	switch {
	case in.Message == msgServing:
		p.closeOpen() // the process restarted: the requests of its earlier run are lost
		if in.VM != "" {
			p.vm = in.VM
		}
	case in.Request == "":
	case in.Job != "" && in.Message == msgItemEnds:
		l.applyToItem(in.Job+"/"+in.Request, in)
	case isItem(in.Request):
		l.applyToItem(in.Request, in)
	default:
		p.applyToRequest(in)
	}
}

// isItem reports whether the ID of an attempt is that of a batch item, which is
// the job's ID, a slash and the item's own ID.
func isItem(id string) bool { return strings.Contains(id, "/") }

func (p *process) applyToRequest(in *line) {
	key := requestKey{p.vm, in.Request}
	if in.Message == msgRouted {
		p.ledger.open[key] = newRequest(p.vm, in, p.ledger.pause)
		return
	}
	r := p.ledger.open[key]
	if r == nil {
		p.countUnrouted(in)
		return
	}
	switch in.Message {
	case msgAttempt:
		r.queued += time.Duration(in.Queued)
		r.current = in
	case msgFailed, msgStopped:
		r.recordFailedAttempt(in)
	case msgAnswered:
		p.close(key, r, r.attributeAnswer(in))
	case msgRefused:
		p.close(key, r, r.attributeFailure(Cause(RefusedPrefix+in.Reason), time.Duration(in.After)))
	case msgBrokenOff:
		p.close(key, r, r.attributeFailure(BrokenOff, time.Duration(in.After)))
	case msgLeft:
		p.close(key, r, r.attributeFailure(CallerLeft, time.Duration(in.After)))
	}
}

// countUnrouted counts a request that was refused before it was routed.
func (p *process) countUnrouted(in *line) {
	if in.Message == msgRefused {
		p.ledger.count(&request{at: in.Time, vm: p.vm}, attribution{cause: Cause(RefusedPrefix + in.Reason)})
	}
}

func newRequest(vm string, in *line, pause time.Duration) *request {
	if pause == 0 {
		pause = time.Duration(in.MaxPause)
	}
	return &request{
		at: in.Time, vm: vm, route: in.Route, target: time.Duration(in.Target),
		maxPause: pause, waited: time.Duration(in.Waited),
	}
}

// recordFailedAttempt records an attempt without an answer. Attempts that were stopped because
// another one answered, or to resume elsewhere, are not failures.
func (r *request) recordFailedAttempt(in *line) {
	if in.Message == msgStopped && in.Reason != "silent" && in.Reason != "died" {
		return
	}
	r.failedAttempts = append(r.failedAttempts, attribution{cause: causeOfFailure(in.Reason), replica: in.Upstream, took: time.Duration(in.After)})
}

func (p *process) close(key requestKey, r *request, v attribution) {
	delete(p.ledger.open, key)
	p.ledger.count(r, v)
}

// closeOpen closes the open requests of the process with the cause GateLost, because the
// process was stopped or its log ends here.
func (p *process) closeOpen() {
	for key, r := range p.ledger.open {
		if key.vm == p.vm {
			p.close(key, r, attribution{cause: GateLost})
		}
	}
}

func (l *Ledger) count(r *request, v attribution) {
	key := rowKey{v.cause, r.route, ""}
	if v.cause != InTime {
		key.replica = v.replica
	}
	row := l.rows[key]
	if row == nil {
		row = &Row{Cause: v.cause, Route: r.route, Replica: key.replica}
		l.rows[key] = row
	}
	row.Requests++
	row.Took += v.took
	row.Longest = max(row.Longest, v.took)
	l.seconds[secondKey{int(r.at.Sub(l.start) / time.Second), v.cause}]++
}

// item holds the counters of a batch item.
type item struct {
	runs    int
	starts  int // those runs that began at the start of the answer
	done    bool
	overdue bool
}

func (l *Ledger) applyToItem(id string, in *line) {
	found := l.items[id]
	if found == nil {
		found = &item{}
		l.items[id] = found
	}
	switch in.Message {
	case msgAttempt:
		found.runs++
		if !in.Resume {
			found.starts++
		}
	case msgStopped:
		l.batch.Stopped++
		l.batch.lengths = append(l.batch.lengths, time.Duration(in.After))
	case msgFailed:
		l.batch.Failed++
	case msgItemEnds:
		if in.Outcome == "succeeded" { // otherwise another gate resumes it, or it has failed
			found.done = true
			found.overdue = found.overdue || in.Late > 0
		}
	}
}

// batchReport returns the counters of batch items so far.
func (l *Ledger) batchReport() Batch {
	b := l.batch
	for _, found := range l.items {
		b.count(found)
	}
	b.lengths = slices.Sorted(slices.Values(b.lengths))
	b.MedianStopped = median(b.lengths)
	return b
}

func (b *Batch) count(i *item) {
	if !i.done {
		b.Unfinished++
		return
	}
	b.Items++
	b.Runs += i.runs
	b.Restarts += max(0, i.starts-1)
	if i.runs > 1 {
		b.SeveralRuns++
	}
	if i.overdue {
		b.Late++
	}
}

// Report returns the report on the lines read so far.
func (l *Ledger) Report() *Report {
	report := &Report{Start: l.start, Batch: l.batchReport(), Unread: l.unread, Foreign: l.foreign}
	for _, row := range l.rows {
		report.Rows = append(report.Rows, *row)
	}
	slices.SortFunc(report.Rows, compareRows)
	for key, requests := range l.seconds {
		report.Seconds = append(report.Seconds, Second{Second: key.second, Cause: key.cause, Requests: requests})
	}
	slices.SortFunc(report.Seconds, compareSeconds)
	return report
}

func median(sorted []time.Duration) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/2]
}

// Open returns the number of requests whose end has not been read.
func (l *Ledger) Open() int { return len(l.open) }
