package engine

import (
	"context"
	"slices"
)

// waiter is a request in the queue for a slot.
type waiter struct {
	admitted chan struct{} // closed once the request has a slot
}

// acquireSlot waits for a slot, in order of arrival, and reports whether it had to
// wait. It fails if ctx is cancelled or the engine crashes first.
func (e *Engine) acquireSlot(ctx context.Context) (queued bool, err error) {
	w := &waiter{admitted: make(chan struct{})}
	e.mu.Lock()
	e.waiting = append(e.waiting, w)
	e.admitWaiting()
	e.mu.Unlock()

	select {
	case <-w.admitted:
		return false, nil
	default:
	}
	select {
	case <-w.admitted:
		return true, nil
	case <-ctx.Done():
		e.cancelWait(w)
		return true, context.Cause(ctx)
	case <-e.done:
		e.cancelWait(w)
		return true, errCrashed
	}
}

// releaseSlot returns a slot and admits the next request.
func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.admitWaiting()
}

// cancelWait removes a waiter from the queue, or returns its slot if it was admitted
// in the meantime.
func (e *Engine) cancelWait(w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := slices.Index(e.waiting, w); at >= 0 {
		e.waiting = slices.Delete(e.waiting, at, at+1)
	} else {
		e.running--
	}
	e.admitWaiting()
}

// admitWaiting assigns free slots to the requests at the head of the queue. The
// caller holds e.mu.
func (e *Engine) admitWaiting() {
	for e.running < e.options.Slots && len(e.waiting) > 0 {
		close(e.waiting[0].admitted)
		e.waiting = e.waiting[1:]
		e.running++
	}
	e.recordLoad()
}
