package share_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"slateway.example/slateway/internal/rendezvous"
	"slateway.example/slateway/internal/share"
)

const reportInterval = 200 * time.Millisecond

// usageSim simulates gates that report their usage to the owners of teams over a network that
// loses, repeats and reorders datagrams.
type usageSim struct {
	now      time.Time
	random   *rand.Rand
	gates    []*simGate
	inFlight []datagram
	used     map[share.Key]map[string]float64 // by process
	charged  map[share.Key]map[string]float64 // by process
	loss     float64
	delay    time.Duration // the longest
}

type simGate struct {
	vm, process  string
	reporter     *share.Reporter
	collector    *share.Collector
	view         []string // gates that this one considers live
	frozen, dead bool
	cutOff       bool
	losesAnswers bool // answers to it are lost
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
		s.inFlight = append(s.inFlight, datagram{at: at, from: from, to: to, process: s.gates[from].process, answer: answer, counters: slices.Clone(counters)})
	}
}

// pass lets time pass and delivers what arrives.
func (s *usageSim) pass(d time.Duration) {
	end := s.now.Add(d)
	for {
		next := -1
		for i, f := range s.inFlight {
			if !f.at.After(end) && (next < 0 || f.at.Before(s.inFlight[next].at)) {
				next = i
			}
		}
		if next < 0 {
			s.now = end
			return
		}
		f := s.inFlight[next]
		s.inFlight = slices.Delete(s.inFlight, next, next+1)
		s.now = f.at
		s.deliver(f)
	}
}

func (s *usageSim) deliver(f datagram) {
	g := s.gates[f.to]
	switch {
	case g.dead, g.losesAnswers && f.answer:
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
