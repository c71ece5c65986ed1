package account

import (
	"io"
	"slices"
	"strings"
	"time"
)

// Ledger takes in log lines and keeps the account. Requests are held one by one only
// until they end. Of batch items some counts each are held to the end: several gates
// run an item, and their logs may be read in any order.
type Ledger struct {
	pause time.Duration
	open  map[requestKey]*request
	items map[string]*item

	start   time.Time // of the first line
	rows    map[rowKey]*Row
	seconds map[secondKey]int
	batch   Batch // of runs; what is counted by item comes with the report
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

// keptForeign bounds the foreign lines that are named; all are counted.
const keptForeign = 20

// NewLedger makes an empty ledger. A stream counts as paused if two of its events are
// further apart than pause; 0: than its route says.
func NewLedger(pause time.Duration) *Ledger {
	return &Ledger{
		pause: pause,
		open:  map[requestKey]*request{}, items: map[string]*item{},
		rows: map[rowKey]*Row{}, seconds: map[secondKey]int{},
	}
}

// Read takes in the lines of one process, in their order. VM is the process's name
// where its lines do not say it.
func (l *Ledger) Read(vm string, from io.Reader) error {
	process := &process{ledger: l, vm: vm}
	err := read(vm, from, process.take, l.noteForeign)
	process.end()
	return err
}

func (l *Ledger) noteForeign(f LineError) {
	l.unread++
	if len(l.foreign) < keptForeign {
		l.foreign = append(l.foreign, f)
	}
}

// process is one process's file while it is read.
type process struct {
	ledger *Ledger
	vm     string
}

func (p *process) take(in *line) {
	l := p.ledger
	if l.start.IsZero() || in.Time.Before(l.start) {
		l.start = in.Time
	}
	switch {
	case in.Message == msgServing:
		p.end() // what an earlier run of the process had is lost
		if in.VM != "" {
			p.vm = in.VM
		}
	case in.Request == "":
	case in.Job != "" && in.Message == msgItemEnds:
		l.takeItem(in.Job+"/"+in.Request, in)
	case isItem(in.Request):
		l.takeItem(in.Request, in)
	default:
		p.takeRequest(in)
	}
}

// isItem says whether an attempt's ID is that of a batch item: of its job, a slash and
// its own.
func isItem(id string) bool { return strings.Contains(id, "/") }

func (p *process) takeRequest(in *line) {
	key := requestKey{p.vm, in.Request}
	if in.Message == msgRouted {
		p.ledger.open[key] = newRequest(p.vm, in, p.ledger.pause)
		return
	}
	r := p.ledger.open[key]
	if r == nil {
		p.unrouted(in)
		return
	}
	switch in.Message {
	case msgAttempt:
		r.queued += time.Duration(in.Queued)
		r.current = in
	case msgFailed, msgStopped:
		r.loses(in)
	case msgAnswered:
		p.close(key, r, r.answered(in))
	case msgRefused:
		p.close(key, r, r.ended(Cause(RefusedPrefix+in.Reason), time.Duration(in.After)))
	case msgBrokenOff:
		p.close(key, r, r.ended(Cut, time.Duration(in.After)))
	case msgLeft:
		p.close(key, r, r.ended(CallerLeft, time.Duration(in.After)))
	}
}

// unrouted counts a request that was refused before its route was known.
func (p *process) unrouted(in *line) {
	if in.Message == msgRefused {
		p.ledger.count(&request{at: in.Time, vm: p.vm}, verdict{cause: Cause(RefusedPrefix + in.Reason)})
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

// loses notes an attempt that gave no answer. One that was stopped since another one
// answered, or to go on elsewhere, lost nothing.
func (r *request) loses(in *line) {
	if in.Message == msgStopped && in.Reason != "silent" && in.Reason != "died" {
		return
	}
	r.lost = append(r.lost, verdict{cause: causeOfFailure(in.Reason), replica: in.Upstream, took: time.Duration(in.After)})
}

func (p *process) close(key requestKey, r *request, v verdict) {
	delete(p.ledger.open, key)
	p.ledger.count(r, v)
}

// end closes what the process has left open: it was stopped, or its log ends there.
func (p *process) end() {
	for key, r := range p.ledger.open {
		if key.vm == p.vm {
			p.close(key, r, verdict{cause: GateLost})
		}
	}
}

func (l *Ledger) count(r *request, v verdict) {
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

// item is what the lines say of a batch item.
type item struct {
	runs   int
	starts int // of them, runs from the start of the answer
	done   bool
	late   bool
}

func (l *Ledger) takeItem(id string, in *line) {
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
		if in.Outcome == "succeeded" { // otherwise another gate goes on with it, or it has failed
			found.done = true
			found.late = found.late || in.Late > 0
		}
	}
}

// batchNow gives the account of the items so far.
func (l *Ledger) batchNow() Batch {
	b := l.batch
	for _, found := range l.items {
		b.count(found)
	}
	b.lengths = slices.Sorted(slices.Values(b.lengths))
	b.MedianStopped = middle(b.lengths)
	return b
}

func (b *Batch) count(i *item) {
	if !i.done {
		b.Unfinished++
		return
	}
	b.Items++
	b.Runs += i.runs
	b.Anew += max(0, i.starts-1)
	if i.runs > 1 {
		b.SeveralRuns++
	}
	if i.late {
		b.Late++
	}
}

// Report gives the account so far.
func (l *Ledger) Report() *Report {
	report := &Report{Start: l.start, Batch: l.batchNow(), Unread: l.unread, Foreign: l.foreign}
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

func middle(sorted []time.Duration) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/2]
}

// Open counts the requests whose end has not been read.
func (l *Ledger) Open() int { return len(l.open) }
