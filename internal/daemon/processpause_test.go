package daemon

import (
	"testing"
	"time"
)

// A VM that was frozen for six seconds must log that it was paused. Otherwise the
// answers that failed then are blamed on the replicas.
func TestPauseIsDetectedByEitherClock(t *testing.T) {
	last := time.Now()
	for _, c := range []struct {
		name      string
		now       time.Time
		monotonic time.Duration
		wall      time.Duration
		long      bool
	}{
		{"in time", last.Add(pauseCheckInterval), 0, 0, false},
		{"a little late", last.Add(pauseCheckInterval + 200*time.Millisecond), 200 * time.Millisecond, 200 * time.Millisecond, false},
		{"frozen", last.Add(pauseCheckInterval + 6*time.Second), 6 * time.Second, 6 * time.Second, true},
	} {
		s, long := detectPause(last, c.now, pauseCheckInterval)
		if long != c.long || s.monotonic != c.monotonic || s.wall != c.wall {
			t.Errorf("%s: %+v, %v", c.name, s, long)
		}
	}
	// Without a monotonic reading, as after a suspension or when the system time was
	// set back, only the wall clock shows the pause.
	if s, long := detectPause(last.Round(0), last.Round(0).Add(-time.Minute), pauseCheckInterval); !long || s.wall > 0 {
		t.Errorf("a clock that was set back: %+v, %v", s, long)
	}
}
