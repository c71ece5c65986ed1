package limit

import (
	"maps"
	"time"
)

// AdmissionChecks tracks the teams for which a gate must ask the owner before it starts
// a request. It is not safe for concurrent use.
type AdmissionChecks struct {
	allUntil time.Time            // end of the checks for all teams
	until    map[string]time.Time // end of the checks by team
}

// checkDuration is how long a gate asks before start after a low-credit notification.
const checkDuration = 5 * time.Second

// NewAdmissionChecks returns the checks of a gate that has just started. The gate does
// not know yet which teams are low on credit, so it checks every team at first.
func NewAdmissionChecks(now time.Time) *AdmissionChecks {
	return &AdmissionChecks{allUntil: now.Add(checkDuration), until: make(map[string]time.Time)}
}

// Require makes the gate ask before it starts requests of the team.
func (c *AdmissionChecks) Require(now time.Time, team string) { c.until[team] = now.Add(checkDuration) }

// Required reports whether the gate must ask before it starts a request of the team.
func (c *AdmissionChecks) Required(now time.Time, team string) bool {
	return now.Before(c.allUntil) || now.Before(c.until[team])
}

// Expire deletes the entries whose time is over.
func (c *AdmissionChecks) Expire(now time.Time) {
	maps.DeleteFunc(c.until, func(_ string, until time.Time) bool { return now.After(until) })
}
