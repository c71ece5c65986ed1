package gate

import (
	"fmt"
	"testing"
	"time"
)

// All gates of a site were stopped. Callers that come again after a second and
// callers that have just come look alike but for what they say that they wait;
// taken alike, the new ones wait behind the old and are all late.
func TestPatienceTellsCallersThatComeAgain(t *testing.T) {
	const timeout = 5 * time.Second
	p := newWaitEstimator()
	expect := func(left, least, most time.Duration) {
		t.Helper()
		if waited := p.timeWaited("r", left, timeout); waited < least || waited > most {
			t.Errorf("a caller with %s left is said to have waited %s", left, waited)
		}
	}
	for range 12 { // nearly all who come first come again
		expect(3950*time.Millisecond, 1000*time.Millisecond, 1100*time.Millisecond)
	}
	for range 8 {
		expect(4990*time.Millisecond, 0, 20*time.Millisecond)
	}
	expect(3700*time.Millisecond, 1250*time.Millisecond, 1350*time.Millisecond)
	expect(9*time.Second, 0, 0) // one with more patience than the others
	expect(4990*time.Millisecond, 0, 20*time.Millisecond)
	expect(0, 0, 0) // names no time
}

// The operator lets callers wait for much longer than they do, or for less. Once
// enough of them have come, only what they say counts.
func TestPatienceFollowsWhatCallersSay(t *testing.T) {
	for _, timeout := range []time.Duration{time.Second, 15 * time.Second} {
		p := newWaitEstimator()
		for range maxTimeoutSamples {
			p.timeWaited("r", 5*time.Second, timeout)
		}
		if waited := p.timeWaited("r", 5*time.Second, timeout); waited != 0 {
			t.Errorf("timeout %s: a caller that has just come is said to have waited %s", timeout, waited)
		}
		for range maxTimeoutSamples {
			p.timeWaited("r", 2*time.Second, timeout)
		}
		if waited := p.timeWaited("r", time.Second, timeout); waited != time.Second {
			t.Errorf("timeout %s: waited %s of 2 s", timeout, waited)
		}
		if counts := p.routes["r"].counts; len(counts) > 2 {
			t.Errorf("forgotten values stay: %v", counts)
		}
	}
}

// Operators change routes all day, under new names each time. What is remembered of
// them must not grow with that.
func TestPatienceRemembersABoundedNumberOfRoutes(t *testing.T) {
	p := newWaitEstimator()
	for i := range 3 * maxEstimatedRoutes {
		p.timeWaited(fmt.Sprint("r-", i), time.Second, time.Second)
	}
	if len(p.routes) > maxEstimatedRoutes {
		t.Errorf("%d routes are remembered", len(p.routes))
	}
}
