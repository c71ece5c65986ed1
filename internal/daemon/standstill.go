package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// pulseInterval is how often the process looks whether it has stood still.
	pulseInterval = 500 * time.Millisecond
	// standstillFrom is the pause that is logged: far longer than a busy process is
	// late.
	standstillFrom = time.Second
)

// standstill is how long a process did nothing, by both clocks. A suspended VM
// shows in the time of day only, and a time of day that was set shows there alone.
type standstill struct {
	steady, wall time.Duration
}

// standstillBetween compares two times at which the process was to wake an interval
// apart.
func standstillBetween(last, now time.Time, interval time.Duration) (standstill, bool) {
	s := standstill{
		steady: now.Sub(last) - interval,
		wall:   now.Round(0).Sub(last.Round(0)) - interval, // without the steady clock's reading
	}
	return s, s.steady >= standstillFrom || s.wall.Abs() >= standstillFrom
}

// watchStandstill logs when the process has stood still.
//
// Failure guarded against: a VM freezes and wakes. What it did for its callers ends
// late and for reasons that make no sense (a stream silent for longer than its
// limit), and nothing but a gap in its log tells why.
func watchStandstill(ctx context.Context, log *zap.Logger) {
	ticker := time.NewTicker(pulseInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if s, long := standstillBetween(last, now, pulseInterval); long {
			log.Warn("this process stood still, or its clock was set", zap.Duration("steady_clock", s.steady), zap.Duration("time_of_day", s.wall))
		}
		last = now
	}
}
