package limit

import "time"

// overdueTurn gives overdue asks one credit in this many while the asks that can still be
// answered in time use the cap up. It equals the turn of overdue requests in a gate's queue.
const overdueTurn = 4

const (
	// minRateWindow is the shortest time over which the rate of asks is measured. At low
	// rates the window spans overdueTurn credits, because one ask within a second would
	// otherwise exceed any cap below one request per second.
	minRateWindow = time.Second
	// maxRateWindow keeps the window of a tiny rate from overflowing a duration.
	maxRateWindow   = 24 * time.Hour
	rateWindowParts = 10
)

// askRate counts asks over a sliding window.
type askRate struct {
	parts  [rateWindowParts]int
	newest int64 // number of the newest part since 1970
	total  int
}

func rateWindow(c Cap) time.Duration {
	seconds := min(overdueTurn/c.Rate, maxRateWindow.Seconds())
	return max(minRateWindow, time.Duration(seconds*float64(time.Second)))
}

func (r *askRate) advance(now time.Time, window time.Duration) {
	part := now.UnixNano() / int64(window/rateWindowParts)
	// A shorter window after a change of the cap numbers the parts anew.
	passed := part - r.newest
	if passed < 0 || passed > rateWindowParts {
		passed = rateWindowParts
	}
	for range passed {
		r.newest++
		oldest := &r.parts[r.newest%rateWindowParts]
		r.total -= *oldest
		*oldest = 0
	}
	r.newest = part
}

func (r *askRate) add() {
	r.parts[r.newest%rateWindowParts]++
	r.total++
}

// contention decides which asks of a team get its credits when the asks that can still be
// answered in time use the cap up. Without it, callers that were refused and come back too
// late take credits that new callers could have used in time.
type contention struct {
	inTime      askRate
	lastOverdue time.Time // time of the last overdue ask
	// grantsSinceOverdue counts the credits since the last one of an overdue ask.
	grantsSinceOverdue int
	// promised is the number of overdue asks that were refused and told a time that has
	// not come yet.
	promised float64
}

// countAsk adds an ask to the measured rate.
func (c *contention) countAsk(now time.Time, limit Cap, overdue bool) {
	c.inTime.advance(now, rateWindow(limit))
	if overdue {
		c.lastOverdue = now
	} else {
		c.inTime.add()
	}
}

// overdueWaits reports whether overdue asks came within the last window, so that one of
// them is likely to use its turn.
func (c *contention) overdueWaits(now time.Time, limit Cap) bool {
	return !c.lastOverdue.IsZero() && now.Sub(c.lastOverdue) < rateWindow(limit)
}

func (c *contention) countGrant(overdue bool) {
	if overdue {
		c.grantsSinceOverdue = 0
	} else {
		c.grantsSinceOverdue++
	}
}

// contended reports whether the asks that can still be answered in time use the cap up. A
// team within its rate and burst always has its margin left, so it is never contended.
func (a *account) contended(now time.Time) bool {
	return a.accruesCredit(now) && a.credit < 1+a.margin/lowMarginDivisor &&
		float64(a.contention.inTime.total) >= a.cap.Rate*rateWindow(a.cap).Seconds()
}

// mayTake reports whether an ask may take a credit. In contention, overdue asks take turns,
// and the credit of a turn that is due is kept for them.
func (a *account) mayTake(now time.Time, overdue, contended bool) bool {
	if !contended {
		return a.credit >= 1
	}
	if overdue {
		return a.credit >= 1 && a.contention.turnDue()
	}
	return a.credit >= 1+a.reservedForOverdue(now)
}

func (c *contention) turnDue() bool { return c.grantsSinceOverdue >= overdueTurn-1 }

// reservedForOverdue returns the credit that is kept for the next overdue ask. At a rate of
// asks far above the cap, overdue ones would otherwise never find the credit of their turn.
func (a *account) reservedForOverdue(now time.Time) float64 {
	if a.contention.turnDue() && a.contention.overdueWaits(now, a.cap) {
		return 1
	}
	return 0
}

// scheduleOverdue returns the time until the turn that no other refused overdue ask was
// promised. The turns come with every overdueTurn-th credit.
func (a *account) scheduleOverdue() time.Duration {
	turns := max(0, overdueTurn-1-a.contention.grantsSinceOverdue)
	wait := a.timeToAccrue(max(0, 1-a.credit) + float64(turns) + a.contention.promised*overdueTurn)
	if wait < maxRetryDelay {
		a.contention.promised++
	}
	return wait
}
