package proxy

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// BatchItem is one item of a batch job.
type BatchItem struct {
	ID                 string // unique among the items and requests in progress
	Team               string
	Owner              string // the team that its memory counts for; empty: Team
	Service            string
	Model              string
	Version            string
	Path               string // engine protocol path; empty: PathChat
	Plain              bool   // for a plain service: Body is posted to Path unchanged
	Body               []byte
	TargetTime         time.Time     // time by which the result should be available; zero: none
	ExpectedDuration   time.Duration // from start to end, of similar items; 0: unknown
	Deadline           time.Time     // zero: defaultBatchTimeout from now
	Repeatable         bool
	RetryUntilAnswered bool         // crashes of replicas that run it delay it but never end it
	Policy             route.Policy // zero: the router's default
	// Protocol sends the item; nil: built from Path, Plain and Body.
	Protocol Protocol
	// CheckLease returns an error once the gate may no longer run the item on Service. It
	// is called right before each attempt; nil: no check.
	CheckLease func() *apierr.Error
	// Reached is the event or token up to which earlier attempts have produced the
	// answer, and Text its text, which replicas of Build have written.
	Reached int
	Text    string
	Build   string
	// Save is called every SaveEvery with the part of the answer that is new since
	// the last call, if any; nil: never.
	Save      func(PartialAnswer)
	SaveEvery time.Duration
}

// PartialAnswer is the text of the events after From up to and including Reached. Build has
// written it and what is before it.
type PartialAnswer struct {
	From, Reached int
	Text          string
	Build         string
}

// BatchOutcome is how the run of an item ended.
type BatchOutcome string

// Outcomes of an item.
const (
	BatchDone   BatchOutcome = "done"    // Body is the whole answer
	BatchFailed BatchOutcome = "failed"  // Err is the reason
	BatchNotRun BatchOutcome = "not_run" // it may be returned and run elsewhere; Err is the reason
)

// BatchResult is the result of running an item.
type BatchResult struct {
	Outcome BatchOutcome
	Status  int    // the upstream's HTTP status, when done
	Body    []byte // the upstream's answer when done, else the part received
	Reached int    // last event or token in Body, when not done
	Build   string // that wrote Body, when not done
	Err     *apierr.Error
}

// defaultBatchTimeout limits an item without a deadline.
const defaultBatchTimeout = 24 * time.Hour

// RunBatch runs an item in slots that online requests leave free and returns when
// it has ended. It waits for a free slot, resumes after preemptions and retries
// failures that may be retried. When ctx ends, the item is stopped; RunBatch then
// returns the part of the answer received and the error of ctx.
func (r *Router) RunBatch(ctx context.Context, item BatchItem) (BatchResult, error) {
	s := r.findShard(item.Service)
	if s == nil {
		return BatchResult{Outcome: BatchNotRun, Err: unknownService(item.Service)}, nil
	}
	request := r.batchRequest(&item)
	protocol := item.Protocol
	if protocol == nil {
		protocol = newBatchProtocol(&item)
	}
	request.Resumable = protocol.Resumable()
	request.Kind = protocol.Kind()
	request.Parts = protocol.PromptParts()
	if err := protocol.Check(); err != nil {
		return BatchResult{Outcome: BatchFailed, Err: err}, nil
	}
	memory := r.options.Memory.NewRequest(cmp.Or(item.Owner, item.Team), item.ID)
	defer memory.Release()
	if err := memory.Admit(int64(len(item.Body) + len(item.Text))); err != nil {
		return BatchResult{Outcome: BatchNotRun, Err: err}, nil
	}
	flight := newFlight(s, request, protocol, memory)
	flight.checkLease = item.CheckLease
	if item.Reached > flight.tokens {
		flight.tokens = item.Reached
		flight.text.WriteString(item.Text)
		flight.build = item.Build
	}
	r.options.Metrics.Count(CountBatchStarted)
	s.add(flight)
	defer flight.attempts.Wait()
	defer s.remove(flight)
	saver := newPartialSaver(&item, flight)
	defer saver.stop()
	for !flight.isFinished() {
		select {
		case <-ctx.Done():
			return flight.stoppedResult(), ctx.Err()
		case <-flight.wake:
		case <-saver.due:
			saver.save()
		}
	}
	return r.batchResult(flight), nil
}

func (f *flight) hasRestarted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restarted
}

