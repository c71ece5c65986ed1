package route

import (
	"time"

	"slateway.example/slateway/internal/upstream"
)

// copyState tracks the requests that share a fingerprint.
type copyState struct {
	running       int       // live attempts
	awaitingProbe int       // requests whose replica is being probed
	lastReplica   *replica  // replica of the latest dispatch
	completedAt   time.Time // when a copy last completed
}

// completionLifetime is how long the completion of one request clears its copies.
const completionLifetime = time.Minute

// recordCopyStart counts a dispatch.
func (s *Shard) recordCopyStart(print upstream.Fingerprint, r *replica) {
	c := s.copiesOf(print)
	c.running++
	c.lastReplica = r
}

func (s *Shard) copiesOf(print upstream.Fingerprint) *copyState {
	c := s.copies[print]
	if c == nil {
		c = &copyState{}
		s.copies[print] = c
	}
	return c
}

// awaitProbe delays a request's next attempt or final error until a probe shows whether
// the replica's process died while running it. A caller that received its error sooner
// could send a harmful request through another gate before that gate has the crash
// record. Queued copies of the request wait for the same reason.
func (s *Shard) awaitProbe(req *request, r *replica, lost lostRequest) {
	req.awaitedReplica = r
	req.lost = lost
	req.awaitingSince = s.now
	s.copiesOf(req.Fingerprint).awaitingProbe++
}

// endAwait ends the wait for a probe.
func (s *Shard) endAwait(req *request) {
	if req.awaitedReplica == nil {
		return
	}
	req.awaitedReplica = nil
	c := s.copies[req.Fingerprint]
	c.awaitingProbe--
	s.dropCopies(req.Fingerprint, c)
}

func (s *Shard) dropCopies(print upstream.Fingerprint, c *copyState) {
	if c.running == 0 && c.awaitingProbe == 0 && c.completedAt.IsZero() {
		delete(s.copies, print)
	}
}

// isCopyAwaitingProbe reports whether a probe is under way to find out whether a copy
// of the request crashed its replica.
func (s *Shard) isCopyAwaitingProbe(req *request) bool {
	c := s.copies[req.Fingerprint]
	return c != nil && c.awaitingProbe > 0 && !s.config.Disabled.Copies
}

func (s *Shard) recordCopyEnd(print upstream.Fingerprint) {
	c := s.copies[print]
	c.running--
	s.dropCopies(print, c)
}

// recordCompletion records that a request has completed. The time is kept only while
// copies of the request exist, since most requests are sent once.
func (s *Shard) recordCompletion(print upstream.Fingerprint) {
	if c := s.copies[print]; c != nil {
		c.completedAt = s.now
	}
}

// replicaOfCopy returns the replica on which a copy of the request already runs and which
// the request must therefore use, or nil if it may use any. Without it, a caller that sends
// a harmful request many times at once could crash as many replicas before the first crash
// is noticed. Once one copy has completed, the others may run anywhere.
func (s *Shard) replicaOfCopy(req *request) *replica {
	c := s.copies[req.Fingerprint]
	if c == nil || c.running == 0 || s.config.Disabled.Copies || s.now.Sub(c.completedAt) < completionLifetime {
		return nil
	}
	if !s.acceptsWork(c.lastReplica) {
		return nil // leaving or frozen; isCopyAwaitingProbe covers a dead replica
	}
	return c.lastReplica
}

func (s *Shard) runningCopies(print upstream.Fingerprint) int {
	if c := s.copies[print]; c != nil {
		return c.running
	}
	return 0
}

// expireCopies drops completions older than completionLifetime.
func (s *Shard) expireCopies() {
	for print, c := range s.copies {
		if c.running == 0 && c.awaitingProbe == 0 && s.now.Sub(c.completedAt) >= completionLifetime {
			delete(s.copies, print)
		}
	}
}
