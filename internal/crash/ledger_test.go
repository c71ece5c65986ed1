package crash_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slateway.example/slateway/internal/crash"
)

const (
	shared  = crash.Part(0xaa)
	harmful = crash.Part(0xbad)
	team    = "council"
)

var start = time.Unix(1_000_000, 0)

func process(n int) crash.Process { return crash.Process{Replica: fmt.Sprint("i-", n), Incarnation: 1} }

func candidates(team string, parts ...crash.Part) (list []crash.Candidate) {
	for _, part := range parts {
		list = append(list, crash.Candidate{Part: part, Team: team})
	}
	return list
}

// newLedger returns a ledger at a gate where answers with the shared part flow.
func newLedger() *crash.Ledger {
	l := crash.NewLedger(nil)
	l.Flowed(start.Add(-2*time.Second), start.Add(-3*time.Second), []crash.Part{shared, 1})
	return l
}

// condemn lets three processes end, a second apart, and returns the time of the last.
func condemn(l *crash.Ledger, team string, part crash.Part) time.Time {
	now := start
	for n := range 3 {
		now = start.Add(time.Duration(n) * time.Second)
		l.Died(now, process(n), candidates(team, part))
	}
	return now
}

func expectStanding(t *testing.T, l *crash.Ledger, team string, want crash.Standing, parts ...crash.Part) {
	t.Helper()
	if got, because := l.Check(team, parts); got != want {
		t.Errorf("parts %v of %s are %s because of %s, expected %s", parts, team, got, because, want)
	}
}

func TestAPartIsCondemnedAtTheThirdProcess(t *testing.T) {
	l := newLedger()
	for n, want := range []crash.Standing{crash.Suspect, crash.Strong, crash.Condemned} {
		now := start.Add(time.Duration(n) * time.Second)
		l.Died(now, process(n), candidates(team, shared, harmful, crash.Part(100+n)))
		l.Flowed(now.Add(300*time.Millisecond), now.Add(50*time.Millisecond), []crash.Part{shared, 7})
		expectStanding(t, l, team, want, harmful, shared)
		expectStanding(t, l, team, crash.Clear, shared)
	}
}

// Guards against a replica that comes back on a site without others, and to which each gate sends
// a request with the part at once.
func TestGatesTryInTurnAfterThreeDeaths(t *testing.T) {
	l := crash.NewLedger(nil)
	end := condemn(l, team, harmful)
	expectStanding(t, l, team, crash.Strong, harmful)
	back := end.Add(10 * time.Second)
	second := func(crash.Part) int { return 1 }
	for at := time.Duration(0); at < 3*time.Second; at += 100 * time.Millisecond {
		if may := l.MayTry(back.Add(at), []crash.Part{harmful}, second); may != (at >= time.Second) {
			t.Fatalf("the second gate may try %s after a replica is back: %t", at, may)
		}
	}
	if !l.MayTry(back.Add(20*time.Second), []crash.Part{harmful}, func(crash.Part) int { return 0 }) {
		t.Error("the first gate may not try at once")
	}
}

// Guards against sound requests that are refused because an answer with their part began before
// the end of a process and flowed.
func TestAnAnswerThatFlowedClearsItsParts(t *testing.T) {
	l := newLedger()
	now := condemn(l, team, harmful)
	records := l.Flowed(now.Add(time.Second), now.Add(500*time.Millisecond), []crash.Part{harmful})
	expectStanding(t, l, team, crash.Clear, harmful)
	other := newLedger()
	condemn(other, team, harmful)
	other.Merge(now.Add(time.Second), records)
	expectStanding(t, other, team, crash.Clear, harmful)
}

// Guards against a loss of power that condemns what happened to wait on several replicas.
func TestProcessesThatEndTogetherCountOnce(t *testing.T) {
	l := newLedger()
	for n := range 8 {
		parts := candidates(team, crash.Part(100+n))
		if n < 4 {
			parts = candidates(team, harmful)
		}
		l.Died(start.Add(time.Duration(n)*5*time.Millisecond), process(n), parts)
	}
	expectStanding(t, l, team, crash.Strong, harmful)
	l.Rejudge(start.Add(time.Second))
	expectStanding(t, l, team, crash.Strong, harmful)
}

func TestProcessesThatEndTogetherOfOnePartCondemnIt(t *testing.T) {
	l := newLedger()
	for n := range 3 {
		l.Died(start.Add(time.Duration(n)*20*time.Millisecond), process(n), candidates(team, shared, harmful))
	}
	expectStanding(t, l, team, crash.Strong, harmful)
	l.Rejudge(start.Add(200 * time.Millisecond))
	expectStanding(t, l, team, crash.Condemned, harmful)
}

// Guards against the part that all requests share being condemned for what another one does.
func TestAReputablePartIsNotCondemnedForAnother(t *testing.T) {
	l := newLedger()
	for n := range 6 {
		l.Died(start.Add(time.Duration(n)*300*time.Millisecond), process(n), candidates(team, shared, harmful))
	}
	expectStanding(t, l, team, crash.Condemned, harmful)
	expectStanding(t, l, team, crash.Strong, shared)
}

