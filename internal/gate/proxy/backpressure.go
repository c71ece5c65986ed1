package proxy

import (
	"errors"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/buffers"
	"slateway.example/slateway/internal/route"
)

const (
	// reserveStep is the least that a flight reserves at once, so that most answers reserve
	// once. A longer answer reserves an eighth of its size at once.
	reserveStep  = 8 << 10
	reserveShare = 8
	// keepReserved is how much unused memory a flight keeps before it returns some.
	keepReserved = 64 << 10
	// resumeShare: the gate reads on when this part of UnreadBytes has been read, so
	// that it neither pauses for each event nor leaves the replica waiting for long.
	resumeShare = 8
	// unreadSteps is how often a paused attempt checks within UnreadTimeout whether the
	// caller has read. If the process is paused, its callers lose one step only.
	unreadSteps = 8
	// roomPoll is how often an attempt that waits for memory tries again, and slowRoomPoll
	// how often if the caller has not read what it was sent. There may be hundreds of those.
	roomPoll     = 25 * time.Millisecond
	slowRoomPoll = 200 * time.Millisecond
)

// errNoRoom means that there is no memory for a part of an answer now.
var errNoRoom = errors.New("no memory for the answer")

// unreadLocked returns how much of the stream waits for the caller. f.mu must be held.
func (f *flight) unreadLocked() int { return f.pending.Len() + f.delivering }

func (f *flight) hasUnread() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unreadLocked() > 0
}

// usedLocked returns the bytes held for the answer. f.mu must be held.
func (f *flight) usedLocked() int { return f.unreadLocked() + f.text.Len() + f.whole }

// reserveLocked reserves memory for n more bytes of the answer, and reports whether
// there is room. f.mu must be held.
func (f *flight) reserveLocked(n int) bool {
	missing := f.usedLocked() + n - f.reserved
	if missing <= 0 {
		return true
	}
	step := max(missing, f.reserved/reserveShare)
	step = (step + reserveStep - 1) / reserveStep * reserveStep
	if !f.memory.ReserveResponse(int64(step)) {
		return false
	}
	f.reserved += step
	return true
}

// returnLocked returns memory that is not used any more. f.mu must be held.
func (f *flight) returnLocked() {
	if unused := f.reserved - f.usedLocked(); unused > keepReserved {
		f.reserved -= unused - reserveStep
		f.memory.ReturnResponse(int64(unused - reserveStep))
	}
}

// resumeLocked lets paused attempts read on when enough was read. f.mu must be held.
func (f *flight) resumeLocked() {
	limit := f.shard.router.options.UnreadBytes
	if f.resumed != nil && f.unreadLocked() <= limit-limit/resumeShare {
		close(f.resumed)
		f.resumed = nil
	}
}

// pause returns a channel that is closed when the caller has read enough, or nil if no
// more waits for the caller than may.
func (f *flight) pause() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.finished || f.unreadLocked() <= f.shard.router.options.UnreadBytes {
		return nil
	}
	if f.resumed == nil {
		f.resumed = make(chan struct{})
	}
	return f.resumed
}

// end ends the answer early: nothing more of it is delivered. A stream that its replica
// has completed fails too if its caller has not got all of it.
func (f *flight) end(err *apierr.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.finished && f.err == nil && f.unreadLocked() > 0 {
		f.err = err
	}
	f.pending.Reset()
	f.finishLocked(err)
}

// deliver adds an event to the answer. While there is no room for it, or too much waits
// for the caller, it blocks, so that the attempt reads nothing from the replica.
func (a *attempt) deliver(e *Event) error {
	err := a.flight.addEvent(a, e)
	if errors.Is(err, errNoRoom) {
		err = a.awaitRoom(func() error { return a.flight.addEvent(a, e) })
	}
	if err != nil || e.Done || !a.mustPause {
		return err
	}
	return a.awaitReader()
}

// awaitReader blocks while too much of the stream waits for the caller. It ends the
// answer when the caller reads nothing for UnreadTimeout meanwhile.
func (a *attempt) awaitReader() error {
	f := a.flight
	resumed := f.pause()
	if resumed == nil {
		return nil
	}
	defer a.pauseReading()()
	ticker := time.NewTicker(f.shard.router.options.UnreadTimeout / unreadSteps)
	defer ticker.Stop()
	last := f.memory.LastTaken()
	for idle := 0; idle < unreadSteps; idle++ {
		select {
		case <-resumed:
			return nil
		case <-a.ctx.Done():
			return errAttemptStopped
		case <-ticker.C:
		}
		if taken := f.memory.LastTaken(); taken != last {
			last, idle = taken, -1
		}
	}
	f.memory.EndSlowReader()
	return errAttemptStopped
}

// awaitRoom repeats try, which returns errNoRoom while there is no memory. An item of a
// job gives up after UnreadTimeout, so that items that wait for each other's memory end.
func (a *attempt) awaitRoom(try func() error) error {
	defer a.pauseReading()()
	poll := roomPoll
	if a.flight.hasUnread() {
		poll = slowRoomPoll
	}
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	began := time.Now()
	for {
		select {
		case <-a.ctx.Done():
			return errAttemptStopped
		case <-ticker.C:
		}
		if err := try(); !errors.Is(err, errNoRoom) {
			return err
		}
		if a.flight.request.Class == route.Batch && time.Since(began) >= a.flight.shard.router.options.UnreadTimeout {
			a.flight.finish(apierr.New(apierr.Unavailable, buffers.ReasonFull, "run it again, or on another gate",
				"the memory that this gate has for requests is used up").WithRan(apierr.RanUnknown))
			return errAttemptStopped
		}
	}
}

// pauseReading reports that the attempt reads nothing from its replica for now, so that
// it is not taken for stalled. The function that it returns reports that it reads again.
func (a *attempt) pauseReading() func() {
	a.step(route.Paused{Attempt: a.id, Paused: true})
	return func() {
		f := a.flight
		f.mu.Lock()
		f.lastEventAt = time.Time{} // the pause is not one of the replica
		f.mu.Unlock()
		a.step(route.Paused{Attempt: a.id})
	}
}

// reserveWhole reserves memory for n more bytes of a whole answer.
func (a *attempt) reserveWhole(n int) error {
	f := a.flight
	try := func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.reserveLocked(n) {
			return errNoRoom
		}
		f.whole += n
		a.whole += n
		return nil
	}
	err := try()
	if errors.Is(err, errNoRoom) {
		err = a.awaitRoom(try)
	}
	return err
}

// returnWhole returns n bytes that reserveWhole has reserved.
func (a *attempt) returnWhole(n int) {
	f := a.flight
	f.mu.Lock()
	defer f.mu.Unlock()
	f.whole -= n
	a.whole -= n
	f.returnLocked()
}
