package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/upstream"
)

// loadReport is another gate's load on a replica that this gate owns.
type loadReport struct {
	gate          string
	online, batch int
	at            time.Time // when it was received
}

// Timing of load reports between gates. A report is sent at each change, and repeated
// while the gate has attempts on the replica, so that a lost message has no lasting
// effect.
const (
	reportRefresh  = 5 * time.Second
	reportLifetime = 16 * time.Second
)

// departedReportLifetime is how long a report of a gate counts after the gate is no
// longer listed: about the time of an answer. A draining gate still serves requests and
// reports each change; a killed gate runs nothing.
const departedReportLifetime = time.Second

// isObsolete reports whether a report no longer counts because its gate is gone.
func (s *Shard) isObsolete(report loadReport) bool {
	return !s.isLiveGate(report.gate) && s.now.Sub(report.at) >= departedReportLifetime
}

// dropObsoleteReports removes the reports of gates that are gone.
func (s *Shard) dropObsoleteReports() {
	for _, r := range s.reported {
		r.loadReports = slices.DeleteFunc(r.loadReports, s.isObsolete)
		r.reportSum.valid = false
	}
	s.reported = slices.DeleteFunc(s.reported, func(r *replica) bool { return len(r.loadReports) == 0 })
}

// reportLoad sends this gate's load on a replica to the owner. The owner then preempts
// batch work if the slots do not suffice: an online request must not wait for a batch
// item to end.
func (s *Shard) reportLoad(r *replica) {
	if s.ownsReplica(r) || s.config.Disabled.Yield {
		return
	}
	if r.reportedOnline == r.online && r.reportedBatch == r.batch && s.now.Sub(r.reportedAt) < reportRefresh {
		return // the owner has this report
	}
	r.reportedAt = s.now
	r.reportedOnline, r.reportedBatch = r.online, r.batch
	r.reportNumber++
	s.emit(ReportLoad{
		Gate: r.owner, Replica: r.entry.Replica, Online: r.online, Batch: r.batch, ReportNumber: r.reportNumber,
		Pace: s.observedPace(r), Waiting: s.onlineWaiting(),
	})
}

func (s *Shard) refreshReport(r *replica) {
	if len(r.attempts) > 0 && s.now.Sub(r.reportedAt) >= reportRefresh {
		s.reportLoad(r)
	}
}

func (in LoadReported) apply(s *Shard) {
	r := s.replica(in.Replica)
	if r == nil {
		return
	}
	report := loadReport{gate: in.Gate, online: in.Online, batch: in.Batch, at: s.now}
	i := slices.IndexFunc(r.loadReports, func(report loadReport) bool { return report.gate == in.Gate })
	if i < 0 {
		r.loadReports = append(r.loadReports, report)
		s.reported = insertReplica(s.reported, r)
	} else {
		r.loadReports[i] = report
	}
	r.reportSum.valid = false
	r.loadVersion = s.table.NextVersion()
	s.learnPace(r, in.Pace)
	s.learnReportedBacklog(in.Waiting)
	s.updateKnownPeak(r)
	s.freeSlots(r, in.Gate)
	s.startWaiting()
}

func (in OwnerReported) apply(s *Shard) {
	r := s.replica(in.Load.Replica)
	if r == nil || s.ownsReplica(r) {
		return
	}
	reported := r.reportedOnline
	if in.Acknowledges > 0 {
		reported = in.ReportedOnline
	}
	r.ownerReportAt = s.now
	r.othersBatch = max(0, in.Load.Batch-r.batch)
	r.othersOnline = max(0, in.Load.Online-reported)
	s.learnPace(r, in.Load.Pace)
	s.learnBacklog(in.Load.Waiting)
	s.heard.reports = append(s.heard.reports, ownerReport{r, s.now})
	s.setHeard(r, true)
	if in.Acknowledges > 0 {
		s.handleAcknowledgement(r, in.Acknowledges)
	}
}

// OwnerLoad returns the known load of a replica that this gate owns.
func (s *Shard) OwnerLoad(id upstream.ReplicaID) upstream.OwnerLoad {
	r := s.replica(id)
	if r == nil {
		return upstream.OwnerLoad{Replica: id}
	}
	return s.ownerLoad(r)
}

func (s *Shard) ownerLoad(r *replica) upstream.OwnerLoad {
	online, batch := s.sumLoadReports(r)
	return upstream.OwnerLoad{
		Replica: r.entry.Replica,
		Batch:   r.batch + batch,
		Online:  r.online + online + r.unaccounted,
		Pace:    s.knownPace(r),
		Waiting: s.backlogToAcknowledge(),
	}
}

// isOwnerReportFresh reports whether the owner's report is recent. Reports arrive as
// acknowledgements of load reports and with the digests.
func (s *Shard) isOwnerReportFresh(r *replica) bool {
	return r.heard || !r.ownerReportAt.IsZero() && s.now.Sub(r.ownerReportAt) < reportLifetime
}
