package gate

import (
	"sync"
	"time"
)

const (
	// timeoutStep groups what callers say that they wait. First attempts differ by
	// the time that a connection takes.
	timeoutStep = 50 * time.Millisecond
	// maxTimeoutSamples is how many of a route's requests are remembered. Before
	// patienceEnough are, the route's own timeout counts as a caller's patience too:
	// after a stop of a whole site nearly all who come first come again, and say
	// much the same.
	maxTimeoutSamples = 64
	minTimeoutSamples = 16
	// maxEstimatedRoutes bounds the routes that are remembered. Routes come and go with
	// changes of the configuration, hundreds a day; beyond it all is learned anew.
	maxEstimatedRoutes = 1024
	// minTimeoutShare of the requests must agree. A caller that comes again names what
	// is left of its time, which differs from caller to caller; one caller in 25 or
	// so has far more patience than the others.
	minTimeoutShare = 0.1
)

// waitEstimator learns how long the callers of a route wait when they begin to try:
// the longest time that many of them give. A request that allows less comes again, and
// the difference is what its caller has waited. It is safe for concurrent use.
type waitEstimator struct {
	mu     sync.Mutex
	routes map[string]*routeWaits
}

type routeWaits struct {
	recent []int // in steps, a ring of patienceMemory
	next   int
	counts map[int]int
}

func newWaitEstimator() *waitEstimator { return &waitEstimator{routes: make(map[string]*routeWaits)} }

// timeWaited gives how long a caller has been trying that waits for left from now on,
// and remembers it. The route lets its callers wait for timeout.
func (p *waitEstimator) timeWaited(route string, left, timeout time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.routes[route]
	if known == nil {
		if len(p.routes) >= maxEstimatedRoutes {
			clear(p.routes)
		}
		known = &routeWaits{counts: make(map[int]int)}
		p.routes[route] = known
	}
	known.observe(int((left + timeoutStep/2) / timeoutStep))
	usual := time.Duration(known.usual()) * timeoutStep
	if len(known.recent) < minTimeoutSamples {
		usual = max(usual, timeout)
	}
	return max(0, usual-left)
}

func (p *routeWaits) observe(steps int) {
	p.counts[steps]++
	if len(p.recent) < maxTimeoutSamples {
		p.recent = append(p.recent, steps)
		return
	}
	oldest := p.recent[p.next]
	p.counts[oldest]--
	if p.counts[oldest] == 0 {
		delete(p.counts, oldest)
	}
	p.recent[p.next] = steps
	p.next = (p.next + 1) % maxTimeoutSamples
}

// usual gives the longest time, in steps, that many of the recent requests gave.
func (p *routeWaits) usual() int {
	longest := 0
	for steps, count := range p.counts {
		if float64(count) >= minTimeoutShare*float64(len(p.recent)) {
			longest = max(longest, steps)
		}
	}
	return longest
}
