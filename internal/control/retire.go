package control

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/keeper/keeperapi"
)

// Reasons for refused retirements.
const (
	ReasonUnknownVM         apierr.Reason = "unknown_vm"
	ReasonTooFewVMs         apierr.Reason = "too_few_vms"
	ReasonRetirementUnknown apierr.Reason = "retirement_unknown"
)

// Retire starts the retirement of a VM that holds jobs: its part of the replicated state
// moves to other VMs. It returns once the retirement is committed.
func (s *Service) Retire(ctx context.Context, vm string) error {
	if slices.Contains(s.options.Config.Retired(), vm) {
		return nil
	}
	if refusal := s.checkRetire(vm); refusal != nil {
		s.options.Metrics.Refused(refusal.Reason)
		s.options.Log.Info("retirement of VM refused", zap.String("retired", vm), zap.String("reason", string(refusal.Reason)))
		return refusal
	}
	if err := s.options.Keepers.RetireVM(ctx, vm); err != nil {
		return err
	}
	s.options.Log.Info("retirement of VM started", zap.String("retired", vm))
	return nil
}

// checkRetire refuses a VM that holds no jobs, and a VM without which too few would be
// left to tolerate the configured number of failures.
func (s *Service) checkRetire(vm string) *apierr.Error {
	retired := s.options.Config.Retired()
	found, left := false, 0
	for _, m := range s.options.Group.Known() {
		switch {
		case m.VM == vm && m.Class != ClassControl:
			found = true
		case m.VM != vm && !slices.Contains(retired, m.VM):
			left++
		}
	}
	if !found {
		return apierr.New(apierr.NotFound, ReasonUnknownVM, "name a VM that holds jobs", "VM %q is unknown or holds no jobs", vm)
	}
	if left < 2*s.options.Tolerance+1 {
		return apierr.New(apierr.Conflict, ReasonTooFewVMs, "add a VM first", "only %d VMs would remain to hold the replicated state", left)
	}
	return nil
}

// RetirementDone reports whether a VM that is being retired holds no state any more.
func (s *Service) RetirementDone(ctx context.Context, vm string) (done bool, err error) {
	if !slices.Contains(s.options.Config.Retired(), vm) {
		// The retirement may have been started at another VM and not yet be applied here.
		return false, apierr.New(apierr.Unavailable, ReasonRetirementUnknown, "retry, or start the retirement first",
			"this VM knows of no retirement of VM %q", vm).WithRetryAfter(noContactRetry)
	}
	left, err := s.options.Group.Retire(ctx, []string{vm})
	return err == nil && !slices.Contains(left, vm), err
}

// retireInterval is how often the retiring VMs are sent to the leaders. They are sent
// repeatedly because a newly elected leader does not know them.
const retireInterval = 500 * time.Millisecond

// runRetire sends the list of retiring VMs to the leaders of all groups. Only the leader
// of the configuration group sends it.
func (s *Service) runRetire(ctx context.Context) {
	ticker := time.NewTicker(retireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		retired := s.options.Config.Retired()
		leader, known := s.options.Group.Leader(keeperapi.ConfigGroup)
		if len(retired) == 0 || !known || leader.Address != s.options.Address {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, retireInterval)
		if left, err := s.options.Group.Retire(limited, retired); err != nil || len(left) > 0 {
			s.options.Log.Info("retiring VMs still hold state", zap.Strings("retiring", left), zap.Error(err))
		}
		cancel()
	}
}
