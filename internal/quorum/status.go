package quorum

// Status is a member's view of its group.
type Status struct {
	ID      ID
	Role    Role
	Leader  ID
	Term    uint64
	Commit  uint64
	Applied uint64
	Last    uint64 // last index of the log
	Members []MemberStatus
	// The following fields are set by the leader only.
	Reachable int // voters that respond and are up to date or nearly so
	// Tolerance is the number of reachable voters that may be lost, one after the
	// other, before the group stops accepting changes.
	Tolerance int
	// Settled is true if no membership change is in progress.
	Settled bool
}

// MemberStatus is a leader's view of a member. Other members fill in only Member.
type MemberStatus struct {
	Member
	Match     uint64
	IdleTicks int // ticks since the last message of the member
	State     ProgressState
	Reachable bool
}

// Status returns this member's view of its group.
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

// follows reports whether a member responds, replicates entry by entry, and holds the
// entries that were committed an election timeout ago. A member that has just returned
// after a long absence does not, so the group cannot yet rely on its copy of the log.
func (n *Node) follows(p *progress) bool {
	return p.state == Replicating && p.idle < n.config.ElectionTicks && p.match >= n.earlierCommit
}

// NeededAfter returns the lowest index after which a reachable member still needs the
// entries in this leader's memory; the applied index if none does.
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

// sampleCommit records the commit index once per election timeout.
func (n *Node) sampleCommit() {
	n.sinceSample++
	if n.sinceSample >= n.config.ElectionTicks {
		n.earlierCommit, n.recentCommit = n.recentCommit, n.log.commit
		n.sinceSample = 0
	}
}

// tolerance returns the number of following voters beyond a majority. While a membership
// change is uncommitted, it is the lower of the numbers under both memberships: if this
// leader is lost, the others may not have the change and still need a majority of the
// old members, which may include a lost one.
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
