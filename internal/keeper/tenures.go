package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/tenure"
)

// acquireTenure is the log entry that grants a tenure.
type acquireTenure struct {
	Name   string `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
}

// endTenure is the log entry that ends a grant.
type endTenure struct {
	Name  string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
}

// tenureContact is the last contact of the holder of a grant.
type tenureContact struct {
	fence uint64
	at    time.Time
}

// acquireTenure grants a free tenure, an exclusive right with a fencing number, or renews
// it for its holder. Renewals are not logged, like those of sessions. The holder's lease
// starts before it sends its request; the leader's longer timeout starts at the last call,
// or at the beginning of its term on a new leader. The holder's lease therefore expires
// before another holder can be granted the tenure.
func (s *Service) acquireTenure(ctx context.Context, request *keeperapi.TenureRequest) (*keeperapi.TenureResponse, error) {
	if request.Name == "" || request.Holder == "" {
		return nil, apierr.New(apierr.Invalid, keeperapi.ReasonInvalidRequest, "set the name of the tenure and its holder", "the tenure request has no name or no holder")
	}
	if err := s.options.Proposer.ReadBarrier(ctx, keeperapi.ConfigGroup); err != nil {
		return nil, err
	}
	grant := s.options.Config.tenure(request.Name)
	if request.Leaving {
		if grant.Holder != request.Holder {
			return &keeperapi.TenureResponse{}, nil
		}
		return &keeperapi.TenureResponse{}, s.endTenure(ctx, grant)
	}
	if grant.Holder == "" {
		var err error
		if grant, err = s.proposeTenure(ctx, configCommand{Acquire: &acquireTenure{Name: request.Name, Holder: request.Holder}}); err != nil {
			return nil, err
		}
	}
	if grant.Holder != request.Holder {
		return &keeperapi.TenureResponse{Holder: grant.Holder}, nil
	}
	s.recordTenureContact(grant, time.Now())
	return &keeperapi.TenureResponse{Holder: grant.Holder, Fence: grant.Fence, Lease: s.options.TenureTTL}, nil
}

func (s *Service) proposeTenure(ctx context.Context, cmd configCommand) (tenure.Grant, error) {
	var grant tenure.Grant
	data, err := s.options.Proposer.Propose(ctx, keeperapi.ConfigGroup, codec.MustMarshal(cmd))
	if err != nil {
		return grant, err
	}
	err = codec.Unmarshal(data, &grant)
	return grant, err
}

func (s *Service) endTenure(ctx context.Context, grant tenure.Grant) error {
	_, err := s.proposeTenure(ctx, configCommand{End: &endTenure{Name: grant.Name, Fence: grant.Fence}})
	return err
}

func (s *Service) recordTenureContact(grant tenure.Grant, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tenureContacts[grant.Name] = tenureContact{fence: grant.Fence, at: now}
}

// endExpiredTenures ends the grants whose holders have not renewed them within
// the TTL and a margin for clock drift.
func (s *Service) endExpiredTenures(ctx context.Context, now time.Time) {
	const driftMargin = 8 // one eighth of the TTL
	limit := s.options.TenureTTL + s.options.TenureTTL/driftMargin
	for _, grant := range s.options.Config.heldTenures() {
		if now.Sub(s.lastTenureContact(grant)) <= limit {
			continue
		}
		s.recordTenureContact(grant, now) // gives this proposal a full TTL before the next one
		s.options.Log.Info("ending tenure: its holder did not renew it in time", zap.String("right", grant.Name), zap.String("holder", grant.Holder))
		go func() {
			ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
			defer cancel()
			if err := s.endTenure(ctx, grant); err != nil {
				s.options.Log.Warn("failed to end tenure, will retry", zap.String("right", grant.Name), zap.Error(err))
			}
		}()
	}
}

// lastTenureContact returns the time of the holder's last renewal, or the start
// of this VM's leadership if that is later.
func (s *Service) lastTenureContact(grant tenure.Grant) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.leaderships[keeperapi.ConfigGroup].since
	contact := s.tenureContacts[grant.Name]
	if contact.fence != grant.Fence || since.After(contact.at) {
		return since
	}
	return contact.at
}
