package replica

import (
	"slices"

	"slateway.example/slateway/internal/quorum"
)

// repairView is the input from which nextChange determines the next membership change
// of a group.
type repairView struct {
	members        []quorum.MemberStatus
	candidates     []quorum.Member
	targetVoters   int // number of voters that the group should have
	lostTicks      int // a member without contact for this long is lost; 0: no member is
	replacement    *replacement
	preferredClass string   // class from which members are chosen while any are available
	retiring       []string // VMs that must not be members of any group
	minVoters      int      // voters that remain when a retiring one has no replacement
	self           quorum.ID
}

// nextChange returns the next membership change of a repair. It keeps no state of its own,
// so a new leader continues the repair from the membership. A new member joins as a learner,
// becomes a voter once it holds the whole log, and only then is the old one removed. In the
// opposite order a group of three would have two voters, and tolerate no loss, for as long
// as the transfer takes.
func nextChange(v repairView) (quorum.Change, bool) {
	voters := 0
	for _, member := range v.members {
		if member.Learner {
			return v.finishLearner(member)
		}
		voters++
	}
	if old, ok := v.retiringMember(); ok && (voters > v.targetVoters || voters > v.minVoters && !v.hasStandby()) {
		return quorum.Change{Kind: quorum.Remove, Member: old}, true
	}
	if old, ok := v.surplusVoter(voters); ok {
		return quorum.Change{Kind: quorum.Remove, Member: old}, true
	}
	if old, ok := v.replacedDisk(); ok {
		return quorum.Change{Kind: quorum.Remove, Member: old}, true
	}
	if v.replacement != nil {
		if v.hasMember(v.replacement.Old) && !v.hasMember(v.replacement.New.ID) {
			return quorum.Change{Kind: quorum.AddLearner, Member: v.replacement.New}, true
		}
		return quorum.Change{}, false
	}
	if blank, ok := v.newDiskOfMember(); ok {
		return quorum.Change{Kind: quorum.AddLearner, Member: blank}, true
	}
	_, retiring := v.retiringMember()
	if blank, ok := v.standby(); ok && (voters < v.targetVoters || retiring || v.improvesClass(blank)) {
		return quorum.Change{Kind: quorum.AddLearner, Member: blank}, true
	}
	if blank, ok := v.standby(); ok && v.needsReplacement(voters, blank) {
		return quorum.Change{Kind: quorum.AddLearner, Member: blank}, true
	}
	return quorum.Change{}, false
}

// needsReplacement reports whether a standby should replace a lost voter. A standby of
// another class than the preferred one does so only if the remaining voters could not
// tolerate as many further losses as the group is designed for: a VM that only froze
// for a while comes back, and would have to join again with an empty data folder if it
// had been replaced.
func (v repairView) needsReplacement(voters int, blank quorum.Member) bool {
	lost := 0
	for _, member := range v.members {
		if v.isLost(member) {
			lost++
		}
	}
	matchesClass := v.preferredClass == "" || blank.Class == v.preferredClass
	tolerated := (v.minVoters - 1) / 2
	return lost > 0 && (matchesClass || voters-lost-tolerated < voters/2+1)
}

// isRetiring reports whether the VM is being retired.
func (v repairView) isRetiring(vm string) bool { return slices.Contains(v.retiring, vm) }

// retiringMember returns a member whose VM is being retired, the leader last.
func (v repairView) retiringMember() (quorum.Member, bool) {
	var found quorum.Member
	for _, member := range v.members {
		if v.isRetiring(member.VM) && (found.ID == quorum.None || found.ID == v.self) {
			found = member.Member
		}
	}
	return found, found.ID != quorum.None
}

func (v repairView) hasStandby() bool {
	_, ok := v.standby()
	return ok
}

// newDiskOfMember returns a blank disk on the VM of a member. A VM has one disk, so
// the member's old disk is gone permanently and the replacement need not wait: until
// the new disk is a voter, the group tolerates one loss less.
func (v repairView) newDiskOfMember() (quorum.Member, bool) {
	if v.lostTicks == 0 {
		return quorum.Member{}, false
	}
	for _, blank := range v.candidates {
		if v.isRetiring(blank.VM) {
			continue
		}
		replaces := func(m quorum.MemberStatus) bool { return m.VM == blank.VM && m.IdleTicks > 0 }
		if slices.ContainsFunc(v.members, replaces) && !v.hasMember(blank.ID) {
			return blank, true
		}
	}
	return quorum.Member{}, false
}

