package quorum

// TakeOutbox gives and empties the work that waits for no disk.
func (n *Node) TakeOutbox() Outbox {
	taken := n.outbox
	n.outbox = Outbox{}
	return taken
}

// Ready gives the next work for the shell; false when there is none or the
// previous one has not been finished by Advance.
func (n *Node) Ready() (Ready, bool) {
	if n.ready {
		return Ready{}, false
	}
	r := Ready{
		Entries:   n.log.slice(n.log.handed+1, n.log.lastIndex(), maxReadyBytes),
		Snapshot:  n.installed,
		AfterSync: n.afterSync,
		Committed: n.log.slice(n.log.applied+1, min(n.log.commit, n.log.stable), maxReadyBytes),
	}
	if len(r.Entries) > 0 {
		n.handing = r.Entries[len(r.Entries)-1].Index
	} else {
		n.handing = n.log.handed
	}
	if n.saved.Term != n.term || n.saved.Vote != n.vote || len(r.Entries) > 0 || r.Snapshot != nil {
		// The commit index rides along with other writes: a restart that
		// finds an older one learns the rest from the leader.
		state := HardState{Term: n.term, Vote: n.vote, Commit: min(n.log.commit, n.handing)}
		n.saved = state
		r.HardState = &state
	}
	if r.HardState == nil && len(r.AfterSync) == 0 && len(r.Committed) == 0 {
		return Ready{}, false
	}
	n.takeOver(&r)
	return r, true
}

// maxReadyBytes bounds the entries of one Ready, so that one write or one run
// of Apply stays short.
const maxReadyBytes = 4 << 20

func (n *Node) takeOver(r *Ready) {
	n.log.handed = n.handing
	if n.handing < n.log.lastIndex() {
		// Acknowledgements promise entries that are not part of this write.
		r.AfterSync = nil
	} else {
		n.afterSync = nil
	}
	n.installed = nil
	n.ready = true
	if len(r.Committed) > 0 {
		n.log.applied = r.Committed[len(r.Committed)-1].Index
	}
}

// Advance says that the work of the last Ready is done: its entries are synced
// and its committed entries applied.
func (n *Node) Advance() {
	n.ready = false
	// handed is lower than what was given out if a newer leader has truncated
	// the log meanwhile; only the part that still stands is stable.
	n.log.stable = max(n.log.stable, min(n.handing, n.log.handed))
	if n.role == Candidate {
		n.countVotes()
	}
	if n.role != Leader {
		return
	}
	if self := n.progress[n.config.ID]; self != nil {
		self.match = n.log.stable
		n.advanceCommit()
	}
}
