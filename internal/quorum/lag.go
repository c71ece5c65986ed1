package quorum

// lag counts the ticks for which a member has not applied an entry that its leader had
// committed. Appends can be delayed while heartbeats still arrive, over other connections or
// between retransmissions of a lost packet. Such a member knows its leader and would serve
// stale state as current. Heartbeats therefore carry the leader's commit index, even beyond
// the member's log.
type lag struct {
	known  uint64 // highest commit index received from a leader
	target uint64 // value of known when the count began
	ticks  int    // ticks since then without having applied target
}

func (l *lag) observe(committed uint64) { l.known = max(l.known, committed) }

// tick advances the count by one tick. It measures one index at a time, so that a
// member of a busy group, which always lacks the newest entries, does not lag.
func (l *lag) tick(applied uint64) {
	if l.target > applied {
		l.ticks++
		return
	}
	l.target = l.known
	l.ticks = 0
}

// Lag returns the number of ticks for which this member has not applied an entry that
// its leader had committed before; 0 if it lacks no entry or only newer ones.
func (n *Node) Lag() int { return n.lag.ticks }