// Guards against a team whose requests get the parts of another team refused.
func TestATeamCannotCondemnThePartsOfAnother(t *testing.T) {
	l := newLedger()
	now := condemn(l, "hostile", harmful)
	expectStanding(t, l, "hostile", crash.Condemned, harmful)
	expectStanding(t, l, team, crash.Strong, harmful)
	l.Died(now.Add(time.Second), process(9), candidates(team, harmful))
	expectStanding(t, l, team, crash.Condemned, harmful)
	expectStanding(t, l, "third", crash.Condemned, harmful)
}

// Guards against a verdict that ends by a clock while requests with the part come, and against
// one that never ends.
func TestAVerdictLastsWhileRequestsCome(t *testing.T) {
	l := newLedger()
	now := condemn(l, team, harmful)
	for range 60 {
		now = now.Add(9 * time.Minute)
		l.Seen(now, harmful)
		l.Expire(now)
		expectStanding(t, l, team, crash.Condemned, harmful)
	}
	l.Expire(now.Add(11 * time.Minute))
	expectStanding(t, l, team, crash.Clear, harmful)
}

// Guards against trials of a harmful part that cost more replicas than the platform's rule allows.
func TestTrialsOfAHarmfulPartAreRare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		now := condemn(l, team, harmful)
		trials, end := 0, now.Add(5*time.Minute)
		for now.Before(end) {
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			if l.TrialDue(now, harmful) {
				trials++
				l.BeginTrial(now, harmful)
				if rapid.Bool().Draw(t, "seen") {
					l.Died(now, process(100+trials), candidates(team, harmful))
				}
			}
		}
		if trials > 3 {
			t.Fatalf("%d trials in five minutes", trials)
		}
	})
}

// Guards against VMs that know the same deaths and differ because of the order of their reports.
func TestTheOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var told [][]crash.Record
		source := crash.NewLedger(nil)
		now := start
		for n := range rapid.IntRange(1, 6).Draw(t, "deaths") {
			now = now.Add(time.Duration(rapid.IntRange(200, 3000).Draw(t, "gap")) * time.Millisecond)
			var parts []crash.Part
			for part := range crash.Part(4) {
				if rapid.Bool().Draw(t, "part") {
					parts = append(parts, 10+part)
				}
			}
			told = append(told, source.Died(now, process(n), candidates(team, parts...)))
			if rapid.IntRange(0, 3).Draw(t, "flows") == 0 {
				told = append(told, source.Flowed(now.Add(300*time.Millisecond), now, parts))
			}
		}
		order := rapid.Permutation(told).Draw(t, "order")
		first, second := crash.NewLedger(nil), crash.NewLedger(nil)
		for i := range told {
			first.Merge(now, told[i])
			second.Merge(now, order[i])
			second.Merge(now, order[i])
		}
		for part := crash.Part(10); part < 14; part++ {
			if a, b := len(first.Deaths(part)), len(second.Deaths(part)); a != b {
				t.Fatalf("part %s: %d and %d deaths", part, a, b)
			}
		}
	})
}

// Guards against a hostile caller that uses up a gate's memory or drives other suspects out.
func TestAMillionPartsAreBounded(t *testing.T) {
	l := newLedger()
	l.Died(start, process(0), candidates(team, harmful))
	l.Died(start.Add(time.Second), process(1), candidates(team, harmful))
	for n := range 4000 {
		var parts []crash.Part
		for i := range crash.Part(300) {
			parts = append(parts, crash.Part(1<<20+300*n)+i)
		}
		now := start.Add(2*time.Second + time.Duration(n)*time.Millisecond)
		l.Died(now, process(10+n), candidates("hostile", parts...))
		l.Flowed(now, now, parts)
	}
	if known := len(l.List(start)); known > 5000 {
		t.Errorf("%d parts are kept", known)
	}
	expectStanding(t, l, team, crash.Strong, harmful)
}

func TestPartsOfLongListsAreBounded(t *testing.T) {
	var ids []string
	for n := range 1000 {
		ids = append(ids, fmt.Sprintf("%x", 1000+n))
	}
	parts := crash.Parts(ids)
	if len(parts) != crash.MaxParts || parts[0] != 1000 {
		t.Errorf("%d parts, the first %s", len(parts), parts[0])
	}
	if other := crash.Parts(ids[:500]); other[len(other)-1] != parts[len(parts)-1] {
		t.Error("the parts beyond the limit are known as different ones")
	}
}

func BenchmarkCheck(b *testing.B) {
	l := newLedger()
	condemn(l, team, harmful)
	parts := []crash.Part{shared, 0x5c1e}
	for b.Loop() {
		l.Check(team, parts)
	}
}

func BenchmarkFlowed(b *testing.B) {
	l := newLedger()
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Flowed(now, now, []crash.Part{shared, crash.Part(now.UnixMilli())})
	}
}
