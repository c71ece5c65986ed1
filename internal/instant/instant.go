// Package instant holds the points in time that replicated records carry.
package instant

import "time"

// Micros is a point in time: microseconds since the Unix epoch. Zero means that
// no time is set. An integer has one encoding, so replicas and checksums agree
// on it, which holds for neither time.Time nor a float.
type Micros int64

// Of converts t; the zero time gives zero.
func Of(t time.Time) Micros {
	if t.IsZero() {
		return 0
	}
	return Micros(t.UnixMicro())
}

// Time converts back, in UTC; zero gives the zero time.
func (m Micros) Time() time.Time {
	if m == 0 {
		return time.Time{}
	}
	return time.UnixMicro(int64(m)).UTC()
}

// Add gives the instant d later.
func (m Micros) Add(d time.Duration) Micros { return m + Micros(d.Microseconds()) }

// Sub gives the time from other to m.
func (m Micros) Sub(other Micros) time.Duration { return time.Duration(m-other) * time.Microsecond }
