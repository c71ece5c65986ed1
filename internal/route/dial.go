package route

import "time"

// DialLimits says how long a gate waits for a connection to a replica before it
// gives the attempt up. It answers the load of requests that are sent to a
// replica which has just lost its power or its link.
//
// Failure guarded against: nothing answers at the replica's address, and each
// request that is sent there waits for the longest time that a connection may
// ever take, several times what its caller finds acceptable. Connections take a
// round trip, so that one which takes much longer than nearly all others is not
// coming; given up unsent, the request goes elsewhere and is still in time. A
// connection whose first packet was lost is found by the same limit.
//
// The limit of an address is doubled with each connection in a row that did not
// come, so that a link which has become slow is learned again. It is not safe for
// concurrent use.
type DialLimits struct {
	most   time.Duration
	took   delayMeter
	missed map[string]int // by address: connections in a row that did not come
}

const (
	// minDialLimit is longer than a busy gate takes to notice that a connection has
	// come, and well below the latency that callers of online routes ask for.
	minDialLimit = 100 * time.Millisecond
	// dialFactor stretches the time that nearly all connections take.
	dialFactor = 2
	// maxMissedDials bounds what is kept of addresses that no longer answer.
	maxMissedDials = 256
)

// NewDialLimits makes limits that never exceed most.
func NewDialLimits(most time.Duration) *DialLimits {
	return &DialLimits{most: most, missed: make(map[string]int)}
}

// Limit gives the time to wait for a connection to the address.
func (l *DialLimits) Limit(address string) time.Duration {
	if l.took.mean == 0 {
		return l.most
	}
	limit := max(minDialLimit, dialFactor*l.took.high())
	for range l.missed[address] {
		if limit >= l.most {
			break
		}
		limit *= 2
	}
	return min(limit, l.most)
}

// Connected takes in how long a connection took.
func (l *DialLimits) Connected(address string, took time.Duration) {
	delete(l.missed, address)
	l.took.observe(max(took, time.Microsecond))
}

// Missed takes in that a connection to the address did not come in time.
func (l *DialLimits) Missed(address string) {
	if len(l.missed) >= maxMissedDials {
		clear(l.missed) // replicas come and go; their next limits start short again
	}
	l.missed[address]++
}
