package quorum

func (n *Node) broadcastAppend() {
	for _, id := range n.memberIDs() {
		if id != n.config.ID {
			n.sendAppend(id)
		}
	}
}

// sendAppend sends what the member lacks, as far as its state allows.
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
		if p.doubted {
			m.Round = p.asked
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
		// A member learns no commit index beyond what it is known to hold: its
		// log may end in entries of an older term at those positions.
		commit := min(n.log.commit, n.progress[id].match)
		n.send(Message{Type: MsgHeartbeat, To: id, Commit: commit, Round: n.reads.round, Committed: n.log.commit})
	}
}

func (n *Node) handleAppend(m Message) {
	if m.Index < n.log.commit {
		// Late or doubled: all up to the commit index is held already.
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

// lastPossibleMatch skips the entries of higher terms than the leader's entry
// at that position: none of them can match.
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
		p.probe()
	}
	p.acknowledged(m.Index, m.Round)
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
	p.probe()
	p.next = n.lastSharedTerm(min(m.Hint, m.Index-1), m.HintTerm) + 1
	p.next = max(p.next, p.match+1)
	n.sendAppend(m.From)
}

// lastSharedTerm skips the leader's entries of higher terms than the member has
// at that position.
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

// advanceCommit commits what a majority has synced, and only up to an entry of
// the leader's own term.
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
		// The change that removes this leader is committed by the others.
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

// AppendLost says that an append to the member may not have arrived: its
// connection broke, or the call was not answered. The member is asked how far it
// has come once it answers a heartbeat; until then it is sent nothing.
func (n *Node) AppendLost(id ID) {
	if p := n.progress[id]; n.role == Leader && p != nil && p.state != Snapshotting {
		p.doubt()
		p.paused = true
		p.stalled = lostAfter
	}
}

// resendLost finds appends that were lost: a member that answers heartbeats but
// has acknowledged nothing new for some of them while it lacks entries.
func (n *Node) resendLost(id ID, p *progress) {
	firstProbe := p.state == Probing && !p.doubted
	if firstProbe || p.stalled >= lostAfter {
		p.doubt()
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
		// The log has caught up meanwhile; the state follows by its entries.
		n.commitTo(meta.Index)
	}
	if meta.Index <= n.log.commit {
		n.respond(m, Message{Type: MsgAppendResponse, Index: n.log.commit})
		return
	}
	n.log.reset(*meta)
	n.installed = meta
	n.handing = meta.Index
	n.respond(m, Message{Type: MsgAppendResponse, Index: meta.Index})
}

// Installing says whether a snapshot that was accepted waits for Ready.
func (n *Node) Installing() bool { return n.installed != nil }

// ReportSnapshot ends a transfer that TakeOutbox asked for: the snapshot at
// index has arrived, or none has if index is zero.
func (n *Node) ReportSnapshot(to ID, index uint64) {
	p := n.progress[to]
	if n.role != Leader || p == nil || p.state != Snapshotting {
		return
	}
	p.probe()
	p.next = max(p.next, index+1)
	n.sendAppend(to)
}
