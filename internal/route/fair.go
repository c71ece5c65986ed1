package route

import (
	"cmp"
	"slices"
	"time"

	"slateway.example/slateway/internal/share"
)

// Share is what decides in which order the requests of different teams start while
// capacity is scarce.
type Share struct {
	// Team is the team whose share the request uses; empty: the share of all requests
	// without a team.
	Team   string  `json:"team,omitempty"`
	Weight float64 `json:"weight,omitempty"` // of the team; 0: 1
	Cost   float64 `json:"cost,omitempty"`   // of the request, in tokens; 0: 1
}

// fairOrder keeps the requests of a queue by group and team. A group is the requests of one
// urgency and one priority; in it, the first request of the team with the least virtual
// time starts next.
type fairOrder struct {
	scheduler *share.Scheduler
	groups    []*fairGroup // in order of start
	cursors   [2][]cursor  // buffers of the passes: in time, overdue
}

// fairGroup holds the waiting requests of one urgency and priority.
type fairGroup struct {
	urgency, priority int
	teams             []*teamQueue // those with requests; in no order
	requests          int
}

// teamQueue holds a team's requests of one group, in order of compareUrgency.
type teamQueue struct {
	team     *share.Team
	group    *fairGroup
	requests []*request
	cost     float64 // of the requests
}

func (f *fairOrder) groupOf(r *request) *fairGroup {
	i, found := slices.BinarySearchFunc(f.groups, r, func(g *fairGroup, r *request) int {
		return cmp.Or(cmp.Compare(g.urgency, r.urgency()), cmp.Compare(g.priority, r.Priority))
	})
	if !found {
		f.groups = slices.Insert(f.groups, i, &fairGroup{urgency: r.urgency(), priority: r.Priority})
	}
	return f.groups[i]
}

func (g *fairGroup) queueOf(team *share.Team) *teamQueue {
	for _, t := range g.teams {
		if t.team == team {
			return t
		}
	}
	t := &teamQueue{team: team, group: g}
	g.teams = append(g.teams, t)
	return t
}

// push adds a request. The caller has set its team and counts it as waiting.
func (f *fairOrder) push(r *request) {
	g := f.groupOf(r)
	t := g.queueOf(r.shareTeam)
	t.requests = insertByUrgency(t.requests, r)
	t.cost += share.Cost(r.Share.Cost)
	g.requests++
	r.teamQueue = t
}

func (f *fairOrder) remove(r *request) {
	t := r.teamQueue
	r.teamQueue = nil
	t.requests = slices.Delete(t.requests, slices.Index(t.requests, r), slices.Index(t.requests, r)+1)
	t.cost -= share.Cost(r.Share.Cost)
	g := t.group
	g.requests--
	if len(t.requests) == 0 {
		i := slices.Index(g.teams, t)
		g.teams[i] = g.teams[len(g.teams)-1]
		g.teams = g.teams[:len(g.teams)-1]
	}
	if g.requests == 0 {
		f.groups = slices.Delete(f.groups, slices.Index(f.groups, g), slices.Index(f.groups, g)+1)
	}
}

// cursor is a position in a team's requests during a pass, with the virtual time that the
// team has there if the requests before it start.
type cursor struct {
	queue   *teamQueue
	next    int
	virtual float64
}

func (c *cursor) request() *request { return c.queue.requests[c.next] }

// precedes orders cursors by virtual time, then by their next request.
func (c *cursor) precedes(other *cursor) bool {
	if c.virtual != other.virtual {
		return c.virtual < other.virtual
	}
	if order := compareUrgency(c.request(), other.request()); order != 0 {
		return order < 0
	}
	return c.queue.team.Name() < other.queue.team.Name()
}

// pass visits the requests of some groups in order of start. Requests may be removed only
// by started.
type pass struct {
	groups []*fairGroup
	opened bool      // the heap is of the first group
	heap   []cursor  // by precedes
	buffer *[]cursor // for the heap
}

// newPass returns a pass over the groups that are overdue, or over those that are not.
func (f *fairOrder) newPass(overdue bool) pass {
	split := len(f.groups)
	for i, g := range f.groups {
		if g.urgency == urgencyOverdue {
			split = i
			break
		}
	}
	if overdue {
		return pass{groups: slices.Clone(f.groups[split:]), buffer: &f.cursors[1]}
	}
	return pass{groups: slices.Clone(f.groups[:split]), buffer: &f.cursors[0]}
}

// next returns the next request, or nil if there is none.
func (p *pass) next() *request {
	for len(p.heap) == 0 {
		if p.opened {
			p.groups = p.groups[1:]
		}
		if p.opened = len(p.groups) > 0; !p.opened {
			return nil
		}
		p.heap = (*p.buffer)[:0]
		for _, t := range p.groups[0].teams {
			p.heap = append(p.heap, cursor{queue: t, virtual: t.team.Virtual()})
		}
		*p.buffer = p.heap
		for i := len(p.heap)/2 - 1; i >= 0; i-- {
			p.siftDown(i)
		}
	}
	return p.heap[0].request()
}

// skip goes to the request after next's, as if that one had started.
func (p *pass) skip() {
	c := &p.heap[0]
	c.virtual = c.queue.team.After(c.virtual, c.request().Share.Cost)
	c.next++
	p.settle()
}

