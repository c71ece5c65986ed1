package route

import "time"

// DialLimits computes how long a gate waits for a connection to a replica. If the replica
// lost power or its link, or a SYN was lost, a request would wait for the maximum dial
// time, several times what its caller accepts. A connection normally takes one round trip;
// one that takes much longer than nearly all others is given up, so that the unsent request
// can be answered elsewhere in time. DialLimits is not safe for concurrent use.
type DialLimits struct {
	longest     time.Duration
	connectTime delayMeter
	missed      map[string]int // by address: consecutive connections that did not come in time
}

const (
	// minDialLimit is longer than a busy gate takes to notice an established
	// connection, and well below the latency that callers of online routes expect.
	minDialLimit = 100 * time.Millisecond
	// dialFactor multiplies the time within which nearly all connections are
	// established.
	dialFactor = 2
	// maxMissedDials bounds the state kept for addresses that no longer answer.
	maxMissedDials = 256
)

// NewDialLimits returns limits that never exceed most.
func NewDialLimits(most time.Duration) *DialLimits {
	return &DialLimits{longest: most, missed: make(map[string]int)}
}

// Limit returns how long to wait for a connection to the address. It doubles with each
// consecutive missed connection, to adapt to a link that has become slow.
func (l *DialLimits) Limit(address string) time.Duration {
	if l.connectTime.mean == 0 {
		return l.longest
	}
	limit := max(minDialLimit, dialFactor*l.connectTime.upperBound())
	for range l.missed[address] {
		if limit >= l.longest {
			break
		}
		limit *= 2
	}
	return min(limit, l.longest)
}

// Connected records how long a connection took.
func (l *DialLimits) Connected(address string, took time.Duration) {
	delete(l.missed, address)
	l.connectTime.observe(max(took, time.Microsecond))
}

// Missed records that a connection to the address did not come in time.
func (l *DialLimits) Missed(address string) {
	if len(l.missed) >= maxMissedDials {
		clear(l.missed) // replicas come and go; their next limits start short again
	}
	l.missed[address]++
}
