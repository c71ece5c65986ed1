package fleet

import (
	"sync"

	"slateway.example/slateway/internal/member"
)

// handlers holds the registered event handlers. They are called one at a time, in the
// order of the events, without a lock held.
type handlers struct {
	digests map[member.DigestKind]func(vm string, data []byte)
	sums    map[member.DigestKind]func(place, publisher string, data []byte)
	directs map[member.DigestKind]func(vm string, data []byte)
	states  []func(vm string, state member.State)
}

// OnDigest registers fn for digests of a kind from other VMs of the own place.
func (f *Fleet) OnDigest(kind member.DigestKind, fn func(vm string, data []byte)) {
	if f.handlers.digests == nil {
		f.handlers.digests = map[member.DigestKind]func(string, []byte){}
	}
	f.handlers.digests[kind] = fn
}

// OnSum registers fn for sums of a kind from other places.
func (f *Fleet) OnSum(kind member.DigestKind, fn func(place, publisher string, data []byte)) {
	if f.handlers.sums == nil {
		f.handlers.sums = map[member.DigestKind]func(string, string, []byte){}
	}
	f.handlers.sums[kind] = fn
}

// OnDirect registers fn for direct messages of a kind.
func (f *Fleet) OnDirect(kind member.DigestKind, fn func(vm string, data []byte)) {
	if f.handlers.directs == nil {
		f.handlers.directs = map[member.DigestKind]func(string, []byte){}
	}
	f.handlers.directs[kind] = fn
}

// OnState adds fn to the handlers of changes of a VM's state, readiness or draining.
func (f *Fleet) OnState(fn func(vm string, state member.State)) {
	f.handlers.states = append(f.handlers.states, fn)
}

func (f *Fleet) dispatchLoop() {
	for {
		event, ok := f.events.next()
		if !ok {
			return
		}
		f.dispatch(event)
	}
}

func (f *Fleet) dispatch(event member.Event) {
	switch event.Kind {
	case member.StateChanged:
		for _, fn := range f.handlers.states {
			fn(event.VM, event.State)
		}
	case member.DigestChanged:
		if fn := f.handlers.digests[event.Digest]; fn != nil {
			fn(event.VM, event.Data)
		}
	case member.SumChanged:
		if fn := f.handlers.sums[event.Digest]; fn != nil {
			fn(event.Place, event.VM, event.Data)
		}
	case member.DirectReceived:
		if fn := f.handlers.directs[event.Digest]; fn != nil {
			fn(event.VM, event.Data)
		}
	}
}

// eventQueue passes events from the node to the dispatcher. It allows handlers to call the
// Fleet, and prevents a slow handler from delaying probes.
type eventQueue struct {
	mu      *sync.Mutex
	changed *sync.Cond
	events  []member.Event
	closed  bool
}

func newEventQueue() eventQueue {
	mu := &sync.Mutex{}
	return eventQueue{mu: mu, changed: sync.NewCond(mu)}
}

func (q *eventQueue) add(events []member.Event) {
	if len(events) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.events = append(q.events, events...)
	q.changed.Signal()
}

func (q *eventQueue) next() (member.Event, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.events) == 0 && !q.closed {
		q.changed.Wait()
	}
	if q.closed {
		return member.Event{}, false
	}
	event := q.events[0]
	q.events = q.events[1:]
	return event, true
}

func (q *eventQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.changed.Broadcast()
}
