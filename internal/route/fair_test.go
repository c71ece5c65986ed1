package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

const (
	fairTarget  = 300 * time.Millisecond
	fairTimeout = 4 * time.Second
)

// newFairSim returns a simulation that runs longer than replicas are known without an
// announcement.
func newFairSim(t *testing.T, replicas, maxQueue int) *callerSim {
	l := newCallerSim(t, 0)
	l.rig = newRig(t, route.Config{HedgeMin: -1, ProbeAfter: time.Hour, EntryLifetime: time.Hour, MaxQueue: maxQueue}, replicas)
	return l
}

func (l *callerSim) arriveOf(id string, share route.Share) {
	l.arrived[id] = l.now
	l.step(route.Arrive{Request: route.Request{
		ID: id, Team: "headline", Class: route.Online, Repeatable: true, Fingerprint: upstream.FingerprintOf(id, nil),
		Deadline: l.now.Add(fairTimeout), UsefulUntil: l.now.Add(fairTarget), Share: share,
	}})
}

// teamOutcome counts the requests of a team.
type teamOutcome struct{ sent, inTime, late, refused int }

func (l *callerSim) outcome(team string) teamOutcome {
	var o teamOutcome
	for id := range l.arrived {
		if name, _, _ := strings.Cut(id, "/"); name != team {
			continue
		}
		o.sent++
		wait, started := l.started[id]
		switch {
		case started && wait <= fairTarget+10*time.Millisecond: // a step of the simulation
			o.inTime++
		case started:
			o.late++
		case l.refused[id] != nil:
			o.refused++
		}
	}
	return o
}

// sendOf sends the requests of teams for a time, at the given rates per second. The pauses
// of a team vary by a half: a team whose mean rate is below its share does not exceed the
// share for long.
func (l *callerSim) sendOf(d time.Duration, rates map[string]float64, share func(team string) route.Share) {
	var names []string
	for name := range rates {
		names = append(names, name)
	}
	slices.Sort(names)
	random := rand.New(rand.NewPCG(11, 12))
	next, count := map[string]time.Time{}, map[string]int{}
	pause := func(name string) time.Duration {
		return time.Duration((0.5 + random.Float64()) / rates[name] * float64(time.Second))
	}
	for _, name := range names {
		next[name] = l.now.Add(time.Duration(random.Float64() * float64(pause(name))))
	}
	for end := l.now.Add(d); l.now.Before(end); {
		for _, name := range names {
			for !next[name].After(l.now) {
				l.arriveOf(fmt.Sprintf("%s/%d", name, count[name]), share(name))
				count[name]++
				next[name] = next[name].Add(pause(name))
			}
		}
		l.pass(10 * time.Millisecond)
	}
	l.pass(fairTimeout)
}

// Guards against teams that are late because others send several times their usual load.
// Load: 20 teams at 44 slots (69 answers per second), 17 of them with 2.4 requests per second,
// below their share of 3.5, and 3 with 5 times as many, for 20 s.
func TestTeamsBelowTheirShareAreServedInTime(t *testing.T) {
	l := newFairSim(t, 22, 0)
	rates := map[string]float64{}
	for i := range 20 {
		rates[fmt.Sprintf("team-%02d", i)] = 2.4
	}
	for _, hot := range []string{"team-03", "team-08", "team-15"} {
		rates[hot] *= 5
	}
	l.sendOf(20*time.Second, rates, func(team string) route.Share { return route.Share{Team: team} })
	var usual, hot teamOutcome
	for team, rate := range rates {
		sum := &usual
		if rate > 3 {
			sum = &hot
		}
		o := l.outcome(team)
		sum.sent, sum.inTime, sum.late, sum.refused = sum.sent+o.sent, sum.inTime+o.inTime, sum.late+o.late, sum.refused+o.refused
	}
	t.Logf("usual teams %+v, hot teams %+v", usual, hot)
	if usual.inTime*100 < usual.sent*99 {
		t.Errorf("%d of %d requests of teams below their share were served in time, want 99 in 100", usual.inTime, usual.sent)
	}
	if hot.inTime+hot.late < hot.sent/2 {
		t.Errorf("the hot teams got %+v: they do not get the unused shares of others", hot)
	}
}

