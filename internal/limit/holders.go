package limit

import (
	"time"

	"slateway.example/slateway/internal/rendezvous"
)

// Gate is a gate that may hold the credit of teams.
type Gate struct {
	VM       string
	Started  int64 // start of its process, in ms since 1970; 0: stopped with all others, and soon back
	Draining bool
}

// SettleTime is how long a gate runs before it owns teams, if others ran before it.
// A gate that restarts often would else take accounts over and lose them again.
const SettleTime = 5 * time.Second

// sameStart is how far apart gates may start that count as started together.
const sameStart = time.Second

// Holders are the gates that may own teams, in the view of one gate.
type Holders struct {
	names  []string
	chosen map[string]Choice // by team, as far as it was asked for
	// Complete: the view holds all gates there are. After a stop of all, gates that
	// know few others each choose owners of their own.
	Complete bool
	opening  float64 // with how many margins an owner's new account begins
	// standstill is how long no gate can have granted anything before these started.
	standstill time.Duration
	// SettledAt is when the view changes though no gate does: when a gate has run for
	// SettleTime. Zero: not by itself.
	SettledAt time.Time
}

// Choice names the gates that hold a team's credit; a name is empty if there is no
// such gate.
type Choice struct{ Owner, Standby string }

// NewHolders makes the view of a gate that knows these gates, of so many expected
// ones; 0: as many as it knows.
func NewHolders(gates []Gate, expected int, now time.Time) *Holders {
	h := &Holders{chosen: make(map[string]Choice), Complete: expected <= len(gates), opening: 1}
	oldest := oldestOf(gates)
	if oldest > 0 && now.Before(time.UnixMilli(oldest).Add(SettleTime)) {
		h.standstill = leastStandstill
	}
	if !h.Complete {
		h.opening = float64(len(gates)) / float64(expected)
	}
	for _, g := range gates {
		if g.Draining {
			continue
		}
		settled := time.UnixMilli(g.Started).Add(SettleTime)
		if g.Started-oldest > sameStart.Milliseconds() && now.Before(settled) {
			if h.SettledAt.IsZero() || settled.Before(h.SettledAt) {
				h.SettledAt = settled
			}
			continue
		}
		h.names = append(h.names, g.VM)
	}
	return h
}

// leastStandstill is the least time without any grant when all gates have just started:
// from the end of the processes before them until a gate is ready.
const leastStandstill = 300 * time.Millisecond

// oldestOf gives the start of the process that has run for longest; 0 if none runs.
func oldestOf(gates []Gate) int64 {
	oldest := int64(0)
	for _, g := range gates {
		if g.Started > 0 && (oldest == 0 || g.Started < oldest) {
			oldest = g.Started
		}
	}
	return oldest
}

// Of gives the gates that hold a team's credit.
func (h *Holders) Of(team string) Choice {
	if choice, known := h.chosen[team]; known {
		return choice
	}
	owner, standby := rendezvous.BestTwo(team, h.names)
	choice := Choice{Owner: owner, Standby: standby}
	h.chosen[team] = choice
	return choice
}

// Stance is what a gate is to a team.
type Stance struct {
	Owned   bool    // the gate owns it
	Opening float64 // with how many margins a new account begins
	// Standstill is the time before whose credit is there too: nobody granted it.
	Standstill time.Duration
	// Witnesses is the number of gates that must find the owner silent before the
	// gate, its standby, acts for it.
	Witnesses int
}

// standbyOpening is how many margins a standby grants in a window while it does not
// act for the owner.
const standbyOpening = 0.5

// maxWitnesses: one gate alone may have lost its way to an owner that goes on granting
// credit to the others.
const maxWitnesses = 3

// Stance gives what a gate is to a team.
func (h *Holders) Stance(team, vm string) Stance {
	stance := Stance{Owned: h.Of(team).Owner == vm, Opening: h.opening, Witnesses: max(1, min(len(h.names)/2, maxWitnesses))}
	if !stance.Owned {
		stance.Opening = min(stance.Opening, standbyOpening)
	} else if h.Complete {
		stance.Standstill = h.standstill
	}
	return stance
}
