package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/upstream"
)

// hedgeReserve is the share of the retry budget that hedges leave to retries.
const hedgeReserve = 0.5

// checkHedges starts a second attempt for repeatable requests whose first token takes
// longer than nearly all others: the connection may be silent, or the engine frozen or
// slow. The first attempt continues, in case it is only slow.
func (s *Shard) checkHedges() {
	if s.config.HedgeMin < 0 || s.firstTokenTime.mean == 0 {
		return
	}
	after := max(s.config.HedgeMin, s.firstTokenTime.upperBound())
	for _, r := range slices.Clone(s.active) {
		for _, a := range slices.Clone(r.attempts) {
			if s.mayHedge(a, after) {
				s.startHedge(a.req, r)
			}
		}
	}
}

func (s *Shard) mayHedge(a *attempt, after time.Duration) bool {
	req := a.req
	return req.Class == Online && req.Repeatable && !req.delivered && a.tokens == 0 &&
		len(req.liveAttempts) == 1 && req.tried < s.maxAttempts(req) && s.now.Sub(a.started) >= after &&
		s.crashes.Status(s.now, req.Fingerprint) == upstream.StatusClear && s.isClear(req)
}

func (s *Shard) startHedge(req *request, slow *replica) {
	req.avoid = append(req.avoid, slow.entry.Replica)
	r := s.pick(req)
	req.avoid = req.avoid[:len(req.avoid)-1]
	if r == nil || !s.continuesAt(req, r) || !s.budget.spend(hedgeReserve*s.config.RetryReserve*startShare) {
		return
	}
	s.count(ReasonHedged)
	s.dispatch(req, r, Hedge)
}
