package replica

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/rpc"
)

const (
	// reconcileInterval also paces repairs: one membership change of one group
	// in each.
	reconcileInterval = 100 * time.Millisecond
	// candidateTTL is how long a blank member counts after it was heard: over two
	// rounds of a spare.
	candidateTTL = 5 * time.Second
)

// ReasonNoCandidate is the reason of a replacement that has nobody to put in.
const ReasonNoCandidate apierr.Reason = "no_blank_member"

// candidate is a blank member that waits to be taken in.
type candidate struct {
	member quorum.Member
	heard  time.Time
}

// replacement is an operator's order to put New in the place of Old.
type replacement struct {
	Old quorum.ID     `cbor:"1,keyasint"`
	New quorum.Member `cbor:"2,keyasint"`
}

func (h *Host) noteCandidate(member quorum.Member) {
	member.Learner = false
	h.mu.Lock()
	defer h.mu.Unlock()
	h.candidates[member.ID] = candidate{member: member, heard: time.Now()}
}

// freshCandidates gives the blank members heard lately, in order of ID.
func (h *Host) freshCandidates() []quorum.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	var members []quorum.Member
	for id, c := range h.candidates {
		if time.Since(c.heard) > candidateTTL {
			delete(h.candidates, id)
			continue
		}
		members = append(members, c.member)
	}
	return quorum.NewMembership(members...).Members
}

// repairView is what the next step of a repair depends on.
type repairView struct {
	members    []quorum.MemberStatus
	candidates []quorum.Member
	target     int // voters that the group should have
	lostTicks  int // unheard for as long, a member is lost; 0: never by itself
	request    *replacement
	preferred  string   // class of which members are taken as far as there are any
	retiring   []string // VMs that are to hold nothing any more
	least      int      // voters that must stay when a retiring one has no successor
	self       quorum.ID
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
	if old, ok := v.retired(); ok && (voters > v.target || voters > v.least && !v.hasSpare()) {
		return quorum.Change{Kind: quorum.Remove, Member: old}, true
	}
	if old, ok := v.surplus(voters); ok {
		return quorum.Change{Kind: quorum.Remove, Member: old}, true
	}
	if old, ok := v.lostDisk(); ok {
		return quorum.Change{Kind: quorum.Remove, Member: old}, true
	}
	if v.request != nil {
		if v.has(v.request.Old) && !v.has(v.request.New.ID) {
			return quorum.Change{Kind: quorum.AddLearner, Member: v.request.New}, true
		}
		return quorum.Change{}, false
	}
	if blank, ok := v.blankDisk(); ok {
		return quorum.Change{Kind: quorum.AddLearner, Member: blank}, true
	}
	_, retires := v.retired()
	if blank, ok := v.spare(); ok && (voters < v.target || retires || v.betterThanSome(blank)) {
		return quorum.Change{Kind: quorum.AddLearner, Member: blank}, true
	}
	if blank, ok := v.spare(); ok && v.needsSuccessor(voters, blank) {
		return quorum.Change{Kind: quorum.AddLearner, Member: blank}, true
	}
	return quorum.Change{}, false
}

// needsSuccessor says whether a blank disk is to take the place of a lost voter.
// One of another class does so only if the voters left could not bear as many
// further losses as the group is made for: a VM that is frozen for a while comes
// back, and has to begin anew if it was replaced.
func (v repairView) needsSuccessor(voters int, blank quorum.Member) bool {
	lost := 0
	for _, member := range v.members {
		if v.lost(member) {
			lost++
		}
	}
	wellPlaced := v.preferred == "" || blank.Class == v.preferred
	bearable := (v.least - 1) / 2
	return lost > 0 && (wellPlaced || voters-lost-bearable < voters/2+1)
}

func (v repairView) retires(vm string) bool { return slices.Contains(v.retiring, vm) }

// retired gives a voter whose VM is to hold nothing any more, the leader last.
func (v repairView) retired() (quorum.Member, bool) {
	var found quorum.Member
	for _, member := range v.members {
		if v.retires(member.VM) && (found.ID == quorum.None || found.ID == v.self) {
			found = member.Member
		}
	}
	return found, found.ID != quorum.None
}

func (v repairView) hasSpare() bool {
	_, ok := v.spare()
	return ok
}

// blankDisk gives a blank disk on the VM of a member. A VM has one disk, so the
// member's is gone for good and there is nothing to wait for: until the new one
// counts, the group can bear one loss less.
func (v repairView) blankDisk() (quorum.Member, bool) {
	if v.lostTicks == 0 {
		return quorum.Member{}, false
	}
	for _, blank := range v.candidates {
		if v.retires(blank.VM) {
			continue
		}
		replaces := func(m quorum.MemberStatus) bool { return m.VM == blank.VM && m.IdleTicks > 0 }
		if slices.ContainsFunc(v.members, replaces) && !v.has(blank.ID) {
			return blank, true
		}
	}
	return quorum.Member{}, false
}

