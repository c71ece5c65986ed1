package quorum

func (n *Node) resetElection() {
	n.elapsed = 0
	n.timeout = n.config.ElectionTicks + n.config.Rand(n.config.ElectionTicks)
	if members := n.Membership(); members.Voters() == 1 && members.IsVoter(n.config.ID) {
		n.timeout = 1 // nobody else could lead
	}
}

// hasten shortens the wait of a member that has just started: two heartbeats, and
// as much again by lot as half an election timeout.
//
// After all members were stopped at once nobody leads, and each would wait for a
// whole election timeout, in which nothing is acknowledged. If a leader does live,
// its heartbeat arrives first, and a pre-vote that is asked all the same is
// refused by those who hear it.
func (n *Node) hasten() {
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

// campaign asks for votes. A pre-vote comes first, in which no term changes: a
// member that was cut off would otherwise raise its term again and again and
// depose a working leader when it is back.
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

// requestVote sends a vote request after this member's own vote is synced. A
// candidate that forgot it in a restart could vote for another in the term.
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

// ownVoteOutstanding holds back a member that would win by its own vote alone
// until that vote is synced; any other answer proves that it is.
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
	n.recentCommit, n.earlierCommit, n.sinceMark = n.log.commit, n.log.commit, 0
	n.adopt()
	// Entries of earlier terms count as committed only below one of this term:
	// a majority may hold them and a later leader still overwrite them.
	n.append(Entry{Kind: EntryBlank})
}

// tickLeader also steps down when no majority was heard within the lease. A
// leader that is cut off silently would otherwise take proposals for hours that
// can never commit, and its callers would wait instead of trying elsewhere.
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
	n.markCommit()
	if n.transferee != None && n.elapsed >= n.config.ElectionTicks {
		n.transferee = None
	}
	if n.ticks%n.config.HeartbeatTicks == 0 {
		n.broadcastHeartbeat()
	}
}

// Transfer hands leadership to a voter as soon as it holds the whole log. It is
// given up after an election timeout.
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
