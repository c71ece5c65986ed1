package route

import (
	"fmt"
	"slices"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/upstream"
)

// suspectRetryAfter is how long a caller waits while another gate finds out
// whether its request kills replicas.
const suspectRetryAfter = time.Second

// checkStanding refuses requests that replicas have died of.
//
// A request that crashes each replica that runs it, sent again and again,
// would take the fleet down one replica at a time. After the first death only
// one gate may try it, on one replica at a time; after the second it is
// refused for good, before it reaches any replica.
func (s *Shard) checkStanding(req *request) *apierr.Error {
	if s.config.Disabled.Poison || req.Patient {
		return nil
	}
	switch s.strikes.Standing(s.at, req.Fingerprint) {
	case upstream.StandingCondemned:
		return s.poisonError(req)
	case upstream.StandingSuspect:
		return s.checkHolder(req)
	default:
		return nil
	}
}

func (s *Shard) poisonError(req *request) *apierr.Error {
	struck := s.strikes.Struck(s.at, req.Fingerprint)
	return apierr.New(apierr.Refused, ReasonPoison,
		"change the request: sending it again does not help",
		"replicas died while they ran this request: %s", fmt.Sprint(struck)).WithRan(req.ran())
}

func (s *Shard) checkHolder(req *request) *apierr.Error {
	if s.config.Disabled.Holder {
		return nil
	}
	able := func(gate string) bool { return s.isLive(gate) && s.mayTry(gate, req) }
	holder := s.strikes.Holder(s.at, req.Fingerprint, able)
	if holder == "" {
		gates := slices.DeleteFunc(slices.Clone(s.gates), func(g Gate) bool { return !able(g.ID) })
		holder = bestGate(gates, "", fmt.Sprint(uint64(req.Fingerprint)))
	}
	if holder == "" || holder == s.config.Self {
		return nil
	}
	return apierr.New(apierr.Unavailable, ReasonSuspect,
		"come back after the time given, when it is known whether the request is harmful",
		"a replica died while it ran this request; gate %s alone may try it again", holder).
		WithRan(req.ran()).WithRetryAfter(suspectRetryAfter)
}

// mayTry says whether a gate can start the request: items start only at the gate that
// feeds a replica for them.
func (s *Shard) mayTry(gate string, req *request) bool {
	if req.Class != Batch {
		return true
	}
	for _, r := range s.replicas {
		if r.feeder == gate && r.serves(req) {
			return true
		}
	}
	return false
}

func (s *Shard) isLive(gate string) bool {
	return gate == s.config.Self || slices.ContainsFunc(s.gates, func(g Gate) bool { return g.ID == gate })
}

// mayRunNow holds a suspect request back while another attempt of the same
// fingerprint runs, and keeps it off the replicas that died of it.
func (s *Shard) mayRunNow(req *request) bool {
	if s.copyAwaited(req) {
		return false
	}
	if !s.isSuspect(req) {
		return true
	}
	if s.runningCopies(req.Fingerprint) > 0 || s.at.Before(s.patientUntil(req)) {
		return false
	}
	for _, id := range s.strikes.Struck(s.at, req.Fingerprint) {
		req.avoidReplica(id)
	}
	return true
}

// Times until a patient request is tried again after replicas have died of it:
// the first one, doubled with each further death.
const (
	firstPatience = 500 * time.Millisecond
	mostPatience  = 16 * time.Second
)

// patientUntil gives when a patient suspect may be tried again. It may be the
// cause of the deaths, and each try may cost a replica.
func (s *Shard) patientUntil(req *request) time.Time {
	deaths, last := s.strikes.Deaths(s.at, req.Fingerprint)
	if !req.Patient || deaths == 0 {
		return time.Time{}
	}
	wait := firstPatience
	for range deaths - 1 {
		wait = min(2*wait, mostPatience)
	}
	return last.Add(wait)
}

func (s *Shard) isSuspect(req *request) bool {
	return !s.config.Disabled.Poison && s.strikes.Standing(s.at, req.Fingerprint) != upstream.StandingClear
}

