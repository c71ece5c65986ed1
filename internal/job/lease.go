package job

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/instant"
)

type itemKey struct {
	Job  ID     `cbor:"1,keyasint"`
	Item uint32 `cbor:"2,keyasint"`
}

func compareItems(a, b itemKey) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Item, b.Item))
}

// Want asks for items of one queue.
type Want struct {
	Queue Queue `cbor:"1,keyasint"`
	Max   int   `cbor:"2,keyasint"`
	Held  int   `cbor:"3,keyasint,omitempty"` // items of it that the session's gate holds already
}

// Leased is an item that a gate may run now.
type Leased struct {
	Job           ID             `cbor:"1,keyasint"`
	Item          uint32         `cbor:"2,keyasint"`
	Attempt       int            `cbor:"3,keyasint"` // rises with each lease of the item, from 1
	Team          string         `cbor:"4,keyasint"`
	Queue         Queue          `cbor:"5,keyasint"`
	Class         string         `cbor:"6,keyasint,omitempty"`
	Deadline      instant.Micros `cbor:"7,keyasint"` // of the job
	NonIdempotent bool           `cbor:"8,keyasint,omitempty"`
	Part          Ref            `cbor:"9,keyasint"`  // where its body lies
	Index         uint32         `cbor:"10,keyasint"` // within the part
	// GiveUp and OnlyAnswersCount are those of the job's Spec.
	GiveUp           instant.Micros `cbor:"11,keyasint,omitempty"`
	OnlyAnswersCount bool           `cbor:"12,keyasint,omitempty"`
	// Reached and Partial are what earlier attempts have made of the answer.
	Reached int   `cbor:"13,keyasint,omitempty"`
	Partial []Ref `cbor:"16,keyasint,omitempty"` // its pieces in order
	// Takes is how long items of the queue take from their lease to their end; 0:
	// not known.
	Takes time.Duration `cbor:"15,keyasint,omitempty"`
	Owner string        `cbor:"17,keyasint,omitempty"` // of the job's Spec
	// At is when the item was leased, by the clock that Deadline and GiveUp count by;
	// zero from keepers that do not say it.
	At instant.Micros `cbor:"18,keyasint,omitempty"`
}

// ByClock gives an instant of the lease by the clock of who has just got it.
func (l *Leased) ByClock(m instant.Micros, now time.Time) time.Time {
	if m == 0 || l.At == 0 {
		return m.Time()
	}
	return now.Add(m.Sub(l.At))
}

// loseItem ends the lease of an item whose gate is lost.
//
// The gate may have run it without being able to report. An item that may not
// run twice therefore ends here as unknown; any other is leased again until its
// attempts are used up, since an item that takes its gate down with it would
// otherwise go round for ever.
func (t *Table) loseItem(job *entry, item uint32, now instant.Micros) {
	attempt := job.leases[item].Attempt
	t.dropLease(job, item)
	if job.spec.NonIdempotent {
		t.endItem(job, item, attempt, now, OutcomeUnknown, ReasonOutcomeUnknown, "the gate that ran the item was lost before it reported")
		return
	}
	if job.spec.OnlyAnswersCount {
		t.returnUncounted(job, item, attempt, now)
		return
	}
	t.retryItem(job, item, attempt, now, "the gate that ran the item was lost")
}

// returnUncounted makes an item available again after an attempt that says
// nothing of the item.
func (t *Table) returnUncounted(job *entry, item uint32, attempt int, now instant.Micros) {
	if job.overdue(now) {
		t.giveUpItem(job, item, now)
		return
	}
	job.tries[item] = tries{Leases: attempt, Counted: job.tries[item].Counted}
	t.returnItem(job, item)
}

// retryItem makes an item available again after an attempt that counts.
func (t *Table) retryItem(job *entry, item uint32, attempt int, now instant.Micros, cause string) {
	counted := job.tries[item].Counted + 1
	if counted >= job.spec.MaxAttempts {
		t.endItem(job, item, attempt, now, OutcomeFailed, ReasonAttemptsExhausted, fmt.Sprintf("attempt %d of %d: %s", counted, job.spec.MaxAttempts, cause))
		return
	}
	if job.overdue(now) {
		t.giveUpItem(job, item, now)
		return
	}
	job.tries[item] = tries{Leases: attempt, Counted: counted}
	t.returnItem(job, item)
}

func (t *Table) returnItem(job *entry, item uint32) {
	job.returned = append(job.returned, item)
	t.setReady(job)
}

