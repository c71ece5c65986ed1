package api

import (
	"context"

	"slateway.example/slateway/gen/entries"
	"slateway.example/slateway/gen/members"
	"slateway.example/slateway/internal/directory"
)

// Fleet is what the APIs need to know of the VMs.
type Fleet interface {
	// Entries gives the gates for a caller in place, which may be empty.
	Entries(place string) (directory.Answer, error)
	// Members lists the VMs with the state of the groups that keepers hold.
	Members(ctx context.Context) []*members.Member
	// Replace puts the blank disk of vm in the place of the one it lost.
	Replace(ctx context.Context, vm string) error
}

type entriesService struct{ *Server }

// Get tells a caller which gates to use.
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

// List lists the VMs.
func (s *membersService) List(ctx context.Context) ([]*members.Member, error) {
	return s.options.Fleet.Members(ctx), nil
}

// Replace puts a blank disk in the place of a lost one.
func (s *membersService) Replace(ctx context.Context, payload *members.ReplacePayload) error {
	return s.options.Fleet.Replace(ctx, payload.VM)
}
