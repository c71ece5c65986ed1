package daemon

import (
	"context"
	"time"
)

const (
	// readyPoll is how often a starting gate looks whether it is ready.
	readyPoll = 50 * time.Millisecond
	// readySettle is the wait after the first upstream is known: by then each
	// other one has announced itself, or another gate has spread it.
	readySettle = 1500 * time.Millisecond
	// readyWithout is the wait for a first upstream; a site may have none yet.
	readyWithout = 5 * time.Second
)

// awaitReady lets the gate be named to callers once it can serve them.
//
// Failure guarded against: a gate restarts, and the others name it as soon as
// they see it alive. It has no configuration or no upstream yet, and refuses the
// callers that are sent to it with no_upstream, though every other gate could
// have served them.
func (g *gateRole) awaitReady(ctx context.Context) {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	var leased, known time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if g.access.Stale() {
				continue
			}
			leased = orNow(leased, now)
			if len(g.router.Upstreams()) > 0 {
				known = orNow(known, now)
			}
			settled := !known.IsZero() && now.Sub(known) >= readySettle
			if settled || (known.IsZero() && now.Sub(leased) >= readyWithout) {
				g.fleet.SetReady()
				return
			}
		}
	}
}

// orNow keeps the first moment.
func orNow(first, now time.Time) time.Time {
	if first.IsZero() {
		return now
	}
	return first
}
