package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// pauseCheckInterval is how often the process checks whether it was paused.
	pauseCheckInterval = 500 * time.Millisecond
	// minLoggedPause is the shortest pause that is logged: far longer than the
	// scheduling delays of a busy process.
	minLoggedPause = time.Second
)

// processPause is how long a process did not run, by the monotonic and by the wall
// clock. The suspension of a VM and a change of the system time show in the wall
// clock only.
type processPause struct {
	monotonic, wall time.Duration
}

// detectPause compares two consecutive wake-ups that were due interval apart.
// It returns by how much the second was overdue on each clock, and whether that is
// long enough to log.
func detectPause(last, now time.Time, interval time.Duration) (processPause, bool) {
	pause := processPause{
		monotonic: now.Sub(last) - interval,
		wall:      now.Round(0).Sub(last.Round(0)) - interval, // Round strips the monotonic reading
	}
	return pause, pause.monotonic >= minLoggedPause || pause.wall.Abs() >= minLoggedPause
}

// watchForPauses logs pauses of the process until ctx ends. After a VM was frozen,
// its requests end overdue and with misleading reasons, such as a stream idle for
// longer than its limit; this log line is the only explanation apart from a gap in
// the log.
func watchForPauses(ctx context.Context, log *zap.Logger) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if pause, long := detectPause(last, now, pauseCheckInterval); long {
			log.Warn("the process was paused, or the system time was changed", zap.Duration("steady_clock", pause.monotonic), zap.Duration("time_of_day", pause.wall))
		}
		last = now
	}
}
