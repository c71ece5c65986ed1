package share_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slateway.example/slateway/internal/rendezvous"
	"slateway.example/slateway/internal/share"
)

const reportInterval = 200 * time.Millisecond

// usageSim simulates gates that report their usage to the owners of teams over a network that
// loses, repeats and reorders datagrams.
type usageSim struct {
	now     time.Time
	random  *rand.Rand
	gates   []*simGate
	flying  []datagram
	used    map[share.Key]map[string]float64 // by process
	charged map[share.Key]map[string]float64 // by process
	loss    float64
	delay   time.Duration // the longest
}

type simGate struct {
	vm, process  string
	reporter     *share.Reporter
	collector    *share.Collector
	view         []string // gates that this one believes to be alive
	frozen, dead bool
	cutOff       bool
	deaf         bool // answers to it are lost
	pending      []share.Usage
	held         []datagram // arrived while it was frozen
}

type datagram struct {
	at       time.Time
	from, to int
	process  string // of the sender
	answer   bool
	counters []share.Counter
}

func newUsageSim(gates int, seed uint64) *usageSim {
	s := &usageSim{
		now: start, random: rand.New(rand.NewPCG(seed, 4)),
		used: map[share.Key]map[string]float64{}, charged: map[share.Key]map[string]float64{}, delay: 5 * time.Millisecond,
	}
	for i := range gates {
		s.gates = append(s.gates, &simGate{vm: fmt.Sprint("gate-", i)})
		s.startGate(i)
	}
	for i := range gates {
		s.refreshView(i)
	}
	return s
}

func (s *usageSim) startGate(i int) {
	g := s.gates[i]
	*g = simGate{vm: g.vm, process: fmt.Sprint(g.vm, "/", s.now.UnixNano()), reporter: share.NewReporter(), collector: share.NewCollector(), view: g.view}
}

func (s *usageSim) refreshView(i int) {
	s.gates[i].view = nil
	for _, g := range s.gates {
		if !g.dead && !g.frozen {
			s.gates[i].view = append(s.gates[i].view, g.vm)
		}
	}
}

func add(sums map[share.Key]map[string]float64, key share.Key, process string, cost float64) {
	if sums[key] == nil {
		sums[key] = map[string]float64{}
	}
	sums[key][process] += cost
}

// use lets a gate start requests of a team.
func (s *usageSim) use(i int, key share.Key, cost float64) {
	g := s.gates[i]
	if g.dead || g.frozen {
		return
	}
	add(s.used, key, g.process, cost)
	g.pending = append(g.pending, share.Usage{Key: key, Started: cost, Waiting: true})
}

// report lets a gate report what it has started since the last time.
func (s *usageSim) report(i int) {
	g := s.gates[i]
	if g.dead || g.frozen {
		return
	}
	reports := g.reporter.Reports(s.now, g.pending, func(team string) string {
		owner, _ := rendezvous.BestTwo(team, g.view)
		return owner
	})
	g.pending = nil
	for _, r := range reports {
		g.reporter.Sent(r.Owner)
		s.send(i, s.index(r.Owner), false, r.Counters)
	}
}

func (s *usageSim) index(vm string) int {
	return slices.IndexFunc(s.gates, func(g *simGate) bool { return g.vm == vm })
}

func (s *usageSim) send(from, to int, answer bool, counters []share.Counter) {
	copies := 1
	if s.random.Float64() < s.loss/2 {
		copies = 2
	}
	for range copies {
		if from != to && (s.random.Float64() < s.loss || s.gates[from].cutOff || s.gates[to].cutOff) {
			continue
		}
		at := s.now.Add(time.Duration(s.random.Int64N(int64(s.delay))))
		s.flying = append(s.flying, datagram{at: at, from: from, to: to, process: s.gates[from].process, answer: answer, counters: slices.Clone(counters)})
	}
}

// pass lets time pass and delivers what arrives.
func (s *usageSim) pass(d time.Duration) {
	end := s.now.Add(d)
	for {
		next := -1
		for i, f := range s.flying {
			if !f.at.After(end) && (next < 0 || f.at.Before(s.flying[next].at)) {
				next = i
			}
		}
		if next < 0 {
			s.now = end
			return
		}
		f := s.flying[next]
		s.flying = slices.Delete(s.flying, next, next+1)
		s.now = f.at
		s.deliver(f)
	}
}

func (s *usageSim) deliver(f datagram) {
	g := s.gates[f.to]
	switch {
	case g.dead, g.deaf && f.answer:
	case g.frozen:
		g.held = append(g.held, f)
	case f.answer:
		for _, c := range g.reporter.Answered(s.now, s.gates[f.from].vm, f.process, f.counters) {
			add(s.charged, c.Key, g.process, c.Cost)
		}
	default:
		s.send(f.to, f.from, true, g.collector.Reported(s.now, f.process, f.counters))
	}
}