// lostDisk gives a voter on whose VM a newer disk votes.
func (v repairView) lostDisk() (quorum.Member, bool) {
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

// spare gives a blank disk on a VM that has no member yet, of the preferred class
// if there is one.
func (v repairView) spare() (quorum.Member, bool) {
	var found quorum.Member
	for _, blank := range v.candidates {
		onVM := func(m quorum.MemberStatus) bool { return m.VM == blank.VM }
		if slices.ContainsFunc(v.members, onVM) || v.retires(blank.VM) {
			continue
		}
		if found.ID == quorum.None || (blank.Class == v.preferred && found.Class != v.preferred) {
			found = blank
		}
	}
	return found, found.ID != quorum.None
}

func (v repairView) finishLearner(learner quorum.MemberStatus) (quorum.Change, bool) {
	if v.lost(learner) || v.retires(learner.VM) {
		return quorum.Change{Kind: quorum.Remove, Member: learner.Member}, true
	}
	return quorum.Change{Kind: quorum.Promote, Member: learner.Member}, learner.Reachable
}

// surplus gives the voter that a new one has replaced.
func (v repairView) surplus(voters int) (quorum.Member, bool) {
	if v.request != nil && v.has(v.request.New.ID) {
		for _, member := range v.members {
			if member.ID == v.request.Old {
				return member.Member, true
			}
		}
	}
	if voters <= v.target {
		return quorum.Member{}, false
	}
	for _, member := range v.members {
		if v.lost(member) {
			return member.Member, true
		}
	}
	if v.someSilent() {
		return quorum.Member{}, false
	}
	return v.leastPreferred()
}

// someSilent says whether a voter is not heard, lost or not. No live voter of
// another class leaves then: of five voters with a lost one among them each that
// leaves brings the group nearer to its end, and the lost one stays.
func (v repairView) someSilent() bool {
	return slices.ContainsFunc(v.members, func(m quorum.MemberStatus) bool { return !m.Learner && !m.Reachable })
}

// leastPreferred gives a voter of another class than the preferred one, the
// leader last.
func (v repairView) leastPreferred() (quorum.Member, bool) {
	var least quorum.Member
	for _, member := range v.members {
		if v.preferred != "" && member.Class != v.preferred && (least.ID == quorum.None || least.ID == v.self) {
			least = member.Member
		}
	}
	return least, least.ID != quorum.None
}

// betterThanSome says whether a blank disk of the preferred class could take the
// place of a voter of another.
func (v repairView) betterThanSome(blank quorum.Member) bool {
	_, other := v.leastPreferred()
	return other && blank.Class == v.preferred
}

func (v repairView) has(id quorum.ID) bool {
	return slices.ContainsFunc(v.members, func(m quorum.MemberStatus) bool { return m.ID == id })
}

func (v repairView) lost(member quorum.MemberStatus) bool {
	return v.lostTicks > 0 && member.IdleTicks >= v.lostTicks
}

func (h *Host) runReplacement() {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
			h.reconcile()
		}
	}
}

// reconcile makes one change in one of the groups that this VM leads.
func (h *Host) reconcile() {
	view := repairView{
		candidates: h.freshCandidates(),
		target:     h.config.targetVoters(),
		lostTicks:  int(h.config.ReplaceAfter / h.config.Tick),
		retiring:   h.retiringVMs(),
		least:      h.config.LeastVoters,
	}
	for _, g := range h.groups {
		if g.reconcile(view) {
			return
		}
	}
}

func (g *group) reconcile(view repairView) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.node.IsLeader() {
		return false
	}
	view.members = g.node.Status().Members
	view.preferred, view.self = g.host.config.preferred(g.id), g.host.self.ID
	view.request = g.request
	if g.request != nil && !view.has(g.request.Old) && view.has(g.request.New.ID) {
		g.request = nil
	}
	change, ok := nextChange(view)
	if !ok {
		g.preferLeader(view)
		return false
	}
	if _, err := g.node.ProposeChange(change); err != nil {
		return false
	}
	g.host.logger.Info("membership change", zap.Uint32("group", g.id), zap.Uint8("kind", uint8(change.Kind)),
		zap.Stringer("member", change.Member.ID), zap.String("vm", change.Member.VM))
	g.flush()
	return true
}

// betterLeader gives a voter of the preferred class that could lead in place of
// one of another class.
func (v repairView) betterLeader() (quorum.ID, bool) {
	var best quorum.MemberStatus
	for _, member := range v.members {
		if member.ID == v.self && (member.Class == v.preferred || v.preferred == "") {
			return quorum.None, false
		}
		able := member.Class == v.preferred && member.Reachable && !member.Learner && !v.retires(member.VM)
		if able && (best.ID == quorum.None || member.Match > best.Match) {
			best = member
		}
	}
	return best.ID, best.ID != quorum.None
}

