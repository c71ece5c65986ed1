package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"slateway.example/slateway/internal/rendezvous"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/share"
	"slateway.example/slateway/internal/upstream"
)

// shareSim simulates gates of several places. Each gate has engines of its own, and reports what
// it starts to the owners of teams. The number of a request's team is in the nanoseconds of its
// arrival.
type shareSim struct {
	now      time.Time
	gates    []*shareGate
	sharing  bool // gates report their usage
	random   *rand.Rand
	number   int
	sent     map[int]int          // requests by team
	lost     map[int]int          // requests that ended with their gate, by team
	next     map[[2]int]time.Time // next arrival by team and gate
	messages []message
	idle     time.Duration // time in which a slot was idle while requests waited
}

// shareGate is a gate with its engines.
type shareGate struct {
	*gateSim
	id        string
	process   string
	reporter  *share.Reporter
	collector *share.Collector
	cutOff    bool        // datagrams to and from the other gates are lost
	arrived   map[int]int // requests of this process by team
	before    int         // starts of earlier processes
}

// teamLoad is the rate of a team's requests at each gate.
type teamLoad []float64

const (
	shareTarget   = 300 * time.Millisecond
	shareTimeout  = 4 * time.Second
	shareReport   = 200 * time.Millisecond
	teamsPerMicro = 1000
)

// newShareSim creates a gate for each number of engines.
func newShareSim(engines []int, seed uint64, sharing bool) *shareSim {
	s := &shareSim{
		now: time.Unix(1_000_000, 0), sharing: sharing, random: rand.New(rand.NewPCG(seed, 8)),
		sent: map[int]int{}, lost: map[int]int{}, next: map[[2]int]time.Time{},
	}
	for i, count := range engines {
		s.gates = append(s.gates, &shareGate{id: fmt.Sprint("vm-", i)})
		s.start(i, count)
	}
	return s
}

// start starts the process of a gate. An earlier one ends with all its requests.
func (s *shareSim) start(i, engines int) {
	g := s.gates[i]
	var starts []simStart
	if g.gateSim != nil {
		starts = g.starts
		for team, arrived := range g.arrived {
			_, begun := countStarts(starts[g.before:], team)
			s.lost[team] += arrived - begun
		}
	}
	// The engines' own queues admit in order of arrival. Without them, all requests wait in the
	// gate, so that the test sees the order of shares.
	g.gateSim = newGateSimWith(1, engines, func(config *route.Config) { config.EntryLifetime, config.Overcommit = time.Hour, 1e-9 })
	g.gateSim.now, g.starts, g.before, g.arrived = s.now, starts, len(starts), map[int]int{}
	s.number++
	g.process = fmt.Sprint(g.id, "/", s.number)
	g.reporter, g.collector = share.NewReporter(), share.NewCollector()
}

// run lets the teams send for a while. The pauses of a team vary by a half.
func (s *shareSim) run(d time.Duration, loads []teamLoad) {
	tick, report := s.now, s.now
	pause := func(rate float64) time.Duration {
		return time.Duration((0.5 + s.random.Float64()) / rate * float64(time.Second))
	}
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		for len(s.messages) > 0 && !s.now.Before(s.messages[0].at) {
			first := s.messages[0]
			s.messages = s.messages[1:]
			first.deliver()
		}
		for _, g := range s.gates {
			g.gateSim.now = s.now
			for len(g.messages) > 0 && !s.now.Before(g.messages[0].at) {
				first := g.messages[0]
				g.messages = g.messages[1:]
				first.deliver()
			}
		}
		for team, load := range loads {
			for gate, rate := range load {
				if rate == 0 {
					continue
				}
				key := [2]int{team, gate}
				if s.next[key].IsZero() {
					s.next[key] = s.now.Add(time.Duration(s.random.Float64() * float64(pause(rate))))
				}
				if !s.next[key].After(s.now) {
					s.next[key] = s.now.Add(pause(rate))
					s.arrive(team, gate)
				}
			}
		}
		for _, g := range s.gates {
			for _, e := range g.engines {
				g.runEngine(e)
			}
		}
		if s.now.Sub(tick) >= simTick {
			tick = s.now
			for _, g := range s.gates {
				g.step(g.gates[0], route.Tick{})
				s.recordIdle(g)
			}
		}
		if s.sharing && s.now.Sub(report) >= shareReport {
			report = s.now
			for i := range s.gates {
				s.report(i)
			}
		}
	}
}

