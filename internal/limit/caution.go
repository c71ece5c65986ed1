package limit

import (
	"maps"
	"time"
)

// Caution says for which teams a gate asks before it starts a request. It is not safe
// for concurrent use.
type Caution struct {
	forAll time.Time            // until when it asks first for all teams
	until  map[string]time.Time // by team
}

// cautionTime is how long a gate asks first after it was told that credit runs low.
const cautionTime = 5 * time.Second

// NewCaution makes the Caution of a gate that has just started. It has not heard for
// which teams credit runs low, and asks first for all.
func NewCaution(now time.Time) *Caution {
	return &Caution{forAll: now.Add(cautionTime), until: make(map[string]time.Time)}
}

// Note makes the gate ask first for a team.
func (c *Caution) Note(now time.Time, team string) { c.until[team] = now.Add(cautionTime) }

// AskFirst says whether to ask first for a team.
func (c *Caution) AskFirst(now time.Time, team string) bool {
	return now.Before(c.forAll) || now.Before(c.until[team])
}

// Forget drops what is over.
func (c *Caution) Forget(now time.Time) {
	maps.DeleteFunc(c.until, func(_ string, until time.Time) bool { return now.After(until) })
}