// preferLeader hands the group over to a voter of the preferred class. The VMs of
// that class have the processor for it, and the loss of one VM then does not take
// the leader of the configuration with that of the jobs. The mutex is held.
func (g *group) preferLeader(view repairView) {
	better, ok := view.betterLeader()
	if !ok {
		return
	}
	if err := g.node.Transfer(better); err != nil {
		return // a transfer is under way, or the member has just left
	}
	g.host.logger.Info("leadership handed to the preferred class", zap.Uint32("group", g.id), zap.Stringer("member", better))
	g.flush()
}

// retireRequest names the VMs that are to hold nothing any more.
type retireRequest struct {
	VMs []string `cbor:"1,keyasint"`
}

// Retire tells the leaders of all groups which VMs are to hold nothing any more,
// and says whether any of these is still a member. The leaders forget it when
// they fail: tell them again until it is done.
func (h *Host) Retire(ctx context.Context, vms []string) (left []string, err error) {
	request := &retireRequest{VMs: vms}
	for id := range h.Groups() {
		leader, ok := h.Leader(id)
		if !ok {
			return vms, &NotLeaderError{Group: id}
		}
		if leader.ID == h.self.ID {
			_, err = h.serveRetire(ctx, request)
		} else {
			_, err = rpc.Call(ctx, h.transport.client, leader.Address, procedureRetire, request)
		}
		if err != nil {
			return vms, err
		}
	}
	for _, group := range h.LeaderStatus(ctx) {
		if !group.Confirmed {
			return vms, &NotLeaderError{Group: group.Group}
		}
		for _, member := range group.Members {
			if slices.Contains(vms, member.VM) && !slices.Contains(left, member.VM) {
				left = append(left, member.VM)
			}
		}
	}
	return left, nil
}

func (h *Host) serveRetire(_ context.Context, request *retireRequest) (*ack, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retiring = request.VMs
	return &ack{}, nil
}

func (h *Host) retiringVMs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.retiring
}

// replaceRequest asks the leader of a group to replace a member.
type replaceRequest struct {
	Group uint32 `cbor:"1,keyasint"`
	OldVM string `cbor:"2,keyasint"`
	NewVM string `cbor:"3,keyasint"`
}

// ReplaceMember orders, in every group, that the member on oldVM be replaced by
// the blank disk that waits on newVM; the two may be the same VM. It returns
// once the leaders have taken the order; Status shows how far it is. A leader
// that fails meanwhile forgets it: order again.
func (h *Host) ReplaceMember(ctx context.Context, oldVM, newVM string) error {
	for id := range h.Groups() {
		request := replaceRequest{Group: id, OldVM: oldVM, NewVM: newVM}
		leader, ok := h.Leader(id)
		if !ok {
			return &NotLeaderError{Group: id}
		}
		if leader.ID == h.self.ID {
			if _, err := h.serveReplace(ctx, &request); err != nil {
				return err
			}
			continue
		}
		if _, err := rpc.Call(ctx, h.transport.client, leader.Address, procedureReplace, &request); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) serveReplace(_ context.Context, request *replaceRequest) (*ack, error) {
	if request.Group >= uint32(len(h.groups)) {
		return nil, fmt.Errorf("no group %d", request.Group)
	}
	candidates := h.freshCandidates()
	g := h.groups[request.Group]
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.node.IsLeader() {
		return nil, g.notLeader()
	}
	return &ack{}, g.orderReplacement(request, candidates)
}

// orderReplacement is idempotent: a group in which the new disk has taken the
// place already needs no order.
func (g *group) orderReplacement(request *replaceRequest, candidates []quorum.Member) error {
	members := g.node.Membership().Members
	onNew := func(m quorum.Member) bool { return m.VM == request.NewVM }
	blank := slices.IndexFunc(candidates, onNew)
	var old, fresh *quorum.Member
	for i, member := range members {
		switch {
		case blank >= 0 && member.ID == candidates[blank].ID, member.VM == request.NewVM && member.Learner:
			fresh = &members[i]
		case member.VM == request.OldVM && old == nil:
			old = &members[i]
		}
	}
	if fresh == nil && blank >= 0 {
		fresh = &candidates[blank]
	}
	switch {
	case old == nil && fresh != nil:
		return nil
	case old == nil:
		return apierr.New(apierr.NotFound, "no_member", "see the list of members", "group %d has no member on VM %s", g.id, request.OldVM)
	case fresh == nil:
		return apierr.New(apierr.Conflict, ReasonNoCandidate, "start its daemon with an empty data folder first",
			"no blank member on VM %s has been heard", request.NewVM)
	}
	g.request = &replacement{Old: old.ID, New: *fresh}
	return nil
}