// replacedDisk returns an unreachable member whose VM has a newer, reachable disk
// in the group.
func (v repairView) replacedDisk() (quorum.Member, bool) {
	for _, old := range v.members {
		newer := func(m quorum.MemberStatus) bool {
			return m.VM == old.VM && m.ID != old.ID && m.Reachable && m.IdleTicks < old.IdleTicks
		}
		if v.lostTicks > 0 && !old.Reachable && slices.ContainsFunc(v.members, newer) {
			return old.Member, true
		}
	}
	return quorum.Member{}, false
}

// standby returns a blank disk on a VM that has no member yet, of the preferred class
// if there is one.
func (v repairView) standby() (quorum.Member, bool) {
	var found quorum.Member
	for _, blank := range v.candidates {
		onVM := func(m quorum.MemberStatus) bool { return m.VM == blank.VM }
		if slices.ContainsFunc(v.members, onVM) || v.isRetiring(blank.VM) {
			continue
		}
		if found.ID == quorum.None || (blank.Class == v.preferredClass && found.Class != v.preferredClass) {
			found = blank
		}
	}
	return found, found.ID != quorum.None
}

// finishLearner returns the change that promotes the learner, or removes it if it is
// lost or its VM is being retired.
func (v repairView) finishLearner(learner quorum.MemberStatus) (quorum.Change, bool) {
	if v.isLost(learner) || v.isRetiring(learner.VM) {
		return quorum.Change{Kind: quorum.Remove, Member: learner.Member}, true
	}
	return quorum.Change{Kind: quorum.Promote, Member: learner.Member}, learner.Reachable
}

// surplusVoter returns a voter to remove: the one that an operator's request replaced
// or, if there are more voters than the target, a lost one or one of another class
// than the preferred one.
func (v repairView) surplusVoter(voters int) (quorum.Member, bool) {
	if v.replacement != nil && v.hasMember(v.replacement.New.ID) {
		for _, member := range v.members {
			if member.ID == v.replacement.Old {
				return member.Member, true
			}
		}
	}
	if voters <= v.targetVoters {
		return quorum.Member{}, false
	}
	for _, member := range v.members {
		if v.isLost(member) {
			return member.Member, true
		}
	}
	if v.anyVoterUnreachable() {
		return quorum.Member{}, false
	}
	return v.voterOfOtherClass()
}

// anyVoterUnreachable reports whether a voter is unreachable, lost or not. While one
// is, no live voter of another class is removed: in a group of five with a lost voter,
// each such removal would bring the group closer to losing its majority while the lost
// voter stays.
func (v repairView) anyVoterUnreachable() bool {
	return slices.ContainsFunc(v.members, func(m quorum.MemberStatus) bool { return !m.Learner && !m.Reachable })
}

// voterOfOtherClass returns a voter of another class than the preferred one, the
// leader last.
func (v repairView) voterOfOtherClass() (quorum.Member, bool) {
	var found quorum.Member
	for _, member := range v.members {
		if v.preferredClass != "" && member.Class != v.preferredClass && (found.ID == quorum.None || found.ID == v.self) {
			found = member.Member
		}
	}
	return found, found.ID != quorum.None
}

// improvesClass reports whether a blank disk of the preferred class could replace a
// voter of another class.
func (v repairView) improvesClass(blank quorum.Member) bool {
	_, other := v.voterOfOtherClass()
	return other && blank.Class == v.preferredClass
}

func (v repairView) hasMember(id quorum.ID) bool {
	return slices.ContainsFunc(v.members, func(m quorum.MemberStatus) bool { return m.ID == id })
}

// isLost reports whether the member has been without contact for lostTicks.
func (v repairView) isLost(member quorum.MemberStatus) bool {
	return v.lostTicks > 0 && member.IdleTicks >= v.lostTicks
}

// preferredLeader returns a voter of the preferred class that could lead in place of
// one of another class.
func (v repairView) preferredLeader() (quorum.ID, bool) {
	var best quorum.MemberStatus
	for _, member := range v.members {
		if member.ID == v.self && (member.Class == v.preferredClass || v.preferredClass == "") {
			return quorum.None, false
		}
		eligible := member.Class == v.preferredClass && member.Reachable && !member.Learner && !v.isRetiring(member.VM)
		if eligible && (best.ID == quorum.None || member.Match > best.Match) {
			best = member
		}
	}
	return best.ID, best.ID != quorum.None
}
