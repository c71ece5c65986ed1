package replica

import (
	"slices"

	"slateway.example/slateway/internal/quorum"
)

// repairView is what the next step of a repair depends on.
type repairView struct {
	members        []quorum.MemberStatus
	candidates     []quorum.Member
	target         int // voters that the group should have
	lostTicks      int // unheard for as long, a member is lost; 0: never by itself
	replacement    *replacement
	preferredClass string   // class of which members are taken as far as there are any
	retiring       []string // VMs that are to hold nothing any more
	minVoters      int      // voters that must stay when a retiring one has no successor
	self           quorum.ID
}

// nextChange gives the next membership change of a repair. It keeps no state
// of its own: after a change of leader the next one goes on from the members.
//
// A new member joins as a learner, counts once it holds the whole log, and only
// then does the old one leave. The other order would leave two voters of three,
// without one to spare, for as long as the transfer takes.
func nextChange(v repairView) (quorum.Change, bool) {
	voters := 0
	for _, member := range v.members {
		if member.Learner {
			return v.finishLearner(member)
		}
		voters++
	}
	if old, ok := v.retiringMember(); ok && (voters > v.target || voters > v.minVoters && !v.hasStandby()) {
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
	_, retires := v.retiringMember()
	if blank, ok := v.standby(); ok && (voters < v.target || retires || v.improvesClass(blank)) {
		return quorum.Change{Kind: quorum.AddLearner, Member: blank}, true
	}
	if blank, ok := v.standby(); ok && v.needsReplacement(voters, blank) {
		return quorum.Change{Kind: quorum.AddLearner, Member: blank}, true
	}
	return quorum.Change{}, false
}

// needsReplacement says whether a blank disk is to take the place of a lost voter.
// One of another class does so only if the voters left could not bear as many
// further losses as the group is made for: a VM that is frozen for a while comes
// back, and has to begin anew if it was replaced.
func (v repairView) needsReplacement(voters int, blank quorum.Member) bool {
	lost := 0
	for _, member := range v.members {
		if v.isLost(member) {
			lost++
		}
	}
	wellPlaced := v.preferredClass == "" || blank.Class == v.preferredClass
	bearable := (v.minVoters - 1) / 2
	return lost > 0 && (wellPlaced || voters-lost-bearable < voters/2+1)
}

func (v repairView) isRetiring(vm string) bool { return slices.Contains(v.retiring, vm) }

// retiringMember gives a voter whose VM is to hold nothing any more, the leader last.
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

// newDiskOfMember gives a blank disk on the VM of a member. A VM has one disk, so the
// member's is gone for good and there is nothing to wait for: until the new one
// counts, the group can bear one loss less.
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

// replacedDisk gives a voter on whose VM a newer disk votes.
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

// standby gives a blank disk on a VM that has no member yet, of the preferred class
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

func (v repairView) finishLearner(learner quorum.MemberStatus) (quorum.Change, bool) {
	if v.isLost(learner) || v.isRetiring(learner.VM) {
		return quorum.Change{Kind: quorum.Remove, Member: learner.Member}, true
	}
	return quorum.Change{Kind: quorum.Promote, Member: learner.Member}, learner.Reachable
}

// surplusVoter gives the voter that a new one has replaced.
func (v repairView) surplusVoter(voters int) (quorum.Member, bool) {
	if v.replacement != nil && v.hasMember(v.replacement.New.ID) {
		for _, member := range v.members {
			if member.ID == v.replacement.Old {
				return member.Member, true
			}
		}
	}
	if voters <= v.target {
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

// anyVoterUnreachable says whether a voter is not heard, lost or not. No live voter of
// another class leaves then: of five voters with a lost one among them each that
// leaves brings the group nearer to its end, and the lost one stays.
func (v repairView) anyVoterUnreachable() bool {
	return slices.ContainsFunc(v.members, func(m quorum.MemberStatus) bool { return !m.Learner && !m.Reachable })
}

// voterOfOtherClass gives a voter of another class than the preferred one, the
// leader last.
func (v repairView) voterOfOtherClass() (quorum.Member, bool) {
	var least quorum.Member
	for _, member := range v.members {
		if v.preferredClass != "" && member.Class != v.preferredClass && (least.ID == quorum.None || least.ID == v.self) {
			least = member.Member
		}
	}
	return least, least.ID != quorum.None
}

// improvesClass says whether a blank disk of the preferred class could take the
// place of a voter of another.
func (v repairView) improvesClass(blank quorum.Member) bool {
	_, other := v.voterOfOtherClass()
	return other && blank.Class == v.preferredClass
}

func (v repairView) hasMember(id quorum.ID) bool {
	return slices.ContainsFunc(v.members, func(m quorum.MemberStatus) bool { return m.ID == id })
}

func (v repairView) isLost(member quorum.MemberStatus) bool {
	return v.lostTicks > 0 && member.IdleTicks >= v.lostTicks
}

// preferredLeader gives a voter of the preferred class that could lead in place of
// one of another class.
func (v repairView) preferredLeader() (quorum.ID, bool) {
	var best quorum.MemberStatus
	for _, member := range v.members {
		if member.ID == v.self && (member.Class == v.preferredClass || v.preferredClass == "") {
			return quorum.None, false
		}
		able := member.Class == v.preferredClass && member.Reachable && !member.Learner && !v.isRetiring(member.VM)
		if able && (best.ID == quorum.None || member.Match > best.Match) {
			best = member
		}
	}
	return best.ID, best.ID != quorum.None
}
