package route

import (
	"slices"
	"time"
)

const (
	// idleFactor multiplies the time within which nearly all first answers arrive; an
	// attempt that takes longer is idle.
	idleFactor = 1.5
	// idleProbeInterval is the time until a live replica with idle streams is probed
	// again.
	idleProbeInterval = time.Second
	// minIdleStreams is the number of a replica's streams that must stall together
	// before it is probed. Packets of two connections are rarely lost at once, and a
	// single stalled stream is resumed anyway.
	minIdleStreams = 2
)

// probeIfAllIdle probes a replica when all attempts of this gate on it are idle, to detect
// a loss of power. No error arrives then: streams stall until their token timeout, when
// their callers have left, and new requests are sent there until a connection attempt
// fails. The probe detects it within the time of a connection, and the streams resume
// elsewhere before their callers notice a pause.
func (s *Shard) probeIfAllIdle(r *replica) {
	if s.config.StallMin <= 0 || r.health == suspect || r.probing || s.now.Before(r.probeAt) {
		return
	}
	if s.now.Sub(r.lastContact) < s.stallThreshold() {
		return
	}
	streams, awaitsFirst := 0, false
	for _, a := range r.attempts {
		if !s.isIdle(a) {
			continue
		}
		if a.tokens > 0 {
			streams++
		} else {
			awaitsFirst = true
		}
	}
	if awaitsFirst || streams >= minIdleStreams {
		s.count(ReasonReplicaIdle)
		r.probeDelay = idleProbeInterval
		s.probe(r)
	}
}

// isIdle reports whether an attempt has made no progress for longer than nearly all
// attempts take.
func (s *Shard) isIdle(a *attempt) bool {
	idle := s.idleFor(a)
	if a.tokens > 0 {
		return idle >= s.stallThreshold()
	}
	usual := s.usualFirstAnswer()
	return usual > 0 && idle >= max(s.stallThreshold(), time.Duration(idleFactor*float64(usual)))
}

// usualFirstAnswer returns the time within which nearly all first answers arrive: first
// tokens or, for a plain service, whole answers. It returns 0 while none is known.
func (s *Shard) usualFirstAnswer() time.Duration {
	if s.firstTokenTime.mean > 0 {
		return s.firstTokenTime.upperBound()
	}
	return s.answerTime.upperBound()
}

// moveIdle retries the idle requests of an unresponsive replica elsewhere, where that
// is allowed. The others stay: the replica may return before their callers leave, and
// stopping them would help nobody.
func (s *Shard) moveIdle(r *replica) {
	for _, a := range slices.Clone(r.attempts) {
		if s.attempts[a.id] != nil && s.isIdle(a) && s.mayRetry(a) {
			s.emit(Cancel{ID: a.req.ID, Attempt: a.id, Cause: CancelSilent})
			s.handleFailure(a, CauseSilent)
		}
	}
}

// mayRetry reports whether the request would be retried if this attempt failed now.
func (s *Shard) mayRetry(a *attempt) bool {
	req := a.req
	mayResume := req.Repeatable && (!req.delivered || req.Resumable)
	return mayResume && len(req.liveAttempts) == 1 && (req.RetryUntilAnswered || req.tried < s.maxAttempts(req))
}

// reconnectShare is the share of its caller's time after which a request without a
// first answer is tried over another connection.
const reconnectShare = 0.5

// reconnectTimeout returns how long a repeatable request waits for its first answer over
// one connection. A device between gate and replica may have lost the state of the pooled
// connections, and each request on one would wait until its caller leaves, until the pool
// is used up. Half of the caller's time suffices for another attempt, and the first one
// that fails drops the pool.
func (s *Shard) reconnectTimeout(a *attempt, otherwise time.Duration) time.Duration {
	req := a.req
	if req.Class != Online || !req.Repeatable || req.tried >= s.maxAttempts(req) {
		return otherwise
	}
	half := time.Duration(reconnectShare * float64(req.Deadline.Sub(a.started)))
	if usual := s.usualFirstAnswer(); usual == 0 || usual >= half {
		return otherwise // another attempt would rarely be answered in time
	}
	return min(otherwise, half)
}
