package route

import (
	"cmp"
	"slices"
	"time"
)

// waitQueue holds requests without an attempt in order of start: those with a partly
// delivered answer, those that can still meet their target, then overdue ones; in each
// group by priority, then due time. In order of deadline alone, callers after an outage of
// one second would miss their targets behind requests that already have. Those lose little
// by waiting longer, and overdueTurn keeps them from starving under sustained load.
//
// Within one urgency and priority, the queue of online requests serves teams by their
// shares; with one team, the order is that of the list.
type waitQueue struct {
	list []*request // in order of compareUrgency
	fair *fairOrder // of online requests; nil: shares do not count
	// startsSinceOverdue counts the starts since the last one of an overdue request.
	startsSinceOverdue int
}

// overdueTurn gives overdue requests one start in this many while both kinds wait. This
// keeps their wait below their deadline and hardly delays the others.
const overdueTurn = 4

func (q *waitQueue) len() int { return len(q.list) }

func (q *waitQueue) push(r *request) {
	if q.fair != nil {
		q.fair.scheduler.Enter(r.shareTeam)
	}
	q.insert(r)
}

func (q *waitQueue) insert(r *request) {
	q.list = insertByUrgency(q.list, r)
	if q.fair != nil {
		q.fair.push(r)
	}
}

// insertByUrgency inserts a request into a list in order of compareUrgency, after its
// equals.
func insertByUrgency(list []*request, r *request) []*request {
	i, _ := slices.BinarySearchFunc(list, r, compareUrgency)
	for i < len(list) && compareUrgency(list[i], r) == 0 {
		i++
	}
	return slices.Insert(list, i, r)
}

// Urgencies of waiting requests; the lowest starts first.
const (
	urgencyDelivered = iota
	urgencyInTime
	urgencyOverdue
)

// urgency returns the rank of a waiting request's group.
func (r *request) urgency() int {
	switch {
	case r.delivered:
		return urgencyDelivered
	case !r.overdue:
		return urgencyInTime
	default:
		return urgencyOverdue
	}
}

// due returns the time by which a waiting request should start.
func (r *request) due() time.Time {
	if r.overdue || r.UsefulUntil.IsZero() {
		return r.Deadline
	}
	return r.UsefulUntil
}

func compareUrgency(a, b *request) int {
	if order := a.urgency() - b.urgency(); order != 0 {
		return order
	}
	if order := cmp.Compare(a.Priority, b.Priority); order != 0 {
		return order
	}
	if order := a.due().Compare(b.due()); order != 0 {
		return order
	}
	return a.arrived.Compare(b.arrived)
}

func (q *waitQueue) remove(r *request) {
	if q.take(r) && q.fair != nil {
		q.fair.scheduler.Leave(r.shareTeam)
	}
}

// take removes a request that stays counted as waiting, and reports whether it was there.
func (q *waitQueue) take(r *request) bool {
	i := slices.Index(q.list, r)
	if i < 0 {
		return false
	}
	q.list = slices.Delete(q.list, i, i+1)
	if q.fair != nil {
		q.fair.remove(r)
	}
	return true
}

// markOverdue moves the requests behind the others that can no longer meet their target
// if they need the time that lead returns.
func (q *waitQueue) markOverdue(now time.Time, lead func(*request) time.Duration) {
	var overdue []*request
	for _, r := range q.list {
		if !r.overdue && !r.delivered && !r.UsefulUntil.IsZero() && r.UsefulUntil.Before(now.Add(lead(r))) {
			overdue = append(overdue, r)
		}
	}
	for _, r := range overdue {
		q.take(r)
		r.overdue = true
		q.insert(r)
	}
}

// firstOverdue returns the position of the first overdue request.
func (q *waitQueue) firstOverdue() int {
	i := slices.IndexFunc(q.list, func(r *request) bool { return r.overdue })
	if i < 0 {
		return len(q.list)
	}
	return i
}

// overdueInOrder returns the overdue requests in order of start.
func (q *waitQueue) overdueInOrder() []*request {
	if q.fair != nil {
		return q.fair.overdueInOrder()
	}
	return slices.Clone(q.list[q.firstOverdue():])
}

// startResult is the outcome of an attempt to start a waiting request.
type startResult int

const (
	started     startResult = iota
	noRoom                  // no replica has room
	held                    // the request must wait for a reason of its own
	overdueHeld             // no overdue request may start in this pass
)

// startReady tries to start the waiting requests, in order except for the turns of
// overdue ones, and removes those that started. It stops after maxMisses requests found
// no room: if there is no replica for the most urgent ones, there is rarely one for
// those behind them.
func (q *waitQueue) startReady(now time.Time, maxMisses int, start func(*request) startResult) {
	if q.fair != nil {
		q.startFair(now, maxMisses, start)
		return
	}
	ahead, overdue := 0, q.firstOverdue()
	end := overdue
	for misses := 0; misses < maxMisses && (ahead < end || overdue < len(q.list)); {
		overdueNow := overdue < len(q.list) && (ahead >= end || q.startsSinceOverdue >= overdueTurn-1)
		i := ahead
		if overdueNow {
			i = overdue
		}
		result := held
		if r := q.list[i]; r.awaitedReplica == nil && !now.Before(r.notBefore) {
			result = start(r)
		}
		if result == noRoom {
			misses++
		}
		switch {
		case result == started && overdueNow:
			q.list = slices.Delete(q.list, i, i+1)
			q.startsSinceOverdue = 0
		case result == started:
			q.list = slices.Delete(q.list, i, i+1)
			end--
			overdue--
			if overdue < len(q.list) {
				q.startsSinceOverdue++
			}
		case overdueNow:
			overdue++
		default:
			ahead++
		}
	}
}

// startFair is startReady in the order of shares.
func (q *waitQueue) startFair(now time.Time, maxMisses int, start func(*request) startResult) {
	defer func() {
		if len(q.list) > 0 {
			q.fair.scheduler.Contended(now)
		}
	}()
	ahead, overdue := q.fair.newPass(false), q.fair.newPass(true)
	for misses := 0; misses < maxMisses; {
		from, r := &ahead, ahead.next()
		turn := overdue.next()
		overdueNow := turn != nil && (r == nil || q.startsSinceOverdue >= overdueTurn-1)
		if overdueNow {
			from, r = &overdue, turn
		}
		if r == nil {
			return
		}
		result := held
		if r.awaitedReplica == nil && !now.Before(r.notBefore) {
			result = start(r)
		}
		if result == noRoom {
			misses++
		}
		if result == overdueHeld {
			overdue.end()
			continue
		}
		if result != started {
			from.skip()
			continue
		}
		q.charge(now, r)
		q.remove(r)
		from.started()
		if overdueNow {
			q.startsSinceOverdue = 0
		} else if turn != nil {
			q.startsSinceOverdue++
		}
	}
}

// charge charges the request's team for its first start. A later attempt makes good a
// failure, for which the team is not charged.
func (q *waitQueue) charge(now time.Time, r *request) {
	if !r.shareCharged {
		r.shareCharged = true
		q.fair.scheduler.Start(now, r.shareTeam, r.Share.Cost)
	}
}
