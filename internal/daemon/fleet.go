package daemon

import (
	"context"

	"slateway.example/slateway/gen/members"
	"slateway.example/slateway/internal/api"
	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/replica"
)

// fleetView answers the APIs' questions about the VMs.
type fleetView struct{ daemon *Daemon }

func newFleetView(d *Daemon) *fleetView { return &fleetView{daemon: d} }

// Entries gives this gate's own address.
func (f *fleetView) Entries(string) api.Entries {
	s := &f.daemon.settings
	return api.Entries{
		Gates:    []api.Entry{{Address: s.Advertise.Callers, VM: s.VM.Name, Place: s.VM.Place}},
		Lifetime: s.Directory.AnswerLifetime,
		Revision: 1,
	}
}

// Members lists this VM.
func (f *fleetView) Members(ctx context.Context) []*members.Member {
	s := &f.daemon.settings
	self := &members.Member{
		VM: s.VM.Name, Place: s.VM.Place, Region: s.VM.Region,
		Peers: s.Advertise.Peers, State: "alive",
	}
	for _, role := range s.VM.Roles {
		self.Roles = append(self.Roles, string(role))
	}
	if f.daemon.keeper != nil {
		for _, status := range f.daemon.keeper.host.LeaderStatus(ctx) {
			self.Groups = append(self.Groups, groupStatus(&status))
		}
	}
	return []*members.Member{self}
}

func groupStatus(status *replica.GroupStatus) *members.GroupStatus {
	result := &members.GroupStatus{
		Group: status.Group, Commit: status.Commit, Tolerance: status.Tolerance,
		Voters: []string{}, Learners: []string{},
	}
	for _, member := range status.Members {
		if member.Learner {
			result.Learners = append(result.Learners, member.VM)
			continue
		}
		result.Voters = append(result.Voters, member.VM)
		if member.ID == status.Leader {
			result.Leader = member.VM
		}
	}
	return result
}

// reasonNoKeeper is the reason of operators' calls to a VM without keeper role.
const reasonNoKeeper apierr.Reason = "not_a_keeper"

// Replace puts the blank disk of vm in the place of the one it lost.
func (f *fleetView) Replace(ctx context.Context, vm string) error {
	if f.daemon.keeper == nil {
		return apierr.New(apierr.Invalid, reasonNoKeeper, "ask the operators' address of a keeper", "this VM is not a keeper")
	}
	return f.daemon.keeper.host.ReplaceMember(ctx, vm, vm)
}
