package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/apierr"
)

const (
	// rebalanceAfter is how long a batch item waits in a gate before the gate looks
	// for slots that others feed. Slots taken back by single online requests are free
	// again within an answer's time; giving the item back and leasing it elsewhere
	// costs its body and text once more between VMs.
	rebalanceAfter = time.Second
	// rebalanceReportAge is how old the other gate's word on its replica may be. On a site of
	// control VMs it comes only with the answer to this gate's own word, at each start
	// and end of its requests there, so that replicas which this gate has not used for
	// so long are passed over.
	rebalanceReportAge = 2 * time.Second
)

// checkRebalance gives waiting batch items back while replicas that other gates feed
// have free slots.
//
// Failure guarded against: a gate leases items for the slots that it has, online
// work takes these back, or the replicas leave, and the items wait in this gate
// while others have idle slots and nothing to run, and are late for it. The keepers
// lease them to whoever has room.
func (s *Shard) checkRebalance() {
	if s.draining || s.batch.len() == 0 {
		return
	}
	free := s.freeElsewhere()
	for _, req := range slices.Clone(s.batch.list) {
		if free <= 0 {
			return
		}
		if !s.mayMoveElsewhere(req) {
			continue
		}
		free--
		s.refuse(req, apierr.New(apierr.Unavailable, ReasonFreeElsewhere, "run the item through another gate",
			"another gate has slots free for the item").WithRan(req.ran()))
	}
}

func (s *Shard) mayMoveElsewhere(req *request) bool {
	mayMove := req.Patient && (req.Repeatable || !req.maybeRan) && req.awaiting == nil && !s.isSuspect(req)
	return mayMove && s.at.Sub(req.queuedAt) >= rebalanceAfter
}

// freeElsewhere counts the slots that other gates could fill with batch now.
func (s *Shard) freeElsewhere() int {
	s.rebuild()
	free := 0
	for _, list := range [...][]*replica{s.local, s.remote} {
		for _, r := range list {
			if !s.feeds(r) && !r.fedAt.IsZero() && s.at.Sub(r.fedAt) < rebalanceReportAge {
				free += max(0, s.slots(r)-s.totalLoad(r))
			}
		}
	}
	return free
}
