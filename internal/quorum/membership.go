package quorum

import (
	"cmp"
	"slices"
)

// Member is one member of a group.
type Member struct {
	ID      ID     `cbor:"1,keyasint"`
	VM      string `cbor:"2,keyasint,omitempty"`
	Address string `cbor:"3,keyasint,omitempty"` // peer address, IP and port
	Learner bool   `cbor:"4,keyasint,omitempty"` // receives the log, has no vote
	Class   string `cbor:"5,keyasint,omitempty"` // kind of VM, by which groups choose their members
}

// Membership is the set of members of a group, in ascending order of ID.
type Membership struct {
	Members []Member `cbor:"1,keyasint"`
}

// NewMembership sorts members by ID.
func NewMembership(members ...Member) Membership {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return Membership{Members: sorted}
}

// Find gives the member of this ID.
func (m Membership) Find(id ID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter says whether id is a member with a vote.
func (m Membership) IsVoter(id ID) bool {
	member, ok := m.Find(id)
	return ok && !member.Learner
}

// Voters counts the members with a vote.
func (m Membership) Voters() int {
	voters := 0
	for _, member := range m.Members {
		if !member.Learner {
			voters++
		}
	}
	return voters
}

// Majority is the least number of voters that any two majorities share one of.
func (m Membership) Majority() int { return m.Voters()/2 + 1 }

func (m Membership) with(member Member) Membership {
	return NewMembership(append(m.without(member.ID).Members, member)...)
}

func (m Membership) without(id ID) Membership {
	kept := slices.DeleteFunc(slices.Clone(m.Members), func(member Member) bool { return member.ID == id })
	return Membership{Members: kept}
}

// ChangeKind names the changes of membership.
type ChangeKind uint8

// Changes of membership. Each alters the set of voters by one at most, so a
// majority before and a majority after always share a voter.
const (
	AddLearner ChangeKind = iota + 1
	Promote
	Remove
)

// Change is one change of membership.
type Change struct {
	Kind   ChangeKind
	Member Member // only its ID matters for Promote and Remove
}

// ProposeChange appends a change of membership. One change is in progress at a
// time, and only after the leader has committed an entry of its own term:
// otherwise two leaders could each have appended one, and majorities of the two
// resulting memberships need not share a voter.
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
	next, err := n.changed(change)
	if err != nil {
		return 0, err
	}
	index = n.append(Entry{Kind: EntryMembership, Membership: &next})
	return index, nil
}

func (n *Node) changed(change Change) (Membership, error) {
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

// caughtUp guards a promotion. A learner that counted before it held every
// committed entry would make the loss of one more VM a loss of acknowledged
// changes: the majority that remains would include a member without them.
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

// adopt makes progress follow the membership in force.
func (n *Node) adopt() {
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
