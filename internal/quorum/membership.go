package quorum

import (
	"cmp"
	"slices"
)

// Member describes a member of a group: its address, its VM and whether it votes.
type Member struct {
	ID      ID     `cbor:"1,keyasint"`
	VM      string `cbor:"2,keyasint,omitempty"`
	Address string `cbor:"3,keyasint,omitempty"` // peer address, IP and port
	Learner bool   `cbor:"4,keyasint,omitempty"` // receives the log without a vote
	Class   string `cbor:"5,keyasint,omitempty"` // class of the VM, used to select the members of a group
}

// Membership is the set of members of a group, in ascending order of ID.
type Membership struct {
	Members []Member `cbor:"1,keyasint"`
}

// NewMembership returns a membership of the given members, sorted by ID.
func NewMembership(members ...Member) Membership {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return Membership{Members: sorted}
}

// Find returns the member with this ID.
func (m Membership) Find(id ID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether id is a voting member.
func (m Membership) IsVoter(id ID) bool {
	member, ok := m.Find(id)
	return ok && !member.Learner
}

// Voters returns the number of voting members.
func (m Membership) Voters() int {
	voters := 0
	for _, member := range m.Members {
		if !member.Learner {
			voters++
		}
	}
	return voters
}

// Majority returns the smallest number of voters such that any two sets of that size
// have a voter in common.
func (m Membership) Majority() int { return m.Voters()/2 + 1 }

func (m Membership) with(member Member) Membership {
	return NewMembership(append(m.without(member.ID).Members, member)...)
}

func (m Membership) without(id ID) Membership {
	kept := slices.DeleteFunc(slices.Clone(m.Members), func(member Member) bool { return member.ID == id })
	return Membership{Members: kept}
}

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// Kinds of membership changes. Each adds or removes at most one voter, so a majority
// before the change and a majority after it always share a voter.
const (
	AddLearner ChangeKind = iota + 1
	Promote
	Remove
)

// Change is a membership change: its kind and the member that it concerns.
type Change struct {
	Kind   ChangeKind
	Member Member // only its ID matters for Promote and Remove
}

// ProposeChange appends a membership change. Only one change may be in progress, and
// only after the leader has committed an entry of its own term. Otherwise two leaders
// could each append one, and majorities of the two resulting memberships need not
// share a voter.
func (n *Node) ProposeChange(change Change) (index uint64, err error) {
	if n.role != Leader {
		return 0, ErrNotLeader
	}
	if n.transferee != None {
		return 0, ErrTransferring
	}
	if n.log.membershipIndex() > n.log.commit || !n.committedInTerm() {
		return 0, ErrChangePending
	}
	next, err := n.applyChange(change)
	if err != nil {
		return 0, err
	}
	index = n.append(Entry{Kind: EntryMembership, Membership: &next})
	return index, nil
}

func (n *Node) applyChange(change Change) (Membership, error) {
	current := n.Membership()
	member, known := current.Find(change.Member.ID)
	switch change.Kind {
	case AddLearner:
		if known {
			return Membership{}, ErrIsMember
		}
		learner := change.Member
		learner.Learner = true
		return current.with(learner), nil
	case Promote:
		if !known {
			return Membership{}, ErrNoSuchMember
		}
		if !member.Learner {
			return Membership{}, ErrIsMember
		}
		if !n.caughtUp(member.ID) {
			return Membership{}, ErrNotCaughtUp
		}
		member.Learner = false
		return current.with(member), nil
	default:
		if !known {
			return Membership{}, ErrNoSuchMember
		}
		next := current.without(member.ID)
		if !member.Learner && n.reachableVoters(next) < next.Majority() {
			return Membership{}, ErrUnsafeRemoval
		}
		return next, nil
	}
}

// caughtUp reports whether a learner holds every committed entry and may be promoted.
// If a learner voted before that, the loss of one more VM could lose acknowledged
// changes: the remaining majority would include a member without them.
func (n *Node) caughtUp(id ID) bool {
	p := n.progress[id]
	return p != nil && n.follows(p) && p.match >= n.log.commit
}

func (n *Node) reachableVoters(m Membership) int {
	reachable := 0
	for _, member := range m.Members {
		if member.Learner {
			continue
		}
		p := n.progress[member.ID]
		if member.ID == n.config.ID || p != nil && p.idle < n.config.ElectionTicks {
			reachable++
		}
	}
	return reachable
}

// syncProgress adds and removes entries of progress to match the membership in effect.
func (n *Node) syncProgress() {
	if n.role != Leader {
		return
	}
	members := n.Membership()
	for id := range n.progress {
		if _, ok := members.Find(id); !ok {
			delete(n.progress, id)
		}
	}
	for _, member := range members.Members {
		if n.progress[member.ID] == nil {
			n.progress[member.ID] = newProgress(n.log.lastIndex() + 1)
		}
	}
	if self := n.progress[n.config.ID]; self != nil {
		self.match = n.log.stable
	}
}
