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

// maxPollWait limits the wait of every long poll.
const maxPollWait = 20 * time.Second

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

// watchConfig renews the gate's configuration lease and answers as soon as there
// is a newer revision than the one that the gate serves, or when the wait ends.
func (s *Service) watchConfig(ctx context.Context, request *keeperapi.WatchRequest) (*keeperapi.WatchResponse, error) {
	if request.VM == "" {
		return nil, apierr.New(apierr.Invalid, keeperapi.ReasonInvalidRequest, "set the VM of the gate", "the configuration watch has no VM")
	}
	// The barrier after the wait is enough to protect the lease. Another one here,
	// twice a second for each gate, caused most of the leader's messages.
	if err := s.requireLeader(keeperapi.ConfigGroup); err != nil {
		return nil, err
	}
	if request.Leaving {
		s.gates.remove(request.VM)
		return &keeperapi.WatchResponse{}, nil
	}
	term, _ := s.termOf(keeperapi.ConfigGroup)
	wait := min(request.Wait, s.options.ConfigLease/4)
	if !s.gates.wasAnswered(request.VM, term, time.Now()) {
		wait = 0 // the lease from the previous leader may be about to expire
	}
	s.renewGateLease(request)
	if !s.awaitRevision(ctx, request, wait) {
		return nil, ctx.Err()
	}
	// A leader that was partitioned during the wait must not report that nothing
	// changed. The barrier fails then, as no majority confirms its leadership.
	if err := s.options.Proposer.ReadBarrier(ctx, keeperapi.ConfigGroup); err != nil {
		return nil, err
	}
	s.renewGateLease(request)
	s.gates.markAnswered(request.VM, term)
	return &keeperapi.WatchResponse{Update: s.options.Config.since(request.Applied), Lease: s.options.ConfigLease}, nil
}

// renewGateLease records the gate's lease. On the leader it starts now, which is
// after the gate sent the request, and it includes a margin for clock drift, so it
// ends after the lease that the gate itself assumes.
func (s *Service) renewGateLease(request *keeperapi.WatchRequest) {
	const driftMargin = 8 // one eighth of the lease
	lease := s.options.ConfigLease + s.options.ConfigLease/driftMargin
	s.gates.renew(request.VM, request.Applied, time.Now().Add(lease))
}

// awaitRevision waits for a revision that the gate does not have or for the end of
// the wait. It returns false if the gate cancelled the call. The wait is much
// shorter than the lease, because the lease starts before it.
func (s *Service) awaitRevision(ctx context.Context, request *keeperapi.WatchRequest, wait time.Duration) bool {
	timer := time.NewTimer(wait)
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
	deadline := time.Now().Add(min(request.Wait, maxPollWait))
	for {
		changed := s.gates.changed.wait()
		if err := s.options.Proposer.ReadBarrier(ctx, keeperapi.ConfigGroup); err != nil {
			return nil, err
		}
		progress, err := s.changeProgress(request.Revision, time.Now())
		if err != nil || progress.InForce || !time.Now().Before(deadline) {
			return progress, err
		}
		if err := s.awaitAcknowledgement(ctx, changed); err != nil {
			return nil, err
		}
	}
}

// awaitAcknowledgement waits for a change of the gates' leases, and at most for
// four ticks, because leases may also expire.
func (s *Service) awaitAcknowledgement(ctx context.Context, changed <-chan struct{}) error {
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

// changeProgress returns the progress of a revision. It must be called on a leader
// that a read barrier has confirmed.
func (s *Service) changeProgress(revision uint64, now time.Time) (*keeperapi.ChangeProgress, error) {
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
