package quorum

// readQueue holds the pending read barriers of a leader. Barriers that arrive while a
// heartbeat round is in progress are batched into the next one.
type readQueue struct {
	round   uint64 // number of the newest round
	running []ReadState
	waiting []uint64
}

func (n *Node) committedInTerm() bool {
	term, ok := n.log.term(n.log.commit)
	return ok && term == n.term
}

// Read requests a read barrier. A ReadState with this ID appears in the outbox once a
// majority has confirmed, after the call, that this member still leads; none appears
// if it loses leadership. A lease measured in ticks would save the heartbeat round, but
// a frozen process counts no ticks and would serve stale state when it resumes.
func (n *Node) Read(id uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.reads.waiting = append(n.reads.waiting, id)
	n.startReads()
	return nil
}

// startReads starts a heartbeat round for the waiting reads if none is in progress. A
// new leader does not know the commit index of earlier terms until it has committed an
// entry of its own term.
func (n *Node) startReads() {
	if len(n.reads.running) > 0 || len(n.reads.waiting) == 0 || !n.committedInTerm() {
		return
	}
	n.reads.round++
	for _, id := range n.reads.waiting {
		n.reads.running = append(n.reads.running, ReadState{ID: id, Index: n.log.commit})
	}
	n.reads.waiting = nil
	if self := n.progress[n.config.ID]; self != nil {
		self.round = n.reads.round
	}
	n.broadcastHeartbeat()
	n.confirmReads()
}

func (n *Node) confirmReads() {
	if len(n.reads.running) == 0 {
		return
	}
	if n.quorumValue(func(p *progress) uint64 { return p.round }) < n.reads.round {
		return
	}
	n.outbox.Reads = append(n.outbox.Reads, n.reads.running...)
	n.reads.running = nil
	n.startReads()
}
