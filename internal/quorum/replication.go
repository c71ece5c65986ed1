package quorum

func (n *Node) broadcastAppend() {
	for _, id := range n.memberIDs() {
		if id != n.config.ID {
			n.sendAppend(id)
		}
	}
}

// sendAppend sends the entries that the member lacks, as far as its replication mode
// and the limit on appends in flight allow.
func (n *Node) sendAppend(to ID) {
	p := n.progress[to]
	for p != nil {
		if p.state == Snapshotting || p.state == Probing && p.paused || p.inflight >= n.config.MaxInflight {
			return
		}
		if p.state == Replicating && p.next > n.log.lastIndex() {
			return
		}
		previous := p.next - 1
		term, held := n.log.term(previous)
		if !held {
			p.state = Snapshotting
			p.inflight = 0
			n.outbox.Snapshots = append(n.outbox.Snapshots, to)
			return
		}
		m := Message{Type: MsgAppend, To: to, Index: previous, LogTerm: term, Commit: n.log.commit}
		if p.querying {
			m.Round = p.query
		} else {
			m.Entries = n.log.slice(p.next, n.log.lastIndex(), n.config.MaxAppendBytes)
		}
		n.send(m)
		if p.state == Probing {
			p.paused = true
			return
		}
		p.next += uint64(len(m.Entries))
		p.inflight++
	}
}

func (n *Node) broadcastHeartbeat() {
	for _, id := range n.memberIDs() {
		if id == n.config.ID {
			continue
		}
		// Commit does not go beyond the entries that the member is known to hold: its
		// log may have entries of an older term after them.
		commit := min(n.log.commit, n.progress[id].match)
		n.send(Message{Type: MsgHeartbeat, To: id, Commit: commit, Round: n.reads.round, Committed: n.log.commit})
	}
}

func (n *Node) handleAppend(m Message) {
	if m.Index < n.log.commit {
		// Delayed or duplicated: this member holds all entries up to the commit index.
		if last := m.Index + uint64(len(m.Entries)); last <= n.log.commit {
			n.respond(m, Message{Type: MsgAppendResponse, Index: n.log.commit, Round: m.Round})
			return
		}
		m.Entries = m.Entries[n.log.commit-m.Index:]
		m.Index = n.log.commit
		m.LogTerm, _ = n.log.term(m.Index)
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		hint := n.lastPossibleMatch(min(m.Index, n.log.lastIndex()), m.LogTerm)
		hintTerm, _ := n.log.term(hint)
		n.respond(m, Message{Type: MsgAppendResponse, Reject: true, Index: m.Index, Hint: hint, HintTerm: hintTerm})
		return
	}
	n.log.merge(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.respond(m, Message{Type: MsgAppendResponse, Index: last, Round: m.Round})
}

// lastPossibleMatch returns the last index at or before index whose entry can match the
// leader's log: it skips entries with a higher term than the leader's entry at index.
func (n *Node) lastPossibleMatch(index, term uint64) uint64 {
	for index > n.log.commit {
		held, ok := n.log.term(index)
		if !ok || held <= term {
			break
		}
		index--
	}
	return index
}

func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, index)
}

func (n *Node) handleAppendResponse(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	if m.Reject {
		n.handleReject(p, m)
		return
	}
	if m.Index > n.log.lastIndex() {
		return
	}
	if p.state == Snapshotting {
		if m.Index < n.log.offset {
			return
		}
		p.match = max(p.match, m.Index)
		p.startProbing()
	}
	p.acknowledge(m.Index, m.Round)
	n.advanceCommit()
	if n.role != Leader {
		return
	}
	n.sendAppend(m.From)
	if n.transferee == m.From {
		n.tryTransfer()
	}
}

func (n *Node) handleReject(p *progress, m Message) {
	stale := m.Index <= p.match || p.state == Probing && m.Index != p.next-1
	if stale || p.state == Snapshotting {
		return
	}
	p.startProbing()
	p.next = n.lastSharedTerm(min(m.Hint, m.Index-1), m.HintTerm) + 1
	p.next = max(p.next, p.match+1)
	n.sendAppend(m.From)
}

// lastSharedTerm returns the last index at or before index where the leader's entry has
// no higher term than the member's: later entries cannot match.
func (n *Node) lastSharedTerm(index, term uint64) uint64 {
	for index > n.log.offset {
		held, ok := n.log.term(index)
		if ok && held <= term {
			break
		}
		index--
	}
	return index
}

// advanceCommit commits the entries that a majority has synced, provided that the last
// of them is of the leader's own term.
func (n *Node) advanceCommit() {
	index := n.quorumValue(func(p *progress) uint64 { return p.match })
	if index <= n.log.commit {
		return
	}
	if term, ok := n.log.term(index); !ok || term != n.term {
		return
	}
	n.log.commit = index
	n.startReads()
	if _, member := n.Membership().Find(n.config.ID); !member && n.log.membershipIndex() <= index {
		// The other members have committed the removal of this leader.
		n.broadcastHeartbeat()
		n.becomeFollower(n.term, None)
		return
	}
}

func (n *Node) handleHeartbeatResponse(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.round = max(p.round, m.Round)
	n.confirmReads()
	lacks := p.match < n.log.lastIndex()
	p.countStalled(lacks)
	if lacks {
		n.resendLost(m.From, p)
	}
}

// AppendLost reports that an append to the member may not have arrived, because the
// connection broke or the call got no response. Once the member answers a heartbeat,
// its position is queried; until then no append is sent to it.
func (n *Node) AppendLost(id ID) {
	if p := n.progress[id]; n.role == Leader && p != nil && p.state != Snapshotting {
		p.queryPosition()
		p.paused = true
		p.stalled = lostAfter
	}
}

// resendLost resumes sending to a member that answered a heartbeat and lacks entries.
// If it has acknowledged nothing new over lostAfter heartbeats, appends are considered
// lost and its position is queried first.
func (n *Node) resendLost(id ID, p *progress) {
	firstProbe := p.state == Probing && !p.querying
	if firstProbe || p.stalled >= lostAfter {
		p.queryPosition()
		p.stalled = 0
	}
	n.sendAppend(id)
}

func (n *Node) handleSnapshot(m Message) {
	meta := m.Snapshot
	if meta == nil {
		return
	}
	if meta.Index > n.log.commit && n.log.matches(meta.Index, meta.Term) {
		// The log has caught up in the meantime; its entries bring the state up to date.
		n.commitTo(meta.Index)
	}
	if meta.Index <= n.log.commit {
		n.respond(m, Message{Type: MsgAppendResponse, Index: n.log.commit})
		return
	}
	n.log.reset(*meta)
	n.installed = meta
	n.handedNext = meta.Index
	n.respond(m, Message{Type: MsgAppendResponse, Index: meta.Index})
}

// InstallingSnapshot reports whether an accepted snapshot waits for Ready.
func (n *Node) InstallingSnapshot() bool { return n.installed != nil }

// ReportSnapshot ends a snapshot transfer requested by Outbox.Snapshots: the snapshot at
// index has arrived, or the transfer failed if index is zero. A failed transfer is repeated
// once the member answers a heartbeat: each attempt reads the snapshot from disk.
func (n *Node) ReportSnapshot(to ID, index uint64) {
	p := n.progress[to]
	if n.role != Leader || p == nil || p.state != Snapshotting {
		return
	}
	p.startProbing()
	if index == 0 {
		p.paused = true
		return
	}
	p.next = max(p.next, index+1)
	n.sendAppend(to)
}
