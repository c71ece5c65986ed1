package crash_test

import (
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/route"
)

// guild is a site of today's size under load: seven gates, nine replicas.
func guild(seed uint64) schedule {
	return schedule{
		seed: seed, gates: 7, replicas: 9, sound: 35, harmful: 10, from: 3 * time.Second, until: 25 * time.Second, end: 30 * time.Second,
		restart: 3 * time.Second,
	}
}

// maxAfterFifth is how many requests with a part may reach replicas, later than the contact window
// after the fifth of them has ended, from gates in touch.
const maxAfterFifth = 3

// maxItemsLate is the same for batch items, which are tried again at most every OwedPause: what fits
// into a schedule after the first five deaths.
var maxItemsLate = int(25 * time.Second / crash.OwedPause(100))

// Guards against requests that share nothing but a part of their prompts and crash one replica
// after the other, with sound requests beside them.
func TestRequestsThatShareAHarmfulPartAreStopped(t *testing.T) {
	w := newWorld(guild(1))
	w.run()
	t.Logf("%d processes ended, %d harmful requests sent, %d after the fifth death and the window", len(w.deaths), w.sends, w.afterFifth)
	if w.afterFifth > maxAfterFifth {
		t.Errorf("%d requests with the part reached replicas, %d may", w.afterFifth, maxAfterFifth)
	}
	if len(w.deaths) == 0 {
		t.Fatal("no process ended")
	}
	from := w.deaths[min(len(w.deaths), 5)-1].Add(2 * contactWindow)
	sent, begun := w.beganAtFirst(from, w.began.Add(w.until))
	t.Logf("%d of %d sound requests began at the first attempt", begun, sent)
	if float64(begun) < 0.9*float64(sent) {
		t.Errorf("%d of %d sound requests began at the first attempt", begun, sent)
	}
}

// Guards against sound requests that are refused, some in the middle of their answer, because
// they were on replicas that harmful ones have ended.
func TestSoundRequestsBesideHarmfulOnesAreNotRefusedAsHarmful(t *testing.T) {
	w := newWorld(guild(2))
	w.run()
	if refused := w.refusedSound(route.ReasonPoison); len(refused) > 0 {
		t.Errorf("%d sound requests were refused as harmful, among them %s", len(refused), refused[0].id)
	}
}

// drawn returns a schedule with random faults.
func drawn(seed uint64) schedule {
	random := rand.New(rand.NewPCG(seed, 99))
	between := func(from, to float64) float64 { return from + random.Float64()*(to-from) }
	times := func(most int) (at []time.Duration) {
		for range random.IntN(most + 1) {
			at = append(at, time.Duration(between(2, 28)*float64(time.Second)))
		}
		return at
	}
	s := schedule{
		seed: seed, gates: 3 + random.IntN(7), replicas: 4 + random.IntN(9), sound: between(8, 45), harmful: between(1, 50),
		from: 3 * time.Second, until: 25 * time.Second, end: 30 * time.Second, restart: time.Duration(between(1, 5) * float64(time.Second)),
		first: random.IntN(4) == 0, items: random.IntN(4), kills: times(2), freezes: times(2), cuts: times(2),
	}
	if random.IntN(3) == 0 {
		s.late = time.Duration(between(0.05, 1.5) * float64(time.Second))
	}
	if random.IntN(3) == 0 {
		s.parts = []crash.Part{harmfulPart, harmfulPart + 1}
	}
	if random.IntN(3) == 0 {
		s.spontaneous = between(0, 0.5)
	}
	switch random.IntN(5) {
	case 0:
		s.groups = times(2)
	case 1:
		s.powerCuts = times(1)
	case 2:
		s.stops = times(2)
	}
	return s
}

// schedules returns the seeds to try: a few, or those up to SLATEWAY_CRASH_SCHEDULES.
func schedules(t *testing.T, few uint64) uint64 {
	text := os.Getenv("SLATEWAY_CRASH_SCHEDULES")
	if text == "" {
		return few
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against requests with a part that has ended five replicas and reach further ones, in any
// order of kills, cuts, freezes, stops of all gates, late messages, spontaneous ends and items.
func TestNoScheduleSendsACondemnedPartOn(t *testing.T) {
	var mu sync.Mutex
	var verdicts []int
	most, mostItems, overGoal, condemned := 0, 0, 0, 0
	each(t, schedules(t, 60), func(seed uint64) {
		w := newWorld(drawn(seed))
		w.run()
		mu.Lock()
		defer mu.Unlock()
		if w.afterFifth > maxAfterFifth*len(w.schedule.parts) {
			t.Errorf("seed %d: %d requests sent after the fifth death and the window, %d processes ended", seed, w.afterFifth, len(w.deaths))
		}
		if most := len(w.schedule.parts) * maxItemsLate; w.itemsLate > most {
			t.Errorf("seed %d: %d batch items sent after the fifth death and the window, %d may be", seed, w.itemsLate, most)
		}
		mostItems = max(mostItems, w.itemsLate)
		verdicts = append(verdicts, w.firstVerdicts()...)
		for part, deaths := range w.deathsOf {
			most = max(most, len(deaths))
			if len(deaths) > 5+maxAfterFifth {
				overGoal++
				t.Logf("seed %d: %d replicas ended of part %d", seed, len(deaths), part)
			}
		}
		condemned += w.soundCondemned
	})
	slices.Sort(verdicts)
	t.Logf("verdict after %d, %d, %d deaths (median, nine of ten, most); most replicas ended of one part: %d, over eight in %d; sound parts condemned by gates: %d; most items late: %d",
		verdicts[len(verdicts)/2], verdicts[len(verdicts)*9/10], verdicts[len(verdicts)-1], most, overGoal, condemned, mostItems)
}

// each runs a function for seeds 1 to n, several at a time.
func each(t *testing.T, n uint64, run func(seed uint64)) {
	t.Helper()
	var running errgroup.Group
	running.SetLimit(runtime.GOMAXPROCS(0))
	for seed := uint64(1); seed <= n; seed++ {
		running.Go(func() error { run(seed); return nil })
	}
	_ = running.Wait() // run returns no error
}
