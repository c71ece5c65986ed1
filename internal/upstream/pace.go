package upstream

import "time"

// Pace is how long work takes on a replica at a moment, as the replica told it. The zero
// value means that it is unknown.
type Pace struct {
	Percent   int `json:"p,omitempty"` // 100: as usual, 250: two and a half times as long
	AgeMillis int `json:"a,omitempty"` // time since the replica told it
}

// NewPace returns a pace that was told age ago.
func NewPace(percent int, age time.Duration) Pace {
	return Pace{Percent: percent, AgeMillis: int(age.Milliseconds())}
}

// maxAge bounds the age in a message. Paces are of no use long before.
const maxAge = time.Minute

// Age returns the time since the replica told the pace, at most maxAge.
func (p Pace) Age() time.Duration {
	return time.Duration(min(max(0, p.AgeMillis), int(maxAge/time.Millisecond))) * time.Millisecond
}
