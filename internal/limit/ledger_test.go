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

// owner is the stance of a gate that owns the team.
var owner = limit.Stance{Owned: true, Opening: 1}

func newLedger() *limit.Ledger {
	return limit.NewLedger(tolerance, rand.New(rand.NewPCG(1, 2)))
}

func askFor(c limit.Cap) limit.Ask { return limit.Ask{Team: "council", Cap: c, Version: 1} }

// granted counts the credits that an owner grants of so many asks at one moment.
func granted(l *limit.Ledger, now time.Time, c limit.Cap, asks int) int {
	count := 0
	for range asks {
		if l.Take(now, askFor(c), owner).Verdict == limit.Granted {
			count++
		}
	}
	return count
}

// Guards against a team that gets more than its rate and burst in the long run, or less.
func TestAnOwnerGrantsTheRateAndTheBurst(t *testing.T) {
	l := newLedger()
	c := limit.Cap{Rate: 10, Burst: 5}
	l.Take(start, askFor(c), owner)
	rested := start.Add(time.Minute)
	if got := granted(l, rested, c, 100); got < 5 || got > 5+6 {
		t.Errorf("%d at once after a rest, the burst is 5 and its margin a fifth of 0.1 * 55 + 20", got)
	}
	total := 0
	for at := rested; at.Before(rested.Add(10 * time.Second)); at = at.Add(10 * time.Millisecond) {
		total += granted(l, at, c, 3)
	}
	if total < 98 || total > 100 {
		t.Errorf("%d in 10 s at 10 a second", total)
	}
}

// Guards against callers who come back before there is credit, or long after.
func TestARefusalSaysWhenThereIsCredit(t *testing.T) {
	l := limit.NewLedger(limit.Tolerance{Window: 5 * time.Second}, rand.New(rand.NewPCG(1, 2)))
	c := limit.Cap{Rate: 4, Burst: 1}
	l.Take(start.Add(-time.Hour), askFor(c), owner)
	granted(l, start, c, 1)
	answer := l.Take(start, askFor(c), owner)
	if answer.Verdict != limit.OverCap || answer.Wait != 250*time.Millisecond {
		t.Fatalf("%+v", answer)
	}
	if got := l.Take(start.Add(answer.Wait), askFor(c), owner); got.Verdict != limit.Granted {
		t.Errorf("%+v after the wait", got)
	}
}

// Guards against callers of a step who are all told the same time, come back together and are refused again.
func TestCallersComeBackOneAfterTheOther(t *testing.T) {
	l := newLedger()
	c := limit.Cap{Rate: 20, Burst: 10}
	var back []time.Duration
	for range 50 {
		if answer := l.Take(start, askFor(c), owner); answer.Verdict == limit.OverCap {
			back = append(back, answer.Wait)
		}
	}
	served := 0
	for _, wait := range back {
		if l.Take(start.Add(wait), askFor(c), owner).Verdict == limit.Granted {
			served++
		}
	}
	if len(back) < 40 || served != len(back) {
		t.Errorf("%d of %d were served when they came back", served, len(back))
	}
}

// Guards against an ask that is sent again and takes a second credit.
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
		t.Errorf("%.1f left: the repeats took credit", left)
	}
}

// Guards against a request that has started and costs nothing because there is no credit left.
func TestRequestsThatHaveStartedAreCharged(t *testing.T) {
	l := newLedger()
	c := limit.Cap{Rate: 10, Burst: 10}
	granted(l, start, c, 100)
	ask := askFor(c)
	ask.Started = true
	for range 5 {
		if got := l.Take(start, ask, owner); got.Verdict != limit.Granted || !got.Low {
			t.Fatalf("%+v", got)
		}
	}
	if got := l.Take(start.Add(400*time.Millisecond), askFor(c), owner); got.Verdict != limit.OverCap {
		t.Errorf("%+v 0.4 s after five requests too many, at 10 a second", got)
	}
}

// Guards against gates that go on to start requests while credit runs low, and a flood of word of it.
func TestAllGatesAreToldOnceWhenCreditRunsLow(t *testing.T) {
	l := newLedger()
	c := limit.Cap{Rate: 10, Burst: 40}
	l.Take(start, askFor(c), owner)
	rested := start.Add(time.Minute)
	told, low := 0, 0
	for range 60 {
		answer := l.Take(rested, askFor(c), owner)
		if answer.TellAll {
			told++
		}
		if answer.Low {
			low++
		}
	}
	if told != 1 || low < 14 || low > 20 {
		t.Errorf("told %d times, low %d times of 60", told, low)
	}
}

func TestAGateAsksFirstForAWhileOnly(t *testing.T) {
	caution := limit.NewCaution(start.Add(-time.Minute))
	caution.Note(start, "council")
	if !caution.AskFirst(start.Add(4*time.Second), "council") || caution.AskFirst(start, "parish") {
		t.Error("the gate does not ask first for the team whose credit is low")
	}
	if caution.AskFirst(start.Add(6*time.Second), "council") {
		t.Error("the gate asks first though nobody said so for long")
	}
	if !limit.NewCaution(start).AskFirst(start.Add(time.Second), "parish") {
		t.Error("a gate that has just started does not ask first")
	}
}

