package replica

import (
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/quorum"
)

const (
	// reconcileInterval also limits the rate of repairs: at most one membership change
	// of one group per interval.
	reconcileInterval = 100 * time.Millisecond
	// candidateTTL is how long a blank member counts as a candidate after its last
	// contact: more than two hello rounds of a standby.
	candidateTTL = 5 * time.Second
)

// candidate is a blank member that waits to join.
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

// RecordCandidates records blank members that contacted another VM.
func (h *Host) RecordCandidates(members []quorum.Member) {
	for _, member := range members {
		h.recordCandidate(member)
	}
}

// Candidates returns the blank members with recent contact, sorted by ID.
func (h *Host) Candidates() []quorum.Member { return h.recentCandidates() }

// recentCandidates returns the blank members with recent contact, sorted by ID, and
// forgets the others.
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

// reconcile makes at most one membership change, in one of the groups that this VM
// leads.
func (h *Host) reconcile() {
	view := repairView{
		candidates:   h.recentCandidates(),
		targetVoters: h.config.targetVoters(),
		lostTicks:    int(h.config.ReplaceAfter / h.config.Tick),
		retiring:     h.retiringVMs(),
		minVoters:    h.config.MinVoters,
	}
	for _, g := range h.groups {
		if g.reconcile(view) {
			return
		}
	}
}

// reconcile proposes the group's next membership change, if this member leads it and
// one is due, and reports whether it did.
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
	g.host.logger.Info("membership change proposed", zap.Uint32("group", g.id), zap.Uint8("kind", uint8(change.Kind)),
		zap.Stringer("member", change.Member.ID), zap.String("vm", change.Member.VM))
	g.flush()
	return true
}

// transferToPreferredClass transfers leadership to a voter of the preferred class. The
// VMs of that class have the processor capacity for it, and the loss of one VM then
// does not affect both the leader of the configuration and that of the jobs. The
// caller holds the mutex.
func (g *group) transferToPreferredClass(view repairView) {
	preferred, ok := view.preferredLeader()
	if !ok {
		return
	}
	if err := g.node.Transfer(preferred); err != nil {
		return // a transfer is in progress, or the member has just left
	}
	g.host.logger.Info("transferring leadership to a member of the preferred class", zap.Uint32("group", g.id), zap.Stringer("member", preferred))
	g.flush()
}
