package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slateway.example/slateway/internal/share"
)

// queueSim applies the same changes to a queue with shares and to one without.
type queueSim struct {
	now         time.Time
	fair, plain waitQueue
	open        [][2]*request // the same request in both queues
	next        int
}

func (s *queueSim) push(r request) {
	copies := [2]*request{new(request), new(request)}
	*copies[0], *copies[1] = r, r
	copies[0].shareTeam = s.fair.fair.scheduler.Team(s.now, r.Share.Team, r.Share.Weight)
	s.fair.push(copies[0])
	s.plain.push(copies[1])
	s.open = append(s.open, copies)
}

func ids(list []*request) []string {
	names := make([]string, len(list))
	for i, r := range list {
		names[i] = r.ID
	}
	return names
}

// With one team or none, requests must start in the same order as without shares.
func TestOneTeamKeepsTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &queueSim{now: time.Unix(1_000_000, 0)}
		s.fair.fair = &fairOrder{scheduler: share.NewScheduler()}
		team := rapid.SampledFrom([]string{"", "council"}).Draw(t, "team")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1, 2:
				s.next++
				r := request{arrived: s.now, delivered: rapid.IntRange(0, 9).Draw(t, "delivered") == 0}
				r.ID, r.Share = fmt.Sprint("q", s.next), Share{Team: team, Cost: rapid.Float64Range(0, 500).Draw(t, "cost")}
				r.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				r.UsefulUntil = s.now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "due")) * 100 * time.Millisecond)
				r.Deadline = s.now.Add(time.Second)
				s.push(r)
			case 3:
				s.fair.markOverdue(s.now, func(*request) time.Duration { return 0 })
				s.plain.markOverdue(s.now, func(*request) time.Duration { return 0 })
			default:
				s.startSome(t)
			}
			if got, want := ids(s.fair.list), ids(s.plain.list); !slices.Equal(got, want) {
				t.Fatalf("list %v, want %v", got, want)
			}
			if got, want := ids(s.fair.overdueInOrder()), ids(s.plain.overdueInOrder()); !slices.Equal(got, want) {
				t.Fatalf("overdue %v, want %v", got, want)
			}
		}
	})
}

// startSome lets both queues start what the same random outcomes allow. If no overdue request
// may start, the queue with shares learns it from the first one.
func (s *queueSim) startSome(t *rapid.T) {
	seed, noOverdue := rapid.Uint64().Draw(t, "outcomes"), rapid.IntRange(0, 3).Draw(t, "overdue may start") == 0
	var tried [2][]string
	for i, q := range []*waitQueue{&s.fair, &s.plain} {
		random := rand.New(rand.NewPCG(seed, 1))
		q.startReady(s.now, maxStartMisses, func(r *request) startResult {
			if noOverdue && r.urgency() == urgencyOverdue {
				return overdueHeld
			}
			result := startResult(random.IntN(3))
			tried[i] = append(tried[i], fmt.Sprint(r.ID, result))
			return result
		})
	}
	if !slices.Equal(tried[0], tried[1]) || s.fair.startsSinceOverdue != s.plain.startsSinceOverdue {
		t.Fatalf("tried %v, want %v; starts since an overdue one %d, want %d", tried[0], tried[1], s.fair.startsSinceOverdue, s.plain.startsSinceOverdue)
	}
}

// While all teams have work waiting, what each has got by weight may differ by no more than one
// request, and a free slot must never stay idle.
func TestWaitingTeamsGetTheirShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		q := waitQueue{fair: &fairOrder{scheduler: share.NewScheduler()}}
		teams := rapid.IntRange(2, 8).Draw(t, "teams")
		weights, used, largest := make([]float64, teams), make([]float64, teams), 0.0
		for i := range teams {
			weights[i] = rapid.Float64Range(0.1, 10).Draw(t, "weight")
		}
		push := func(i int) {
			cost := rapid.Float64Range(1, 100).Draw(t, "cost")
			largest = max(largest, cost/weights[i])
			r := &request{arrived: now}
			r.Share, r.Deadline = Share{Team: fmt.Sprint(i), Weight: weights[i], Cost: cost}, now.Add(time.Hour)
			r.ID = fmt.Sprint(i)
			r.shareTeam = q.fair.scheduler.Team(now, r.Share.Team, r.Share.Weight)
			q.push(r)
		}
		for i := range teams {
			push(i)
			push(i)
		}
		// Every team always has two requests, so that all compete all the time.
		for range rapid.IntRange(1, 200).Draw(t, "starts") {
			free := 1
			var begun *request
			q.startReady(now, 1, func(r *request) startResult {
				if free == 0 {
					return noRoom
				}
				free, begun = 0, r
				return started
			})
			if begun == nil {
				t.Fatal("nothing started although a slot was free")
			}
			var i int
			_, _ = fmt.Sscan(begun.ID, &i)
			used[i] += begun.Share.Cost / weights[i]
			push(i)
			if least, most := slices.Min(used), slices.Max(used); most-least > largest+1e-6 {
				t.Fatalf("teams got %v by weight, further apart than the largest request, %g", used, largest)
			}
		}
	})
}