func (t *Table) dropLease(job *entry, item uint32) {
	if held, found := job.leases[item]; found {
		if owner := t.sessions[held.Session]; owner != nil {
			delete(owner.leases, itemKey{Job: job.id, Item: item})
		}
		delete(job.leases, item)
	}
}

// Lease gives the session items of the wanted queues, earliest deadline first.
// A session numbers its requests upwards from 1. Taken tells that this number
// has got items, now or before; the session goes on to the next one only then.
//
// A gate that lost the answer resends the request. Leased anew, the items of
// the first answer would stay with a session that does not know of them, and
// their jobs would never end; so the same number gets the same items, as far as
// they are still leased, and a copy that arrives after the answer gets no others.
func (t *Table) Lease(id SessionID, request uint64, wants []Want, now instant.Micros) (items []Leased, taken bool, refusal *apierr.Error) {
	holder, found := t.sessions[id]
	if !found {
		return nil, false, unknownSession(id)
	}
	if holder.taken(request) {
		return t.repeatedLease(id, holder, request), true, nil
	}
	for _, want := range wants {
		items = append(items, t.leaseFrom(id, holder, want, t.inOrder(want.Queue, now.Add(t.taken[want.Queue]), request%lateTurn == 0), now)...)
	}
	holder.last = leaseAnswer{Request: request, Items: items}
	return items, len(items) > 0, nil
}

// repeatedLease gives the items of the session's last request, if it is this
// one, as far as the session still holds them.
func (t *Table) repeatedLease(id SessionID, holder *session, request uint64) []Leased {
	if holder.last.Request != request {
		return nil
	}
	var items []Leased
	for _, item := range holder.last.Items {
		job := t.jobs[item.Job]
		if job != nil && job.leases[item.Item].isOf(id, item.Attempt) {
			items = append(items, item)
		}
	}
	return items
}

// Taken reports whether a request of the session has got items before.
func (t *Table) Taken(id SessionID, request uint64) bool {
	holder, found := t.sessions[id]
	return found && holder.taken(request)
}

func (t *Table) leaseFrom(id SessionID, holder *session, want Want, jobs []*entry, now instant.Micros) []Leased {
	var items []Leased
	for _, job := range jobs {
		for len(items) < want.Max {
			item, found := job.takeItem()
			if !found {
				t.setUnready(job)
				break
			}
			attempt := job.tries[item].Leases + 1
			job.leases[item] = lease{Session: id, Attempt: attempt, At: now, From: job.partials[item].Reached}
			holder.leases[itemKey{Job: job.id, Item: item}] = struct{}{}
			items = append(items, job.leased(item, attempt, t.taken[job.spec.Queue], now))
		}
		if len(items) >= want.Max {
			break
		}
	}
	return items
}

// takeItem picks an item that is neither leased nor done: first those never
// tried, so that an item that keeps failing does not hold up the others.
func (j *entry) takeItem() (uint32, bool) {
	for j.next < j.items {
		item := j.next
		j.next++
		if !j.done(item) {
			return item, true
		}
	}
	for len(j.returned) > 0 {
		item := j.returned[0]
		j.returned = j.returned[1:]
		if _, leased := j.leases[item]; !leased && !j.done(item) {
			return item, true
		}
	}
	return 0, false
}

func (j *entry) leased(item uint32, attempt int, takes time.Duration, now instant.Micros) Leased {
	owner := j.partOf(item)
	var pieces []Ref
	if known, found := j.partials[item]; found {
		pieces = known.pieces()
	}
	return Leased{
		Job:           j.id,
		Item:          item,
		Attempt:       attempt,
		Team:          j.spec.Team,
		Queue:         j.spec.Queue,
		Class:         j.spec.Class,
		Deadline:      j.deadline,
		NonIdempotent: j.spec.NonIdempotent,
		Part:          owner.Ref,
		Index:         item - owner.First,

		GiveUp:           j.spec.GiveUp,
		OnlyAnswersCount: j.spec.OnlyAnswersCount,
		Reached:          j.partials[item].Reached,
		Partial:          pieces,
		Takes:            takes,
		Owner:            j.spec.Owner,
		At:               now,
	}
}

func (j *entry) partOf(item uint32) part {
	at, found := slices.BinarySearchFunc(j.parts, item, func(p part, item uint32) int { return cmp.Compare(p.First, item) })
	if !found {
		at--
	}
	return j.parts[at]
}
