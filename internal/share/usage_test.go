package share_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slateway.example/slateway/internal/rendezvous"
	"slateway.example/slateway/internal/share"
)

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
			s.gates[gate].losesAnswers = true
			run(60)
			s.gates[gate].losesAnswers = false
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
