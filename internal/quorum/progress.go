package quorum

// ProgressState is the mode in which a leader replicates to a member.
type ProgressState uint8

// Replication modes.
const (
	Probing      ProgressState = iota // one append at a time, until one matches
	Replicating                       // appends are pipelined
	Snapshotting                      // waits for a snapshot transfer
)

// progress is the leader's view of one member's log.
type progress struct {
	match    uint64 // last entry that the member has synced
	next     uint64 // next entry to send
	state    ProgressState
	inflight int  // unacknowledged appends, while replicating
	paused   bool // a probe is in flight
	// querying means that appends seem lost and that probes carry no entries: they
	// only query the member's position. sentBefore is the last entry sent before the
	// first query, query the number of the newest one.
	querying   bool
	sentBefore uint64
	query      uint64
	idle       int    // ticks since the last message of the member
	round      uint64 // newest heartbeat round that the member has answered
	// lastMatch is the value of match at the last heartbeat response. stalled counts
	// the responses in a row that found match unchanged while the member lacked
	// entries; at lostAfter an append is considered lost.
	lastMatch uint64
	stalled   int
}

// lostAfter is the number of heartbeat responses in a row without progress after which
// an append is considered lost. Connections retransmit lost packets on their own, and a
// sync takes time: with a limit of one, each such delay would resend all entries in
// flight.
const lostAfter = 4

func newProgress(next uint64) *progress { return &progress{next: next} }

// startProbing restarts replication after the last entry that the member is known to hold.
func (p *progress) startProbing() {
	p.state = Probing
	p.next = p.match + 1
	p.inflight = 0
	p.paused = false
	p.querying = false
}

// queryPosition makes the next probe query the member's position before any entry is
// resent. A slow or paused member may still have to process the earlier appends: entries
// in the probe would queue behind them, each copy would delay its responses further, and
// it would never catch up.
func (p *progress) queryPosition() {
	sent := p.next - 1
	if p.state != Probing {
		p.startProbing()
	}
	if !p.querying {
		p.querying = true
		p.sentBefore = sent
	}
	p.query++
	p.paused = false
}

// acknowledge records that the member holds all entries up to index. query is the
// number of the position query that the response answers; zero if it answers none.
func (p *progress) acknowledge(index, query uint64) {
	if p.inflight > 0 {
		p.inflight--
	}
	grew := index > p.match
	p.match = max(p.match, index)
	if p.state != Probing {
		p.next = max(p.next, p.match+1)
		return
	}
	if p.querying && !grew && query != p.query {
		// A delayed response to an earlier append or probe.
		return
	}
	p.paused = false
	p.next = p.match + 1
	if p.querying && grew {
		// An append sent before the query has arrived, so the others are probably not
		// lost. If one is, the member rejects the next append.
		p.next = max(p.next, p.sentBefore+1)
	}
	p.state = Replicating
	p.inflight = 0
	p.querying = false
}

// countStalled counts a heartbeat response in stalled if the member lacks entries and
// has acknowledged none since the previous response; otherwise it resets the count.
func (p *progress) countStalled(lacks bool) {
	if lacks && p.match == p.lastMatch && p.state != Snapshotting {
		p.stalled++
	} else {
		p.stalled = 0
	}
	p.lastMatch = p.match
}
