package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"slateway.example/slateway/internal/limit"
)

var (
	start     = time.Unix(1_000_000, 0)
	tolerance = limit.Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
)

// owner is the role of a gate that owns the team.
var owner = limit.Role{Owned: true, OpeningMargins: 1}

func newLedger() *limit.Ledger {
	return limit.NewLedger(tolerance, rand.New(rand.NewPCG(1, 2)))
}

func askFor(c limit.Cap) limit.Ask { return limit.Ask{Team: "council", Cap: c, Version: 1} }

// countGranted returns how many of the given number of simultaneous asks an owner grants.
func countGranted(l *limit.Ledger, now time.Time, c limit.Cap, asks int) int {
	count := 0
	for range asks {
		if l.Take(now, askFor(c), owner).Verdict == limit.Granted {
			count++
		}
	}
	return count
}

// In the long run a team must get its rate and burst, neither more nor less.
func TestAnOwnerGrantsTheRateAndTheBurst(t *testing.T) {
	l := newLedger()
	c := limit.Cap{Rate: 10, Burst: 5}
	l.Take(start, askFor(c), owner)
	rested := start.Add(time.Minute)
	if got := countGranted(l, rested, c, 100); got < 5 || got > 5+6 {
		t.Errorf("%d granted at once after a minute, want the burst of 5 and at most a margin of (0.1 * 55 + 20) / 5", got)
	}
	total := 0
	for at := rested; at.Before(rested.Add(10 * time.Second)); at = at.Add(10 * time.Millisecond) {
		total += countGranted(l, at, c, 3)
	}
	if total < 98 || total > 100 {
		t.Errorf("%d granted in 10 s at 10 per second, want 98 to 100", total)
	}
}

// A refused caller must get the time at which credit is available, not earlier or later.
func TestARefusalSaysWhenThereIsCredit(t *testing.T) {
	l := limit.NewLedger(limit.Tolerance{Window: 5 * time.Second}, rand.New(rand.NewPCG(1, 2)))
	c := limit.Cap{Rate: 4, Burst: 1}
	l.Take(start.Add(-time.Hour), askFor(c), owner)
	countGranted(l, start, c, 1)
	answer := l.Take(start, askFor(c), owner)
	if answer.Verdict != limit.OverCap || answer.Wait != 250*time.Millisecond {
		t.Fatalf("%+v", answer)
	}
	if got := l.Take(start.Add(answer.Wait), askFor(c), owner); got.Verdict != limit.Granted {
		t.Errorf("after the returned wait: %+v, want Granted", got)
	}
}

// Callers refused in the same load step must not all get the same retry time: they would
// come back together and all but one would be refused again.
func TestCallersComeBackOneAfterTheOther(t *testing.T) {
	l := newLedger()
	c := limit.Cap{Rate: 20, Burst: 10}
	var delays []time.Duration
	for range 50 {
		if answer := l.Take(start, askFor(c), owner); answer.Verdict == limit.OverCap {
			delays = append(delays, answer.Wait)
		}
	}
	served := 0
	for _, wait := range delays {
		if l.Take(start.Add(wait), askFor(c), owner).Verdict == limit.Granted {
			served++
		}
	}
	if len(delays) < 40 || served != len(delays) {
		t.Errorf("%d of %d refused callers were granted credit at their retry time", served, len(delays))
	}
}

// A retransmitted ask must not take a second credit.
func TestARepeatedAskTakesOneCredit(t *testing.T) {
	l := newLedger()
	ask := askFor(limit.Cap{Rate: 0.001, Burst: 40})
	ask.ID = limit.AskID{Gate: "gate-1", Number: 7}
	for range 5 {
		if got := l.Take(start, ask, owner); got.Verdict != limit.Granted {
			t.Fatalf("%+v", got)
		}
	}
	if left := l.Statuses(start)[0].Credit; left < 3 {
		t.Errorf("%.1f credits left: the repeated asks took credit", left)
	}
}

// A request that has already started must be charged even when no credit is left.
func TestRequestsThatHaveStartedAreCharged(t *testing.T) {
	l := newLedger()
	c := limit.Cap{Rate: 10, Burst: 10}
	countGranted(l, start, c, 100)
	ask := askFor(c)
	ask.Started = true
	for range 5 {
		if got := l.Take(start, ask, owner); got.Verdict != limit.Granted || !got.Low {
			t.Fatalf("%+v", got)
		}
	}
	if got := l.Take(start.Add(400*time.Millisecond), askFor(c), owner); got.Verdict != limit.OverCap {
		t.Errorf("%+v 0.4 s after five requests above the cap at 10 per second, want OverCap", got)
	}
}

