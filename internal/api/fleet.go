package api

import (
	"context"

	"slateway.example/slateway/gen/entries"
	"slateway.example/slateway/gen/members"
	"slateway.example/slateway/internal/directory"
)

// Fleet provides the queries and operations of the APIs on the fleet's VMs.
type Fleet interface {
	// Entries returns the gates for a caller in place, which may be empty.
	Entries(place string) (directory.Answer, error)
	// Members returns the VMs, with the state of the replicated groups on keepers.
	Members(ctx context.Context) []*members.Member
	// Replace replaces the group member on vm, whose disk was lost, by a new member
	// on that VM's blank disk.
	Replace(ctx context.Context, vm string) error
}

type entriesService struct{ *Server }

// Get returns the gates that the caller should use.
func (s *entriesService) Get(_ context.Context, payload *entries.GetPayload) (*entries.GetResult, error) {
	answer, err := s.options.Fleet.Entries(valueOf(payload.Place))
	if err != nil {
		return nil, err
	}
	result := &entries.GetResult{
		Entries:    make([]*entries.Entry, len(answer.Entries)),
		LifetimeMs: answer.Lifetime.Milliseconds(),
		Revision:   answer.Revision,
	}
	for i, gate := range answer.Entries {
		result.Entries[i] = &entries.Entry{Address: gate.Address, VM: gate.VM, Place: gate.Place}
	}
	return result, nil
}

type membersService struct{ *Server }

// List returns the VMs of the fleet.
func (s *membersService) List(ctx context.Context) ([]*members.Member, error) {
	return s.options.Fleet.Members(ctx), nil
}

// Replace replaces the group member of a VM whose disk was lost.
func (s *membersService) Replace(ctx context.Context, payload *members.ReplacePayload) error {
	return s.options.Fleet.Replace(ctx, payload.VM)
}
