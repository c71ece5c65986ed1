package limit_test

import (
	"fmt"
	"testing"
	"time"

	"slateway.example/slateway/internal/limit"
)

func gatesStarted(at ...time.Duration) []limit.Gate {
	gates := make([]limit.Gate, len(at))
	for i, offset := range at {
		gates[i] = limit.Gate{VM: fmt.Sprint("gate-", i), Started: start.Add(offset).UnixMilli()}
	}
	return gates
}

// owned counts the teams of which a gate is the owner.
func owned(h *limit.Holders, vm string) int {
	count := 0
	for i := range 200 {
		if h.Of(fmt.Sprint("team-", i)).Owner == vm {
			count++
		}
	}
	return count
}

// Guards against a gate that restarts and takes its teams' accounts over at once, empty of what was granted.
func TestAGateThatHasJustStartedOwnsNoTeamBesideOlderOnes(t *testing.T) {
	gates := gatesStarted(0, 0, 20*time.Second)
	now := start.Add(21 * time.Second)
	h := limit.NewHolders(gates, 3, now)
	if got := owned(h, "gate-2"); got != 0 {
		t.Errorf("owns %d teams after a second", got)
	}
	if h.SettledAt.IsZero() || h.SettledAt.After(start.Add(26*time.Second)) {
		t.Errorf("settles at %s", h.SettledAt)
	}
	if got := owned(limit.NewHolders(gates, 3, h.SettledAt), "gate-2"); got == 0 {
		t.Error("owns no team once it has settled")
	}
}

// Guards against a site that starts and has no owner for any team.
func TestGatesThatStartTogetherOwnTeamsAtOnce(t *testing.T) {
	h := limit.NewHolders(gatesStarted(0, 100*time.Millisecond, time.Second), 3, start.Add(time.Second))
	for _, vm := range []string{"gate-0", "gate-1", "gate-2"} {
		if owned(h, vm) == 0 {
			t.Errorf("%s owns no team", vm)
		}
	}
}

// Guards against owners that change with each gate that is back after a stop of all.
func TestGatesThatAreNotBackYetKeepTheirTeams(t *testing.T) {
	gates := gatesStarted(0, 0, 0, 0)
	whole := limit.NewHolders(gates, 4, start)
	gates[1].Started, gates[2].Started, gates[3].Started = 0, 0, 0
	first := limit.NewHolders(gates, 4, start)
	for i := range 50 {
		team := fmt.Sprint("team-", i)
		if got, want := first.Of(team), whole.Of(team); got != want {
			t.Errorf("%s: %+v while three of four gates are not back, then %+v", team, got, want)
		}
	}
	if !first.Complete || first.Stance("team-1", first.Of("team-1").Owner).Opening < 1 {
		t.Errorf("complete %t, or accounts begin with less than a margin", first.Complete)
	}
	if alone := limit.NewHolders(gates[:1], 4, start); alone.Complete || alone.Stance("team-1", "gate-0").Opening >= 1 {
		t.Errorf("a gate that knows itself alone of four: complete %t, or begins with a margin", alone.Complete)
	}
}

// Guards against callers who are refused right after a stop of all for credit that nobody used meanwhile.
func TestAfterAStopOfAllTheCreditOfTheStandstillIsThere(t *testing.T) {
	gates := gatesStarted(0, 0, 0)
	owner := limit.NewHolders(gates, 3, start).Of("council").Owner
	if got := limit.NewHolders(gates, 3, start).Stance("council", owner).Standstill; got <= 0 {
		t.Errorf("%s at the owner while all gates have just started", got)
	}
	if got := limit.NewHolders(gates, 3, start.Add(time.Minute)).Stance("council", owner).Standstill; got != 0 {
		t.Errorf("%s at an owner among gates that run for a minute", got)
	}
	c := limit.Cap{Rate: 50, Burst: 50}
	count := func(stance limit.Stance) int {
		l, granted := newLedger(), 0
		for range 100 {
			if l.Take(start, askFor(c), stance).Verdict == limit.Granted {
				granted++
			}
		}
		return granted
	}
	if before, after := count(limit.Stance{Owned: true, Opening: 1}), count(limit.Stance{Owned: true, Opening: 1, Standstill: 300 * time.Millisecond}); after != before+15 {
		t.Errorf("%d granted at once, %d without the standstill", after, before)
	}
}

// Guards against a gate that leaves and is still asked.
func TestADrainingGateOwnsNoTeam(t *testing.T) {
	gates := gatesStarted(0, 0)
	gates[0].Draining = true
	h := limit.NewHolders(gates, 2, start)
	if owned(h, "gate-0") != 0 || owned(h, "gate-1") != 200 {
		t.Error("the gate that drains owns teams")
	}
}

// Guards against a standby that is not the one who takes over.
func TestTheStandbyFollowsTheOwner(t *testing.T) {
	gates := gatesStarted(0, 0, 0, 0)
	h := limit.NewHolders(gates, 4, start)
	for i := range 50 {
		team := fmt.Sprint("team-", i)
		choice := h.Of(team)
		var left []limit.Gate
		for _, g := range gates {
			if g.VM != choice.Owner {
				left = append(left, g)
			}
		}
		if got := limit.NewHolders(left, 4, start).Of(team).Owner; got != choice.Standby {
			t.Errorf("%s goes to %s, the standby was %s", team, got, choice.Standby)
		}
	}
}
