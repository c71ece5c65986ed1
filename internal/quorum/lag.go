package quorum

// lag counts for how long a member has lacked what its leader had committed.
//
// Failure guarded against: the entries to one member are held up while heartbeats
// reach it, over other connections or between the repeats of a lost packet. Knowing
// its leader, it takes itself for up to date, and serves state by which changes that
// were acknowledged long ago have not happened. The leader's commit index comes with
// its heartbeats, also beyond what the member holds, so that the member knows what it
// lacks.
type lag struct {
	known  uint64 // highest commit index of a leader that was heard
	target uint64 // what it was when the count began
	ticks  int    // since then without having applied it
}

func (l *lag) heard(committed uint64) { l.known = max(l.known, committed) }

// tick passes one interval. A count is of one index, so that a busy group, of which a
// member always lacks the newest entries, does not lag.
func (l *lag) tick(applied uint64) {
	if l.target > applied {
		l.ticks++
		return
	}
	l.target = l.known
	l.ticks = 0
}

// Lag gives the ticks for which the member has lacked an entry that its leader had
// committed before them; 0 if it lacks none, or only newer ones.
func (n *Node) Lag() int { return n.lag.ticks }
