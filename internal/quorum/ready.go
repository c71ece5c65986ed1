package quorum

// TakeOutbox returns the work that need not wait for a sync and empties the outbox.
func (n *Node) TakeOutbox() Outbox {
	taken := n.outbox
	n.outbox = Outbox{}
	return taken
}

// Ready returns the next work for the caller, and false if there is none or if Advance
// has not yet been called for the previous one.
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
		n.handedNext = r.Entries[len(r.Entries)-1].Index
	} else {
		n.handedNext = n.log.handed
	}
	if n.saved.Term != n.term || n.saved.Vote != n.vote || len(r.Entries) > 0 || r.Snapshot != nil {
		// The commit index alone causes no write: a member that restarts with an
		// older one gets the current one from the leader.
		state := HardState{Term: n.term, Vote: n.vote, Commit: min(n.log.commit, n.handedNext)}
		n.saved = state
		r.HardState = &state
	}
	if r.HardState == nil && len(r.AfterSync) == 0 && len(r.Committed) == 0 {
		return Ready{}, false
	}
	n.markHanded(&r)
	return r, true
}

// maxReadyBytes limits the entries of one Ready, to keep each write and each batch of
// applied entries short.
const maxReadyBytes = 4 << 20

func (n *Node) markHanded(r *Ready) {
	n.log.handed = n.handedNext
	if n.handedNext < n.log.lastIndex() {
		// The responses acknowledge entries that are not part of this write.
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

// Advance reports to the node that the work of the last Ready is done: its entries are
// synced and its committed entries applied.
func (n *Node) Advance() {
	n.ready = false
	// If a newer leader has truncated the log in the meantime, handed is lower than the
	// last index that was synced; only the entries that remain are stable.
	n.log.stable = max(n.log.stable, min(n.handedNext, n.log.handed))
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
