package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slateway.example/slateway/internal/limit"
)

// site simulates gates with their ledgers and each gate's view of the others.
type site struct {
	cap       limit.Cap
	now       time.Time
	ledgers   []*limit.Ledger
	gates     []limit.Gate // actual state; Draining: process down
	views     []*limit.Holders
	number    uint64
	startedAt []time.Time
	refused   int
	admission []*limit.AdmissionChecks
	frozen    string // VM that answers nothing until thawsAt
	thawsAt   time.Time
	// describe sets how long the request of an ask is of use; nil: asks do not say.
	describe func(*limit.Ask)
}

func newSite(gates int, c limit.Cap) *site {
	s := &site{cap: c, now: start}
	for i := range gates {
		s.ledgers = append(s.ledgers, nil)
		s.gates = append(s.gates, limit.Gate{VM: fmt.Sprint("gate-", i)})
		s.views = append(s.views, nil)
		s.admission = append(s.admission, nil)
		s.startGate(i)
	}
	s.refreshAll()
	return s
}

// stopAll simulates a power loss of the site, after which the gates start one by one.
func (s *site) stopAll() {
	for i := range s.gates {
		s.gates[i].Started = 0
	}
	s.now = s.now.Add(500 * time.Millisecond)
	for i := range s.gates {
		s.startGate(i)
		for range 3 {
			s.request(i, false)
		}
		s.now = s.now.Add(20 * time.Millisecond)
	}
	s.refreshAll()
}

func (s *site) refreshAll() {
	for i := range s.gates {
		s.refreshView(i)
	}
}

func (s *site) startGate(i int) {
	s.ledgers[i] = limit.NewLedger(tolerance, rand.New(rand.NewPCG(uint64(i), 9)))
	s.admission[i] = limit.NewAdmissionChecks(s.now)
	s.gates[i].Started, s.gates[i].Draining = s.now.UnixMilli(), false
	s.refreshView(i)
}

// refreshView updates a gate's view of the site.
func (s *site) refreshView(i int) {
	s.views[i] = limit.NewHolders(s.gates, len(s.gates), s.now)
	s.ledgers[i].SetOwned(s.now, func(team string) bool { return s.views[i].Choose(team).Owner == s.gates[i].VM })
}

// refreshSettled updates the views that change with time alone.
func (s *site) refreshSettled() {
	for i, view := range s.views {
		if !view.NextChange.IsZero() && !s.now.Before(view.NextChange) {
			s.refreshView(i)
		}
	}
}

// isRunning reports whether a gate's process runs and answers.
func (s *site) isRunning(i int) bool {
	if s.gates[i].VM == s.frozen && s.now.Before(s.thawsAt) {
		return false
	}
	return !s.gates[i].Draining && s.gates[i].Started > 0
}

// freezeOwner makes the team's owner silent for a while; it keeps its credit.
func (s *site) freezeOwner(duration time.Duration) {
	s.frozen, s.thawsAt = s.views[0].Choose("council").Owner, s.now.Add(duration)
}

func (s *site) index(vm string) int {
	for i, g := range s.gates {
		if g.VM == vm {
			return i
		}
	}
	return -1
}

// request simulates a request at a gate. With lost set, the owner's answer is lost.
func (s *site) request(i int, lost bool) {
	if !s.isRunning(i) {
		return
	}
	s.number++
	ask := limit.Ask{ID: limit.AskID{Gate: s.gates[i].VM, Number: s.number}, Team: "council", Cap: s.cap, Version: 1}
	if s.describe != nil {
		s.describe(&ask)
	}
	choice := s.views[i].Choose("council")
	if owner := s.index(choice.Owner); owner >= 0 && s.isRunning(owner) && !s.admission[i].Required(s.now, "council") && !lost {
		ask.Started = true
		s.startedAt = append(s.startedAt, s.now)
		s.deliver(i, s.ledgers[owner].Take(s.now, ask, s.views[owner].Role("council", choice.Owner)))
		return
	}
	for _, vm := range []string{choice.Owner, choice.Standby} {
		at := s.index(vm)
		if at < 0 || !s.isRunning(at) {
			lost = true
			continue
		}
		ask.OwnerTimedOut = lost && vm == choice.Standby
		answer := s.ledgers[at].Take(s.now, ask, s.views[at].Role("council", vm))
		if owner := s.index(choice.Owner); answer.NotifyOwner && owner >= 0 && s.isRunning(owner) {
			s.ledgers[owner].Yield(s.now, "council")
		}
		if lost && vm == choice.Owner {
			continue
		}
		s.deliver(i, answer)
		if answer.Verdict == limit.Granted {
			s.startedAt = append(s.startedAt, s.now)
			return
		}
		if answer.Verdict == limit.OverCap {
			break
		}
	}
	s.refused++
}

