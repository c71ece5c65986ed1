package route

import (
	"cmp"
	"slices"
	"time"
)

// waitQueue holds requests without an attempt in the order in which they are to
// start: first those that go on with an answer that their caller has part of,
// then those whose answer can still be of full use, then the late ones; each of them
// by priority, and by the time at which they are due.
//
// In a queue by deadline alone, an outage of a second makes the callers of the
// next seconds late too: they wait behind those whose answer has lost its use.
// The late ones lose little by waiting longer, and keep a share of the starts
// (lateTurn), so that lasting load does not starve them.
type waitQueue struct {
	list []*request // in order of compareUrgency
	// passed counts the starts since a late request had its turn.
	passed int
}

// lateTurn: while both kinds wait, one start in so many is a late request's, which
// keeps the late ones' wait below their deadline and hardly delays the others.
const lateTurn = 4

func (q *waitQueue) len() int { return len(q.list) }

func (q *waitQueue) push(r *request) {
	i, _ := slices.BinarySearchFunc(q.list, r, compareUrgency)
	for i < len(q.list) && compareUrgency(q.list[i], r) == 0 {
		i++
	}
	q.list = slices.Insert(q.list, i, r)
}

// urgency ranks the kinds of waiting requests; the lowest starts first.
func (r *request) urgency() int {
	switch {
	case r.delivered:
		return 0
	case !r.late:
		return 1
	default:
		return 2
	}
}

// due is the time by which a waiting request is to start.
func (r *request) due() time.Time {
	if r.late || r.UsefulUntil.IsZero() {
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
	if i := slices.Index(q.list, r); i >= 0 {
		q.list = slices.Delete(q.list, i, i+1)
	}
}

// markLate puts those behind the others that cannot be of full use any more if
// they need lead to get there.
func (q *waitQueue) markLate(now time.Time, lead func(*request) time.Duration) {
	var late []*request
	for _, r := range q.list {
		if !r.late && !r.delivered && !r.UsefulUntil.IsZero() && r.UsefulUntil.Before(now.Add(lead(r))) {
			late = append(late, r)
		}
	}
	for _, r := range late {
		q.remove(r)
		r.late = true
		q.push(r)
	}
}

// firstLate gives the position of the first late request.
func (q *waitQueue) firstLate() int {
	i := slices.IndexFunc(q.list, func(r *request) bool { return r.late })
	if i < 0 {
		return len(q.list)
	}
	return i
}

// startResult says what became of an offer to start a waiting request.
type startResult int

const (
	started startResult = iota
	noRoom              // no replica has room
	held                // the request has its own reason to wait
)

// takeReady offers the waiting requests to start, in order but for the turns of
// the late ones, and removes those that started. It stops after maxMisses that
// found no room: if the most urgent ones find no replica, those behind rarely do.
func (q *waitQueue) takeReady(now time.Time, maxMisses int, start func(*request) startResult) {
	ahead, late := 0, q.firstLate()
	end := late
	for misses := 0; misses < maxMisses && (ahead < end || late < len(q.list)); {
		lateNow := late < len(q.list) && (ahead >= end || q.passed >= lateTurn-1)
		i := ahead
		if lateNow {
			i = late
		}
		result := held
		if r := q.list[i]; r.awaiting == nil && !now.Before(r.notBefore) {
			result = start(r)
		}
		if result == noRoom {
			misses++
		}
		switch {
		case result == started && lateNow:
			q.list = slices.Delete(q.list, i, i+1)
			q.passed = 0
		case result == started:
			q.list = slices.Delete(q.list, i, i+1)
			end--
			late--
			if late < len(q.list) {
				q.passed++
			}
		case lateNow:
			late++
		default:
			ahead++
		}
	}
}
