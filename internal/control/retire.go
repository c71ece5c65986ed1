package control

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/keeper/keeperapi"
)

// Reasons of refused orders to empty a VM.
const (
	ReasonUnknownVM apierr.Reason = "unknown_vm"
	ReasonTooFewVMs apierr.Reason = "too_few_vms"
	ReasonRetireOff apierr.Reason = "retirement_unknown"
)

// Retire orders that a VM which holds jobs is emptied: its part of the replicated
// state moves to others. It returns once the order lasts.
func (s *Service) Retire(ctx context.Context, vm string) error {
	if slices.Contains(s.options.Config.Retired(), vm) {
		return nil
	}
	if refusal := s.checkRetire(vm); refusal != nil {
		s.options.Metrics.Refused(refusal.Reason)
		s.options.Log.Info("VM not retired", zap.String("retired", vm), zap.String("reason", string(refusal.Reason)))
		return refusal
	}
	if err := s.options.Keepers.RetireVM(ctx, vm); err != nil {
		return err
	}
	s.options.Log.Info("VM retires", zap.String("retired", vm))
	return nil
}

// checkRetire refuses a VM that holds no jobs, and one without which too few
// would be left to bear the loss that the site is to bear.
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
		return apierr.New(apierr.NotFound, ReasonUnknownVM, "name a VM that holds jobs", "no VM %q that holds jobs is known", vm)
	}
	if left < 2*s.options.Tolerance+1 {
		return apierr.New(apierr.Conflict, ReasonTooFewVMs, "add a VM first", "only %d VMs would be left to hold the state", left)
	}
	return nil
}

// Retired says whether a VM that was to be emptied holds nothing any more.
func (s *Service) Retired(ctx context.Context, vm string) (done bool, err error) {
	if !slices.Contains(s.options.Config.Retired(), vm) {
		// The order may have been given at another VM, and not have come here.
		return false, apierr.New(apierr.Unavailable, ReasonRetireOff, "ask again, or order it first",
			"this VM knows of no order to empty VM %q", vm).WithRetryAfter(noContactRetry)
	}
	left, err := s.options.Group.Retire(ctx, []string{vm})
	return err == nil && !slices.Contains(left, vm), err
}

// retireInterval is how often the leaders are told which VMs retire. A leader
// that has just been elected does not know it yet.
const retireInterval = 500 * time.Millisecond

// runRetire tells the leaders of all groups, from the VM that leads the
// configuration, which VMs retire.
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
			s.options.Log.Info("VMs still hold state", zap.Strings("retiring", left), zap.Error(err))
		}
		cancel()
	}
}
