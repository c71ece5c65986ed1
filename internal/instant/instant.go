// Package instant defines the points in time that are stored in replicated records.
package instant

import "time"

// Micros is a point in time in microseconds since the Unix epoch. Zero means that no time
// is set. Unlike a time.Time or a float, an integer has only one encoding, so that
// replicas and checksums agree.
type Micros int64

// Of converts t. It returns zero for the zero time.
func Of(t time.Time) Micros {
	if t.IsZero() {
		return 0
	}
	return Micros(t.UnixMicro())
}

// Time returns m as a time in UTC. It returns the zero time for zero.
func (m Micros) Time() time.Time {
	if m == 0 {
		return time.Time{}
	}
	return time.UnixMicro(int64(m)).UTC()
}

// Add returns m+d.
func (m Micros) Add(d time.Duration) Micros { return m + Micros(d.Microseconds()) }

// Sub returns m-other.
func (m Micros) Sub(other Micros) time.Duration { return time.Duration(m-other) * time.Microsecond }
