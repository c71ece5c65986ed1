package share

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Scheduler keeps the virtual times of the teams that compete for one capacity. A team's
// virtual time advances by cost / weight with each start, and the waiting team with the
// least virtual time goes first. It is not safe for concurrent use.
type Scheduler struct {
	teams   map[string]*Team
	waiting []*Team // those with waiting requests; in no order
	// virtual is the largest virtual time that all waiting teams had reached at a start. A
	// team that becomes busy again starts there, so that idle time earns nothing. The
	// virtual time of the request that starts would be too late: an overdue one gets its
	// turn although its team is ahead of others.
	virtual     float64
	contendedAt time.Time // when requests last waited after a pass over the queue
	expiredAt   time.Time
}

// Team is a team's state in a Scheduler.
type Team struct {
	name     string
	weight   float64
	virtual  float64
	waiting  int // requests
	position int // among the waiting teams
	lastUsed time.Time
	started  recentCount
	unread   float64 // cost of the starts since the last Usage
}

// NewScheduler returns a Scheduler without teams.
func NewScheduler() *Scheduler { return &Scheduler{teams: make(map[string]*Team)} }

// Lifetime is how long a team that is not used is remembered. A team whose virtual time is
// ahead would otherwise lose the record of what it has used by a short pause.
const Lifetime = 10 * time.Second

// expiryInterval is how often unused teams are looked for.
const expiryInterval = time.Second

// Team returns the state of a team and sets its weight. A weight that is not positive
// counts as 1.
func (s *Scheduler) Team(now time.Time, name string, weight float64) *Team {
	s.expire(now)
	t := s.teams[name]
	if t == nil {
		t = &Team{name: name, virtual: s.virtual}
		s.teams[name] = t
	}
	t.lastUsed = now
	t.weight = weight
	if !(weight > 0) {
		t.weight = 1
	}
	return t
}

// expire forgets the teams that have not been used for Lifetime.
func (s *Scheduler) expire(now time.Time) {
	if now.Sub(s.expiredAt) < expiryInterval {
		return
	}
	s.expiredAt = now
	maps.DeleteFunc(s.teams, func(_ string, t *Team) bool {
		return t.waiting == 0 && now.Sub(t.lastUsed) > Lifetime
	})
}

// Enter records that a request of the team waits.
func (s *Scheduler) Enter(t *Team) {
	if t.waiting == 0 {
		t.virtual = max(t.virtual, s.virtual)
		t.position = len(s.waiting)
		s.waiting = append(s.waiting, t)
	}
	t.waiting++
}

// Leave records that a waiting request of the team has started or ended.
func (s *Scheduler) Leave(t *Team) {
	t.waiting--
	if t.waiting > 0 {
		return
	}
	last := s.waiting[len(s.waiting)-1]
	s.waiting[t.position], last.position = last, t.position
	s.waiting = s.waiting[:len(s.waiting)-1]
}

// Start charges the team for a request that starts now.
func (s *Scheduler) Start(now time.Time, t *Team, cost float64) {
	t.lastUsed = now
	t.started.add(now)
	s.virtual = max(s.virtual, s.least(t))
	t.virtual += t.step(cost)
	t.unread += Cost(cost)
}

// Charge charges a team for requests that other gates have started. A team that has not been
// used here lately is not charged: it starts anew when it becomes busy.
func (s *Scheduler) Charge(name string, cost float64) {
	if t := s.teams[name]; t != nil && cost > 0 {
		t.virtual += cost / t.weight
	}
}

// Known reports whether the team has been used lately.
func (s *Scheduler) Known(name string) bool { return s.teams[name] != nil }

// Contended records that requests wait although a pass over the queue has started what it
// could.
func (s *Scheduler) Contended(now time.Time) { s.contendedAt = now }

// contentionMemory is how long after requests have waited a gate reports its usage.
const contentionMemory = time.Second

