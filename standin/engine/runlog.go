package engine

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// maxLoggedRuns is the number of runs that are kept in memory. The counters also
// include later runs.
const maxLoggedRuns = 200_000

// maxLoggedPrompt is the number of leading bytes of a prompt that a log entry keeps.
const maxLoggedPrompt = 128

// Outcome is how a run ended.
type Outcome string

// Outcomes of a run.
const (
	OutcomeCompleted Outcome = "ran"       // all tokens were generated and written
	OutcomeCancelled Outcome = "cancelled" // cancelled, or the caller closed the connection
	OutcomeCrashed   Outcome = "crashed"   // the engine crashed during the run
)

// RunEntry is the log entry of a run, which is a request that got a slot.
type RunEntry struct {
	RequestID      string    `json:"request_id"`
	ItemID         string    `json:"item_id,omitempty"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Prompt         string    `json:"prompt"` // the first 128 bytes
	ResumeFrom     int       `json:"resume_from,omitempty"`
	Started        time.Time `json:"started"`
	// Waited is how long the request waited for its slot, in nanoseconds.
	Waited  time.Duration `json:"waited"`
	Ended   time.Time     `json:"ended,omitzero"`
	Outcome Outcome       `json:"outcome,omitempty"` // empty while it runs
	Tokens  int           `json:"tokens"`
}

// LogReport is the response body of GET /v1/log. It excludes requests that were
// cancelled before they got a slot, as they did not run.
type LogReport struct {
	Started   int64      `json:"started"`
	Ran       int64      `json:"ran"`
	Cancelled int64      `json:"cancelled"`
	Crashed   int64      `json:"crashed"`
	Runs      []RunEntry `json:"runs"`
}

type runLog struct {
	mu     sync.Mutex
	counts LogReport
	runs   []*RunEntry
	lines  *json.Encoder // writes the log file; nil if there is none
}

func newRunLog(file io.Writer) *runLog {
	log := &runLog{}
	if file != nil {
		log.lines = json.NewEncoder(file)
	}
	return log
}

func (l *runLog) start(entry *RunEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Started++
	if len(l.runs) < maxLoggedRuns {
		l.runs = append(l.runs, entry)
	}
	l.write(entry)
}

func (l *runLog) end(entry *RunEntry, outcome Outcome, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry.Ended = time.Now()
	entry.Outcome = outcome
	entry.Tokens = tokens
	switch outcome {
	case OutcomeCompleted:
		l.counts.Ran++
	case OutcomeCancelled:
		l.counts.Cancelled++
	case OutcomeCrashed:
		l.counts.Crashed++
	}
	l.write(entry)
}

func (l *runLog) write(entry *RunEntry) {
	if l.lines != nil {
		_ = l.lines.Encode(entry)
	}
}

func (l *runLog) report() LogReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.counts
	report.Runs = make([]RunEntry, len(l.runs))
	for i, entry := range l.runs {
		report.Runs[i] = *entry
	}
	return report
}
