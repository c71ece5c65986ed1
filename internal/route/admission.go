package route

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/share"
)

// teamState holds a team's requests in flight and its rate limit in this shard.
type teamState struct {
	inFlight int
	bucket   tokenBucket
}

// Bounds of the retry delay that a refused caller receives.
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
	req := &request{Request: in.Request, arrived: s.now, nextKind: First, tokens: in.Request.Reached}
	if in.Request.Continues || in.Request.Reached > 0 {
		req.origin = origin{known: true, build: in.Request.Build}
	}
	if err := s.admit(req); err != nil {
		s.count(err.Reason)
		s.emit(Refuse{ID: req.ID, Err: err})
		return
	}
	s.requests[req.ID] = req
	s.budget.addOffered()
	if req.Class == Online {
		s.team(req.Team).inFlight++
	}
	s.enqueue(req)
	s.startWaiting()
}

func (s *Shard) team(name string) *teamState {
	state := s.teams[name]
	if state == nil {
		state = &teamState{}
		s.teams[name] = state
	}
	return state
}

// admit returns an error for a request that cannot be answered in time, before any work
// is done for it.
func (s *Shard) admit(req *request) *apierr.Error {
	if !s.now.Before(req.Deadline) {
		return deadlineError(req)
	}
	if err := s.checkStanding(req); err != nil {
		return err
	}
	if req.Class == Batch {
		return s.admitBatch(req)
	}
	if err := s.buildError(req); err != nil {
		return err
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
		return nil // it waits for at most OutageWait: a probe may return a replica to use
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
	if wait := team.bucket.spend(s.now, req.Limits.Rate, req.Limits.Burst); wait > 0 {
		return apierr.New(apierr.Overloaded, ReasonTeamRate,
			"send more slowly, or ask the operator for a higher rate",
			"team %s exceeds its cap of %g requests per second", req.Team, req.Limits.Rate).
			WithRetryAfter(clampRetry(wait))
	}
	return nil
}

func (s *Shard) checkQueue(req *request) *apierr.Error {
	team := s.shareTeamOf(req)
	waiting := s.onlineQueue.fair.countAhead(req, team)
	var displaced *request
	if s.onlineQueue.len() >= s.config.MaxQueue {
		if displaced = s.onlineQueue.displaced(team); displaced == nil {
			return s.queueFullError(req)
		}
	}
	wait := s.estimateWait(waiting)
	if waiting > 0 && s.now.Add(wait).After(req.Deadline) {
		return apierr.New(apierr.Overloaded, ReasonWaitTooLong,
			"retry after the given delay, or send the request with a later deadline",
			"the queue of %d requests takes about %s, longer than the deadline allows", waiting, wait.Round(time.Millisecond)).
			WithRetryAfter(s.retryAfter(waiting))
	}
	if displaced != nil {
		s.refuse(displaced, s.queueFullError(displaced))
	}
	return nil
}

func (s *Shard) queueFullError(req *request) *apierr.Error {
	waiting := s.onlineQueue.len()
	return apierr.New(apierr.Overloaded, ReasonQueueFull,
		"retry after the given delay", "%d requests wait at this gate, its limit", waiting).
		WithRan(req.ran()).WithRetryAfter(s.retryAfter(waiting))
}

// shareTeamOf returns the team whose share an online request uses.
func (s *Shard) shareTeamOf(req *request) *share.Team {
	return s.onlineQueue.fair.scheduler.Team(s.now, req.Share.Team, req.Share.Weight)
}

// estimateWait estimates how long the nth request of the queue waits: running requests
// end at a rate of their number over the mean answer time. The measured rate of answers
// would mislead after an idle period.
func (s *Shard) estimateWait(n int) time.Duration {
	return time.Duration(n) * s.answerTime.mean / time.Duration(max(s.onlineRunning, 1))
}

// retryAfter returns the retry delay after which n requests will have left the queue.
func (s *Shard) retryAfter(n int) time.Duration { return clampRetry(s.estimateWait(n)) }

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

// enqueue adds a request to the queue of its class. A request that returns from a
// failed reservation keeps the time at which it was first queued.
func (s *Shard) enqueue(req *request) {
	if req.queuedAt.IsZero() {
		req.queuedAt = s.now
	}
	req.reservationTries = 0
	if req.Class == Batch {
		s.batchQueue.push(req)
		req.aheadInQueue = slices.Index(s.batchQueue.list, req)
		return
	}
	req.shareTeam = s.shareTeamOf(req)
	ahead := s.onlineQueue.fair.countAhead(req, req.shareTeam)
	s.onlineQueue.push(req)
	if s.onlineQueue.fair.scheduler.WaitingTeams() <= 1 {
		ahead = slices.Index(s.onlineQueue.list, req)
	}
	req.aheadInQueue = ahead
}

// maxStartMisses bounds the waiting requests for which one pass finds no replica.
const maxStartMisses = 8

// startWaiting starts waiting requests, online before batch.
func (s *Shard) startWaiting() {
	if s.onlineQueue.len() > 0 {
		s.onlineQueue.markOverdue(s.now, func(*request) time.Duration { return s.firstTokenTime.mean })
		s.onlineQueue.startReady(s.now, maxStartMisses, s.startOnline)
	}
	if s.batchQueue.len() > 0 {
		s.batchQueue.markOverdue(s.now, s.remainingTime)
		s.batchQueue.startReady(s.now, maxStartMisses, s.startBatch)
	}
}

func (s *Shard) startOnline(req *request) startResult {
	if !s.mayRunNow(req) {
		return held
	}
	if req.overdue && !req.delivered && !s.mayStartOverdue() {
		return overdueHeld
	}
	if r := s.replicaOfCopy(req); r != nil {
		if !s.fits(req, r) {
			return held
		}
		s.dispatch(req, r, req.nextKind)
		return started
	}
	r, narrowed := s.placeSuspect(req)
	if narrowed && r == nil {
		return held
	}
	if r == nil {
		r = s.pick(req)
	}
	if r == nil && s.onlyAvoided(req, s.local, s.remote) {
		req.avoid = nil
		r = s.pick(req)
	}
	switch {
	case r != nil && s.needsReservation(req, r):
		s.reserve(req, r)
		return started
	case r != nil:
		s.dispatch(req, r, req.nextKind)
		return started
	case s.isSuspect(req), req.holdsEvents() && len(s.builds) > 1:
		return held // other requests may find room at replicas that this one may not use
	default:
		return noRoom
	}
}

// onlyAvoided reports whether every replica of the lists that could run the request has
// failed it before. Trying one of them again is then better than running it nowhere.
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