func (s *usageSim) thaw(i int) {
	g := s.gates[i]
	g.frozen = false
	held := g.held
	g.held = nil
	for _, f := range held {
		s.deliver(f)
	}
}

// usedByOthers returns what all processes but one have used.
func (s *usageSim) usedByOthers(key share.Key, process string) float64 {
	total := 0.0
	for other, cost := range s.used[key] {
		if other != process {
			total += cost
		}
	}
	return total
}

var simKeys = []share.Key{{Service: "wordroom", Team: "council"}, {Service: "wordroom", Team: "parish"}, {Service: "plates", Team: "council"}}

// No team may be charged twice for a request or for its own, whatever datagrams are lost,
// repeated or late, and whichever gates die, freeze, restart, are cut off or see other gates
// than the rest.
func TestNoUsageIsChargedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newUsageSim(rapid.IntRange(2, 6).Draw(t, "gates"), rapid.Uint64().Draw(t, "seed"))
		s.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
		s.delay = time.Duration(rapid.IntRange(1, 2000).Draw(t, "delay")) * time.Millisecond
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, len(s.gates)-1).Draw(t, "gate")
			g := s.gates[i]
			switch step := rapid.IntRange(0, 39).Draw(t, "step"); {
			case step < 16:
				s.use(i, rapid.SampledFrom(simKeys).Draw(t, "key"), float64(rapid.IntRange(1, 100).Draw(t, "cost")))
			case step < 28:
				s.report(i)
			case step < 31:
				s.refreshView(i)
			case step == 31:
				s.pass(share.Lifetime + time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause"))*time.Millisecond)
			case step < 34:
				g.dead = true
			case step < 36:
				s.startGate(i)
				s.refreshView(i)
			case step == 36:
				g.cutOff = !g.cutOff
			case step == 37:
				g.frozen = !g.dead
			default:
				s.thaw(i)
			}
			s.pass(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			for key, byProcess := range s.charged {
				for process, charged := range byProcess {
					if most := s.usedByOthers(key, process); charged > most+1e-6 {
						t.Fatalf("%s charged %s for %g, but the others used %g", process, key.Team, charged, most)
					}
				}
			}
		}
	})
}

// After a calm time, in which everything was charged, no disturbance may charge any of it
// again.
func TestThePastIsNotChargedAgain(t *testing.T) {
	key := simKeys[0]
	for name, disturb := range map[string]func(s *usageSim, owner, gate int, run func(rounds int)){
		"answers lost until they are forgotten": func(s *usageSim, _, gate int, run func(int)) {
			s.gates[gate].deaf = true
			run(60)
			s.gates[gate].deaf = false
		},
		"a gate pauses until the owner has forgotten it": func(s *usageSim, _, gate int, run func(int)) {
			s.gates[gate].cutOff = true
			run(60)
			s.gates[gate].cutOff = false
		},
		"the owner restarts in place": func(s *usageSim, owner, _ int, _ func(int)) { s.startGate(owner) },
		"the owner freezes": func(s *usageSim, owner, _ int, run func(int)) {
			s.gates[owner].frozen = true
			run(20)
			s.thaw(owner)
		},
		"a gate restarts": func(s *usageSim, _, gate int, _ func(int)) { s.startGate(gate) },
		"a gate sees another owner for a while": func(s *usageSim, owner, gate int, run func(int)) {
			s.gates[gate].view = []string{s.gates[gate].vm}
			run(10)
			s.refreshView(gate)
		},
		"a busy pause": func(s *usageSim, _, _ int, _ func(int)) { s.pass(share.Lifetime + time.Second) },
	} {
		s := newUsageSim(4, 1)
		run := func(rounds int) {
			for range rounds {
				for i := range s.gates {
					s.use(i, key, 10)
					s.report(i)
				}
				s.pass(reportInterval)
			}
		}
		run(200)
		vm, _ := rendezvous.BestTwo(key.Team, s.gates[0].view)
		owner := s.index(vm)
		disturb(s, owner, (owner+1)%4, run)
		run(10)
		for _, g := range s.gates {
			used, charged := s.usedByOthers(key, g.process), s.charged[key][g.process]
			if charged > used {
				t.Errorf("%s: %s charged %g of %g", name, g.vm, charged, used)
			}
		}
	}
}