func (s *shareSim) arrive(team, gate int) {
	g := s.gates[gate]
	s.sent[team]++
	g.arrived[team]++
	s.number++
	id := requestAt(s.now.Truncate(time.Microsecond).Add(time.Duration(team)), s.number)
	g.step(g.gates[0], route.Arrive{Request: route.Request{
		ID: id, Class: route.Online, MaxAttempts: 1, Fingerprint: upstream.FingerprintOf(id, nil),
		Deadline: s.now.Add(shareTimeout), UsefulUntil: s.now.Add(shareTarget),
		Share: route.Share{Team: fmt.Sprint("team-", team)},
	}})
}

// report sends a gate's usage to the owners of the teams and handles the answers.
func (s *shareSim) report(i int) {
	var ids []string
	for _, g := range s.gates {
		ids = append(ids, g.id)
	}
	from := s.gates[i]
	for _, r := range from.reporter.Reports(s.now, from.gates[0].shard.ShareUsage(s.now, "letters"), func(team string) string {
		owner, _ := rendezvous.BestTwo(team, ids)
		return owner
	}) {
		to := s.gates[slices.Index(ids, r.Owner)]
		if to != from && (from.cutOff || to.cutOff) {
			continue
		}
		process, reporter := from.process, from.reporter
		s.send(func() {
			answer, owner := to.collector.Reported(s.now, process, r.Counters), to.process
			s.send(func() {
				for _, c := range reporter.Answered(s.now, r.Owner, owner, answer) {
					from.step(from.gates[0], route.ShareCharged{Team: c.Team, Cost: c.Cost})
				}
			})
		})
	}
}

func (s *shareSim) send(deliver func()) {
	s.messages = append(s.messages, message{at: s.now.Add(simLatency), deliver: deliver})
}

// recordIdle measures the time in which a gate has a free slot while a request waits there.
func (s *shareSim) recordIdle(g *shareGate) {
	free := 0
	for _, e := range g.engines {
		free += simSlots - len(e.running) - len(e.waiting)
	}
	if free > 0 && g.gates[0].shard.Load("r0").Waiting > 0 {
		s.idle += simTick
	}
}

// countStarts counts a team's requests that got a slot, and those that got it in time.
func countStarts(starts []simStart, team int) (inTime, all int) {
	for _, start := range starts {
		if start.arrived.UnixNano()%teamsPerMicro != int64(team) {
			continue
		}
		all++
		if start.started.Sub(start.arrived) <= shareTarget+simTick {
			inTime++
		}
	}
	return inTime, all
}

func (s *shareSim) countStarts(team int) (inTime, all int) {
	for _, g := range s.gates {
		i, a := countStarts(g.starts, team)
		inTime, all = inTime+i, all+a
	}
	return inTime, all
}

// Guards against a team that gets a share at each gate. Load: team 0 has callers at all 4
// gates, teams 1 to 4 at one gate each, and each team alone could use all 8 slots of a gate.
func TestATeamAtManyGatesGetsOneShare(t *testing.T) {
	loads := []teamLoad{{15, 15, 15, 15}, {30, 0, 0, 0}, {0, 30, 0, 0}, {0, 0, 30, 0}, {0, 0, 0, 30}}
	for _, sharing := range []bool{false, true} {
		s := newShareSim([]int{1, 1, 1, 1}, 1, sharing)
		s.run(20*time.Second, loads)
		total := 0
		counts := make([]int, len(loads))
		for team := range loads {
			_, counts[team] = s.countStarts(team)
			total += counts[team]
		}
		part := float64(counts[0]) / float64(total)
		t.Logf("reports %t: starts by team %v; team 0 gets %.2f; idle slots beside waiting requests for %s", sharing, counts, part, s.idle)
		if sharing && (part < 0.17 || part > 0.28) {
			t.Errorf("the team at all gates got %.2f of the starts, want about a fifth", part)
		}
		if !sharing && part < 0.35 {
			t.Errorf("without reports, the team got %.2f: the load does not exercise them", part)
		}
	}
}

