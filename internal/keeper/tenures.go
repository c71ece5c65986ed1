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

// acquireTenure is the log entry of a grant.
type acquireTenure struct {
	Name   string `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
}

// endTenure is the log entry of a grant's end.
type endTenure struct {
	Name  string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
}

// heardTenure is when the holder of a right's last grant was heard of.
type heardTenure struct {
	fence uint64
	at    time.Time
}

// acquireTenure grants a free right, or renews it for its holder.
//
// Renewals stay out of the log, as those of gates' sessions do. The holder
// counts its lease from before it asked; here silence counts from the last call
// or, on a new leader, from the begin of its term, and for longer. So the grant
// ends for its holder before it can be given to another.
func (s *Service) acquireTenure(ctx context.Context, request *keeperapi.TenureRequest) (*keeperapi.TenureResponse, error) {
	if request.Name == "" || request.Holder == "" {
		return nil, apierr.New(apierr.Invalid, keeperapi.ReasonInvalidRequest, "name the right and its holder", "the call names no right or no holder")
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
	s.touchTenure(grant, time.Now())
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

func (s *Service) touchTenure(grant tenure.Grant, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tenures[grant.Name] = heardTenure{fence: grant.Fence, at: now}
}

// endSilentTenures ends the grants whose holders were not heard of for their
// time and a margin for clocks of unlike speed.
func (s *Service) endSilentTenures(ctx context.Context, now time.Time) {
	const driftMargin = 8 // an eighth
	limit := s.options.TenureTTL + s.options.TenureTTL/driftMargin
	for _, grant := range s.options.Config.heldTenures() {
		if now.Sub(s.tenureHeard(grant)) <= limit {
			continue
		}
		s.touchTenure(grant, now) // not again until this proposal had its time
		s.options.Log.Info("right ends: its holder was not heard of", zap.String("right", grant.Name), zap.String("holder", grant.Holder))
		go func() {
			ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
			defer cancel()
			if err := s.endTenure(ctx, grant); err != nil {
				s.options.Log.Warn("right not ended yet", zap.String("right", grant.Name), zap.Error(err))
			}
		}()
	}
}

// tenureHeard gives when the holder was last heard of, at the earliest the
// begin of this VM's leadership.
func (s *Service) tenureHeard(grant tenure.Grant) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.leading[keeperapi.ConfigGroup].since
	heard := s.tenures[grant.Name]
	if heard.fence != grant.Fence || since.After(heard.at) {
		return since
	}
	return heard.at
}
