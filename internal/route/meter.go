package route

import "time"

// delayMeter estimates a high quantile of a delay as its mean plus four deviations, as
// TCP does for its retransmission timeout (RFC 6298).
type delayMeter struct {
	mean, deviation time.Duration
}

// Weights of a new sample, as shifts: an eighth and a quarter.
const (
	meanShift      = 3
	deviationShift = 2
	deviations     = 4
)

func (m *delayMeter) observe(d time.Duration) {
	if m.mean == 0 {
		m.mean = d
		m.deviation = d / 2
		return
	}
	m.deviation += ((m.mean - d).Abs() - m.deviation) >> deviationShift
	m.mean += (d - m.mean) >> meanShift
}

func (m *delayMeter) upperBound() time.Duration { return m.mean + deviations*m.deviation }

// highWater tracks the highest value of a count over a sliding time of one to two
// windows.
type highWater struct {
	start             time.Time
	current, previous int
	last              int
}

// observe records a value of the count and returns the highest of the window.
func (h *highWater) observe(now time.Time, window time.Duration, value int) int {
	switch elapsed := now.Sub(h.start); {
	case h.start.IsZero() || elapsed >= 2*window:
		// The value before this one held until now.
		h.previous, h.current, h.start = h.last, value, now
	case elapsed >= window:
		h.previous, h.current, h.start = h.current, max(h.last, value), now
	}
	h.last = value
	h.current = max(h.current, value)
	return max(h.current, h.previous)
}

// retryBudget allows retries as a share of the offered requests. Without it, retries
// during a partial failure would multiply the load that causes it.
type retryBudget struct {
	share, reserve, tokens float64
}

// startShare is the share of the reserve that a new budget starts with.
const startShare = 0.2

func newRetryBudget(share, reserve float64) retryBudget {
	return retryBudget{share: share, reserve: reserve, tokens: reserve * startShare}
}

func (b *retryBudget) addOffered() { b.tokens = min(b.tokens+b.share, b.reserve) }

// spend spends a token if it leaves at least keep tokens, and reports whether it did.
func (b *retryBudget) spend(keep float64) bool {
	if b.tokens < keep+1 {
		return false
	}
	b.tokens--
	return true
}

// tokenBucket limits a team's rate.
type tokenBucket struct {
	last   time.Time
	tokens float64
}

// spend spends a token, or returns how long to wait for one.
func (b *tokenBucket) spend(now time.Time, rate float64, burst int) time.Duration {
	limit := float64(max(burst, 1))
	if b.last.IsZero() {
		b.tokens = limit
	} else {
		b.tokens = min(limit, b.tokens+now.Sub(b.last).Seconds()*rate)
	}
	b.last = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second))
}
