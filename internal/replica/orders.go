package replica

import (
	"context"
	"fmt"
	"slices"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/rpc"
)

// ReasonNoCandidate is the reason of a replacement without a blank member to add.
const ReasonNoCandidate apierr.Reason = "no_blank_member"

// replacement is an operator's request to replace the member Old by New.
type replacement struct {
	Old quorum.ID     `cbor:"1,keyasint"`
	New quorum.Member `cbor:"2,keyasint"`
}

// retireRequest lists the VMs that must not be members of any group.
type retireRequest struct {
	VMs []string `cbor:"1,keyasint"`
}

// Retire notifies the leaders of all groups which VMs must not be members any more,
// and returns those that still are. A new leader does not know the list: repeat the
// call until no VM is left.
func (h *Host) Retire(ctx context.Context, vms []string) (left []string, err error) {
	request := &retireRequest{VMs: vms}
	for id := range h.Groups() {
		leader, ok := h.findLeader(ctx, id)
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

// ReplaceMember requests, in every group, that the member on oldVM be replaced by the
// blank disk on newVM; the two may be the same VM. It returns once the leaders have
// accepted the request; Status shows the progress. A new leader does not know the
// request: repeat the call after a change of leader.
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
		return nil, fmt.Errorf("group %d does not exist", request.Group)
	}
	candidates := h.recentCandidates()
	g := h.groups[request.Group]
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.node.IsLeader() {
		return nil, g.notLeader()
	}
	return &ack{}, g.scheduleReplacement(request, candidates)
}

// scheduleReplacement accepts a request to replace a member. It is idempotent: it does
// nothing in a group in which the new disk has already replaced the old one.
func (g *group) scheduleReplacement(request *replaceRequest, candidates []quorum.Member) error {
	members := g.node.Membership().Members
	onNew := func(m quorum.Member) bool { return m.VM == request.NewVM }
	candidate := slices.IndexFunc(candidates, onNew)
	var oldMember, newMember *quorum.Member
	for i, member := range members {
		switch {
		case candidate >= 0 && member.ID == candidates[candidate].ID, member.VM == request.NewVM && member.Learner:
			newMember = &members[i]
		case member.VM == request.OldVM && oldMember == nil:
			oldMember = &members[i]
		}
	}
	if newMember == nil && candidate >= 0 {
		newMember = &candidates[candidate]
	}
	switch {
	case oldMember == nil && newMember != nil:
		return nil
	case oldMember == nil:
		return apierr.New(apierr.NotFound, "no_member", "check the list of members", "group %d has no member on VM %s", g.id, request.OldVM)
	case newMember == nil:
		return apierr.New(apierr.Conflict, ReasonNoCandidate, "start its daemon with an empty data folder first",
			"no blank member on VM %s has contacted this leader", request.NewVM)
	}
	g.pendingReplacement = &replacement{Old: oldMember.ID, New: *newMember}
	return nil
}
