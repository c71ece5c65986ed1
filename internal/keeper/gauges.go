package keeper

import (
	"time"

	"slateway.example/slateway/internal/claim"
	"slateway.example/slateway/internal/job"
)

// gaugeInterval is the minimum time between updates of the gauges.
const gaugeInterval = time.Second

// updateGauges publishes the totals of all job groups, including those that this
// VM does not lead. Dropped results are counted in the replicated state, so the
// counts survive restarts and are equal on all keepers.
func (s *Service) updateGauges(now time.Time) {
	if now.Sub(s.lastGaugeUpdate) < gaugeInterval {
		return
	}
	s.lastGaugeUpdate = now
	s.reportUnasked(now)
	var total job.Counts
	claims := 0
	for _, machine := range s.options.Jobs {
		machine.read(func(jobs *job.Table, claimed *claim.Table) {
			total = total.Add(jobs.Counts())
			claims += claimed.Len()
		})
	}
	gauges := s.options.Metrics
	gauges.Set("keeper.jobs.open", int64(total.Open))
	gauges.Set("keeper.jobs.ended", int64(total.Ended))
	gauges.Set("keeper.sessions", int64(total.Sessions))
	gauges.Set("keeper.claims", int64(claims))
	gauges.Set("keeper.results_dropped.doubled", int64(total.Dropped.Doubled))
	gauges.Set("keeper.results_dropped.late", int64(total.Dropped.Late))
	gauges.Set("keeper.results_dropped.job_ended", int64(total.Dropped.Ended))
	gauges.Set("keeper.results_dropped.invalid", int64(total.Dropped.Invalid))
}
