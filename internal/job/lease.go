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

// QueueDemand requests items of one queue.
type QueueDemand struct {
	Queue Queue `cbor:"1,keyasint"`
	Max   int   `cbor:"2,keyasint"`
	Held  int   `cbor:"3,keyasint,omitempty"` // items of the queue that the gate already holds
}

// Leased is an item that a gate may run now.
type Leased struct {
	Job           ID             `cbor:"1,keyasint"`
	Item          uint32         `cbor:"2,keyasint"`
	Attempt       int            `cbor:"3,keyasint"` // number of the item's lease, from 1
	Team          string         `cbor:"4,keyasint"`
	Queue         Queue          `cbor:"5,keyasint"`
	Class         string         `cbor:"6,keyasint,omitempty"`
	Deadline      instant.Micros `cbor:"7,keyasint"` // of the job
	NonIdempotent bool           `cbor:"8,keyasint,omitempty"`
	Part          Ref            `cbor:"9,keyasint"`  // the part that contains the item
	Index         uint32         `cbor:"10,keyasint"` // within the part
	// GiveUpAt and CountOnlyAnswered are copied from the job's Spec.
	GiveUpAt          instant.Micros `cbor:"11,keyasint,omitempty"`
	CountOnlyAnswered bool           `cbor:"12,keyasint,omitempty"`
	// PartialEnd and Partial describe the partial answer of earlier attempts.
	PartialEnd int   `cbor:"13,keyasint,omitempty"` // its last event or token
	Partial    []Ref `cbor:"16,keyasint,omitempty"` // its pieces in order
	// PartialWriter identifies the service and the build that wrote it.
	PartialWriter string `cbor:"19,keyasint,omitempty"`
	// ExpectedRunTime is the mean time from the lease of the queue's items to their
	// end; 0 means unknown.
	ExpectedRunTime time.Duration `cbor:"15,keyasint,omitempty"`
	Owner           string        `cbor:"17,keyasint,omitempty"` // copied from the job's Spec
	// LeasedAt is the time of the lease by the same clock as Deadline and GiveUpAt;
	// zero from keepers that do not send it.
	LeasedAt instant.Micros `cbor:"18,keyasint,omitempty"`
}

// LocalTime converts a time of the lease to the receiving gate's clock, assuming
// that the lease was made just now.
func (l *Leased) LocalTime(m instant.Micros, now time.Time) time.Time {
	if m == 0 || l.LeasedAt == 0 {
		return m.Time()
	}
	return now.Add(m.Sub(l.LeasedAt))
}

// endLostLease ends the lease of an item whose gate is lost. The gate may have run it
// without reporting it, so a non-idempotent item ends as unknown. Any other item is
// leased again. The attempt counts, because an item that crashes its gate would be
// retried forever; with CountOnlyAnswered it does not count, and the item is retried
// until its give-up time.
func (t *Table) endLostLease(job *entry, item uint32, now instant.Micros) {
	attempt := job.leases[item].Attempt
	t.dropLease(job, item)
	if job.spec.NonIdempotent {
		t.endItem(job, item, attempt, now, OutcomeUnknown, ReasonOutcomeUnknown, "the gate that ran the item was lost before it reported")
		return
	}
	if job.spec.CountOnlyAnswered {
		t.returnUncounted(job, item, attempt, now)
		return
	}
	t.retryItem(job, item, attempt, now, "the gate that ran the item was lost")
}

// returnUncounted makes an item available again after an attempt that does not
// count.
func (t *Table) returnUncounted(job *entry, item uint32, attempt int, now instant.Micros) {
	if job.pastGiveUp(now) {
		t.giveUpItem(job, item, now)
		return
	}
	job.attempts[item] = attemptCount{Leases: attempt, Counted: job.attempts[item].Counted}
	t.returnItem(job, item)
}

// retryItem makes an item available again after an attempt that counts, or ends
// it if no attempts are left.
func (t *Table) retryItem(job *entry, item uint32, attempt int, now instant.Micros, cause string) {
	counted := job.attempts[item].Counted + 1
	if counted >= job.spec.MaxAttempts {
		t.endItem(job, item, attempt, now, OutcomeFailed, ReasonAttemptsExhausted, fmt.Sprintf("attempt %d of %d: %s", counted, job.spec.MaxAttempts, cause))
		return
	}
	if job.pastGiveUp(now) {
		t.giveUpItem(job, item, now)
		return
	}
	job.attempts[item] = attemptCount{Leases: attempt, Counted: counted}
	t.returnItem(job, item)
}

