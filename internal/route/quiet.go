package route

import (
	"slices"
	"time"
)

const (
	// overdueFactor is how much longer than nearly all first answers an overdue one
	// takes.
	overdueFactor = 1.5
	// quietProbeGap is how soon a replica is asked again that lives and is quiet.
	quietProbeGap = time.Second
	// leastQuietStreams are the streams of a replica that stop at once before it is
	// asked whether it lives. That packets of two connections are lost at once is
	// rare; a single stream that stops is taken up again by itself.
	leastQuietStreams = 2
)

// askIfAllQuiet asks a replica whether it lives when all that this gate has there is
// quiet.
//
// Failure guarded against: a replica loses its power. Nothing says so: its streams
// stand still until the time that an event may take is over, when their callers have
// left, and new requests go there until a connection is not answered. Asked as soon
// as its streams stop together, it is known to be gone within what a connection
// takes, and streams go on elsewhere before their callers see a pause.
func (s *Shard) askIfAllQuiet(r *replica) {
	if s.config.StallMin <= 0 || r.health == suspect || r.probing || s.at.Before(r.probeAt) {
		return
	}
	if s.at.Sub(r.heardAt) < s.stallAfter() {
		return
	}
	streams, first := 0, false
	for _, a := range r.attempts {
		if !s.isOverdue(a) {
			continue
		}
		if a.tokens > 0 {
			streams++
		} else {
			first = true
		}
	}
	if first || streams >= leastQuietStreams {
		s.count(ReasonReplicaQuiet)
		r.probeGap = quietProbeGap
		s.probe(r)
	}
}

// isOverdue says whether an attempt has had no progress for longer than nearly all
// take.
func (s *Shard) isOverdue(a *attempt) bool {
	quiet := s.at.Sub(a.progress)
	if a.tokens > 0 {
		return quiet >= s.stallAfter()
	}
	usual := s.usualFirst()
	return usual > 0 && quiet >= max(s.stallAfter(), time.Duration(overdueFactor*float64(usual)))
}

// usualFirst is how long nearly all first answers take: first tokens or, of a plain
// service, whole answers. 0 while none is known.
func (s *Shard) usualFirst() time.Duration {
	if s.firstToken.mean > 0 {
		return s.firstToken.high()
	}
	return s.answer.high()
}

// moveQuiet tries the overdue requests elsewhere whose replica does not answer, as
// far as they may be. The others stay: their replica may be back before their
// callers leave, and to break them off would gain nobody anything.
func (s *Shard) moveQuiet(r *replica) {
	for _, a := range slices.Clone(r.attempts) {
		if s.attempts[a.id] != nil && s.isOverdue(a) && s.mayMove(a) {
			s.emit(Cancel{ID: a.req.ID, Attempt: a.id, Cause: CancelSilent})
			s.failed(a, CauseSilent)
		}
	}
}

// mayMove says whether a request would be tried again if this attempt failed now.
func (s *Shard) mayMove(a *attempt) bool {
	req := a.req
	mayGoOn := req.Repeatable && (!req.delivered || req.Resumable)
	return mayGoOn && len(req.live) == 1 && (req.Patient || req.tried < s.maxAttempts(req))
}

// patienceShare is the part of its caller's time after which a first answer that has
// not come is looked for over another connection.
const patienceShare = 0.5

// patienceLimit is how long a request that may be repeated waits for its first answer
// over one connection.
//
// Failure guarded against: something between gate and replica has lost track of the
// connections in the pool. Each request that takes one of them waits until its caller
// leaves, and so does the next, for as many as there are. Half of the caller's time
// suffices for another try; the pool is dropped with the first.
func (s *Shard) patienceLimit(a *attempt, otherwise time.Duration) time.Duration {
	req := a.req
	if req.Class != Online || !req.Repeatable || req.tried >= s.maxAttempts(req) {
		return otherwise
	}
	half := time.Duration(patienceShare * float64(req.Deadline.Sub(a.started)))
	if usual := s.usualFirst(); usual == 0 || usual >= half {
		return otherwise // another try would rarely have its answer in time
	}
	return min(otherwise, half)
}
