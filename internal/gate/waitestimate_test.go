package gate

import (
	"fmt"
	"testing"
	"time"
)

// After a restart of all gates, callers that retry after a second and new callers
// differ only in the timeout that they send. Guards against treating them alike, which
// queues the new ones behind the old so that all of them miss their targets.
func TestPatienceTellsCallersThatComeAgain(t *testing.T) {
	const timeout = 5 * time.Second
	w := newWaitEstimator()
	expect := func(left, least, most time.Duration) {
		t.Helper()
		if waited := w.timeWaited("r", left, timeout); waited < least || waited > most {
			t.Errorf("a caller with %s left is estimated to have waited %s", left, waited)
		}
	}
	for range 12 { // nearly all of the first requests are retries
		expect(3950*time.Millisecond, 1000*time.Millisecond, 1100*time.Millisecond)
	}
	for range 8 {
		expect(4990*time.Millisecond, 0, 20*time.Millisecond)
	}
	expect(3700*time.Millisecond, 1250*time.Millisecond, 1350*time.Millisecond)
	expect(9*time.Second, 0, 0) // a caller with a longer timeout than the others
	expect(4990*time.Millisecond, 0, 20*time.Millisecond)
	expect(0, 0, 0) // sends no timeout
}

// The route's timeout is much longer or shorter than those of its callers. With enough
// samples, only the callers' timeouts count.
func TestPatienceFollowsWhatCallersSay(t *testing.T) {
	for _, timeout := range []time.Duration{time.Second, 15 * time.Second} {
		w := newWaitEstimator()
		for range maxTimeoutSamples {
			w.timeWaited("r", 5*time.Second, timeout)
		}
		if waited := w.timeWaited("r", 5*time.Second, timeout); waited != 0 {
			t.Errorf("timeout %s: a new caller is estimated to have waited %s", timeout, waited)
		}
		for range maxTimeoutSamples {
			w.timeWaited("r", 2*time.Second, timeout)
		}
		if waited := w.timeWaited("r", time.Second, timeout); waited != time.Second {
			t.Errorf("timeout %s: waited %s of 2 s", timeout, waited)
		}
		if counts := w.routes["r"].counts; len(counts) > 2 {
			t.Errorf("counts of dropped samples remain: %v", counts)
		}
	}
}

// Guards against memory that grows with each new route name while operators keep
// changing routes.
func TestPatienceRemembersABoundedNumberOfRoutes(t *testing.T) {
	w := newWaitEstimator()
	for i := range 3 * maxEstimatedRoutes {
		w.timeWaited(fmt.Sprint("r-", i), time.Second, time.Second)
	}
	if len(w.routes) > maxEstimatedRoutes {
		t.Errorf("samples of %d routes are kept", len(w.routes))
	}
}
