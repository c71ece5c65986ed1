package gate

import (
	"sync"
	"time"
)

const (
	// timeoutStep is the width of the bins of callers' timeouts. The timeouts of first
	// tries differ by the time that their connection takes.
	timeoutStep = 50 * time.Millisecond
	// maxTimeoutSamples is the number of recent requests kept for each route. Below
	// minTimeoutSamples, the route's own timeout is used as a lower bound: after a full
	// restart of a site, nearly all of the first requests are retries with similar
	// remaining timeouts.
	maxTimeoutSamples = 64
	minTimeoutSamples = 16
	// maxEstimatedRoutes limits the number of routes with samples. Configuration
	// changes add and remove hundreds of routes a day. At the limit all samples are
	// dropped.
	maxEstimatedRoutes = 1024
	// minTimeoutShare is the share of the samples that a bin needs to count. Retries
	// send the rest of their timeout, which varies, and about one caller in 25 has a
	// much longer timeout than the others.
	minTimeoutShare = 0.1
)

// waitEstimator estimates how long a caller has been retrying. It learns the initial
// timeout of a route's callers, which is the longest timeout that many of them send. A
// shorter one is taken as the rest of it, after the difference was spent on earlier
// tries. It is safe for concurrent use.
type waitEstimator struct {
	mu     sync.Mutex
	routes map[string]*routeWaits
}

type routeWaits struct {
	recent []int // in steps; a ring of maxTimeoutSamples
	next   int
	counts map[int]int
}

func newWaitEstimator() *waitEstimator { return &waitEstimator{routes: make(map[string]*routeWaits)} }

// timeWaited returns how long a caller has been trying, estimated from left, its
// remaining timeout, and adds left to the route's samples. timeout is the timeout of
// the route.
func (w *waitEstimator) timeWaited(route string, left, timeout time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	waits := w.routes[route]
	if waits == nil {
		if len(w.routes) >= maxEstimatedRoutes {
			clear(w.routes)
		}
		waits = &routeWaits{counts: make(map[int]int)}
		w.routes[route] = waits
	}
	waits.observe(int((left + timeoutStep/2) / timeoutStep))
	usual := time.Duration(waits.usual()) * timeoutStep
	if len(waits.recent) < minTimeoutSamples {
		usual = max(usual, timeout)
	}
	return max(0, usual-left)
}

func (w *routeWaits) observe(steps int) {
	w.counts[steps]++
	if len(w.recent) < maxTimeoutSamples {
		w.recent = append(w.recent, steps)
		return
	}
	oldest := w.recent[w.next]
	w.counts[oldest]--
	if w.counts[oldest] == 0 {
		delete(w.counts, oldest)
	}
	w.recent[w.next] = steps
	w.next = (w.next + 1) % maxTimeoutSamples
}

// usual returns the longest timeout, in steps, that many recent requests sent.
func (w *routeWaits) usual() int {
	longest := 0
	for steps, count := range w.counts {
		if float64(count) >= minTimeoutShare*float64(len(w.recent)) {
			longest = max(longest, steps)
		}
	}
	return longest
}