// end ends the pass.
func (p *pass) end() { p.groups, p.heap, p.opened = nil, nil, false }

// started goes on after next's request has started and has been removed from the order.
func (p *pass) started() {
	c := &p.heap[0]
	c.virtual = max(c.virtual, c.queue.team.Virtual())
	p.settle()
}

func (p *pass) settle() {
	if c := &p.heap[0]; c.next >= len(c.queue.requests) {
		last := len(p.heap) - 1
		p.heap[0] = p.heap[last]
		p.heap = p.heap[:last]
	}
	p.siftDown(0)
}

func (p *pass) siftDown(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(p.heap); child++ {
			if p.heap[child].precedes(&p.heap[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		p.heap[i], p.heap[least] = p.heap[least], p.heap[i]
		i = least
	}
}

// overdueInOrder returns the overdue requests in order of start.
func (f *fairOrder) overdueInOrder() []*request {
	var list []*request
	for p := f.newPass(true); p.next() != nil; p.skip() {
		list = append(list, p.heap[0].request())
	}
	return list
}

// summarizeOverdue returns the number of overdue requests and the earliest of their deadlines.
func (f *fairOrder) summarizeOverdue() (count int, earliest time.Time) {
	for _, g := range f.groups {
		if g.urgency != urgencyOverdue {
			continue
		}
		count += g.requests
		for _, t := range g.teams {
			if first := t.requests[0].Deadline; earliest.IsZero() || first.Before(earliest) {
				earliest = first
			}
		}
	}
	return count, earliest
}

// countAhead estimates how many waiting requests start before a new request of the team.
// All requests of the team count. Of other teams' requests, those of groups that start
// earlier count, those of the request's own group whose virtual time comes first, and the
// overdue ones that get a turn in between.
func (f *fairOrder) countAhead(r *request, team *share.Team) int {
	own, others, overdue := 0, 0, 0
	var before *teamQueue // the team's requests in the group of r
	for _, g := range f.groups {
		for _, t := range g.teams {
			if t.team == team {
				own += len(t.requests)
				if g.urgency == r.urgency() && g.priority == r.Priority {
					before = t
				}
			}
		}
	}
	virtual := f.scheduler.StartOf(team)
	if before != nil {
		virtual = team.After(virtual, before.cost)
	}
	for _, g := range f.groups {
		order := cmp.Or(cmp.Compare(g.urgency, r.urgency()), cmp.Compare(g.priority, r.Priority))
		for _, t := range g.teams {
			switch {
			case t.team == team:
			case order < 0:
				others += len(t.requests)
			case order == 0:
				others += t.countBefore(virtual)
			case g.urgency == urgencyOverdue && !r.overdue:
				overdue += len(t.requests)
			}
		}
	}
	return own + others + min(overdue, (own+others)/(overdueTurn-1))
}

// countBefore estimates how many requests of the team start before the given virtual time,
// from the mean of their costs.
func (t *teamQueue) countBefore(virtual float64) int {
	lag := virtual - t.team.Virtual()
	if lag < 0 {
		return 0
	}
	mean := t.team.After(0, t.cost/float64(len(t.requests)))
	if lag >= mean*float64(len(t.requests)) {
		return len(t.requests)
	}
	return min(len(t.requests), int(lag/mean)+1)
}

// displaced returns the request that gives up its place in a full queue to a new request
// of the team, or nil if no other team uses more of the queue by weight. It is the last
// request of the team that uses most.
func (q *waitQueue) displaced(team *share.Team) *request {
	most, use := team, 0.0
	for _, r := range q.list {
		if u := float64(r.shareTeam.Waiting()) / r.shareTeam.Weight(); u > use || u == use && r.shareTeam.Name() < most.Name() {
			most, use = r.shareTeam, u
		}
	}
	if most == team || use <= float64(team.Waiting()+1)/team.Weight() {
		return nil
	}
	for _, r := range slices.Backward(q.list) {
		if r.shareTeam == most && !r.delivered {
			return r
		}
	}
	return nil
}

// dispatchShare returns the state of the team's share for the log of an attempt.
func (s *Shard) dispatchShare(req *request) DispatchShare {
	if req.shareTeam == nil {
		return DispatchShare{}
	}
	lead, teams := s.onlineQueue.fair.scheduler.Lead(req.shareTeam)
	return DispatchShare{Team: req.Share.Team, Lead: lead, TeamsWaiting: teams}
}

func (in ShareCharged) apply(s *Shard) { s.onlineQueue.fair.scheduler.Charge(in.Team, in.Cost) }

// SharesWith reports whether a team has used this shard lately.
func (s *Shard) SharesWith(team string) bool { return s.onlineQueue.fair.scheduler.Known(team) }

// ShareUsage returns what was started since the last call for the teams of this shard, while
// requests wait.
func (s *Shard) ShareUsage(now time.Time, service string) []share.Usage {
	return s.onlineQueue.fair.scheduler.Usage(now, service)
}

// ShareStatuses lists the shares of teams in this shard.
func (s *Shard) ShareStatuses(now time.Time) []share.Status {
	return s.onlineQueue.fair.scheduler.Statuses(now)
}
