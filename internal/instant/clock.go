package instant

import "time"

// Clock returns instants that advance with the monotonic clock of the process. The time of
// day may jump by an hour, and this must not end waits.
type Clock struct{ start time.Time }

// NewClock creates a clock that starts at the current time of day.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now returns the current instant.
func (c Clock) Now() Micros { return Of(c.start.Add(time.Since(c.start))) }
