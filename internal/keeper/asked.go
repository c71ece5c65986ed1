package keeper

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/claim"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/workqueue"
)

const (
	// unaskedAfter is how long no gate must have leased from a queue with items, or waited to,
	// until the queue counts as unasked. Gates with free slots ask all the time.
	unaskedAfter = 500 * time.Millisecond
	// askedKept is how long the time of the last request is kept for a queue without items.
	askedKept = time.Minute
	// maxUnasked limits the unasked queues of one group in an answer.
	maxUnasked = 64
)

// askedQueues records at a leader when gates last asked for the items of each queue. It is not
// replicated; a new leader counts from its first look at a queue.
type askedQueues struct {
	mu     sync.Mutex
	asked  map[groupQueue]time.Time
	logged map[groupQueue]time.Time // unasked queues, and since when
}

type groupQueue struct {
	group uint32
	queue job.Queue
}

// unaskedQueue is a queue with items from which no gate leases.
type unaskedQueue struct {
	groupQueue
	since time.Time
}

func newAskedQueues() *askedQueues {
	return &askedQueues{asked: make(map[groupQueue]time.Time), logged: make(map[groupQueue]time.Time)}
}

// record records a lease request, or a wait for items.
func (a *askedQueues) record(group uint32, wants []job.QueueDemand, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, want := range wants {
		if want.Max > 0 {
			a.asked[groupQueue{group, want.Queue}] = now
		}
	}
}

// unasked returns those of a group's queues with items that no gate asks for. isAwaited reports
// whether a gate waits for items of a queue.
func (a *askedQueues) unasked(group uint32, ready []job.Queue, isAwaited func(job.Queue) bool, now time.Time) (found []unaskedQueue) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, queue := range ready {
		key := groupQueue{group, queue}
		last, known := a.asked[key]
		if !known || isAwaited(queue) {
			a.asked[key] = now
			continue
		}
		if now.Sub(last) >= unaskedAfter && len(found) < maxUnasked {
			found = append(found, unaskedQueue{groupQueue: key, since: last})
		}
	}
	return found
}

// changes returns the queues that are unasked since the last call, and those that are no longer,
// and forgets requests for queues that had no items for long.
func (a *askedQueues) changes(now time.Time, current []unaskedQueue) (began, ended []unaskedQueue) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, since := range a.logged {
		if !slices.ContainsFunc(current, func(q unaskedQueue) bool { return q.groupQueue == key }) {
			delete(a.logged, key)
			ended = append(ended, unaskedQueue{groupQueue: key, since: since})
		}
	}
	for _, q := range current {
		if _, known := a.logged[q.groupQueue]; !known {
			a.logged[q.groupQueue] = q.since
			began = append(began, q)
		}
	}
	for key, at := range a.asked {
		if _, unasked := a.logged[key]; !unasked && now.Sub(at) > askedKept {
			delete(a.asked, key)
		}
	}
	return began, ended
}

// unaskedIn returns the queues of a group that this VM leads from which no gate leases.
func (s *Service) unaskedIn(group uint32, machine *JobMachine, now time.Time) []unaskedQueue {
	var ready []job.Queue
	machine.read(func(jobs *job.Table, _ *claim.Table) { ready = jobs.ReadyQueues() })
	return s.asked.unasked(group, ready, func(q job.Queue) bool { return s.offers.isAwaited(group, q) }, now)
}

// reportUnasked publishes and logs the queues of the groups that this VM leads from which no gate
// leases.
func (s *Service) reportUnasked(now time.Time) {
	var current []unaskedQueue
	items := 0
	for i, machine := range s.options.Jobs {
		group := uint32(i) + 1
		if _, leads := s.termOf(group); !leads {
			continue
		}
		for _, q := range s.unaskedIn(group, machine, now) {
			current = append(current, q)
			items += machine.readyItems(q.queue, maxReadyCount)
		}
	}
	s.options.Metrics.Set("keeper.queues.unasked", int64(len(current)))
	s.options.Metrics.Set("keeper.items.unasked", int64(items))
	began, ended := s.asked.changes(now, current)
	for _, q := range began {
		s.options.Log.Warn("items wait, and no gate asks for their queue", zap.Stringer("queue", workqueue.Parse(q.queue)), zap.Uint32("group", q.group),
			zap.Int("items", s.options.Jobs[q.group-1].readyItems(q.queue, maxReadyCount)), zap.Duration("for", now.Sub(q.since)))
	}
	for _, q := range ended {
		s.options.Log.Info("the queue is asked for again, or has no more items", zap.Stringer("queue", workqueue.Parse(q.queue)), zap.Uint32("group", q.group),
			zap.Duration("after", now.Sub(q.since)))
	}
}

// maxReadyCount limits the count of waiting items in gauges and logs.
const maxReadyCount = 1_000_000