// Guards against a standby that grants without end because the owner cannot be reached from one side.
func TestAStandbyGrantsAFewInAWindow(t *testing.T) {
	l := newLedger()
	c := limit.Cap{Rate: 100, Burst: 100}
	count := 0
	for at := start; at.Before(start.Add(tolerance.Window)); at = at.Add(5 * time.Millisecond) {
		if answer := l.Take(at, askFor(c), limit.Stance{Opening: 0.5, Witnesses: 3}); answer.Verdict == limit.Granted {
			count++
		} else if answer.Verdict != limit.Undecided {
			t.Fatalf("%+v: a standby does not know that the team is over its cap", answer)
		}
	}
	if count == 0 || count > 8 { // a half of a fifth of 0.1 * 600 + 20
		t.Errorf("%d granted without owning the team", count)
	}
}

// Guards against a team that is refused for seconds because its owner is frozen, and credit from two gates once the owner is back.
func TestAStandbyActsForAnOwnerThatIsSilentToMany(t *testing.T) {
	c := limit.Cap{Rate: 20, Burst: 20}
	standby, count := newLedger(), 0
	var told bool
	for i := range 100 {
		ask := askFor(c)
		ask.ID = limit.AskID{Gate: fmt.Sprint("gate-", i%5), Number: uint64(i + 1)}
		ask.Silent = true
		answer := standby.Take(start.Add(time.Duration(i)*50*time.Millisecond), ask, limit.Stance{Opening: 0.5, Witnesses: 3})
		told = told || answer.TellOwner
		if answer.Verdict == limit.Granted {
			count++
		}
	}
	if count < 90 || !told {
		t.Errorf("%d of 100 granted in 5 s at 20 a second, the owner told: %t", count, told)
	}
	back := newLedger()
	back.Take(start, askFor(c), owner)
	back.Yield(start.Add(time.Second), "council")
	granted(back, start.Add(time.Second), c, 100)
	if answer := back.Take(start.Add(1500*time.Millisecond), askFor(c), owner); answer.Verdict == limit.Granted {
		t.Errorf("%+v by an owner that was told that its standby acts", answer)
	}
}

// Guards against a gate that counts credit for the time in which another one granted it.
func TestNoCreditComesInWhileAnotherGateOwnsTheTeam(t *testing.T) {
	l := newLedger()
	c := limit.Cap{Rate: 10, Burst: 10}
	granted(l, start, c, 100)
	l.SetOwned(start, func(string) bool { return false })
	l.SetOwned(start.Add(time.Minute), func(string) bool { return true })
	if got := granted(l, start.Add(time.Minute), c, 100); got != 0 {
		t.Errorf("%d granted", got)
	}
}

// Guards against a cap that an operator lowers or raises and that stays as it was.
func TestACapOfNewerRoutesCounts(t *testing.T) {
	l := newLedger()
	c := limit.Cap{Rate: 10, Burst: 10}
	granted(l, start, c, 100)
	l.SetOwned(start, func(string) bool { return true })
	raised := limit.Ask{Team: "council", Cap: limit.Cap{Rate: 10, Burst: 40}, Version: 3}
	most := 40 + 7 // the burst and its margin
	if got := l.Take(start, raised, owner); got.Verdict != limit.Granted {
		t.Errorf("%+v: a raised burst is there at once", got)
	}
	older := limit.Ask{Team: "council", Cap: limit.Cap{Rate: 1000, Burst: 1000}, Version: 2}
	if got := granted(l, start, raised.Cap, 100); got > most {
		t.Errorf("%d granted of the raised burst", got)
	}
	if got := l.Take(start, older, owner); got.Verdict != limit.OverCap {
		t.Errorf("%+v: the cap of older routes counts", got)
	}
	lowered := limit.Ask{Team: "council", Cap: limit.Cap{Rate: 1, Burst: 1}, Version: 4}
	l.Take(start, lowered, owner)
	if got := granted(l, start.Add(time.Minute), lowered.Cap, 100); got > 1+5 {
		t.Errorf("%d at once with a burst of 1 and a margin of a fifth of 20.6", got)
	}
}

// Guards against a request that did not run and still counts.
func TestAReturnedCreditIsThereAgain(t *testing.T) {
	l := newLedger()
	c := limit.Cap{Rate: 0.001, Burst: 1}
	granted(l, start, c, 5)
	l.Return("council")
	if got := granted(l, start, c, 5); got != 1 {
		t.Errorf("%d granted after one was returned", got)
	}
}

// Guards against openings that add up: after a stop of all, each gate knows itself alone.
func TestGatesThatKnowFewOthersOpenWithLittle(t *testing.T) {
	const gates = 62
	random := rand.New(rand.NewPCG(5, 6))
	c := limit.Cap{Rate: 20, Burst: 20}
	total := 0
	for range gates {
		l := limit.NewLedger(tolerance, random)
		for range 50 {
			if l.Take(start, askFor(c), limit.Stance{Owned: true, Opening: 1.0 / gates}).Verdict == limit.Granted {
				total++
			}
		}
	}
	if most := 0.1*120 + 20; float64(total) > most {
		t.Errorf("%d granted at once, the tolerance is %g", total, most)
	}
}

// Guards against credit at the gates that costs memory for each team there ever was.
func TestAccountsThatNobodyAsksForAreForgotten(t *testing.T) {
	l := newLedger()
	l.Take(start, askFor(limit.Cap{Rate: 1, Burst: 1}), owner)
	l.Forget(start.Add(time.Hour))
	if left := l.Statuses(start.Add(time.Hour)); len(left) > 0 {
		t.Errorf("still there: %+v", left)
	}
}
