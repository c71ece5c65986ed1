package route_test

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
)

const longestDial = 700 * time.Millisecond

// Guards against requests that wait for the maximum dial time, 0.7 s, twice what
// callers accept, when a replica has lost power. Connections to all other replicas take
// milliseconds, so the limit must be far lower.
func TestDialLimitFollowsConnectionTimes(t *testing.T) {
	l := route.NewDialLimits(longestDial)
	if got := l.Limit("a"); got != longestDial {
		t.Errorf("limit before the first connection: %s", got)
	}
	for range 50 {
		l.Connected("a", 6*time.Millisecond)
	}
	if got := l.Limit("b"); got > 150*time.Millisecond {
		t.Errorf("connections take 6 ms, the limit is %s", got)
	}
}

// Guards against a limit that never adapts to a link that has become slow for good,
// with connections that take 0.3 s: a limit that follows only connections established
// in time would never let one succeed again.
func TestDialLimitAdaptsToASlowLink(t *testing.T) {
	const slow = 300 * time.Millisecond
	l := route.NewDialLimits(longestDial)
	for range 50 {
		l.Connected("near", time.Millisecond)
	}
	tries := 0
	for l.Limit("far") < slow {
		l.Missed("far")
		if tries++; tries > 3 {
			t.Fatalf("the limit is still %s after %d attempts", l.Limit("far"), tries)
		}
	}
	for range 20 {
		l.Connected("far", slow)
	}
	if got := l.Limit("far"); got < slow {
		t.Errorf("connections take %s, the limit is %s", slow, got)
	}
	for range 100 {
		l.Missed("dark")
	}
	if got := l.Limit("dark"); got != longestDial {
		t.Errorf("limit after many missed connections: %s", got)
	}
}
