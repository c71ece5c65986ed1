package job

import (
	"slices"
	"time"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/instant"
)

// state is the encoded form of a Table.
type state struct {
	Jobs           []storedJob      `cbor:"1,keyasint,omitempty"`
	Sessions       []storedSession  `cbor:"2,keyasint,omitempty"`
	Created        uint64           `cbor:"3,keyasint"`
	Dropped        Dropped          `cbor:"4,keyasint"`
	Ended          storedEnded      `cbor:"5,keyasint"`
	ResultSegments segmentUse       `cbor:"6,keyasint,omitempty"`
	Durations      []storedDuration `cbor:"7,keyasint,omitempty"`
}

// storedDuration is the mean duration of the items of a queue.
type storedDuration struct {
	Queue Queue         `cbor:"1,keyasint"`
	Mean  time.Duration `cbor:"2,keyasint"`
}

type storedJob struct {
	ID             ID                      `cbor:"1,keyasint"`
	Spec           Spec                    `cbor:"2,keyasint"`
	State          State                   `cbor:"3,keyasint"`
	Sequence       uint64                  `cbor:"4,keyasint"`
	Created        instant.Micros          `cbor:"5,keyasint"`
	Deadline       instant.Micros          `cbor:"6,keyasint"`
	Finished       instant.Micros          `cbor:"7,keyasint,omitempty"`
	Items          uint32                  `cbor:"8,keyasint"`
	Received       int                     `cbor:"9,keyasint"`
	Parts          []part                  `cbor:"10,keyasint,omitempty"`
	Next           uint32                  `cbor:"11,keyasint,omitempty"`
	Returned       []uint32                `cbor:"12,keyasint,omitempty"`
	Attempts       map[uint32]attemptCount `cbor:"13,keyasint,omitempty"`
	Leases         map[uint32]lease        `cbor:"14,keyasint,omitempty"`
	Pages          []storedPage            `cbor:"15,keyasint,omitempty"`
	ResultSegments segmentUse              `cbor:"16,keyasint,omitempty"`
	Succeeded      uint32                  `cbor:"17,keyasint"`
	Failed         uint32                  `cbor:"18,keyasint"`
	Unknown        uint32                  `cbor:"19,keyasint"`
	Tokens         []uint32                `cbor:"20,keyasint,omitempty"`
	Order          []uint32                `cbor:"21,keyasint,omitempty"`

	Partials map[uint32]partial `cbor:"22,keyasint,omitempty"`
}

type storedPage struct {
	Flushed Ref    `cbor:"1,keyasint"`
	Refs    []byte `cbor:"2,keyasint,omitempty"` // encoded by encodePage
}

type storedSession struct {
	ID      SessionID   `cbor:"1,keyasint"`
	VM      string      `cbor:"2,keyasint"`
	Last    leaseAnswer `cbor:"3,keyasint"`
	Started int64       `cbor:"4,keyasint,omitempty"`
}

// Snapshot encodes the table without the records in its storage.
func (t *Table) Snapshot() ([]byte, error) {
	s := state{Created: t.created, Dropped: t.dropped, Ended: t.ended.stored(), ResultSegments: t.resultSegments}
	for _, id := range sortedKeys(t.jobs) {
		s.Jobs = append(s.Jobs, t.jobs[id].stored())
	}
	for _, id := range sortedKeys(t.sessions) {
		open := t.sessions[id]
		s.Sessions = append(s.Sessions, storedSession{ID: id, VM: open.run.VM, Started: open.run.Started, Last: open.last})
	}
	for queue, mean := range t.meanDuration {
		s.Durations = append(s.Durations, storedDuration{Queue: queue, Mean: mean})
	}
	slices.SortFunc(s.Durations, func(a, b storedDuration) int { return compareQueues(a.Queue, b.Queue) })
	return codec.Marshal(s)
}

func (j *entry) stored() storedJob {
	stored := storedJob{
		ID: j.id, Spec: j.spec, State: j.state, Sequence: j.sequence,
		Created: j.created, Deadline: j.deadline, Finished: j.finished,
		Items: j.items, Received: j.received, Parts: j.parts,
		Next: j.next, Returned: j.returned, Attempts: j.attempts, Leases: j.leases,
		ResultSegments: j.resultSegments, Succeeded: j.succeeded, Failed: j.failed, Unknown: j.unknown,
		Tokens: j.tokens, Order: j.order, Partials: j.partials,
	}
	for _, p := range j.pages {
		stored.Pages = append(stored.Pages, storedPage{Flushed: p.flushed, Refs: encodePage(p.refs)})
	}
	return stored
}

// RestoreTable decodes a table that Snapshot encoded.
func RestoreTable(data []byte, storage Storage) (*Table, error) {
	var s state
	if err := codec.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	t := NewTable(storage)
	t.created = s.Created
	t.dropped = s.Dropped
	t.ended = restoreEnded(s.Ended)
	if s.ResultSegments != nil {
		t.resultSegments = s.ResultSegments
	}
	for _, stored := range s.Durations {
		t.meanDuration[stored.Queue] = stored.Mean
	}
	for _, stored := range s.Sessions {
		t.OpenSession(stored.ID, GateRun{VM: stored.VM, Started: stored.Started})
		t.sessions[stored.ID].last = stored.Last
	}
	for i := range s.Jobs {
		t.restoreJob(&s.Jobs[i])
	}
	return t, nil
}

func (t *Table) restoreJob(stored *storedJob) {
	job := stored.entry()
	t.jobs[job.id] = job
	if job.state == StateOpen {
		t.uploadExpiry.ReplaceOrInsert(job.uploadExpiryKey())
	}
	for i := range job.parts {
		if job.parts[i].Count > 0 {
			t.partSegments.add(job.parts[i].Ref)
		}
	}
	for item, held := range job.leases {
		if holder := t.sessions[held.Session]; holder != nil {
			holder.leases[itemKey{Job: job.id, Item: item}] = struct{}{}
		}
	}
	if job.state == StateRunning {
		t.trackRunning(job)
	}
	if job.state == StateRunning && (job.next < job.items || len(job.returned) > 0) {
		t.setReady(job)
	}
}

// entry returns the job, without adding it to the indexes of a table.
func (s *storedJob) entry() *entry {
	job := &entry{
		id: s.ID, spec: s.Spec, state: s.State, sequence: s.Sequence,
		created: s.Created, deadline: s.Deadline, finished: s.Finished,
		items: s.Items, received: s.Received, parts: s.Parts,
		next: s.Next, returned: s.Returned, attempts: s.Attempts, leases: s.Leases,
		resultSegments: s.ResultSegments, succeeded: s.Succeeded, failed: s.Failed, unknown: s.Unknown,
		tokens: s.Tokens, order: s.Order, partials: s.Partials,
	}
	job.restoreMaps()
	for _, p := range s.Pages {
		job.pages = append(job.pages, restorePage(p))
	}
	return job
}

func (j *entry) restoreMaps() {
	if j.attempts == nil {
		j.attempts = make(map[uint32]attemptCount)
	}
	if j.leases == nil {
		j.leases = make(map[uint32]lease)
	}
	if j.resultSegments == nil {
		j.resultSegments = make(segmentUse)
	}
}

func restorePage(stored storedPage) page {
	if len(stored.Refs) == 0 {
		return page{flushed: stored.Flushed}
	}
	p := page{refs: decodePage(stored.Refs)}
	for _, ref := range p.refs {
		if ref != (Ref{}) {
			p.done++
		}
	}
	return p
}
