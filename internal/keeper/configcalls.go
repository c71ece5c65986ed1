package keeper

import (
	"context"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/team"
)

// maxWait bounds the long polls of all calls.
const maxWait = 20 * time.Second

func (s *Service) applyChange(ctx context.Context, change *team.Change) (*team.Outcome, error) {
	data, err := s.options.Proposer.Propose(ctx, keeperapi.ConfigGroup, codec.MustMarshal(configCommand{Change: change}))
	if err != nil {
		return nil, err
	}
	var outcome team.Outcome
	if err := codec.Unmarshal(data, &outcome); err != nil {
		return nil, err
	}
	return &outcome, nil
}

// watchConfig renews the gate's lease and answers as soon as there is a
// revision after the one it serves by.
func (s *Service) watchConfig(ctx context.Context, request *keeperapi.WatchRequest) (*keeperapi.WatchResponse, error) {
	if request.VM == "" {
		return nil, apierr.New(apierr.Invalid, keeperapi.ReasonInvalidRequest, "name the gate's VM", "the watch names no VM")
	}
	// No barrier yet: the one after the wait decides whether there is a lease, and
	// twice a second for each gate it was most of the leader's messages.
	if err := s.requireLeader(keeperapi.ConfigGroup); err != nil {
		return nil, err
	}
	if request.Leaving {
		s.gates.remove(request.VM)
		return &keeperapi.WatchResponse{}, nil
	}
	s.renewGate(request)
	if !s.awaitRevision(ctx, request) {
		return nil, ctx.Err()
	}
	// A leader that was cut off while the gate waited must not tell it that
	// nothing changed: asked again, the majority would not confirm it.
	if err := s.options.Proposer.ReadBarrier(ctx, keeperapi.ConfigGroup); err != nil {
		return nil, err
	}
	s.renewGate(request)
	return &keeperapi.WatchResponse{Update: s.options.Config.since(request.Applied), Lease: s.options.ConfigLease}, nil
}

// renewGate notes the lease. Here it counts from now, which is after the gate
// sent the request, and with a margin for clocks of unlike speed.
func (s *Service) renewGate(request *keeperapi.WatchRequest) {
	const driftMargin = 8 // an eighth
	lease := s.options.ConfigLease + s.options.ConfigLease/driftMargin
	s.gates.renew(request.VM, request.Applied, time.Now().Add(lease))
}

// awaitRevision waits for a revision that the gate does not have; false if the
// gate gave up. The wait is well below the lease, which counts from before it.
func (s *Service) awaitRevision(ctx context.Context, request *keeperapi.WatchRequest) bool {
	timer := time.NewTimer(min(request.Wait, s.options.ConfigLease/4))
	defer timer.Stop()
	for {
		changed := s.options.Config.changed.wait()
		if s.options.Config.revision() > request.Applied {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Service) changeStatus(ctx context.Context, request *keeperapi.ChangeStatusRequest) (*keeperapi.ChangeProgress, error) {
	deadline := time.Now().Add(min(request.Wait, maxWait))
	for {
		changed := s.gates.changed.wait()
		if err := s.options.Proposer.ReadBarrier(ctx, keeperapi.ConfigGroup); err != nil {
			return nil, err
		}
		progress, err := s.progress(request.Revision, time.Now())
		if err != nil || progress.InForce || !time.Now().Before(deadline) {
			return progress, err
		}
		if err := s.pause(ctx, changed); err != nil {
			return nil, err
		}
	}
}

// pause waits for the next acknowledgement, or a while for leases to run out.
func (s *Service) pause(ctx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(4 * tickInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// progress tells how far a revision has come, as the confirmed leader knows.
func (s *Service) progress(revision uint64, now time.Time) (*keeperapi.ChangeProgress, error) {
	since, leads := s.leadingSince(keeperapi.ConfigGroup)
	if !leads {
		return nil, &replica.NotLeaderError{Group: keeperapi.ConfigGroup}
	}
	progress := &keeperapi.ChangeProgress{
		Current: s.options.Config.revision(),
		Waiting: s.gates.unacknowledged(revision, now),
	}
	settled := since.Add(s.options.ConfigLease + s.options.ConfigLease/4)
	progress.Settling = max(0, settled.Sub(now))
	progress.InForce = progress.Current >= revision && progress.Settling == 0 && len(progress.Waiting) == 0
	return progress, nil
}

func (s *Service) readConfig(ctx context.Context, request *keeperapi.ReadConfigRequest) (*team.Update, error) {
	if err := s.options.Proposer.ReadBarrier(ctx, keeperapi.ConfigGroup); err != nil {
		return nil, err
	}
	update := s.options.Config.fullCopy()
	if request.Since > 0 {
		update = s.options.Config.since(request.Since)
	}
	return &update, nil
}
