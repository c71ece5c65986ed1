package daemon

import (
	"go.uber.org/zap"

	"slateway.example/slateway/internal/settings"
)

// Reload applies the changed settings that do not need a restart, and logs each
// change with whether it is in force now. Requests in progress are not affected.
func (s *Site) Reload(fresh settings.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := settings.Changes(&s.reloaded, &fresh)
	for _, change := range changes {
		log := s.log.Info
		outcome := "in force"
		if !change.Live {
			log, outcome = s.log.Warn, "takes effect at the next start of the process"
		}
		log("setting changed", zap.String("key", change.Key), zap.String("before", change.Old),
			zap.String("after", change.New), zap.String("outcome", outcome))
	}
	s.log.Info("settings reloaded", zap.Int("changes", len(changes)))
	if err := s.log.SetLevel(fresh.Log.Level); err != nil {
		s.log.Warn("the log level could not be changed", zap.Error(err))
	}
	seeds := fresh.SeedPeers()
	if s.control != nil {
		s.control.keeper.host.SetSeeds(seeds)
		if s.control.service != nil {
			s.control.service.SetSeeds(seeds)
		}
	}
	if s.gate != nil {
		s.gate.follower.SetSeeds(seeds)
	}
	s.reloaded = fresh
}

// RejectReload logs and counts changed settings that are invalid. The daemon keeps
// the settings it has.
func (s *Site) RejectReload(err error) {
	s.metrics.Count("settings.refused")
	s.log.Error("changed settings rejected, the previous ones stay in force", zap.Error(err))
}
