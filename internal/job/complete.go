package job

import (
	"slices"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/instant"
)

// StoredResult is the stored form of an item's result, which readers receive.
type StoredResult struct {
	Item     uint32         `cbor:"1,keyasint"`
	Attempt  int            `cbor:"2,keyasint"`
	Outcome  Outcome        `cbor:"3,keyasint"`
	CustomID string         `cbor:"4,keyasint,omitempty"`
	Status   int            `cbor:"5,keyasint,omitempty"`
	Body     []byte         `cbor:"6,keyasint,omitempty"`
	Reason   apierr.Reason  `cbor:"7,keyasint,omitempty"`
	Message  string         `cbor:"8,keyasint,omitempty"`
	Finished instant.Micros `cbor:"9,keyasint"`
}

// Complete applies the results of attempts. The first answer to an item wins,
// even from an attempt that no longer holds its lease; the others are dropped and
// counted. Results may be resent.
func (t *Table) Complete(id SessionID, results []Result, now instant.Micros) {
	for i := range results {
		t.completeItem(id, &results[i], now)
	}
}

func (t *Table) completeItem(id SessionID, result *Result, now instant.Micros) {
	job, found := t.jobs[result.Job]
	if !found || job.state != StateRunning {
		t.dropped.Ended++
		return
	}
	if result.Item >= job.items {
		t.dropped.Invalid++
		return
	}
	held, leased := job.leases[result.Item]
	current := leased && held.heldBy(id, result.Attempt)
	if result.Outcome == OutcomeProgress {
		if current {
			t.keepPartial(job, result)
		}
		return
	}
	if job.done(result.Item) {
		t.dropped.Doubled++
		return
	}
	if !current && result.Outcome != OutcomeSucceeded {
		t.dropped.Late++
		return
	}
	if current && result.Outcome == OutcomeSucceeded {
		t.observeDuration(job, held, now)
	}
	t.applyResult(job, result, now)
}

const (
	// durationWeight is the inverse weight of a new sample in the mean: 1/8, as for
	// round-trip times in TCP. About ten items end each second at a small site.
	durationWeight = 8
	// durationCapDivisor limits a sample to this fraction, 1/2, of the time that
	// the job allows. Under sustained overload items take all the time that they
	// are allowed, and with longer samples every job would count as overdue.
	durationCapDivisor = 2
)

// observeDuration updates the queue's mean with the duration of an item, unless
// the attempt resumed a partial answer.
func (t *Table) observeDuration(job *entry, held lease, now instant.Micros) {
	if held.LeasedAt == 0 || held.ResumedAfter > 0 {
		return
	}
	sample := min(now.Sub(held.LeasedAt), job.deadline.Sub(job.created)/durationCapDivisor)
	mean, known := t.meanDuration[job.spec.Queue]
	if !known {
		mean = sample
	}
	t.meanDuration[job.spec.Queue] = mean + (sample-mean)/durationWeight
}

func (t *Table) applyResult(job *entry, result *Result, now instant.Micros) {
	switch result.Outcome {
	case OutcomeSucceeded, OutcomeFailed, OutcomeUnknown:
		t.dropLease(job, result.Item)
		t.storeResult(job, &StoredResult{
			Item:     result.Item,
			Attempt:  result.Attempt,
			Outcome:  result.Outcome,
			CustomID: result.CustomID,
			Status:   result.Status,
			Body:     result.Body,
			Reason:   result.Reason,
			Message:  result.Message,
			Finished: now,
		}, now)
	case OutcomeRetry:
		t.dropLease(job, result.Item)
		if job.spec.NonIdempotent {
			t.endItem(job, result.Item, result.Attempt, now, OutcomeUnknown, ReasonOutcomeUnknown, result.Message)
			return
		}
		t.retryItem(job, result.Item, result.Attempt, now, result.Message)
	case OutcomeReturned:
		t.dropLease(job, result.Item)
		// The next lease gets a new attempt number. Otherwise a delayed copy of
		// this report could end that lease while its gate runs the item, and a
		// second gate would run the item too.
		t.keepPartial(job, result)
		t.returnUncounted(job, result.Item, result.Attempt, now)
	default:
		t.dropped.Invalid++
	}
}

// keepPartial stores a partial answer if it extends the known one. It ignores a
// piece that does not directly follow the known part or has another writer: the piece in
// between was lost or is delayed. The records count as used until the job is deleted.
func (t *Table) keepPartial(job *entry, result *Result) {
	known := job.partials[result.Item]
	follows := result.PartialFrom == 0 || (result.PartialFrom == known.End && result.PartialWriter == known.Writer)
	if len(result.Partial) == 0 || result.PartialEnd <= known.End || !follows {
		return
	}
	ref := t.storage.AppendResult(result.Partial)
	t.useResult(job, ref)
	if job.partials == nil {
		job.partials = make(map[uint32]partial)
	}
	next := partial{End: result.PartialEnd, Ref: ref, Writer: result.PartialWriter}
	if result.PartialFrom > 0 {
		next.Ref = known.Ref
		next.More = append(slices.Clone(known.More), ref)
	}
	job.partials[result.Item] = next
}

// endItem ends an item for which no gate reports a final result.
func (t *Table) endItem(job *entry, item uint32, attempt int, now instant.Micros, outcome Outcome, reason apierr.Reason, message string) {
	t.storeResult(job, &StoredResult{
		Item:     item,
		Attempt:  attempt,
		Outcome:  outcome,
		CustomID: t.customID(job, item),
		Reason:   reason,
		Message:  message,
		Finished: now,
	}, now)
}

// customID reads the caller's ID of an item from its part. It caches the last
// part, since the items of a lost gate are mostly in the same one.
func (t *Table) customID(job *entry, item uint32) string {
	source := job.partOf(item)
	if t.cachedPart != source.Ref {
		t.cachedItems = nil
		if err := codec.Unmarshal(t.storage.ReadPart(source.Ref), &t.cachedItems); err != nil {
			return ""
		}
		t.cachedPart = source.Ref
	}
	index := int(item - source.First)
	if index >= len(t.cachedItems) {
		return ""
	}
	return t.cachedItems[index].CustomID
}

// storeResult stores the final result of an item and completes the job if it was
// the last one.
func (t *Table) storeResult(job *entry, result *StoredResult, now instant.Micros) {
	ref := t.storage.AppendResult(codec.MustMarshal(result))
	t.useResult(job, ref)
	switch result.Outcome {
	case OutcomeSucceeded:
		job.succeeded++
	case OutcomeUnknown:
		job.unknown++
	default:
		job.failed++
	}
	delete(job.attempts, result.Item)
	delete(job.partials, result.Item)
	t.setResult(job, result.Item, ref)
	job.order = append(job.order, result.Item)
	t.releaseTokens(job, result.Item)
	if job.succeeded+job.failed+job.unknown == job.items {
		t.end(job, StateCompleted, now)
	}
}
