package share_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slateway.example/slateway/internal/share"
)

var start = time.Unix(1_000_000, 0)

// A team that was idle must go first once, but must not have saved up its share.
func TestIdleTimeEarnsNothing(t *testing.T) {
	s := share.NewScheduler()
	busy, idle := s.Team(start, "busy", 1), s.Team(start, "idle", 1)
	s.Enter(busy)
	for range 1000 {
		s.Enter(busy)
		s.Start(start, busy, 10)
		s.Leave(busy)
	}
	s.Enter(idle)
	if lead, teams := s.Lead(busy); lead > 10 || lead < 0 || teams != 2 {
		t.Errorf("the busy team is %g ahead among %d teams, want one request of 10 at most", lead, teams)
	}
}

// Teams that are not used must be forgotten, and those with waiting requests must not.
func TestUnusedTeamsAreForgotten(t *testing.T) {
	s := share.NewScheduler()
	for i := range 5000 {
		s.Team(start, fmt.Sprint(i), 1)
	}
	s.Enter(s.Team(start, "waiting", 2))
	later := start.Add(share.Lifetime + time.Second)
	s.Team(later, "new", 1)
	got := s.Statuses(later)
	if len(got) != 2 || got[0].Team != "new" || got[1].Waiting != 1 || got[1].Weight != 2 {
		t.Errorf("%d teams are left: %+v", len(got), got[:min(3, len(got))])
	}
}

// Operators must see the starts of the last 10 s only.
func TestRecentStartsAreCounted(t *testing.T) {
	s := share.NewScheduler()
	team := s.Team(start, "council", 1)
	for i := range 30 {
		s.Start(start.Add(time.Duration(i)*time.Second), team, 1)
	}
	if got := s.Statuses(start.Add(29 * time.Second))[0].Started; got != 10 {
		t.Errorf("%d starts in 10 s at one a second", got)
	}
	if got := s.Statuses(start.Add(time.Hour))[0].Started; got != 0 {
		t.Errorf("%d starts counted an hour later", got)
	}
}

// Whatever teams come, start and leave, virtual times must not go back and the waiting teams
// must be counted right.
func TestVirtualTimesDoNotGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := share.NewScheduler(), start
		waiting, virtual := map[string]int{}, map[string]float64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "team")
			team := s.Team(now, name, rapid.SampledFrom([]float64{0, 0.5, 1, 8}).Draw(t, "weight"))
			switch {
			case rapid.Bool().Draw(t, "enter"):
				s.Enter(team)
				waiting[name]++
			case waiting[name] > 0:
				s.Start(now, team, rapid.Float64Range(0, 50).Draw(t, "cost"))
				s.Leave(team)
				waiting[name]--
			}
			if waiting[name] > 0 && team.Virtual() < virtual[name] {
				t.Fatalf("the virtual time of %s went back from %g to %g", name, virtual[name], team.Virtual())
			}
			virtual[name] = team.Virtual()
			busy := 0
			for _, n := range waiting {
				if n > 0 {
					busy++
				}
			}
			if lead, teams := s.Lead(team); teams != busy || lead < 0 {
				t.Fatalf("lead %g, %d teams wait, want %d", lead, teams, busy)
			}
		}
	})
}

// Guards against reports at a site without teams: there, all gates would send them to one
// owner, which would decide nothing by them.
func TestRequestsWithoutATeamAreNotReported(t *testing.T) {
	s := share.NewScheduler()
	for _, name := range []string{"", "council"} {
		team := s.Team(start, name, 1)
		s.Enter(team)
		s.Start(start, team, 5)
	}
	used := s.Usage(start, "wordroom")
	if len(used) != 1 || used[0].Team != "council" || used[0].Started != 5 {
		t.Errorf("reported: %+v", used)
	}
}
