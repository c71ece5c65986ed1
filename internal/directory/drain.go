package directory

import "time"

// Phase is how far a gate's drain has come.
type Phase uint8

// Phases of a drain.
const (
	Serving  Phase = 0 // not draining
	Lingers  Phase = 1 // left the directory; callers that keep an answer still come and are served
	Finishes Phase = 2 // all answers have run out; takes nothing new, requests in progress go on
	Stopped  Phase = 3 // nothing is left in progress, or the longest drain is over
)

// DefaultSpread is how long after its drain begins other gates may still name a
// gate: the publication to the places of the region (0.5 s), its way to every gate
// there (1 s), and either a lost packet, made good by the next publication (2 s),
// or the answer of an earlier delegate, left out when it missed one (3 s). The
// rest is a reserve.
const DefaultSpread = 6 * time.Second

// Drain decides when a gate that was told to stop may do so.
//
// Failure guarded against: callers keep the directory's answer and connect to
// its addresses without asking again. A gate that stops when its own streams
// have ended refuses the connections of those who got its address a second
// before; they see errors though every other gate is well. So the gate serves
// on until the last answer that may name it has run out: the time others need
// to learn of the drain, and one lifetime.
type Drain struct {
	config DrainConfig
	began  time.Time
	active bool
}

// DrainConfig bounds a drain.
type DrainConfig struct {
	Lifetime time.Duration // of answers
	Spread   time.Duration // until no other gate names this one; zero at a site of one gate
	Longest  time.Duration // of the whole drain; requests still in progress are cut then
}

// NewDrain makes a drain that has not begun.
func NewDrain(config DrainConfig) *Drain { return &Drain{config: config} }

// Begin starts the drain; later calls change nothing.
func (d *Drain) Begin(now time.Time) {
	if !d.active {
		d.active = true
		d.began = now
	}
}

// Phase gives the phase while inProgress requests run. The gate's own answers
// must have stopped naming it when Begin was called.
func (d *Drain) Phase(now time.Time, inProgress int) Phase {
	if !d.active {
		return Serving
	}
	age := now.Sub(d.began)
	switch {
	case age >= d.config.Longest:
		return Stopped
	case age < d.config.Spread+d.config.Lifetime:
		return Lingers
	case inProgress > 0:
		return Finishes
	default:
		return Stopped
	}
}

// AnswersEnd gives the moment when no caller may hold an answer that names the
// gate, for operators who wait.
func (d *Drain) AnswersEnd() time.Time { return d.began.Add(d.config.Spread + d.config.Lifetime) }
