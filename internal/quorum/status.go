package quorum

// Status is what a member knows of its group.
type Status struct {
	ID      ID
	Role    Role
	Leader  ID
	Term    uint64
	Commit  uint64
	Applied uint64
	Last    uint64 // last index of the log
	Members []MemberStatus
	// The following are known to the leader only.
	Reachable int // voters that answer and hold, or are taking, the log
	// Tolerance is how many of the reachable voters may be lost, one after the
	// other, before the group stops taking changes.
	Tolerance int
	// Settled: no change of membership is under way.
	Settled bool
}

// MemberStatus is a leader's view of a member. Others know only the Member.
type MemberStatus struct {
	Member
	Match     uint64
	IdleTicks int // since the member was last heard
	State     ProgressState
	Reachable bool
}

// Status gives the member's view of its group.
func (n *Node) Status() Status {
	s := Status{
		ID: n.config.ID, Role: n.role, Leader: n.leader, Term: n.term,
		Commit: n.log.commit, Applied: n.log.applied, Last: n.log.lastIndex(),
	}
	for _, member := range n.Membership().Members {
		view := MemberStatus{Member: member}
		if p := n.progress[member.ID]; p != nil {
			view.Match, view.IdleTicks, view.State = p.match, p.idle, p.state
			view.Reachable = member.ID == n.config.ID || n.follows(p)
		}
		if view.Reachable && !member.Learner {
			s.Reachable++
		}
		s.Members = append(s.Members, view)
	}
	if n.role == Leader {
		s.Tolerance = n.tolerance()
		s.Settled = n.log.membershipIndex() <= n.log.commit && n.committedInTerm()
	}
	return s
}

// follows says whether a member answers, takes the log entry by entry, and holds
// what was committed an election timeout ago. One that has just come back after
// long does not: without it the state of the others is no less needed.
func (n *Node) follows(p *progress) bool {
	return p.state == Replicating && p.idle < n.config.ElectionTicks && p.match >= n.earlierCommit
}

// NeededAfter gives the index after which some member in reach still needs
// entries of this leader's memory; the applied index if none does.
func (n *Node) NeededAfter() uint64 {
	needed := n.log.applied
	for _, id := range n.memberIDs() {
		p := n.progress[id]
		if p == nil || id == n.config.ID || p.state == Snapshotting || p.idle >= n.config.ElectionTicks {
			continue
		}
		held := p.match
		if p.state == Probing {
			held = p.next - 1
		}
		if held >= n.log.offset {
			needed = min(needed, held)
		}
	}
	return needed
}

// markCommit remembers, every election timeout, what was committed by then.
func (n *Node) markCommit() {
	n.sinceMark++
	if n.sinceMark >= n.config.ElectionTicks {
		n.earlierCommit, n.recentCommit = n.recentCommit, n.log.commit
		n.sinceMark = 0
	}
}

// tolerance counts under both memberships while a change is not committed. If
// this leader is lost then, the others may never have seen the change: they
// still need a majority of the old members, among them perhaps a lost one.
func (n *Node) tolerance() int {
	return min(n.toleranceOf(n.Membership()), n.toleranceOf(n.log.membershipAt(n.log.commit)))
}

func (n *Node) toleranceOf(m Membership) int {
	following := 0
	for _, member := range m.Members {
		p := n.progress[member.ID]
		if !member.Learner && (member.ID == n.config.ID || p != nil && n.follows(p)) {
			following++
		}
	}
	return following - m.Majority()
}
