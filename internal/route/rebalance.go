package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/apierr"
)

const (
	// rebalanceAfter is how long a batch item waits in a gate before the gate looks for
	// free slots of other gates. Slots taken by single online requests are free again
	// within the time of an answer, while returning the item and leasing it elsewhere
	// transfers its body and text between VMs once more.
	rebalanceAfter = time.Second
	// rebalanceReportAge is the maximum age of the owner report on another gate's
	// replica. On a site with control VMs, owner reports arrive only as
	// acknowledgements of this gate's load reports, sent when its requests there start
	// and end; replicas that this gate has not used for so long are skipped.
	rebalanceReportAge = 2 * time.Second
)

// returnForRebalance returns waiting batch items while replicas of other gates have free
// slots; the keepers lease them to a gate that has room. When online work takes the slots
// for which a gate leased items, or the replicas leave, the items would otherwise wait here
// and miss their targets while other gates have idle slots and nothing to run. During an
// online backlog the other gates hold batch items back too.
func (s *Shard) returnForRebalance() {
	if s.draining || s.batchQueue.len() == 0 || s.hasBacklog() {
		return
	}
	free := s.freeElsewhere()
	for _, req := range slices.Clone(s.batchQueue.list) {
		if free <= 0 {
			return
		}
		if !s.mayRebalance(req) {
			continue
		}
		free--
		s.refuse(req, apierr.New(apierr.Unavailable, ReasonFreeElsewhere, "run the item through another gate",
			"another gate has free slots for the item").WithRan(req.ran()))
	}
}

func (s *Shard) mayRebalance(req *request) bool {
	mayMove := req.RetryUntilAnswered && (req.Repeatable || !req.maybeRan) && req.awaitedReplica == nil && s.isOwedNow(req)
	return mayMove && s.now.Sub(req.queuedAt) >= rebalanceAfter
}

// freeElsewhere returns the number of slots that other gates could fill with batch work
// now.
func (s *Shard) freeElsewhere() int {
	s.rebuild()
	free := 0
	for _, list := range [...][]*replica{s.local, s.remote} {
		for _, r := range list {
			if !s.ownsReplica(r) && !r.ownerReportAt.IsZero() && s.now.Sub(r.ownerReportAt) < rebalanceReportAge {
				free += max(0, s.slots(r)-s.totalLoad(r))
			}
		}
	}
	return free
}
