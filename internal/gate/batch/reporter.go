package batch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/job"
)

const (
	// maxConcurrentReports is how many groups of results are on their way at once.
	maxConcurrentReports = 4
	// reportRetryDelay is the pause before a group that was not taken is sent again.
	reportRetryDelay = 200 * time.Millisecond
	// reportTimeout bounds one attempt to report a group.
	reportTimeout = 10 * time.Second
)

// reporter gathers results into groups: the keepers sync a group with one write
// where they would sync each result alone.
type reporter struct {
	options Options
	slots   chan struct{}
	ready   chan struct{} // gets a value when results wait
	full    chan struct{} // gets a value when they make a group

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
	enough := len(r.pending) >= r.options.ResultGroup
	r.mu.Unlock()
	signal(r.ready)
	if enough {
		signal(r.full)
	}
}

// run reports groups until ctx ends. A group goes when it is full, or ResultFlush
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

// flush sends the results that wait. When enough groups are on their way, it asks
// to be called again, and the group grows meanwhile.
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

// report repeats a group until the keepers have taken it. The results are the
// only copy of work that was done; the keepers drop those they have already.
func (r *reporter) report(ctx context.Context, group []job.Result) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, reportTimeout)
		err := r.options.Session.Complete(attempt, group)
		cancel()
		if err == nil {
			return
		}
		r.options.Log.Warn("batch results not reported yet", zap.Int("results", len(group)), zap.Error(err))
		sleep(ctx, reportRetryDelay)
	}
}

// drainTimeout bounds the last reports at shutdown; what is not reported by
// then is leased to another gate when the session ends.
const drainTimeout = 15 * time.Second

// drain reports all that is left.
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
