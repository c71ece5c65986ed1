package daemon

import (
	"context"
	"time"
)

const (
	// readyPoll is how often a starting gate checks whether it is ready.
	readyPoll = 50 * time.Millisecond
	// upstreamSettleTime is the wait after the first upstream is known. By then every
	// other upstream has announced itself here or was relayed by another gate.
	upstreamSettleTime = 1500 * time.Millisecond
	// firstUpstreamTimeout limits the wait for a first upstream, since a site may have none.
	firstUpstreamTimeout = 5 * time.Second
)

// awaitReady marks the gate as ready for the directory once it can serve callers.
// If a restarted gate were listed as soon as it is alive, it would refuse callers
// with no_upstream until it has a configuration and upstreams, although every
// other gate could serve them.
func (g *gateRole) awaitReady(ctx context.Context) {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	var leasedAt, knownAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if g.access.Stale() {
				continue
			}
			leasedAt = timeOr(leasedAt, now)
			if len(g.router.Services()) > 0 {
				knownAt = timeOr(knownAt, now)
			}
			settled := !knownAt.IsZero() && now.Sub(knownAt) >= upstreamSettleTime
			if settled || (knownAt.IsZero() && now.Sub(leasedAt) >= firstUpstreamTimeout) {
				g.fleet.SetReady()
				return
			}
		}
	}
}

// timeOr returns first if it is set, else now.
func timeOr(first, now time.Time) time.Time {
	if first.IsZero() {
		return now
	}
	return first
}
