package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/apierr"
)

// Backlog: while online requests wait for capacity anywhere in the fleet, batch items start
// only on replicas that are mostly idle. After an outage the callers of its whole duration
// return together, and each gate limits those that are overdue. The slots that this leaves,
// and those that become free for a moment at one gate, would be filled with batch items,
// which slow down the online answers on their replica and are preempted again by the next
// request.
//
// The rule applies to services whose replicas tell their pace: they share their machines,
// so that a free slot does not show free capacity.

// backlogLifetime is how long a report of waiting requests counts. Gates report to each
// other with each change of their load, which is far more often during a backlog.
const backlogLifetime = 300 * time.Millisecond

// ReasonBatchPaused counts the backlogs during which batch items were held back.
const ReasonBatchPaused apierr.Reason = "batch_paused_by_backlog"

// backlogState is what a gate knows of the online requests that wait at other gates.
type backlogState struct {
	reported   int       // waiting requests in the last report with any, of a gate to this one as owner
	reportedAt time.Time // when that report arrived
	until      time.Time // end of the backlog at other gates, as far as known
	counted    bool      // the present backlog has been counted
}

// backlogWait is how long a request must have waited to count as backlog. Shorter waits are
// normal at the top of a load step: the next free slot or a preempted batch item ends them.
const backlogWait = 100 * time.Millisecond

// waitsForCapacity reports whether a queued request has waited for backlogWait and would
// start if there were a free slot. One that waits for a probe or for its next try would not.
func (s *Shard) waitsForCapacity(req *request) bool {
	return s.now.Sub(req.queuedAt) >= backlogWait && req.awaitedReplica == nil && !s.now.Before(req.notBefore)
}

// onlineWaiting returns the number of online requests in this gate's queue that have waited
// for capacity for backlogWait.
func (s *Shard) onlineWaiting() int {
	waiting := 0
	for _, req := range s.onlineQueue.list {
		if s.waitsForCapacity(req) {
			waiting++
		}
	}
	return waiting
}

// learnBacklog records how many requests wait at another gate.
func (s *Shard) learnBacklog(waiting int) {
	if waiting > 0 {
		s.backlog.until = s.now.Add(backlogLifetime)
	}
}

// learnReportedBacklog records the waiting requests in a load report to this gate. Only
// these and its own are passed on in acknowledgements: what it learns from acknowledgements
// would otherwise circulate between gates after the backlog has ended.
func (s *Shard) learnReportedBacklog(waiting int) {
	if waiting > 0 {
		s.backlog.reported, s.backlog.reportedAt = waiting, s.now
	}
	s.learnBacklog(waiting)
}

// backlogToAcknowledge returns the number of waiting requests for an acknowledgement.
func (s *Shard) backlogToAcknowledge() int {
	waiting := s.onlineWaiting()
	if s.now.Sub(s.backlog.reportedAt) < backlogLifetime {
		waiting = max(waiting, s.backlog.reported)
	}
	return waiting
}

// hasBacklog reports whether online requests wait for capacity here or, by recent reports,
// at other gates.
func (s *Shard) hasBacklog() bool {
	if !s.tellsPace || s.config.Disabled.Backlog {
		return false
	}
	// The search ends at the first request: this is called for each replica and batch item.
	return s.now.Before(s.backlog.until) || slices.ContainsFunc(s.onlineQueue.list, s.waitsForCapacity)
}

// backlogHeadroomShare is the share of a replica's slots in which no batch item starts
// during a backlog, but for one slot at least. A gate that cannot reach its replicas has a
// backlog of its own; batch items then still start on replicas that are mostly idle.
const backlogHeadroomShare = 0.5

// backlogHeadroom returns the slots of a replica that batch items leave free now because
// online requests wait.
func (s *Shard) backlogHeadroom(slots int) int {
	if !s.hasBacklog() {
		return 0
	}
	return min(slots-1, int(backlogHeadroomShare*float64(slots)+0.5))
}

// countBacklog counts each backlog once.
func (s *Shard) countBacklog() {
	active := s.hasBacklog()
	if active && !s.backlog.counted {
		s.count(ReasonBatchPaused)
	}
	s.backlog.counted = active
}