// partialSaver saves an item's answer in parts as it grows.
type partialSaver struct {
	flight   *flight
	saveFunc func(PartialAnswer)
	due      <-chan time.Time
	stop     func()

	reached, length int // events and bytes saved so far
}

func newPartialSaver(item *BatchItem, f *flight) *partialSaver {
	s := &partialSaver{flight: f, saveFunc: item.Save, stop: func() {}, reached: item.Reached, length: len(item.Text)}
	if item.Save != nil && item.SaveEvery > 0 && f.protocol.Resumable() {
		ticker := time.NewTicker(item.SaveEvery)
		s.due, s.stop = ticker.C, ticker.Stop
	}
	return s
}

func (s *partialSaver) save() {
	reached, text := s.flight.resumePoint()
	build, confirmed := s.flight.writer()
	if !confirmed {
		return
	}
	if s.flight.hasRestarted() {
		// The text does not continue the parts already saved; joined, they would mix
		// the answers of two runs.
		s.stop()
		return
	}
	if reached <= s.reached || len(text) <= s.length {
		return
	}
	s.saveFunc(PartialAnswer{From: s.reached, Reached: reached, Text: text[s.length:], Build: build})
	s.reached, s.length = reached, len(text)
}

func (r *Router) batchRequest(item *BatchItem) route.Request {
	setDefault(&item.Path, PathChat)
	if item.Deadline.IsZero() {
		item.Deadline = time.Now().Add(defaultBatchTimeout)
	}
	setDefault(&item.Policy, r.options.Policy)
	return route.Request{
		ID:                 item.ID,
		Team:               item.Team,
		Class:              route.Batch,
		Model:              item.Model,
		Version:            item.Version,
		UsefulUntil:        item.TargetTime,
		ExpectedRunTime:    item.ExpectedDuration,
		Deadline:           item.Deadline,
		Fingerprint:        upstream.FingerprintOf(item.Service, item.Body),
		Repeatable:         item.Repeatable,
		Reached:            item.Reached,
		Build:              item.Build,
		RetryUntilAnswered: item.RetryUntilAnswered,
		Policy:             item.Policy,
	}
}

func newBatchProtocol(item *BatchItem) *httpProtocol {
	if item.Plain && item.Path != PathChat && item.Path != PathCompletions {
		header := http.Header{"Content-Type": {"application/json"}}
		return newServiceProtocol(http.MethodPost, item.Path, header, item.Body)
	}
	return newEngineProtocol(item.Path, item.Body, false)
}

func (f *flight) isFinished() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finished
}

func (r *Router) batchResult(f *flight) BatchResult {
	answer, err := f.outcome()
	if err == nil {
		r.options.Metrics.Count(CountBatchDone)
		r.options.Metrics.Observe(MetricBatchItem, time.Since(f.started))
		return BatchResult{Outcome: BatchDone, Status: answer.Status, Body: answer.Body}
	}
	return f.unansweredResult(err)
}

// unansweredResult returns the result of an item that ended with err.
func (f *flight) unansweredResult(err *apierr.Error) BatchResult {
	result := BatchResult{Outcome: BatchFailed, Err: err}
	if mayReturn(&f.request, err) {
		result.Outcome = BatchNotRun
	}
	if build, confirmed := f.writer(); confirmed && f.protocol.Resumable() {
		reached, text := f.resumePoint()
		result.Reached, result.Body, result.Build = reached, []byte(text), build
	}
	return result
}

// ReasonStopped is the reason of items that their gate has stopped.
const ReasonStopped apierr.Reason = "stopped"

// stoppedResult returns the result of an item that its gate stops.
func (f *flight) stoppedResult() BatchResult {
	err := apierr.New(apierr.Unavailable, ReasonStopped, "run it again", "the gate stopped the item before it was done")
	if f.wasAttempted() {
		return f.unansweredResult(err.WithRan(apierr.RanUnknown))
	}
	return f.unansweredResult(err.WithRan(apierr.RanNo))
}

// mayReturn reports whether an item that ended with err may be run elsewhere: the
// cause is temporary, in the gate or its upstreams, and the item may run again.
func mayReturn(request *route.Request, err *apierr.Error) bool {
	passing := err.Kind == apierr.Unavailable || err.Kind == apierr.Overloaded
	return passing && (err.Ran == apierr.RanNo || request.Repeatable)
}