// deliver applies an answer to the asking gate, and the owner's notifications to all gates.
func (s *site) deliver(i int, answer limit.Answer) {
	for j := range s.admission {
		if answer.NotifyAll || answer.Low && i == j {
			s.admission[j].Require(s.now, "council")
		}
	}
}

// mostInWindow returns the maximum number of requests that ran in any window.
func (s *site) mostInWindow() int {
	most, first := 0, 0
	for last := range s.startedAt {
		for s.startedAt[last].Sub(s.startedAt[first]) >= tolerance.Window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func allowed(c limit.Cap) float64 {
	base := c.Rate*tolerance.Window.Seconds() + float64(c.Burst)
	return base*(1+tolerance.Overshoot) + tolerance.Slack
}

// No more requests of a team than its cap and tolerance allow may run, whatever messages are
// lost or views are outdated, with at most one restart of a gate or of all gates in a window.
func TestNoScheduleRunsMoreThanTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSchedule(t, nil, false) })
}

// The turns of overdue asks must not let more requests run than the cap allows.
func TestNoScheduleWithOverdueAsksRunsMoreThanTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSchedule(t, describeRandomly(t), false) })
}

// The credit of a frozen owner and the credit that its standby gives out meanwhile must not
// add up to more than the cap allows.
func TestNoScheduleWithAFrozenOwnerRunsMoreThanTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSchedule(t, describeRandomly(t), true) })
}

// describeRandomly returns a function that makes some asks overdue, some in time for a while
// and leaves others as an older gate sends them.
func describeRandomly(t *rapid.T) func(*limit.Ask) {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "asks"), 3))
	return func(ask *limit.Ask) {
		switch random.IntN(3) {
		case 0:
			ask.Overdue = true
		case 1:
			ask.InTimeFor = time.Duration(random.IntN(1000)) * time.Millisecond
		}
	}
}

// runSchedule runs random requests and restarts. With freezes set, the owner also freezes at
// times; a freeze is the only event of its window, like a restart.
func runSchedule(t *rapid.T, describe func(*limit.Ask), freezes bool) {
	c := limit.Cap{Rate: rapid.Float64Range(0.5, 60).Draw(t, "rate"), Burst: rapid.IntRange(0, 60).Draw(t, "burst")}
	s := newSite(rapid.IntRange(2, 12).Draw(t, "gates"), c)
	s.describe = describe
	changed := s.now.Add(-time.Minute)
	for range rapid.IntRange(50, 400).Draw(t, "steps") {
		s.now = s.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
		s.refreshSettled()
		i := rapid.IntRange(0, len(s.gates)-1).Draw(t, "gate")
		switch step := rapid.IntRange(0, 19).Draw(t, "step"); {
		case step < 14:
			for range rapid.IntRange(1, 20).Draw(t, "requests") {
				s.request(i, false)
			}
		case step < 16:
			s.request(i, true)
		case step < 18:
			s.refreshView(i)
		case s.now.Sub(changed) <= tolerance.Window+limit.SettleTime:
		case freezes && rapid.Bool().Draw(t, "freeze"):
			s.freezeOwner(time.Duration(rapid.IntRange(0, 5000).Draw(t, "frozen ms")) * time.Millisecond)
			changed = s.thawsAt
		case step == 18:
			changed = s.now
			s.stopAll()
		default:
			changed = s.now
			s.gates[i].Draining = true
			s.now = s.now.Add(2 * time.Second)
			s.refreshAll()
			s.startGate(i)
			s.refreshAll()
		}
	}
	if got := s.mostInWindow(); float64(got) > allowed(c) {
		t.Fatalf("%d requests ran in a window, the maximum is %.1f", got, allowed(c))
	}
}

// roundingTolerance exceeds the floating-point error from summing credits in another order.
const roundingTolerance = 1e-6

// While nothing fails, no request below the cap may be refused.
func TestNothingBelowTheCapIsRefusedInCalm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := limit.Cap{Rate: rapid.Float64Range(0.5, 60).Draw(t, "rate"), Burst: rapid.IntRange(1, 60).Draw(t, "burst")}
		s := newSite(rapid.IntRange(1, 70).Draw(t, "gates"), c)
		if rapid.Bool().Draw(t, "overdue asks") {
			s.describe = describeRandomly(t)
		}
		used := 0.0 // tokens in use of the team's bucket
		s.request(0, false)
		s.now = s.now.Add(time.Hour)
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			pause := time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			s.now = s.now.Add(pause)
			used = max(0, used-c.Rate*pause.Seconds())
			if used+1+roundingTolerance > float64(c.Burst) {
				continue
			}
			used++
			s.request(rapid.IntRange(0, len(s.gates)-1).Draw(t, "gate"), false)
			if s.refused > 0 {
				t.Fatalf("a request was refused with %.2f of %d tokens in use", used, c.Burst)
			}
		}
	})
}