// Usage returns what was started for each team since the last call, and which teams wait.
// While no requests wait, there is nothing to share, and the starts are not reported. Those
// of requests without a team never are: at a site without teams, all gates would send them
// to one owner.
func (s *Scheduler) Usage(now time.Time, service string) []Usage {
	contended := len(s.waiting) > 0 || now.Sub(s.contendedAt) < contentionMemory
	var list []Usage
	for _, t := range s.teams {
		if contended && t.name != "" && (t.unread > 0 || t.waiting > 0) {
			list = append(list, Usage{Key: Key{Service: service, Team: t.name}, Started: t.unread, Waiting: t.waiting > 0})
		}
		t.unread = 0
	}
	slices.SortFunc(list, func(a, b Usage) int { return cmp.Compare(a.Team, b.Team) })
	return list
}

// step returns by how much a start of the given cost advances the virtual time.
func (t *Team) step(cost float64) float64 { return Cost(cost) / t.weight }

// Cost returns the cost of a request, which is 1 if it is not known.
func Cost(cost float64) float64 {
	if !(cost > 0) {
		return 1
	}
	return cost
}

// Name returns the team's name.
func (t *Team) Name() string { return t.name }

// Weight returns the team's weight.
func (t *Team) Weight() float64 { return t.weight }

// Virtual returns the team's virtual time.
func (t *Team) Virtual() float64 { return t.virtual }

// Waiting returns the number of the team's waiting requests.
func (t *Team) Waiting() int { return t.waiting }

// After returns the virtual time that follows a start of the given cost at virtual time at.
func (t *Team) After(at, cost float64) float64 { return at + t.step(cost) }

// Lead returns how far the team's virtual time is ahead of the least one of the teams that
// wait, and how many teams wait.
func (s *Scheduler) Lead(t *Team) (lead float64, teams int) {
	return t.virtual - s.least(t), len(s.waiting)
}

// least returns the least virtual time of the team and those that wait.
func (s *Scheduler) least(t *Team) float64 {
	least := t.virtual
	for _, other := range s.waiting {
		least = min(least, other.virtual)
	}
	return least
}

// WaitingTeams returns the number of teams with waiting requests.
func (s *Scheduler) WaitingTeams() int { return len(s.waiting) }

// Status is the share of a team at a gate.
type Status struct {
	Team    string
	Weight  float64
	Waiting int     // requests
	Started int     // requests started in the last startedWindow
	Lead    float64 // of its virtual time to the least one of the teams that wait
}

// Statuses lists the teams by name.
func (s *Scheduler) Statuses(now time.Time) []Status {
	list := make([]Status, 0, len(s.teams))
	for _, t := range s.teams {
		lead, _ := s.Lead(t)
		list = append(list, Status{Team: t.name, Weight: t.weight, Waiting: t.waiting, Started: t.started.count(now), Lead: lead})
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Team, b.Team) })
	return list
}

// startedWindow is the time over which starts are counted for operators.
const startedWindow = 10

// recentCount counts events of the last startedWindow seconds.
type recentCount struct {
	seconds [startedWindow]int
	newest  int64
}

func (c *recentCount) advance(now time.Time) {
	for passed := min(startedWindow, now.Unix()-c.newest); passed > 0; passed-- {
		c.seconds[(now.Unix()-passed+1)%startedWindow] = 0
	}
	c.newest = max(c.newest, now.Unix())
}

func (c *recentCount) add(now time.Time) {
	c.advance(now)
	c.seconds[c.newest%startedWindow]++
}

func (c *recentCount) count(now time.Time) int {
	c.advance(now)
	total := 0
	for _, n := range c.seconds {
		total += n
	}
	return total
}

// StartOf returns the virtual time at which a team that becomes busy now would start.
func (s *Scheduler) StartOf(t *Team) float64 {
	if t.waiting > 0 {
		return t.virtual
	}
	return max(t.virtual, s.virtual)
}
