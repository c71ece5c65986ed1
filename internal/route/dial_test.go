package route_test

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
)

const longestDial = 700 * time.Millisecond

// A replica loses its power. Callers whose requests are sent there see nothing for
// as long as a connection may take at most, 0.7 s, twice what they find acceptable;
// then their requests go elsewhere. Connections to all others take milliseconds.
func TestDialLimitFollowsTheConnectionsThatCame(t *testing.T) {
	l := route.NewDialLimits(longestDial)
	if got := l.Limit("a"); got != longestDial {
		t.Errorf("before the first connection: %s", got)
	}
	for range 50 {
		l.Connected("a", 6*time.Millisecond)
	}
	if got := l.Limit("b"); got > 150*time.Millisecond {
		t.Errorf("connections take 6 ms, the limit is %s", got)
	}
}

// A link turns slow for good: each connection takes 0.3 s. Limits that only follow
// connections which came in time would never let one come again.
func TestDialLimitIsLearnedAgain(t *testing.T) {
	const slow = 300 * time.Millisecond
	l := route.NewDialLimits(longestDial)
	for range 50 {
		l.Connected("near", time.Millisecond)
	}
	tries := 0
	for l.Limit("far") < slow {
		l.Missed("far")
		if tries++; tries > 3 {
			t.Fatalf("still %s after %d tries", l.Limit("far"), tries)
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
		t.Errorf("after many misses: %s", got)
	}
}