func (t *Table) returnItem(job *entry, item uint32) {
	job.returned = append(job.returned, item)
	t.setReady(job)
}

func (t *Table) dropLease(job *entry, item uint32) {
	if held, found := job.leases[item]; found {
		if holder := t.sessions[held.Session]; holder != nil {
			delete(holder.leases, itemKey{Job: job.id, Item: item})
		}
		delete(job.leases, item)
	}
}

// Lease leases items of the requested queues to the session, earliest deadline
// first. A session numbers its requests from 1. fulfilled reports whether this
// number has received items, now or before; only then may the session use the
// next number.
//
// A gate that did not receive the answer resends the request. If it got other
// items, the first ones would stay leased to a session that does not know of
// them, and their jobs would never end. The same number therefore returns the
// same items, as far as they are still leased, and a delayed copy of an earlier
// request returns none.
func (t *Table) Lease(id SessionID, request uint64, demands []QueueDemand, now instant.Micros) (items []Leased, fulfilled bool, refusal *apierr.Error) {
	holder, found := t.sessions[id]
	if !found {
		return nil, false, unknownSession(id)
	}
	if holder.fulfilled(request) {
		return t.repeatedLease(id, holder, request), true, nil
	}
	for _, demand := range demands {
		items = append(items, t.leaseFrom(id, holder, demand, t.leaseOrder(demand.Queue, now.Add(t.meanDuration[demand.Queue]), request%overdueInterval == 0), now)...)
	}
	holder.last = leaseAnswer{Request: request, Items: items}
	return items, len(items) > 0, nil
}

// repeatedLease returns the items of the session's last request, if it has this
// number, that the session still holds.
func (t *Table) repeatedLease(id SessionID, holder *session, request uint64) []Leased {
	if holder.last.Request != request {
		return nil
	}
	var items []Leased
	for _, item := range holder.last.Items {
		job := t.jobs[item.Job]
		if job != nil && job.leases[item.Item].heldBy(id, item.Attempt) {
			items = append(items, item)
		}
	}
	return items
}

// RequestFulfilled reports whether a request of the session has received items.
func (t *Table) RequestFulfilled(id SessionID, request uint64) bool {
	holder, found := t.sessions[id]
	return found && holder.fulfilled(request)
}

func (t *Table) leaseFrom(id SessionID, holder *session, demand QueueDemand, jobs []*entry, now instant.Micros) []Leased {
	var items []Leased
	for _, job := range jobs {
		for len(items) < demand.Max {
			item, found := job.nextItem()
			if !found {
				t.setUnready(job)
				break
			}
			attempt := job.attempts[item].Leases + 1
			job.leases[item] = lease{Session: id, Attempt: attempt, LeasedAt: now, ResumedAfter: job.partials[item].End}
			holder.leases[itemKey{Job: job.id, Item: item}] = struct{}{}
			items = append(items, job.leased(item, attempt, t.meanDuration[job.spec.Queue], now))
		}
		if len(items) >= demand.Max {
			break
		}
	}
	return items
}

// nextItem returns an item that is neither leased nor done. Items that were never
// leased come first, so that an item that keeps failing does not delay the others.
func (j *entry) nextItem() (uint32, bool) {
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

func (j *entry) leased(item uint32, attempt int, expected time.Duration, now instant.Micros) Leased {
	source := j.partOf(item)
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
		Part:          source.Ref,
		Index:         item - source.First,

		GiveUpAt:          j.spec.GiveUpAt,
		CountOnlyAnswered: j.spec.CountOnlyAnswered,
		PartialEnd:        j.partials[item].End,
		Partial:           pieces,
		PartialWriter:     j.partials[item].Writer,
		ExpectedRunTime:   expected,
		Owner:             j.spec.Owner,
		LeasedAt:          now,
	}
}

func (j *entry) partOf(item uint32) part {
	index, found := slices.BinarySearchFunc(j.parts, item, func(p part, item uint32) int { return cmp.Compare(p.First, item) })
	if !found {
		index--
	}
	return j.parts[index]
}
