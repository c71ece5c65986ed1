package limit

import (
	"time"

	"slateway.example/slateway/internal/rendezvous"
)

// Gate is a gate that may hold the credit of teams.
type Gate struct {
	VM       string
	Started  int64 // start of its process, in ms since 1970
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
	// Share is the part of all gates that the view holds, 0 to 1. After a stop of
	// all, gates that know few others each choose owners of their own.
	Share float64
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
	h := &Holders{chosen: make(map[string]Choice), Share: 1}
	if expected > len(gates) {
		h.Share = float64(len(gates)) / float64(expected)
	}
	oldest := int64(0)
	for i, g := range gates {
		if i == 0 || g.Started < oldest {
			oldest = g.Started
		}
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
