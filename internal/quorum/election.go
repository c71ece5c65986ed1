package quorum

func (n *Node) resetElection() {
	n.elapsed = 0
	n.timeout = n.config.ElectionTicks + n.config.Rand(n.config.ElectionTicks)
	if members := n.Membership(); members.Voters() == 1 && members.IsVoter(n.config.ID) {
		n.timeout = 1 // nobody else could lead
	}
}

// shortenFirstElection shortens the election timeout of a member that has just started to
// two heartbeats plus a random part of up to half an election timeout. After a stop of all
// members there is no leader, and nothing is acknowledged until the first election timeout
// expires. If a leader is alive, its heartbeat arrives first, and members that receive its
// heartbeats reject a pre-vote.
func (n *Node) shortenFirstElection() {
	if n.log.lastIndex() > 0 {
		n.timeout = min(n.timeout, 2*n.config.HeartbeatTicks+n.config.Rand(n.config.ElectionTicks/2))
	}
}

func (n *Node) becomeFollower(term uint64, leader ID) {
	if term != n.term {
		n.term = term
		n.vote = None
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.progress = nil
	n.transferee = None
	n.reads = readQueue{}
	n.resetElection()
}

// campaign requests votes. A pre-vote, which changes no term, comes first: without
// it a partitioned member would keep raising its term and depose a working leader
// when it reconnects.
func (n *Node) campaign(role Role, transfer bool) {
	n.role = role
	n.leader = None
	n.votes = map[ID]bool{n.config.ID: true}
	n.resetElection()
	term := n.term + 1
	kind := MsgPreVote
	if role == Candidate {
		n.term = term
		n.vote = n.config.ID
		kind = MsgVote
	}
	request := Message{
		Type: kind, From: n.config.ID, Term: term, Transfer: transfer,
		Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
	}
	for _, member := range n.Membership().Members {
		if member.Learner || member.ID == n.config.ID {
			continue
		}
		request.To = member.ID
		n.requestVote(request)
	}
	n.countVotes()
}

// requestVote sends a vote request, a real one only after this member's own vote is
// synced: a candidate that lost its vote in a restart could vote for another member
// in the same term.
func (n *Node) requestVote(request Message) {
	if request.Type == MsgVote {
		n.afterSync = append(n.afterSync, request)
		return
	}
	n.outbox.Messages = append(n.outbox.Messages, request)
}

func (n *Node) handleVote(m Message) {
	free := n.vote == None && n.leader == None || n.vote == m.From || m.Type == MsgPreVote && m.Term > n.term
	grant := free && n.log.upToDate(m.Index, m.LogTerm) && n.log.lastIndex() > 0
	response := Message{Type: MsgVoteResponse, Reject: !grant}
	if m.Type == MsgPreVote {
		response.Type = MsgPreVoteResponse
		if grant {
			response.Term = m.Term
		}
		n.respond(m, response)
		return
	}
	if grant {
		n.vote = m.From
		n.resetElection()
	}
	n.respond(m, response)
}

func (n *Node) handleVoteResponse(m Message) {
	expected := n.role == PreCandidate && m.Type == MsgPreVoteResponse || n.role == Candidate && m.Type == MsgVoteResponse
	if !expected || m.Type == MsgPreVoteResponse && !m.Reject && m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes()
}

func (n *Node) countVotes() {
	members := n.Membership()
	granted, refused := 0, 0
	for _, member := range members.Members {
		if member.Learner {
			continue
		}
		vote, answered := n.votes[member.ID]
		switch {
		case answered && vote:
			granted++
		case answered:
			refused++
		}
	}
	switch {
	case granted >= members.Majority() && n.role == PreCandidate:
		n.campaign(Candidate, false)
	case granted >= members.Majority() && !n.ownVoteOutstanding():
		n.becomeLeader()
	case members.Voters()-refused < members.Majority():
		n.becomeFollower(n.term, None)
	}
}

// ownVoteOutstanding reports whether this member's own vote is not yet synced. It
// matters to a member that wins by its own vote alone; a response from another
// member proves that the vote is synced, since requests are sent after the sync.
func (n *Node) ownVoteOutstanding() bool {
	return n.saved.Term != n.term || n.saved.Vote != n.config.ID
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.config.ID
	n.votes = nil
	n.transferee = None
	n.reads = readQueue{}
	n.elapsed = 0
	n.progress = map[ID]*progress{}
	n.recentCommit, n.earlierCommit, n.sinceSample = n.log.commit, n.log.commit, 0
	n.syncProgress()
	// Entries of earlier terms are committed only through a later entry of this
	// term: a later leader may overwrite them even if a majority holds them.
	n.append(Entry{Kind: EntryBlank})
}

// tickLeader sends heartbeats, and steps down if no majority responded within an
// election timeout. Otherwise a leader in a silent network partition could accept
// proposals for hours that never commit, while its callers wait instead of trying
// another member.
func (n *Node) tickLeader() {
	for _, id := range n.memberIDs() {
		if p := n.progress[id]; p != nil && id != n.config.ID {
			p.idle++
		}
	}
	if n.reachableVoters(n.Membership()) < n.Membership().Majority() {
		n.becomeFollower(n.term, None)
		return
	}
	n.sampleCommit()
	if n.transferee != None && n.elapsed >= n.config.ElectionTicks {
		n.transferee = None
	}
	if n.ticks%n.config.HeartbeatTicks == 0 {
		n.broadcastHeartbeat()
	}
}

// Transfer transfers leadership to a voter as soon as it holds the whole log. The
// attempt is abandoned after an election timeout.
func (n *Node) Transfer(to ID) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if to == n.config.ID || !n.Membership().IsVoter(to) {
		return ErrNoSuchMember
	}
	n.transferee = to
	n.elapsed = 0
	n.tryTransfer()
	return nil
}

func (n *Node) tryTransfer() {
	p := n.progress[n.transferee]
	if p == nil {
		return
	}
	if p.match == n.log.lastIndex() {
		n.send(Message{Type: MsgTimeoutNow, To: n.transferee})
		return
	}
	n.sendAppend(n.transferee)
}
