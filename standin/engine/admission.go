package engine

import (
	"context"
	"slices"
)

// ticket is one place in the queue for a slot.
type ticket struct {
	admitted chan struct{}
}

// acquire waits for a slot, first in first out, and says whether it had to
// wait. It fails if ctx ends or the engine crashes first.
func (e *Engine) acquire(ctx context.Context) (queued bool, err error) {
	mine := &ticket{admitted: make(chan struct{})}
	e.mu.Lock()
	e.waiting = append(e.waiting, mine)
	e.admit()
	e.mu.Unlock()

	select {
	case <-mine.admitted:
		return false, nil
	default:
	}
	select {
	case <-mine.admitted:
		return true, nil
	case <-ctx.Done():
		e.abandon(mine)
		return true, context.Cause(ctx)
	case <-e.dead:
		e.abandon(mine)
		return true, errCrashed
	}
}

// release gives a slot back.
func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.admit()
}

// abandon leaves the queue, or gives back the slot that came meanwhile.
func (e *Engine) abandon(mine *ticket) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := slices.Index(e.waiting, mine); at >= 0 {
		e.waiting = slices.Delete(e.waiting, at, at+1)
	} else {
		e.running--
	}
	e.admit()
}

// admit gives free slots to the head of the queue. The caller holds e.mu.
func (e *Engine) admit() {
	for e.running < e.options.Slots && len(e.waiting) > 0 {
		close(e.waiting[0].admitted)
		e.waiting = e.waiting[1:]
		e.running++
	}
	e.recordLoad()
}
