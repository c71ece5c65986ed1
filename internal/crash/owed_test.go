package crash_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"slateway.example/slateway/internal/crash"
)

// owedBound is how long after the last end of a process, when all replicas are back, an item that is
// owed may wait for the beginning of its answer.
const owedBound = 10 * time.Second

// unlucky returns a schedule in which replicas end in bursts under sound items, and calm after them.
func unlucky(seed uint64) schedule {
	random := rand.New(rand.NewPCG(seed, 77))
	between := func(from, to float64) float64 { return from + random.Float64()*(to-from) }
	replicas := 4 + random.IntN(9)
	s := schedule{
		seed: seed, gates: 3 + random.IntN(6), replicas: replicas, sound: between(0.5, 4) * float64(replicas), owed: 5 + random.IntN(40),
		from: time.Second, until: 15 * time.Second, end: 40 * time.Second, given: 40 * time.Second, restart: time.Duration(between(0.4, 3) * float64(time.Second)),
	}
	for range 1 + random.IntN(3) {
		at := time.Duration(between(1, 12) * float64(time.Second))
		for n := range 3 + random.IntN(4) {
			s.groups = append(s.groups, at+time.Duration(n)*400*time.Millisecond)
		}
	}
	during := func() []time.Duration { return []time.Duration{time.Duration(between(2, 14) * float64(time.Second))} }
	switch random.IntN(6) {
	case 0:
		s.kills = during()
	case 1:
		s.stops = during()
	case 2:
		s.freezes = during()
	case 3:
		s.powerCuts = during()
	}
	return s
}

// Guards against a sound item under which replicas crashed and that nobody runs any more, although
// replicas have room.
func TestItemsUnderWhichReplicasCrashedAreTried(t *testing.T) {
	var mu sync.Mutex
	items, crashed, most := 0, 0, time.Duration(0)
	each(t, schedules(t, 60), func(seed uint64) {
		w := newWorld(unlucky(seed))
		w.run()
		mu.Lock()
		defer mu.Unlock()
		calm := w.lastEnd.Add(max(w.restart, time.Second) + leaseTime)
		for _, r := range w.requests {
			if !r.batch {
				continue
			}
			items++
			if r.sends > 1 {
				crashed++
			}
			from := calm
			if r.since.After(calm) {
				from = r.since
			}
			most = max(most, r.flowed.Sub(from))
			if !r.done || r.refused != nil || r.flowed.Sub(from) > owedBound {
				t.Errorf("seed %d: item %s with parts %v: done %t, refused %v, sent %d times, its answer began after %s of calm", seed, r.id, r.parts, r.done, r.refused, r.sends, r.flowed.Sub(from))
			}
		}
		if len(w.together) > 0 {
			t.Errorf("seed %d: %d items were tried together, the first %s", seed, len(w.together), w.together[0])
		}
	})
	t.Logf("%d items, %d sent more than once; the longest wait in calm for the beginning of an answer %s", items, crashed, most)
}

// Guards against an item that does crash each replica and is tried without a pause.
func TestAnItemThatCrashesReplicasCostsFew(t *testing.T) {
	for seed := range uint64(10) {
		s := guild(seed)
		s.harmful, s.items, s.given = 0, 1, time.Minute
		s.end = s.from + time.Minute
		w := newWorld(s)
		w.run()
		if most := 4 + int(time.Minute/crash.OwedPause(100)); w.itemDeaths > most {
			t.Errorf("seed %d: an item ended %d replicas in a minute, %d may end", seed, w.itemDeaths, most)
		}
		t.Logf("seed %d: an item ended %d replicas in a minute", seed, w.itemDeaths)
	}
}

// Guards against an item that is never tried again, and against gates that try at once.
func TestOwedItemsAreTriedInTurn(t *testing.T) {
	l := newLedger()
	end := condemn(l, team, harmful)
	expectStanding(t, l, team, crash.Condemned, harmful)
	due := func(turn int) time.Duration {
		return l.OwedAt([]crash.Part{shared, harmful}, func(crash.Part) int { return turn }).Sub(end)
	}
	const pause = 8 * time.Second
	if due(0) != pause || due(1) <= due(0) || due(2) <= due(1) || due(100) > pause+3*time.Second {
		t.Errorf("the gates' turns are %s, %s, %s, the last %s", due(0), due(1), due(2), due(100))
	}
	tried := end.Add(due(0))
	l.TryOwed(tried, []crash.Part{harmful})
	if again := l.OwedAt([]crash.Part{harmful}, func(crash.Part) int { return 0 }); again != tried.Add(2*pause) {
		t.Errorf("tried again %s later", again.Sub(tried))
	}
	if !l.OwedAt([]crash.Part{shared}, func(crash.Part) int { return 5 }).IsZero() {
		t.Error("an item without such a part waits")
	}
}

// Guards against a sound part that is condemned because items with it were on replicas that ended of
// something else, so that requests with it are refused.
func TestItemsAloneCondemnNoPart(t *testing.T) {
	l := newLedger()
	for n := range 8 {
		l.Died(start.Add(time.Duration(n)*time.Second), process(n), []crash.Candidate{{Part: harmful, Team: team, Item: true}})
		l.Flowed(start.Add(time.Duration(n)*time.Second), start, []crash.Part{shared})
	}
	expectStanding(t, l, team, crash.Strong, harmful)
	if due := l.OwedAt([]crash.Part{harmful}, func(crash.Part) int { return 0 }); due != start.Add(7*time.Second+crash.OwedPause(8)) {
		t.Errorf("an item with it is tried %s later", due.Sub(start.Add(7*time.Second)))
	}
	l.Died(start.Add(9*time.Second), process(9), candidates(team, harmful))
	expectStanding(t, l, team, crash.Condemned, harmful)
}
