package quorum

// ProgressState says how a leader sends to a member.
type ProgressState uint8

// States of progress.
const (
	Probing      ProgressState = iota // one append at a time, until it matches
	Replicating                       // appends are sent ahead of their answers
	Snapshotting                      // waits for a snapshot to arrive
)

// progress is what a leader knows of one member's log.
type progress struct {
	match    uint64 // last entry that the member has synced
	next     uint64 // next entry to send
	state    ProgressState
	inflight int  // appends sent and not answered, while replicating
	paused   bool // a probe is on its way
	idle     int  // ticks since the member was heard
	round    uint64
	// lastMatch is the match at the last heartbeat response: no growth between
	// two of them while the member lacks entries means that an append was lost.
	lastMatch uint64
}

func newProgress(next uint64) *progress { return &progress{next: next} }

func (p *progress) probe() {
	p.state = Probing
	p.next = p.match + 1
	p.inflight = 0
	p.paused = false
}

func (p *progress) acknowledged(index uint64) {
	p.paused = false
	if p.inflight > 0 {
		p.inflight--
	}
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if p.state == Probing {
		p.state = Replicating
		p.inflight = 0
		p.next = p.match + 1
	}
}
