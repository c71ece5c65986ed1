package share

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Key names what a team uses of one service.
type Key struct{ Service, Team string }

// Usage is what a gate has started for a team since its last Usage.
type Usage struct {
	Key
	Started float64 // cost
	Waiting bool    // requests of the team wait
}

// Counter is a cumulative cost on the wire. It counts from the start of its generation, and
// generations of the same sender and key only grow, so that the next counter makes good a
// lost one and a repeated or late one changes nothing.
type Counter struct {
	Key
	Generation uint64
	Cost       float64
}

// MaxReported is the number of teams that a gate reports. It bounds the messages of a gate
// that sees thousands of teams; the busiest teams have the largest effect on the others.
const MaxReported = 64

// Reporter decides what a gate tells the owners of its teams, and what it charges by their
// answers. It is not safe for concurrent use.
type Reporter struct {
	generation uint64 // the last one in use
	own        map[Key]*ownUsage
	charged    map[answerKey]*answered
	unanswered map[string]bool // owners that have not answered the last report
	expiredAt  time.Time
}

// ownUsage is what this gate has started for a team.
type ownUsage struct {
	owner      string // the gate to which it is reported
	generation uint64
	cost       float64 // since the generation began
	recent     float64 // since the last report
	usedAt     time.Time
}

// answerKey names the answers of one process of an owner about one key.
type answerKey struct {
	process string
	key     Key
}

type answered struct {
	generation uint64
	cost       float64
	at         time.Time
}

// NewReporter creates a Reporter of a gate's process.
func NewReporter() *Reporter {
	return &Reporter{own: make(map[Key]*ownUsage), charged: make(map[answerKey]*answered), unanswered: make(map[string]bool)}
}

// Report is what a gate tells one owner.
type Report struct {
	Owner    string
	Counters []Counter
}

// Reports adds the usage of the teams for which requests have waited or started, and returns
// what to send now, in order of the owners. ownerOf returns the owner of a team, or "".
func (r *Reporter) Reports(now time.Time, used []Usage, ownerOf func(team string) string) []Report {
	r.expire(now)
	var busy []Key
	for _, u := range used {
		o := r.ownUsage(u.Key, ownerOf(u.Team))
		o.cost += u.Started
		o.recent += u.Started
		o.usedAt = now
		if o.owner != "" && (o.recent > 0 || u.Waiting) {
			busy = append(busy, u.Key)
		}
	}
	slices.SortFunc(busy, func(a, b Key) int {
		return cmp.Or(cmp.Compare(r.own[b].recent, r.own[a].recent), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Service, b.Service))
	})
	byOwner := make(map[string][]Counter)
	for _, key := range busy[:min(len(busy), MaxReported)] {
		o := r.own[key]
		o.recent = 0
		byOwner[o.owner] = append(byOwner[o.owner], Counter{Key: key, Generation: o.generation, Cost: o.cost})
	}
	var reports []Report
	for _, owner := range slices.Sorted(maps.Keys(byOwner)) {
		reports = append(reports, Report{Owner: owner, Counters: byOwner[owner]})
	}
	return reports
}

// ownUsage returns the usage of a key. A change of the owner begins a new generation: what
// the former owner has counted must not count again at a later one.
func (r *Reporter) ownUsage(key Key, owner string) *ownUsage {
	o := r.own[key]
	if o == nil || o.owner != owner {
		r.generation++
		o = &ownUsage{owner: owner, generation: r.generation}
		r.own[key] = o
	}
	return o
}

// Sent records that a report is sent to an owner, and returns whether the one before it got
// no answer.
func (r *Reporter) Sent(owner string) (unanswered bool) {
	unanswered = r.unanswered[owner]
	r.unanswered[owner] = true
	return unanswered
}

// Charge is what other gates have started for a team.
type Charge struct {
	Key
	Cost float64
}