// When credit runs low, all gates must be notified, so that they ask before they start
// requests; the notifications must not repeat with each request.
func TestAllGatesAreToldOnceWhenCreditRunsLow(t *testing.T) {
	l := newLedger()
	c := limit.Cap{Rate: 10, Burst: 40}
	l.Take(start, askFor(c), owner)
	rested := start.Add(time.Minute)
	notified, low := 0, 0
	for range 60 {
		answer := l.Take(rested, askFor(c), owner)
		if answer.NotifyAll {
			notified++
		}
		if answer.Low {
			low++
		}
	}
	if notified != 1 || low < 14 || low > 20 {
		t.Errorf("of 60 answers, %d notify all gates and %d report low credit", notified, low)
	}
}

func TestAGateAsksFirstForAWhileOnly(t *testing.T) {
	checks := limit.NewAdmissionChecks(start.Add(-time.Minute))
	checks.Require(start, "council")
	if !checks.Required(start.Add(4*time.Second), "council") || checks.Required(start, "parish") {
		t.Error("the admission check is not limited to the team that is low on credit")
	}
	if checks.Required(start.Add(6*time.Second), "council") {
		t.Error("the admission check is still required after 6 s without a notification")
	}
	if !limit.NewAdmissionChecks(start).Required(start.Add(time.Second), "parish") {
		t.Error("a gate that has just started requires no admission check")
	}
}

// A standby that cannot reach the owner from its side of a partition must not grant without
// limit.
func TestAStandbyGrantsAFewInAWindow(t *testing.T) {
	l := newLedger()
	c := limit.Cap{Rate: 100, Burst: 100}
	count := 0
	for at := start; at.Before(start.Add(tolerance.Window)); at = at.Add(5 * time.Millisecond) {
		if answer := l.Take(at, askFor(c), limit.Role{OpeningMargins: 0.5, TakeoverQuorum: 3}); answer.Verdict == limit.Granted {
			count++
		} else if answer.Verdict != limit.Undecided {
			t.Fatalf("%+v from a standby, want Undecided: it cannot know that the team is over its cap", answer)
		}
	}
	if count == 0 || count > 8 { // half of a margin, (0.1 * 600 + 20) / 5
		t.Errorf("%d granted in a window by a standby, want 1 to 8", count)
	}
}

// A team whose owner is frozen must not be refused for seconds, and once the owner is back,
// owner and standby must not both grant credit.
func TestAStandbyActsForAnOwnerThatIsSilentToMany(t *testing.T) {
	c := limit.Cap{Rate: 20, Burst: 20}
	standby, count := newLedger(), 0
	var notified bool
	for i := range 100 {
		ask := askFor(c)
		ask.ID = limit.AskID{Gate: fmt.Sprint("gate-", i%5), Number: uint64(i + 1)}
		ask.OwnerTimedOut = true
		answer := standby.Take(start.Add(time.Duration(i)*50*time.Millisecond), ask, limit.Role{OpeningMargins: 0.5, TakeoverQuorum: 3})
		notified = notified || answer.NotifyOwner
		if answer.Verdict == limit.Granted {
			count++
		}
	}
	if count < 90 || !notified {
		t.Errorf("%d of 100 granted in 5 s at 20 per second; owner notified: %t", count, notified)
	}
	yielding := newLedger()
	yielding.Take(start, askFor(c), owner)
	yielding.Yield(start.Add(time.Second), "council")
	countGranted(yielding, start.Add(time.Second), c, 100)
	if answer := yielding.Take(start.Add(1500*time.Millisecond), askFor(c), owner); answer.Verdict == limit.Granted {
		t.Errorf("%+v from an owner that yields to its standby", answer)
	}
}

// A standby that acted for the owner once must not accrue credit after the reports against
// the owner have expired, because the owner grants that credit too.
func TestAStandbyAccruesNoCreditAfterTheReportsExpire(t *testing.T) {
	c := limit.Cap{Rate: 20, Burst: 60}
	standby := newLedger()
	role := limit.Role{OpeningMargins: 0.5, TakeoverQuorum: 1}
	ask := askFor(c)
	ask.OwnerTimedOut = true
	standby.Take(start, ask, role)
	standby.Take(start.Add(100*time.Millisecond), askFor(c), role)
	granted := 0
	for range 100 {
		if standby.Take(start.Add(time.Minute), askFor(c), role).Verdict == limit.Granted {
			granted++
		}
	}
	// A second of acting and half of a margin, (0.1 * 160 + 20) / 5 / 2.
	if granted > 24 {
		t.Errorf("%d granted by a standby a minute after it acted for a second, want 24 at most", granted)
	}
}

// A standby that acts for a frozen owner must not save up a burst: the owner keeps its own.
func TestAStandbySavesUpNoBurst(t *testing.T) {
	c := limit.Cap{Rate: 20, Burst: 60}
	standby := newLedger()
	role := limit.Role{OpeningMargins: 0.5, TakeoverQuorum: 1}
	ask := askFor(c)
	ask.OwnerTimedOut = true
	at := start
	for range 20 {
		standby.Take(at, ask, role)
		at = at.Add(500 * time.Millisecond)
	}
	granted := 0
	for range 100 {
		if standby.Take(at, ask, role).Verdict == limit.Granted {
			granted++
		}
	}
	if granted > 8 { // a margin: (0.1 * 160 + 20) / 5, and a credit that accrued
		t.Errorf("%d granted at once by a standby that acted for 10 s, want 8 at most", granted)
	}
}