// Shares must follow the weights and the costs of requests. Load: three teams that each send
// 40 requests per second to 10 slots (16 answers per second); one has twice the weight, one
// sends requests of twice the cost.
func TestSharesFollowWeightAndCost(t *testing.T) {
	l := newFairSim(t, 5, 0)
	rates := map[string]float64{"plain": 40, "heavy": 40, "dear": 40}
	shares := map[string]route.Share{
		"plain": {Team: "plain", Cost: 100}, "heavy": {Team: "heavy", Weight: 2, Cost: 100}, "dear": {Team: "dear", Cost: 200},
	}
	l.sendOf(20*time.Second, rates, func(team string) route.Share { return shares[team] })
	plain, heavy, dear := l.outcome("plain"), l.outcome("heavy"), l.outcome("dear")
	t.Logf("plain %+v, heavy %+v, dear %+v", plain, heavy, dear)
	served := func(o teamOutcome) float64 { return float64(o.inTime + o.late) }
	if ratio := served(heavy) / served(plain); ratio < 1.7 || ratio > 2.3 {
		t.Errorf("a team of weight 2 got %.2f times as many starts", ratio)
	}
	if ratio := served(dear) / served(plain); ratio < 0.4 || ratio > 0.6 {
		t.Errorf("a team with requests of twice the cost got %.2f times as many starts", ratio)
	}
}

// A team must get all slots that others leave idle, and must not pay for that later.
func TestIdleSharesAreUsedAndNotChargedLater(t *testing.T) {
	l := newFairSim(t, 5, 0)
	l.sendOf(10*time.Second, map[string]float64{"alone": 12}, func(string) route.Share { return route.Share{Team: "first"} })
	if o := l.outcome("alone"); o.inTime*100 < o.sent*95 {
		t.Errorf("alone, a team gets %+v", o)
	}
	l.sendOf(10*time.Second, map[string]float64{"first": 20, "second": 20}, func(team string) route.Share { return route.Share{Team: team} })
	first, second := l.outcome("first"), l.outcome("second")
	t.Logf("first %+v, second %+v", first, second)
	served := func(o teamOutcome) float64 { return float64(o.inTime + o.late) }
	if ratio := served(first) / served(second); ratio < 0.8 || ratio > 1.25 {
		t.Errorf("the team that used idle slots before got %.2f times the starts of the other", ratio)
	}
}

// Guards against a team that fills the queue: others must be neither refused for it nor wait
// behind it. Load: one team sends 1,000 requests at once to 4 slots, another one request each
// 400 ms.
func TestOneTeamDoesNotTakeTheQueue(t *testing.T) {
	for _, maxQueue := range []int{200, 2000} {
		l := newFairSim(t, 2, maxQueue)
		l.arriveOf("before/0", route.Share{Team: "before"})
		l.pass(time.Second) // establishes how long answers take
		for i := range 1000 {
			l.arriveOf(fmt.Sprint("hot/", i), route.Share{Team: "hot"})
		}
		for i := range 20 {
			l.arriveOf(fmt.Sprint("small/", i), route.Share{Team: "small"})
			l.pass(400 * time.Millisecond)
		}
		l.pass(fairTimeout)
		small, hot := l.outcome("small"), l.outcome("hot")
		t.Logf("limit %d: small %+v, hot %+v", maxQueue, small, hot)
		if small.refused > 0 || small.inTime < small.sent/4 {
			t.Errorf("limit %d: the small team got %+v", maxQueue, small)
		}
		if hot.refused+hot.inTime+hot.late != hot.sent {
			t.Errorf("limit %d: requests of the hot team got no answer: %+v", maxQueue, hot)
		}
		for id, refusal := range l.refused {
			if refusal.RetryAfter <= 0 || refusal.Ran != "no" {
				t.Errorf("limit %d: %s was refused by %+v", maxQueue, id, refusal)
			}
		}
	}
}

// A request of high priority goes before one of a team with more of its share left.
func TestPriorityGoesBeforeShares(t *testing.T) {
	l := newFairSim(t, 1, 0)
	for i := range 2 {
		l.arriveOf(fmt.Sprint("busy/", i), route.Share{Team: "busy", Cost: 1000})
	}
	send := func(id string, priority int, team string) {
		l.arrived[id] = l.now
		l.step(route.Arrive{Request: route.Request{
			ID: id, Class: route.Online, Repeatable: true, Fingerprint: upstream.FingerprintOf(id, nil), Priority: priority,
			Deadline: l.now.Add(fairTimeout), UsefulUntil: l.now.Add(2 * time.Second), Share: route.Share{Team: team},
		}})
	}
	send("idle/0", 1, "idle")
	send("busy/first", 0, "busy")
	l.step(route.Finished{Attempt: l.lastDispatch["busy/0"].Attempt})
	if l.sent["busy/first"] != 1 || l.sent["idle/0"] != 0 {
		t.Errorf("sent: %v", l.sent)
	}
	l.step(route.Finished{Attempt: l.lastDispatch["busy/1"].Attempt})
	if got := l.lastDispatch["idle/0"].Share; got.Team != "idle" || got.TeamsWaiting != 1 {
		t.Errorf("the state of the share in the dispatch: %+v", got)
	}
}
