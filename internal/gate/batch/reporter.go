package batch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/job"
)

const (
	// maxConcurrentReports is the number of groups of results sent concurrently.
	maxConcurrentReports = 4
	// reportRetryDelay is the delay before a failed report is sent again.
	reportRetryDelay = 200 * time.Millisecond
	// reportTimeout limits one attempt to report a group.
	reportTimeout = 10 * time.Second
)

// reporter reports results to the keepers in groups, which they sync to disk with a
// single write.
type reporter struct {
	options Options
	slots   chan struct{}
	ready   chan struct{} // receives a value when results are pending
	full    chan struct{} // receives a value when the pending results make a full group

	mu       sync.Mutex
	pending  []job.Result
	inFlight sync.WaitGroup
}

func newReporter(options Options) *reporter {
	return &reporter{
		options: options,
		slots:   make(chan struct{}, maxConcurrentReports),
		ready:   make(chan struct{}, 1),
		full:    make(chan struct{}, 1),
	}
}

func (r *reporter) add(result job.Result) {
	r.mu.Lock()
	r.pending = append(r.pending, result)
	full := len(r.pending) >= r.options.ResultGroup
	r.mu.Unlock()
	signal(r.ready)
	if full {
		signal(r.full)
	}
}

// run reports groups until ctx ends. A group is sent when it is full, or ResultFlush
// after its first result.
func (r *reporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.ready:
		}
		timer := time.NewTimer(r.options.ResultFlush)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-r.full:
			timer.Stop()
		}
		r.flush(ctx)
	}
}

// flush sends the pending results. While too many groups are being sent, it only
// signals that results are pending, and the group grows meanwhile.
func (r *reporter) flush(ctx context.Context) {
	select {
	case r.slots <- struct{}{}:
	default:
		signal(r.ready)
		return
	}
	group := r.take()
	if len(group) == 0 {
		<-r.slots
		return
	}
	r.inFlight.Go(func() {
		defer func() { <-r.slots }()
		r.report(ctx, group)
	})
}

func (r *reporter) take() []job.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	group := r.pending
	r.pending = nil
	return group
}

// report sends a group until the keepers accept it, since the results are the only
// copy of finished work. The keepers drop duplicates.
func (r *reporter) report(ctx context.Context, group []job.Result) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, reportTimeout)
		err := r.options.Session.Complete(attempt, group)
		cancel()
		if err == nil {
			return
		}
		r.options.Log.Warn("batch results not reported, will retry", zap.Int("results", len(group)), zap.Error(err))
		sleep(ctx, reportRetryDelay)
	}
}

// drainTimeout limits the last reports at shutdown. Items not reported by then are
// leased to another gate when the session ends.
const drainTimeout = 15 * time.Second

// drain reports all remaining results.
func (r *reporter) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if group := r.take(); len(group) > 0 {
		r.report(ctx, group)
	}
	done := make(chan struct{})
	go func() {
		r.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
