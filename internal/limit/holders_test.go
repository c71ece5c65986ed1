package limit_test

import (
	"fmt"
	"testing"
	"time"

	"slateway.example/slateway/internal/limit"
)

func gatesStartedAt(at ...time.Duration) []limit.Gate {
	gates := make([]limit.Gate, len(at))
	for i, offset := range at {
		gates[i] = limit.Gate{VM: fmt.Sprint("gate-", i), Started: start.Add(offset).UnixMilli()}
	}
	return gates
}

// countOwned returns how many of 200 teams a gate owns.
func countOwned(h *limit.Holders, vm string) int {
	count := 0
	for i := range 200 {
		if h.Choose(fmt.Sprint("team-", i)).Owner == vm {
			count++
		}
	}
	return count
}

// A gate that restarts must not take over its teams' accounts at once: its new accounts
// lack the record of the credit that was just granted elsewhere.
func TestAGateThatHasJustStartedOwnsNoTeamBesideOlderOnes(t *testing.T) {
	gates := gatesStartedAt(0, 0, 20*time.Second)
	now := start.Add(21 * time.Second)
	h := limit.NewHolders(gates, 3, now)
	if got := countOwned(h, "gate-2"); got != 0 {
		t.Errorf("the restarted gate owns %d teams after 1 s, want 0", got)
	}
	if h.NextChange.IsZero() || h.NextChange.After(start.Add(26*time.Second)) {
		t.Errorf("the view changes at %s, want within 6 s of the restart", h.NextChange)
	}
	if got := countOwned(limit.NewHolders(gates, 3, h.NextChange), "gate-2"); got == 0 {
		t.Error("the restarted gate owns no team after SettleTime")
	}
}

// When a whole site starts, every team needs an owner at once.
func TestGatesThatStartTogetherOwnTeamsAtOnce(t *testing.T) {
	h := limit.NewHolders(gatesStartedAt(0, 100*time.Millisecond, time.Second), 3, start.Add(time.Second))
	for _, vm := range []string{"gate-0", "gate-1", "gate-2"} {
		if countOwned(h, vm) == 0 {
			t.Errorf("%s owns no team", vm)
		}
	}
}

// After all gates were down, owners must not change with each gate that returns.
func TestGatesThatAreNotBackYetKeepTheirTeams(t *testing.T) {
	gates := gatesStartedAt(0, 0, 0, 0)
	whole := limit.NewHolders(gates, 4, start)
	gates[1].Started, gates[2].Started, gates[3].Started = 0, 0, 0
	first := limit.NewHolders(gates, 4, start)
	for i := range 50 {
		team := fmt.Sprint("team-", i)
		if got, want := first.Choose(team), whole.Choose(team); got != want {
			t.Errorf("%s: %+v while three of four gates are missing, %+v with all of them", team, got, want)
		}
	}
	if !first.Complete || first.Role("team-1", first.Choose("team-1").Owner).OpeningMargins < 1 {
		t.Errorf("view with the missing gates: complete %t, or accounts start with less than a margin", first.Complete)
	}
	if alone := limit.NewHolders(gates[:1], 4, start); alone.Complete || alone.Role("team-1", "gate-0").OpeningMargins >= 1 {
		t.Errorf("view of a gate that knows one gate of four: complete %t, or accounts start with a margin", alone.Complete)
	}
}

// Right after all gates were down, callers must not be refused for lack of the credit that
// accrued unused during the downtime.
func TestAfterAStopOfAllTheCreditOfTheStandstillIsThere(t *testing.T) {
	gates := gatesStartedAt(0, 0, 0)
	owner := limit.NewHolders(gates, 3, start).Choose("council").Owner
	if got := limit.NewHolders(gates, 3, start).Role("council", owner).Downtime; got <= 0 {
		t.Errorf("the owner credits a downtime of %s when all gates have just started, want more than 0", got)
	}
	if got := limit.NewHolders(gates, 3, start.Add(time.Minute)).Role("council", owner).Downtime; got != 0 {
		t.Errorf("the owner credits a downtime of %s when all gates have run for a minute, want 0", got)
	}
	c := limit.Cap{Rate: 50, Burst: 50}
	count := func(role limit.Role) int {
		l, granted := newLedger(), 0
		for range 100 {
			if l.Take(start, askFor(c), role).Verdict == limit.Granted {
				granted++
			}
		}
		return granted
	}
	if before, after := count(limit.Role{Owned: true, OpeningMargins: 1}), count(limit.Role{Owned: true, OpeningMargins: 1, Downtime: 300 * time.Millisecond}); after != before+15 {
		t.Errorf("%d granted with the downtime, %d without; want a difference of 15", after, before)
	}
}

// A gate that drains must not be asked for credit.
func TestADrainingGateOwnsNoTeam(t *testing.T) {
	gates := gatesStartedAt(0, 0)
	gates[0].Draining = true
	h := limit.NewHolders(gates, 2, start)
	if countOwned(h, "gate-0") != 0 || countOwned(h, "gate-1") != 200 {
		t.Error("the draining gate owns teams")
	}
}

// The standby of a team must be the gate that becomes owner when the owner goes away.
func TestTheStandbyFollowsTheOwner(t *testing.T) {
	gates := gatesStartedAt(0, 0, 0, 0)
	h := limit.NewHolders(gates, 4, start)
	for i := range 50 {
		team := fmt.Sprint("team-", i)
		choice := h.Choose(team)
		var left []limit.Gate
		for _, g := range gates {
			if g.VM != choice.Owner {
				left = append(left, g)
			}
		}
		if got := limit.NewHolders(left, 4, start).Choose(team).Owner; got != choice.Standby {
			t.Errorf("%s is taken over by %s, the standby was %s", team, got, choice.Standby)
		}
	}
}
