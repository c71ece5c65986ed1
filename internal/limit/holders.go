package limit

import (
	"time"

	"slateway.example/slateway/internal/rendezvous"
)

// Gate is a gate that may hold the credit of teams.
type Gate struct {
	VM       string
	Started  int64 // process start in ms since 1970; 0: went down with all other gates and is expected back
	Draining bool
}

// SettleTime is how long a gate must run before it owns teams if other gates are older.
// Otherwise a gate that restarts often would take over accounts and lose them again.
const SettleTime = 5 * time.Second

// simultaneousStartWindow is the largest difference between the start times of gates
// that count as started together.
const simultaneousStartWindow = time.Second

// Holders is one gate's view of the gates that may own teams.
type Holders struct {
	eligible []string
	choices  map[string]Choice // cache by team
	// Complete reports that the view contains all expected gates. After all gates were
	// down, gates that know only a few others choose different owners for a team.
	Complete       bool
	openingMargins float64 // initial credit of an owner's new account, in margins
	// downtime is how long before the start of these gates no gate can have granted credit.
	downtime time.Duration
	// NextChange is when the view changes without a change of the gates, because a gate
	// reaches SettleTime; zero if there is no such time.
	NextChange time.Time
}

// Choice is the pair of gates that hold a team's credit. A name is empty if there is no
// such gate.
type Choice struct{ Owner, Standby string }

// NewHolders creates the view of a gate that knows the given gates. expected is the
// number of gates of the site; 0: the known ones are all.
func NewHolders(gates []Gate, expected int, now time.Time) *Holders {
	h := &Holders{choices: make(map[string]Choice), Complete: expected <= len(gates), openingMargins: 1}
	oldest := oldestStart(gates)
	if oldest > 0 && now.Before(time.UnixMilli(oldest).Add(SettleTime)) {
		h.downtime = minDowntime
	}
	if !h.Complete {
		h.openingMargins = float64(len(gates)) / float64(expected)
	}
	for _, g := range gates {
		if g.Draining {
			continue
		}
		settled := time.UnixMilli(g.Started).Add(SettleTime)
		if g.Started-oldest > simultaneousStartWindow.Milliseconds() && now.Before(settled) {
			if h.NextChange.IsZero() || settled.Before(h.NextChange) {
				h.NextChange = settled
			}
			continue
		}
		h.eligible = append(h.eligible, g.VM)
	}
	return h
}

// minDowntime is the minimum time without any grant when all gates have just started:
// from the end of the previous processes until the first gate is ready.
const minDowntime = 300 * time.Millisecond

// oldestStart returns the earliest start time of a running gate; 0 if none runs.
func oldestStart(gates []Gate) int64 {
	oldest := int64(0)
	for _, g := range gates {
		if g.Started > 0 && (oldest == 0 || g.Started < oldest) {
			oldest = g.Started
		}
	}
	return oldest
}

// Choose returns the gates that hold a team's credit.
func (h *Holders) Choose(team string) Choice {
	if choice, known := h.choices[team]; known {
		return choice
	}
	owner, standby := rendezvous.BestTwo(team, h.eligible)
	choice := Choice{Owner: owner, Standby: standby}
	h.choices[team] = choice
	return choice
}

// Role describes what a gate may grant to a team.
type Role struct {
	Owned          bool    // the gate is the team's owner
	OpeningMargins float64 // initial credit of a new account, in margins
	// Downtime is the time before the account's creation in which nobody can have granted
	// credit. The new account is credited for it.
	Downtime time.Duration
	// TakeoverQuorum is how many gates must report that the owner does not answer before
	// this gate, as standby, acts for the owner.
	TakeoverQuorum int
}

// standbyMargins is the number of margins that a standby grants in a window while it does
// not act for the owner.
const standbyMargins = 0.5

// maxTakeoverQuorum is above 1 because a single gate may have lost its connection to an
// owner that still grants credit to the others.
const maxTakeoverQuorum = 3

// Role returns the role of the gate vm for a team.
func (h *Holders) Role(team, vm string) Role {
	role := Role{Owned: h.Choose(team).Owner == vm, OpeningMargins: h.openingMargins, TakeoverQuorum: max(1, min(len(h.eligible)/2, maxTakeoverQuorum))}
	if !role.Owned {
		role.OpeningMargins = min(role.OpeningMargins, standbyMargins)
	} else if h.Complete {
		role.Downtime = h.downtime
	}
	return role
}
