package route

import "time"

func (in Paused) apply(s *Shard) {
	a := s.attempts[in.Attempt]
	if a == nil {
		return
	}
	a.paused = in.Paused
	a.wasPaused = true
	a.lastProgress = s.now
}

// idleFor returns how long an attempt has made no progress although the gate reads from
// its replica.
func (s *Shard) idleFor(a *attempt) time.Duration {
	if a.paused {
		return 0
	}
	return s.now.Sub(a.lastProgress)
}
