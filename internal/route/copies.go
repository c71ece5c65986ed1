package route

import (
	"time"

	"slateway.example/slateway/internal/upstream"
)

// copies is what is known of the requests with one fingerprint.
type copies struct {
	running int       // live attempts
	awaited int       // requests whose replica is being probed
	on      *replica  // of the latest dispatch
	proven  time.Time // when one of them completed last
}

// provenFor is how long the completion of a request vouches for its copies.
const provenFor = time.Minute

// copyStarted counts a dispatch.
func (s *Shard) copyStarted(print upstream.Fingerprint, on *replica) {
	c := s.copiesOf(print)
	c.running++
	c.on = on
}

func (s *Shard) copiesOf(print upstream.Fingerprint) *copies {
	c := s.copies[print]
	if c == nil {
		c = &copies{}
		s.copies[print] = c
	}
	return c
}

// await holds a request's next attempt or final answer until the probe of its
// replica tells whether the replica died of it. A caller that is answered
// sooner could send a harmful request through another gate before that gate
// knows of the death; copies that wait here are held for the same reason.
func (s *Shard) await(req *request, r *replica) {
	req.awaiting = r
	req.since = s.at
	s.copiesOf(req.Fingerprint).awaited++
}

// settled ends the wait for a probe.
func (s *Shard) settled(req *request) {
	if req.awaiting == nil {
		return
	}
	req.awaiting = nil
	c := s.copies[req.Fingerprint]
	c.awaited--
	s.dropCopies(req.Fingerprint, c)
}

func (s *Shard) dropCopies(print upstream.Fingerprint, c *copies) {
	if c.running == 0 && c.awaited == 0 && c.proven.IsZero() {
		delete(s.copies, print)
	}
}

// copyAwaited says whether it is being found out if a replica died of a copy of
// the request.
func (s *Shard) copyAwaited(req *request) bool {
	c := s.copies[req.Fingerprint]
	return c != nil && c.awaited > 0 && !s.config.Disabled.Copies
}

func (s *Shard) copyEnded(print upstream.Fingerprint) {
	c := s.copies[print]
	c.running--
	s.dropCopies(print, c)
}

// copyProven notes that a request has completed. It is remembered only while
// copies of it run, since most requests come once.
func (s *Shard) copyProven(print upstream.Fingerprint) {
	if c := s.copies[print]; c != nil {
		c.proven = s.at
	}
}

// boundTo gives the replica that a request must share with a copy of it that
// runs already; nil when it is free to go anywhere.
//
// A caller that sends a harmful request many times at once would otherwise lose
// as many replicas before the first death is noticed. Once one copy has
// completed, the others are free.
func (s *Shard) boundTo(req *request) *replica {
	c := s.copies[req.Fingerprint]
	if c == nil || c.running == 0 || s.config.Disabled.Copies || s.at.Sub(c.proven) < provenFor {
		return nil
	}
	if !s.takesWork(c.on) {
		return nil // leaving or frozen; of a dead one copyAwaited takes care
	}
	return c.on
}

func (s *Shard) runningCopies(print upstream.Fingerprint) int {
	if c := s.copies[print]; c != nil {
		return c.running
	}
	return 0
}

// expireCopies forgets completions that no longer vouch for anything.
func (s *Shard) expireCopies() {
	for print, c := range s.copies {
		if c.running == 0 && c.awaited == 0 && s.at.Sub(c.proven) >= provenFor {
			delete(s.copies, print)
		}
	}
}
