package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/apierr"
)

// teamState is what one team has in this shard.
type teamState struct {
	inFlight int
	bucket   tokenBucket
}

// Bounds of the time that a refused caller is told to wait.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

func (in Arrive) apply(s *Shard) {
	if _, exists := s.requests[in.Request.ID]; exists {
		s.emit(Refuse{ID: in.Request.ID, Err: apierr.New(apierr.Conflict, ReasonDuplicateID,
			"send each request under an ID of its own", "request %s is in progress", in.Request.ID)})
		s.count(ReasonDuplicateID)
		return
	}
	req := &request{Request: in.Request, arrived: s.at, next: First, tokens: in.Request.Reached}
	if err := s.admit(req); err != nil {
		s.count(err.Reason)
		s.emit(Refuse{ID: req.ID, Err: err})
		return
	}
	s.requests[req.ID] = req
	s.budget.offered()
	if req.Class == Online {
		s.team(req.Team).inFlight++
	}
	s.enqueue(req)
	s.pump()
}

func (s *Shard) team(name string) *teamState {
	state := s.teams[name]
	if state == nil {
		state = &teamState{}
		s.teams[name] = state
	}
	return state
}

// admit refuses what cannot be answered in time, before any work is done.
func (s *Shard) admit(req *request) *apierr.Error {
	if !s.at.Before(req.Deadline) {
		return deadlineError(req)
	}
	if err := s.checkStanding(req); err != nil {
		return err
	}
	if req.Class == Batch {
		return s.admitBatch(req)
	}
	ready := s.readinessFor(req)
	if ready == unknownModel {
		return apierr.New(apierr.Unavailable, ReasonNoUpstream,
			"ask for a model that `slatectl upstream list` shows, or wait until a replica announces it",
			"no replica has model %q version %q", req.Model, req.Version).WithRetryAfter(time.Second)
	}
	if err := s.checkTeam(req); err != nil {
		return err
	}
	if ready == noneReady {
		return nil // waits for OutageWait at most: a probe may bring one back
	}
	return s.checkQueue(req)
}

func (s *Shard) checkTeam(req *request) *apierr.Error {
	team := s.team(req.Team)
	if limit := req.Limits.MaxInFlight; limit > 0 && team.inFlight >= limit {
		return apierr.New(apierr.Overloaded, ReasonTeamInFlight,
			"wait for answers before sending more, or ask the operator for a higher limit",
			"team %s has %d requests in progress at this gate, its limit", req.Team, limit).
			WithRetryAfter(s.retryAfter(1))
	}
	if req.Limits.Rate <= 0 {
		return nil
	}
	if wait := team.bucket.take(s.at, req.Limits.Rate, req.Limits.Burst); wait > 0 {
		return apierr.New(apierr.Overloaded, ReasonTeamRate,
			"send more slowly, or ask the operator for a higher rate",
			"team %s is over its rate of %g requests a second", req.Team, req.Limits.Rate).
			WithRetryAfter(clampRetry(wait))
	}
	return nil
}

func (s *Shard) checkQueue(req *request) *apierr.Error {
	waiting := s.waiting.len()
	if waiting >= s.config.MaxQueue {
		return apierr.New(apierr.Overloaded, ReasonQueueFull,
			"come back after the time given", "%d requests wait at this gate, its limit", waiting).
			WithRetryAfter(s.retryAfter(waiting))
	}
	wait := s.waitOf(waiting)
	if waiting > 0 && s.at.Add(wait).After(req.Deadline) {
		return apierr.New(apierr.Overloaded, ReasonWaitTooLong,
			"come back after the time given, or give a later deadline",
			"the queue of %d requests takes about %s, longer than the deadline allows", waiting, wait.Round(time.Millisecond)).
			WithRetryAfter(s.retryAfter(waiting))
	}
	return nil
}

// waitOf estimates how long the nth of the queue waits: the requests that run
// end at the rate of their number over the mean time of an answer. The rate of
// answers alone would mislead after a quiet time.
func (s *Shard) waitOf(n int) time.Duration {
	return time.Duration(n) * s.answer.mean / time.Duration(max(s.onlineRunning, 1))
}

// retryAfter tells when n requests will have drained.
func (s *Shard) retryAfter(n int) time.Duration { return clampRetry(s.waitOf(n)) }

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

func deadlineError(req *request) *apierr.Error {
	return apierr.New(apierr.Deadline, ReasonDeadline,
		"send the request earlier or with a later deadline",
		"the deadline %s has passed", req.Deadline.UTC().Format(time.RFC3339Nano)).WithRan(req.ran())
}

func (r *request) ran() apierr.Ran {
	if r.maybeRan {
		return apierr.RanUnknown
	}
	return apierr.RanNo
}

// enqueue puts a request among those that wait for a replica. One that has only been
// offered a slot in vain goes on waiting.
func (s *Shard) enqueue(req *request) {
	if req.queuedAt.IsZero() {
		req.queuedAt = s.at
	}
	req.places = 0
	queue := &s.waiting
	if req.Class == Batch {
		queue = &s.batch
	}
	queue.push(req)
	req.behind = slices.Index(queue.list, req)
}

// maxPumpMisses bounds the waiting requests that one pass finds no replica for.
const maxPumpMisses = 8

// pump starts what can start, online before batch.
func (s *Shard) pump() {
	if s.waiting.len() > 0 {
		s.waiting.markLate(s.at, func(*request) time.Duration { return s.firstToken.mean })
		s.waiting.takeReady(s.at, maxPumpMisses, s.startOnline)
	}
	if s.batch.len() > 0 {
		s.batch.markLate(s.at, s.itemLead)
		s.batch.takeReady(s.at, maxPumpMisses, s.startBatch)
	}
}

func (s *Shard) startOnline(req *request) startResult {
	if !s.mayRunNow(req) || req.late && !req.delivered && !s.mayStartLate() {
		return held
	}
	if r := s.boundTo(req); r != nil {
		if !s.fits(req, r) {
			return held
		}
		s.dispatch(req, r, req.next)
		return started
	}
	r := s.pick(req)
	if r == nil && s.onlyAvoided(req, s.local, s.remote) {
		req.avoid = nil
		r = s.pick(req)
	}
	switch {
	case r != nil && s.mustConfirm(req, r):
		s.place(req, r)
		return started
	case r != nil:
		s.dispatch(req, r, req.next)
		return started
	case s.isSuspect(req):
		return held
	default:
		return noRoom
	}
}

// onlyAvoided says whether each replica of the lists that could take the request
// has failed it before; one of them is then better than none.
func (s *Shard) onlyAvoided(req *request, lists ...[]*replica) bool {
	if len(req.avoid) == 0 {
		return false
	}
	for _, list := range lists {
		for _, r := range list {
			if s.mayServe(req, r) {
				return false
			}
		}
	}
	return true
}
