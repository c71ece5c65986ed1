package instant

import "time"

// Clock gives instants that go on with the steady time of the process: the time of day
// may jump by an hour, and what waits must not be over because of it.
type Clock struct{ start time.Time }

// NewClock makes a clock that begins with the time of day.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now gives the present instant.
func (c Clock) Now() Micros { return Of(c.start.Add(time.Since(c.start))) }