// Answered handles the answer of a process of an owner and returns what to charge. The first
// answer of a process about a key charges nothing: an earlier one may have been charged and
// forgotten.
func (r *Reporter) Answered(now time.Time, owner, process string, counters []Counter) []Charge {
	delete(r.unanswered, owner)
	var charges []Charge
	for _, c := range counters {
		key := answerKey{process: process, key: c.Key}
		last := r.charged[key]
		if last == nil {
			r.charged[key] = &answered{generation: c.Generation, cost: c.Cost, at: now}
			continue
		}
		last.at = now
		var cost float64
		switch {
		case c.Generation > last.generation: // the owner had forgotten this gate and counts anew
			cost = c.Cost
		case c.Generation == last.generation && c.Cost > last.cost:
			cost = c.Cost - last.cost
		default:
			continue
		}
		last.generation, last.cost = c.Generation, c.Cost
		if cost > 0 {
			charges = append(charges, Charge{Key: c.Key, Cost: cost})
		}
	}
	return charges
}

// expire forgets what has not been used for Lifetime.
func (r *Reporter) expire(now time.Time) {
	if now.Sub(r.expiredAt) < expiryInterval {
		return
	}
	r.expiredAt = now
	maps.DeleteFunc(r.own, func(_ Key, o *ownUsage) bool { return now.Sub(o.usedAt) > Lifetime })
	owners := make(map[string]struct{})
	for _, o := range r.own {
		owners[o.owner] = struct{}{}
	}
	maps.DeleteFunc(r.unanswered, func(owner string, _ bool) bool {
		_, inUse := owners[owner]
		return !inUse
	})
	maps.DeleteFunc(r.charged, func(_ answerKey, a *answered) bool { return now.Sub(a.at) > Lifetime })
}

// Collector adds up what gates report of the teams that this gate owns. It is not safe for
// concurrent use.
type Collector struct {
	generation uint64 // the last one in use
	tallies    map[Key]*tally
	expiredAt  time.Time
}

// tally is what all gates have reported for a key.
type tally struct {
	total float64
	gates map[string]*reported // by process
}

// reported is what one process of a gate has reported for a key.
type reported struct {
	generation  uint64  // of the gate's counter
	cost        float64 // the gate's counter
	contributed float64 // to the total
	// answers counts the generations of the answers to this process; before is the total at
	// the start of that generation.
	answers uint64
	before  float64
	at      time.Time
}

// NewCollector creates the Collector of an owner's process.
func NewCollector() *Collector { return &Collector{tallies: make(map[Key]*tally)} }

// Reported adds the counters of a process of a gate and returns the answer: what all other
// processes have started since this one was first heard. The first counter of a process or of
// a generation adds nothing, because a former owner may have counted it.
func (c *Collector) Reported(now time.Time, process string, counters []Counter) []Counter {
	c.expire(now)
	answer := make([]Counter, 0, len(counters))
	for _, counter := range counters {
		t := c.tallies[counter.Key]
		if t == nil {
			t = &tally{gates: make(map[string]*reported)}
			c.tallies[counter.Key] = t
		}
		g := t.gates[process]
		if g == nil {
			c.generation++
			g = &reported{generation: counter.Generation, cost: counter.Cost, answers: c.generation, before: t.total}
			t.gates[process] = g
		}
		switch {
		case counter.Generation > g.generation:
			g.generation, g.cost = counter.Generation, counter.Cost
		case counter.Generation == g.generation && counter.Cost > g.cost:
			added := counter.Cost - g.cost
			t.total += added
			g.contributed += added
			g.cost = counter.Cost
		}
		g.at = now
		answer = append(answer, Counter{Key: counter.Key, Generation: g.answers, Cost: t.total - g.before - g.contributed})
	}
	return answer
}

// expire forgets processes that have reported nothing for Lifetime, and keys without any.
func (c *Collector) expire(now time.Time) {
	if now.Sub(c.expiredAt) < expiryInterval {
		return
	}
	c.expiredAt = now
	maps.DeleteFunc(c.tallies, func(_ Key, t *tally) bool {
		maps.DeleteFunc(t.gates, func(_ string, g *reported) bool { return now.Sub(g.at) > Lifetime })
		return len(t.gates) == 0
	})
}
