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
	// doubted: appends seem lost, and the probe only asks for the member's
	// position. sent is the last entry that was sent before the doubt, asked
	// the number of the newest question.
	doubted bool
	sent    uint64
	asked   uint64
	idle    int    // ticks since the member was heard
	round   uint64 // newest round of heartbeats that the member has answered
	// lastMatch is the match at the last heartbeat response. No growth over
	// lostAfter of them while the member lacks entries means that an append was
	// lost; stalled counts them.
	lastMatch uint64
	stalled   int
}

// lostAfter is how many heartbeat responses in a row bring no progress before an
// append counts as lost. The shells send over connections that repeat lost packets
// by themselves, and a sync takes a while; if a single response counted, each such
// delay would send all entries in flight again.
const lostAfter = 4

func newProgress(next uint64) *progress { return &progress{next: next} }

// probe starts over from the last entry that the member is known to hold.
func (p *progress) probe() {
	p.state = Probing
	p.next = p.match + 1
	p.inflight = 0
	p.paused = false
	p.doubted = false
}

// doubt asks for the member's position before anything is sent again. A member
// that is slow, or was paused, still has the appends before it: entries in the
// probe would queue behind these, its answers would come later with each copy,
// and it would never catch up.
func (p *progress) doubt() {
	sent := p.next - 1
	if p.state != Probing {
		p.probe()
	}
	if !p.doubted {
		p.doubted = true
		p.sent = sent
	}
	p.asked++
	p.paused = false
}

// acknowledged takes in that the member holds all entries up to index; question
// is the number of the probe that it answers, zero if it answers none.
func (p *progress) acknowledged(index, question uint64) {
	if p.inflight > 0 {
		p.inflight--
	}
	grew := index > p.match
	p.match = max(p.match, index)
	if p.state != Probing {
		p.next = max(p.next, p.match+1)
		return
	}
	if p.doubted && !grew && question != p.asked {
		// Late: an answer to an append or a probe from before.
		return
	}
	p.paused = false
	p.next = p.match + 1
	if p.doubted && grew {
		// An append from before the doubt has arrived, so the member takes them
		// in. If a later one is lost, the next append is rejected.
		p.next = max(p.next, p.sent+1)
	}
	p.state = Replicating
	p.inflight = 0
	p.doubted = false
}

// countStalled notes whether the member lacks entries and has acknowledged
// nothing since the heartbeat response before.
func (p *progress) countStalled(lacks bool) {
	if lacks && p.match == p.lastMatch && p.state != Snapshotting {
		p.stalled++
	} else {
		p.stalled = 0
	}
	p.lastMatch = p.match
}
