package crash_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/route"
)

// countRule condemns at a number of distinct processes.
func countRule(n int) crash.Rule { return func(e crash.Evidence) bool { return e.Deaths >= n } }

// Compares the rules on the same schedules: without harmful parts, with them in calm, and with
// other faults beside them. The figures are printed with -v.
func TestRulesOnTheSameSchedules(t *testing.T) {
	rules := []struct {
		name     string
		rule     crash.Rule
		disabled route.Guards
	}{
		{"weighed", nil, route.Guards{}},
		{"weighed, requests with suspects go anywhere", nil, route.Guards{Narrow: true}},
		{"two processes", countRule(2), route.Guards{}},
		{"three processes", countRule(3), route.Guards{}},
		{"five processes", countRule(5), route.Guards{}},
		{"no parts", nil, route.Guards{Parts: true}},
	}
	kinds := []struct {
		name string
		make func(seed uint64) schedule
	}{
		{"calm", guild},
		{"drawn", drawn},
		{"drawn, sound items", func(seed uint64) schedule {
			s := drawn(seed)
			s.items, s.owed = 0, s.items*5
			return s
		}},
		{"no harmful part", func(seed uint64) schedule {
			s := drawn(seed)
			s.harmful, s.items = 0, 0
			return s
		}},
	}
	n := schedules(t, 10)
	for _, kind := range kinds {
		for _, r := range rules {
			var mu sync.Mutex
			var lost []int
			condemned, condemnedIn, sent, begun, quick, tooMany := 0, 0, 0, 0, 0, 0
			each(t, n, func(seed uint64) {
				s := kind.make(seed)
				s.rule, s.disabled = r.rule, r.disabled
				w := newWorld(s)
				w.run()
				mu.Lock()
				defer mu.Unlock()
				for _, deaths := range w.deathsOf {
					lost = append(lost, len(deaths))
				}
				condemned += w.soundCondemned
				if w.soundCondemned > 0 {
					condemnedIn++
				}
				if w.afterFifth > maxAfterFifth*len(w.schedule.parts) {
					tooMany++
				}
				for _, q := range w.requests {
					if !q.harmful && !q.batch && q.gate != nil {
						sent++
						if q.begun {
							begun++
						}
						if q.begun && q.firstAfter <= 300*time.Millisecond {
							quick++
						}
					}
				}
			})
			slices.Sort(lost)
			if len(lost) == 0 {
				lost = []int{0}
			}
			t.Logf("%s, %s: replicas lost to one part %d, %d, %d (median, nine of ten, most); over three sent after the fifth in %d of %d; sound parts condemned in %d schedules; sound requests begun at the first attempt %.3f, within 300 ms %.3f",
				kind.name, r.name, lost[len(lost)/2], lost[len(lost)*9/10], lost[len(lost)-1], tooMany, n, condemnedIn, float64(begun)/float64(sent), float64(quick)/float64(sent))
		}
	}
}
