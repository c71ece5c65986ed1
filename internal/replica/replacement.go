package replica

import (
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/quorum"
)

const (
	// reconcileInterval also paces repairs: one membership change of one group
	// in each.
	reconcileInterval = 100 * time.Millisecond
	// candidateTTL is how long a blank member counts after it was heard: over two
	// rounds of a spare.
	candidateTTL = 5 * time.Second
)

// candidate is a blank member that waits to be taken in.
type candidate struct {
	member      quorum.Member
	lastContact time.Time
}

func (h *Host) recordCandidate(member quorum.Member) {
	member.Learner = false
	h.mu.Lock()
	defer h.mu.Unlock()
	h.candidates[member.ID] = candidate{member: member, lastContact: time.Now()}
}

// NoteCandidates takes in the blank members that another VM has heard.
func (h *Host) NoteCandidates(members []quorum.Member) {
	for _, member := range members {
		h.recordCandidate(member)
	}
}

// Candidates gives the blank members heard lately.
func (h *Host) Candidates() []quorum.Member { return h.recentCandidates() }

// recentCandidates gives the blank members heard lately, in order of ID.
func (h *Host) recentCandidates() []quorum.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	var members []quorum.Member
	for id, c := range h.candidates {
		if time.Since(c.lastContact) > candidateTTL {
			delete(h.candidates, id)
			continue
		}
		members = append(members, c.member)
	}
	return quorum.NewMembership(members...).Members
}

func (h *Host) runReconcile() {
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
		candidates: h.recentCandidates(),
		target:     h.config.targetVoters(),
		lostTicks:  int(h.config.ReplaceAfter / h.config.Tick),
		retiring:   h.retiringVMs(),
		minVoters:  h.config.LeastVoters,
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
	view.preferredClass, view.self = g.host.config.preferredClass(g.id), g.host.self.ID
	view.replacement = g.pendingReplacement
	if g.pendingReplacement != nil && !view.hasMember(g.pendingReplacement.Old) && view.hasMember(g.pendingReplacement.New.ID) {
		g.pendingReplacement = nil
	}
	change, ok := nextChange(view)
	if !ok {
		g.transferToPreferredClass(view)
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

// transferToPreferredClass hands the group over to a voter of the preferred class. The VMs of
// that class have the processor for it, and the loss of one VM then does not take
// the leader of the configuration with that of the jobs. The mutex is held.
func (g *group) transferToPreferredClass(view repairView) {
	better, ok := view.preferredLeader()
	if !ok {
		return
	}
	if err := g.node.Transfer(better); err != nil {
		return // a transfer is under way, or the member has just left
	}
	g.host.logger.Info("leadership handed to the preferred class", zap.Uint32("group", g.id), zap.Stringer("member", better))
	g.flush()
}
