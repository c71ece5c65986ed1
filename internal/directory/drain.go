package directory

import "time"

// Phase is the progress of a gate's drain.
type Phase uint8

// Phases of a drain.
const (
	Serving   Phase = 0 // not draining
	Lingering Phase = 1 // not listed any more; still serves callers that use an earlier answer
	Finishing Phase = 2 // all answers that list the gate have expired; accepts no new requests, finishes running ones
	Stopped   Phase = 3 // no request is running, or the drain has reached its maximum time
)

// DefaultSpread is how long other gates may list a gate after its drain has begun: its
// publication to the places of the region (0.5 s), the delivery to every gate there (1 s),
// and either a lost packet, repaired by the next publication (2 s), or the answer of an
// earlier delegate, dropped when it missed a publication (3 s). The rest is a safety margin.
const DefaultSpread = 6 * time.Second

// Drain decides when a stopping gate may exit. Callers keep an answer of the directory and
// connect to its addresses without asking again, so a gate that exits when its own streams
// have ended would refuse callers that were just given its address. The gate therefore
// serves until the last answer that may list it has expired: the spread plus one lifetime.
type Drain struct {
	config DrainConfig
	began  time.Time
	active bool
}

// DrainConfig bounds a drain.
type DrainConfig struct {
	Lifetime time.Duration // lifetime of an answer
	Spread   time.Duration // time until no other gate lists this one; zero if there is no other gate
	Longest  time.Duration // maximum time of the drain, after which running requests are cut off
}

// NewDrain creates a drain that has not begun.
func NewDrain(config DrainConfig) *Drain { return &Drain{config: config} }

// Begin starts the drain. Further calls have no effect.
func (d *Drain) Begin(now time.Time) {
	if !d.active {
		d.active = true
		d.began = now
	}
}

// Phase returns the phase of the drain while inProgress requests run. From the call of Begin
// on, the gate's own answers must not list it.
func (d *Drain) Phase(now time.Time, inProgress int) Phase {
	if !d.active {
		return Serving
	}
	age := now.Sub(d.began)
	switch {
	case age >= d.config.Longest:
		return Stopped
	case age < d.config.Spread+d.config.Lifetime:
		return Lingering
	case inProgress > 0:
		return Finishing
	default:
		return Stopped
	}
}

// AnswersEnd returns when the last answer that may list the gate expires, for operators who
// wait for it.
func (d *Drain) AnswersEnd() time.Time { return d.began.Add(d.config.Spread + d.config.Lifetime) }