// sharesTrial says whether another suspect is on trial on the replica.
//
// When a replica dies, all requests on it become suspects. If two of them met
// again on the next replica that dies, the innocent one would be condemned with
// the other; so each suspect is tried on a replica of its own until it is past
// the token at which its first replica died.
func (s *Shard) sharesTrial(r *replica) bool {
	if s.config.Disabled.Trial {
		return false
	}
	for _, a := range r.attempts {
		if s.isSuspect(a.req) && !a.pastTrial() {
			return true
		}
	}
	return false
}

// pastTrial says whether the attempt has come further than the one that was
// running when a replica died. For a request that came after the death, that
// point is not known, and the trial lasts until the answer is whole.
func (a *attempt) pastTrial() bool {
	return a.req.struck && a.tokens > a.req.struckAt
}

// strike records that a replica died while the requests ran on it; orphans are
// the fingerprints of requests that have been given up since.
func (s *Shard) strike(r *replica, suspects []*request, orphans []upstream.Fingerprint) {
	if s.config.Disabled.Poison {
		return
	}
	prints := slices.Clone(orphans)
	for _, req := range suspects {
		req.struckAt = req.tokens
		req.struck = true
		prints = append(prints, req.Fingerprint)
	}
	var added []upstream.Strike
	for _, print := range prints {
		strike := upstream.Strike{
			Fingerprint: print,
			Replica:     r.entry.Replica,
			Incarnation: r.incarnation,
			Gate:        s.config.Self,
			At:          s.at,
		}
		if s.strikes.Add(strike) {
			added = append(added, strike)
		}
	}
	if len(added) > 0 {
		s.emit(Spread{Strikes: added})
	}
	s.enforce(added)
}

func (in Struck) apply(s *Shard) {
	var added []upstream.Strike
	for _, strike := range in.Strikes {
		if s.strikes.Add(strike) {
			added = append(added, strike)
		}
	}
	s.enforce(added)
	s.pump()
}

// enforce applies new strikes to the requests that are here already: condemned
// ones are refused, and of a suspect one all attempts but the oldest stop.
func (s *Shard) enforce(added []upstream.Strike) {
	if s.config.Disabled.Poison {
		return
	}
	for _, strike := range added {
		switch s.strikes.Standing(s.at, strike.Fingerprint) {
		case upstream.StandingCondemned:
			s.refuseAll(strike.Fingerprint)
		case upstream.StandingSuspect:
			s.keepOldest(strike.Fingerprint, strike.Replica)
		}
	}
}

func (s *Shard) refuseAll(print upstream.Fingerprint) {
	matches := func(req *request) bool { return req.Fingerprint == print && !req.Patient }
	for _, req := range s.inOrder(matches) {
		s.refuse(req, s.poisonError(req))
	}
}

// inOrder lists the matching requests: waiting ones, then running ones.
func (s *Shard) inOrder(matches func(*request) bool) []*request {
	var found []*request
	for _, req := range slices.Concat(s.waiting.list, s.batch.list) {
		if matches(req) {
			found = append(found, req)
		}
	}
	for _, p := range s.placing {
		if matches(p.req) {
			found = append(found, p.req)
		}
	}
	for _, r := range s.replicas {
		for _, a := range r.attempts {
			if matches(a.req) && !slices.Contains(found, a.req) {
				found = append(found, a.req)
			}
		}
	}
	return found
}

// keepOldest stops the attempts of a suspect request on live replicas, but for
// the oldest, so that not several replicas are lost at once.
func (s *Shard) keepOldest(print upstream.Fingerprint, dead upstream.ReplicaID) {
	var live []*attempt
	for _, r := range s.replicas {
		for _, a := range r.attempts {
			if a.req.Fingerprint == print && r.entry.Replica != dead {
				live = append(live, a)
			}
		}
	}
	slices.SortFunc(live, func(a, b *attempt) int { return int(a.id) - int(b.id) })
	for _, a := range live[min(1, len(live)):] {
		req := a.req
		req.maybeRan = true
		s.cancel(a, CancelSuspect)
		if len(req.live) == 0 {
			s.tryAgain(req, CauseSuspect)
		}
	}
}
