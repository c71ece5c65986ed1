package route

import (
	"slices"
	"time"
)

// waitQueue holds requests without an attempt, earliest deadline first and, of
// equal deadlines, earliest arrival first.
type waitQueue struct {
	list []*request
}

func (q *waitQueue) len() int { return len(q.list) }

func (q *waitQueue) push(r *request) {
	i, _ := slices.BinarySearchFunc(q.list, r, compareUrgency)
	for i < len(q.list) && compareUrgency(q.list[i], r) == 0 {
		i++
	}
	q.list = slices.Insert(q.list, i, r)
}

func compareUrgency(a, b *request) int {
	if order := a.Deadline.Compare(b.Deadline); order != 0 {
		return order
	}
	return a.arrived.Compare(b.arrived)
}

func (q *waitQueue) remove(r *request) {
	if i := slices.Index(q.list, r); i >= 0 {
		q.list = slices.Delete(q.list, i, i+1)
	}
}

// startResult says what became of an offer to start a waiting request.
type startResult int

const (
	started startResult = iota
	noRoom              // no replica has room
	held                // the request has its own reason to wait
)

// takeReady offers the waiting requests to start in order of urgency and
// removes those that started. It stops after maxMisses that found no room: if
// the most urgent ones find no replica, those behind rarely do.
func (q *waitQueue) takeReady(now time.Time, maxMisses int, start func(*request) startResult) {
	misses := 0
	for i := 0; i < len(q.list) && misses < maxMisses; {
		r := q.list[i]
		if r.awaiting != nil || now.Before(r.notBefore) {
			i++
			continue
		}
		switch start(r) {
		case started:
			q.list = slices.Delete(q.list, i, i+1)
		case noRoom:
			misses++
			i++
		case held:
			i++
		}
	}
}