// A standby must not take over because of reports from different times: each of the gates
// may have lost a single packet.
func TestExpiredReportsDoNotCountForATakeover(t *testing.T) {
	c := limit.Cap{Rate: 20, Burst: 60}
	standby := newLedger()
	role := limit.Role{OpeningMargins: 0.5, TakeoverQuorum: 2}
	for i := range 6 {
		ask := askFor(c)
		ask.ID = limit.AskID{Gate: fmt.Sprint("gate-", i%5), Number: uint64(i + 1)}
		ask.OwnerTimedOut = true
		if answer := standby.Take(start.Add(time.Duration(i)*time.Minute), ask, role); answer.NotifyOwner {
			t.Fatalf("the standby acts for the owner after one report a minute, at the report of minute %d", i)
		}
	}
}

// A gate must not accrue credit for the time in which another gate owned the team.
func TestNoCreditComesInWhileAnotherGateOwnsTheTeam(t *testing.T) {
	l := newLedger()
	c := limit.Cap{Rate: 10, Burst: 10}
	countGranted(l, start, c, 100)
	l.SetOwned(start, func(string) bool { return false })
	l.SetOwned(start.Add(time.Minute), func(string) bool { return true })
	if got := countGranted(l, start.Add(time.Minute), c, 100); got != 0 {
		t.Errorf("%d granted for the time in which another gate owned the team, want 0", got)
	}
}

// A cap that an operator raises or lowers must take effect, and older routes must not undo
// it.
func TestACapOfNewerRoutesCounts(t *testing.T) {
	l := newLedger()
	c := limit.Cap{Rate: 10, Burst: 10}
	countGranted(l, start, c, 100)
	l.SetOwned(start, func(string) bool { return true })
	raised := limit.Ask{Team: "council", Cap: limit.Cap{Rate: 10, Burst: 40}, Version: 3}
	most := 40 + 7 // burst and margin
	if got := l.Take(start, raised, owner); got.Verdict != limit.Granted {
		t.Errorf("%+v, want the raised burst to be available at once", got)
	}
	older := limit.Ask{Team: "council", Cap: limit.Cap{Rate: 1000, Burst: 1000}, Version: 2}
	if got := countGranted(l, start, raised.Cap, 100); got > most {
		t.Errorf("%d granted, more than the raised burst and its margin", got)
	}
	if got := l.Take(start, older, owner); got.Verdict != limit.OverCap {
		t.Errorf("%+v with the cap of older routes, want OverCap", got)
	}
	lowered := limit.Ask{Team: "council", Cap: limit.Cap{Rate: 1, Burst: 1}, Version: 4}
	l.Take(start, lowered, owner)
	if got := countGranted(l, start.Add(time.Minute), lowered.Cap, 100); got > 1+5 {
		t.Errorf("%d granted at once with a burst of 1 and a margin of 20.6 / 5", got)
	}
}

// The credit of a request that did not run must be available again.
func TestAReturnedCreditIsThereAgain(t *testing.T) {
	l := newLedger()
	c := limit.Cap{Rate: 0.001, Burst: 1}
	countGranted(l, start, c, 5)
	l.Return("council")
	if got := countGranted(l, start, c, 5); got != 1 {
		t.Errorf("%d granted after one credit was returned, want 1", got)
	}
}

// After all gates were down, each gate may know only itself. The initial credit of all gates
// together must stay within the tolerance.
func TestGatesThatKnowFewOthersOpenWithLittle(t *testing.T) {
	const gates = 62
	random := rand.New(rand.NewPCG(5, 6))
	c := limit.Cap{Rate: 20, Burst: 20}
	total := 0
	for range gates {
		l := limit.NewLedger(tolerance, random)
		for range 50 {
			if l.Take(start, askFor(c), limit.Role{Owned: true, OpeningMargins: 1.0 / gates}).Verdict == limit.Granted {
				total++
			}
		}
	}
	if most := 0.1*120 + 20; float64(total) > most {
		t.Errorf("%d granted at once by all gates, the tolerance is %g", total, most)
	}
}

// Accounts of teams that send no requests any more must not use memory forever.
func TestAccountsThatNobodyAsksForAreForgotten(t *testing.T) {
	l := newLedger()
	l.Take(start, askFor(limit.Cap{Rate: 1, Burst: 1}), owner)
	l.ExpireIdle(start.Add(time.Hour))
	if left := l.Statuses(start.Add(time.Hour)); len(left) > 0 {
		t.Errorf("idle accounts were kept: %+v", left)
	}
}