// unlikeLoads returns the load of 20 teams at 4 gates: 17 teams with 6.8 requests per second,
// half of them at gate 0, and 3 teams with 80, five times their usual load: one at all gates,
// one mostly at gate 0, one at gate 3 only.
func unlikeLoads() []teamLoad {
	const usual, hot = 6.8, 80
	var loads []teamLoad
	for i := range 17 {
		load := make(teamLoad, 4)
		gate := 0
		if i%2 == 0 {
			gate = 1 + i/2%3
		}
		load[gate] = usual
		loads = append(loads, load)
	}
	return append(loads, teamLoad{hot / 4, hot / 4, hot / 4, hot / 4}, teamLoad{hot * 0.7, hot * 0.1, hot * 0.1, hot * 0.1}, teamLoad{0, 0, 0, hot})
}

// unlikeEngines has gates with 64, 32, 32 and 32 slots.
var unlikeEngines = []int{8, 4, 4, 4}

// countUsual counts the requests of the 17 usual teams that did not end with their gate, and
// those of them that were served in time.
func (s *shareSim) countUsual() (inTime, sent int) {
	for team := range 17 {
		i, _ := s.countStarts(team)
		inTime, sent = inTime+i, sent+s.sent[team]-s.lost[team]
	}
	return inTime, sent
}

// Guards against teams below their share that are late because others send five times their
// usual load at unlike gates, and against a team at one gate that gets less than one at all.
func TestTeamsBelowTheirShareAreServedAtUnlikeGates(t *testing.T) {
	var atOneGate [2]int
	for i, sharing := range []bool{false, true} {
		s := newShareSim(unlikeEngines, 2, sharing)
		s.run(20*time.Second, unlikeLoads())
		inTime, sent := s.countUsual()
		hot := [3]int{}
		for team := range hot {
			_, hot[team] = s.countStarts(17 + team)
		}
		atOneGate[i] = hot[2]
		t.Logf("reports %t: %d of %d in time below the share; hot teams started %v of %d, %d, %d; idle slots beside waiting requests for %s",
			sharing, inTime, sent, hot, s.sent[17], s.sent[18], s.sent[19], s.idle)
		if inTime*100 < sent*99 {
			t.Errorf("reports %t: %d of %d requests of teams below their share were served in time, want 99 in 100", sharing, inTime, sent)
		}
		if s.idle > simTick {
			t.Errorf("reports %t: slots were idle beside waiting requests for %s", sharing, s.idle)
		}
	}
	if atOneGate[1] < 2*atOneGate[0] {
		t.Errorf("the hot team at one gate got %d starts with reports and %d without, want twice as many", atOneGate[1], atOneGate[0])
	}
}

// Gates that are killed and restart, and gates whose reports are lost for seconds, must not make
// teams below their share late or leave slots idle. The load is that of the test above.
func TestSharesHoldWhileGatesAreKilledAndCutOff(t *testing.T) {
	for seed := range uint64(6) {
		s := newShareSim(unlikeEngines, seed, true)
		random := rand.New(rand.NewPCG(seed, 9))
		for range 12 {
			s.run(time.Duration(500+random.IntN(1000))*time.Millisecond, unlikeLoads())
			switch i := random.IntN(len(s.gates)); random.IntN(3) {
			case 0:
				s.start(i, unlikeEngines[i])
			default:
				s.gates[i].cutOff = !s.gates[i].cutOff
			}
		}
		inTime, sent := s.countUsual()
		t.Logf("seed %d: %d of %d in time below the share, idle %s", seed, inTime, sent, s.idle)
		if inTime*100 < sent*99 {
			t.Errorf("seed %d: %d of %d requests of teams below their share were served in time, want 99 in 100", seed, inTime, sent)
		}
		if s.idle > 2*simTick {
			t.Errorf("seed %d: slots were idle beside waiting requests for %s", seed, s.idle)
		}
	}
}