// A late answer from before the owner forgot a gate must not be charged.
func TestLateAnswersChargeNothing(t *testing.T) {
	r := share.NewReporter()
	answer := func(generation uint64, cost float64) float64 {
		sum := 0.0
		for _, c := range r.Answered(start, "gate-1", "gate-1/1", []share.Counter{{Key: simKeys[0], Generation: generation, Cost: cost}}) {
			sum += c.Cost
		}
		return sum
	}
	for i, c := range []struct {
		generation uint64
		cost, want float64
	}{{1, 100, 0}, {1, 150, 50}, {1, 120, 0}, {1, 150, 0}, {2, 30, 30}, {1, 400, 0}, {2, 31, 1}} {
		if got := answer(c.generation, c.cost); got != c.want {
			t.Errorf("answer %d, %+v, charged %g", i, c, got)
		}
	}
}

// Lost, repeated and late datagrams must be made good by the next ones.
func TestUsageOfOthersIsCharged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newUsageSim(rapid.IntRange(2, 8).Draw(t, "gates"), rapid.Uint64().Draw(t, "seed"))
		s.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		key, rounds := simKeys[0], 50
		for round := range rounds + 4 {
			if round == rounds {
				s.loss = 0
			}
			for i := range s.gates {
				if round < rounds {
					s.use(i, key, 10)
				} else {
					s.gates[i].pending = []share.Usage{{Key: key, Waiting: true}}
				}
				s.report(i)
			}
			s.pass(reportInterval)
		}
		// What is reported before a gate's first answer arrives is not charged.
		for _, g := range s.gates {
			used, charged := s.usedByOthers(key, g.process), s.charged[key][g.process]
			if charged < used*0.6 || s.loss == 0 && charged > used {
				t.Fatalf("%s charged %g of %g", g.vm, charged, used)
			}
		}
	})
}

// The first seconds of a new owner must not charge the whole past again, and an owner that
// does not answer must be noticed.
func TestANewOwnerBeginsEmpty(t *testing.T) {
	s := newUsageSim(4, 1)
	key := simKeys[0]
	run := func(rounds int) {
		for range rounds {
			for i := range s.gates {
				s.use(i, key, 10)
				s.report(i)
			}
			s.pass(reportInterval)
		}
	}
	run(50)
	owner, _ := rendezvous.BestTwo(key.Team, s.gates[0].view)
	dead := s.gates[s.index(owner)]
	other := s.gates[(s.index(owner)+1)%4]
	before := s.charged[key][other.process]
	dead.dead = true
	run(2)
	if !other.reporter.Sent(owner) {
		t.Error("the missing answer of the dead owner was not noticed")
	}
	for i := range s.gates {
		s.refreshView(i)
	}
	run(10)
	got := s.charged[key][other.process] - before
	if got < 20*7 || got > 20*12 {
		t.Errorf("charged %g in 12 rounds after the owner's death, in 10 of which the others used 20 each", got)
	}
}

// A gate that sees thousands of teams must report the busiest ones only, and make good later
// what it left out.
func TestTheBusiestTeamsAreReported(t *testing.T) {
	r := share.NewReporter()
	used := make([]share.Usage, 4200)
	for i := range used {
		used[i] = share.Usage{Key: share.Key{Service: "wordroom", Team: fmt.Sprint("team-", i)}, Started: float64(i), Waiting: true}
	}
	ownerOf := func(team string) string { return "gate-" + team[len(team)-1:] }
	reports := r.Reports(start, used, ownerOf)
	count := 0
	for _, report := range reports {
		for _, c := range report.Counters {
			count++
			if c.Cost < 4200-share.MaxReported {
				t.Errorf("%+v is not among the busiest", c)
			}
		}
	}
	if count != share.MaxReported {
		t.Errorf("%d teams reported, want %d", count, share.MaxReported)
	}
	for i := range used {
		used[i].Started = 0
	}
	for _, report := range r.Reports(start.Add(reportInterval), used, ownerOf) {
		for _, c := range report.Counters {
			if c.Cost < 4200-2*share.MaxReported || c.Cost >= 4200-share.MaxReported {
				t.Errorf("the next report has %+v, want those that were left out", c)
			}
		}
	}
}

// A reporter must not remember for ever the owners that vanished before they answered.
func TestOwnersThatVanishedAreForgotten(t *testing.T) {
	r := share.NewReporter()
	used := []share.Usage{{Key: simKeys[0], Started: 1}}
	r.Reports(start, used, func(string) string { return "gate-1" })
	r.Sent("gate-1")
	later := start.Add(share.Lifetime + time.Second)
	r.Reports(later, used, func(string) string { return "gate-2" })
	if r.Sent("gate-1") {
		t.Error("an owner of no team is remembered")
	}
	if r.Sent("gate-2") || !r.Sent("gate-2") {
		t.Error("the owner in use is not remembered")
	}
	r.Reports(later.Add(2*time.Second), used, func(string) string { return "gate-2" })
	if !r.Sent("gate-2") {
		t.Error("the owner in use was forgotten")
	}
}
