package job

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/google/btree"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/instant"
)

// Table holds the jobs of one group.
type Table struct {
	storage  Storage
	jobs     map[ID]*entry // that have not ended
	ended    endedJobs
	uploads  *btree.BTreeG[expiryKey]          // open jobs, by when they are given up
	ready    map[Queue]*btree.BTreeG[readyKey] // jobs that have an item to lease
	sessions map[SessionID]*session
	dropped  Dropped
	created  uint64 // jobs so far, orders jobs of equal deadlines
	bodies   segmentUse
	results  segmentUse
	giveUps  *btree.BTreeG[expiryKey] // running jobs, by when their items are given up
	waiting  map[account]uint64       // tokens of the items without a result

	// taken is how long an item takes from its lease to its end, a mean by queue.
	// The keepers keep it, as gates forget it when they start, which is when much
	// work waits.
	taken map[Queue]time.Duration

	lastPart  Ref // that customID read; no part of the state
	lastItems []Item
}

// entry is one job.
type entry struct {
	id       ID
	spec     Spec
	state    State
	sequence uint64 // order of creation
	created  instant.Micros
	deadline instant.Micros
	finished instant.Micros
	items    uint32
	parts    []part // by number; Count 0 where one is missing
	received int    // parts

	next     uint32           // first item that was never leased
	returned []uint32         // items to lease again
	tries    map[uint32]tries // of items that were leased and came back
	leases   map[uint32]lease // running items
	partials map[uint32]partial
	pages    []page
	used     segmentUse // result segments
	tokens   []uint32   // by item, of a submitted job
	order    []uint32   // items with a result, in the order of their results

	succeeded, failed, unknown uint32
}

// part references the items of one upload.
type part struct {
	Digest uint64 `cbor:"1,keyasint"`
	Count  uint32 `cbor:"2,keyasint"`
	First  uint32 `cbor:"3,keyasint"` // index of its first item; set when the job is sealed
	Ref    Ref    `cbor:"4,keyasint"`
}

// tries counts the leases of an item.
type tries struct {
	Leases  int `cbor:"1,keyasint"` // all of them
	Counted int `cbor:"2,keyasint"` // without those that were returned
}

// partial is what the attempts at an item have made of its answer.
type partial struct {
	Reached int   `cbor:"1,keyasint"`
	Ref     Ref   `cbor:"2,keyasint"`           // its first piece
	More    []Ref `cbor:"3,keyasint,omitempty"` // the pieces after it, in order
}

// pieces locates the text in order.
func (p *partial) pieces() []Ref { return append([]Ref{p.Ref}, p.More...) }

type lease struct {
	Session SessionID      `cbor:"1,keyasint"`
	Attempt int            `cbor:"2,keyasint"`
	At      instant.Micros `cbor:"3,keyasint,omitempty"`
	From    int            `cbor:"4,keyasint,omitempty"` // event that the attempt goes on after
}

func (l lease) isOf(session SessionID, attempt int) bool {
	return l.Session == session && l.Attempt == attempt
}

const btreeDegree = 16

// NewTable makes an empty table that keeps its records in storage.
func NewTable(storage Storage) *Table {
	return &Table{
		storage:  storage,
		jobs:     make(map[ID]*entry),
		ready:    make(map[Queue]*btree.BTreeG[readyKey]),
		ended:    newEndedJobs(),
		uploads:  btree.NewG(btreeDegree, expiryKey.less),
		sessions: make(map[SessionID]*session),
		bodies:   make(segmentUse),
		results:  make(segmentUse),
		giveUps:  btree.NewG(btreeDegree, expiryKey.less),
		waiting:  make(map[account]uint64),
		taken:    make(map[Queue]time.Duration),
	}
}

// Create makes a job. Resent with the same content it answers as the first
// time; other content under the same key is a conflict.
func (t *Table) Create(spec Spec, now instant.Micros) (Status, *apierr.Error) {
	id := NewID(spec.Team, spec.Key)
	if existing, refusal := t.find(id); refusal == nil {
		if !existing.spec.sameContent(&spec) {
			return Status{}, apierr.New(apierr.Conflict, ReasonJobConflict, "use another job key",
				"job key %q of team %q belongs to a different job", spec.Key, spec.Team)
		}
		return existing.status(), nil
	}
	if spec.Team == "" || spec.Key == "" || spec.MaxAttempts < 1 {
		return Status{}, apierr.New(apierr.Invalid, ReasonInvalidJob, "give team, job key and at least one attempt", "the job is incomplete")
	}
	t.created++
	job := &entry{
		id:       id,
		spec:     spec,
		state:    StateOpen,
		sequence: t.created,
		created:  now,
		deadline: spec.Deadline,
		tries:    make(map[uint32]tries),
		leases:   make(map[uint32]lease),
		used:     make(segmentUse),
	}
	if job.deadline == 0 {
		job.deadline = now.Add(spec.Within)
	}
	t.jobs[id] = job
	t.uploads.ReplaceOrInsert(job.uploadKey())
	return job.status(), nil
}

// uploadKey orders an open job by when its upload is given up. A client that is
// lost during its upload would otherwise leave the job behind for ever.
func (j *entry) uploadKey() expiryKey {
	key, _ := j.id.key()
	return expiryKey{at: j.created.Add(j.spec.Retention), key: key}
}

// AddPart stores the items of part number of an open job. A part sent twice is
// stored once; different items under the same number are a conflict. Data is
// the encoding of count items.
func (t *Table) AddPart(id ID, number int, count uint32, data []byte) (Status, *apierr.Error) {
	job, refusal := t.find(id)
	if refusal != nil {
		return Status{}, refusal
	}
	digest := digestOf(data)
	if number >= 0 && number < len(job.parts) && job.parts[number].Count > 0 {
		return job.repeatedPart(number, count, digest)
	}
	if refusal := job.checkNewPart(number, count, data); refusal != nil {
		return Status{}, refusal
	}
	if number >= len(job.parts) {
		job.parts = append(job.parts, make([]part, number+1-len(job.parts))...)
	}
	ref := t.storage.AppendPart(data)
	t.bodies.add(ref)
	job.parts[number] = part{Digest: digest, Count: count, Ref: ref}
	job.received++
	job.items += count
	return job.status(), nil
}

func (j *entry) repeatedPart(number int, count uint32, digest uint64) (Status, *apierr.Error) {
	if j.parts[number].Digest == digest && j.parts[number].Count == count {
		return j.status(), nil
	}
	return Status{}, apierr.New(apierr.Conflict, ReasonPartConflict, "send new items under the next part number",
		"part %d of job %s was received with other items", number, j.id)
}

func (j *entry) checkNewPart(number int, count uint32, data []byte) *apierr.Error {
	switch {
	case j.state.Ended():
		return j.endedRefusal()
	case j.state != StateOpen:
		return apierr.New(apierr.Conflict, ReasonJobSealed, "create another job for further items", "job %s is sealed", j.id)
	case number < 0 || number >= MaxParts:
		return apierr.New(apierr.Invalid, ReasonInvalidPart, "number parts from 0", "part number %d is not in the range 0 to %d", number, MaxParts-1)
	case count == 0 || count > MaxPartItems:
		return apierr.New(apierr.Invalid, ReasonInvalidPart, "split the items into other parts", "a part holds 1 to %d items, not %d", MaxPartItems, count)
	case len(data) > MaxPartBytes:
		return apierr.New(apierr.TooLarge, ReasonInvalidPart, "send smaller parts", "a part holds at most %d bytes, not %d", MaxPartBytes, len(data))
	case j.items+count > MaxItems:
		return apierr.New(apierr.TooLarge, ReasonInvalidPart, "create another job", "a job holds at most %d items", MaxItems)
	default:
		return nil
	}
}

func (j *entry) endedRefusal() *apierr.Error {
	return apierr.New(apierr.Conflict, ReasonJobEnded, "create another job", "job %s is %s", j.id, j.state)
}

// Seal ends the upload of a job that has parts 0 to parts-1. From then on its
// items are leased.
func (t *Table) Seal(id ID, parts int, now instant.Micros) (Status, *apierr.Error) {
	job, refusal := t.find(id)
	if refusal != nil {
		return Status{}, refusal
	}
	if job.state == StateCancelled {
		return Status{}, job.endedRefusal()
	}
	if parts != len(job.parts) || parts != job.received {
		return Status{}, job.missingParts(parts)
	}
	if job.state != StateOpen {
		return job.status(), nil
	}
	var first uint32
	for i := range job.parts {
		job.parts[i].First = first
		first += job.parts[i].Count
	}
	t.uploads.Delete(job.uploadKey())
	job.state = StateRunning
	job.pages = newPages(job.items)
	if job.items == 0 {
		t.end(job, StateCompleted, now)
		return job.status(), nil
	}
	t.schedule(job)
	t.setReady(job)
	return job.status(), nil
}

func (j *entry) missingParts(parts int) *apierr.Error {
	for number := range parts {
		if number >= len(j.parts) || j.parts[number].Count == 0 {
			return apierr.New(apierr.Conflict, ReasonPartsMissing, "send the part, then seal again", "part %d of job %s is missing", number, j.id)
		}
	}
	return apierr.New(apierr.Conflict, ReasonPartsMissing, "seal with the number of parts sent", "job %s has %d parts, not %d", j.id, j.received, parts)
}

// Cancel ends a job. Its leases end at once and later results are dropped; the
// results that it has stay readable.
func (t *Table) Cancel(id ID, now instant.Micros) (Status, *apierr.Error) {
	job, refusal := t.find(id)
	if refusal != nil {
		return Status{}, refusal
	}
	if job.state == StateCompleted {
		return Status{}, job.endedRefusal()
	}
	if job.state != StateCancelled {
		t.end(job, StateCancelled, now)
	}
	return job.status(), nil
}

// end moves a job to a final state and frees what only a running job needs.
func (t *Table) end(job *entry, state State, now instant.Micros) {
	for _, item := range sortedKeys(job.leases) {
		t.dropLease(job, item)
	}
	t.setUnready(job)
	t.uploads.Delete(job.uploadKey())
	t.unschedule(job)
	for i := range job.pages {
		t.flushPage(job, i)
	}
	for i := range job.parts {
		t.bodies.remove(job.parts[i].Ref)
	}
	job.state = state
	job.finished = now
	job.returned, job.tries, job.leases, job.tokens, job.partials = nil, nil, nil, nil, nil
	// A client that lost its answers sends the whole job again. The digests of a
	// completed job's parts stay, so that it finds what it sent instead of a
	// conflict; a cancelled job refuses all parts.
	if state == StateCancelled {
		job.parts = nil
	}
	t.archive(job)
}

func (j *entry) expires() instant.Micros {
	if !j.state.Ended() {
		return 0
	}
	return j.finished.Add(j.spec.Retention)
}

// Status gives the status of a job.
func (t *Table) Status(id ID) (Status, *apierr.Error) {
	job, refusal := t.find(id)
	if refusal != nil {
		return Status{}, refusal
	}
	return job.status(), nil
}

// List gives the jobs of a team, newest first.
func (t *Table) List(team string) []Status {
	var list []Status
	for _, job := range t.jobs {
		if job.spec.Team == team {
			list = append(list, job.status())
		}
	}
	for _, ref := range t.ended.ofTeam(team) {
		list = append(list, t.load(ref).status())
	}
	slices.SortFunc(list, func(a, b Status) int {
		return cmp.Or(cmp.Compare(b.Created, a.Created), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// Counts says how much a table holds.
type Counts struct {
	Open     int // jobs that have not ended
	Ended    int // jobs whose results are kept
	Sessions int
	Dropped  Dropped
}

// Counts gives the sizes of the table.
func (t *Table) Counts() Counts {
	return Counts{Open: len(t.jobs), Ended: len(t.ended.byKey), Sessions: len(t.sessions), Dropped: t.dropped}
}

// Add gives the counts of two tables together.
func (c Counts) Add(other Counts) Counts {
	c.Open += other.Open
	c.Ended += other.Ended
	c.Sessions += other.Sessions
	c.Dropped.Doubled += other.Dropped.Doubled
	c.Dropped.Late += other.Dropped.Late
	c.Dropped.Ended += other.Dropped.Ended
	c.Dropped.Invalid += other.Dropped.Invalid
	return c
}

// find gives a job; an ended one is read from the storage and must not be
// changed.
func (t *Table) find(id ID) (*entry, *apierr.Error) {
	if job, found := t.jobs[id]; found {
		return job, nil
	}
	if ended, found := t.ended.find(id); found {
		return t.load(ended.record), nil
	}
	return nil, apierr.New(apierr.NotFound, ReasonUnknownJob, "check the ID; results are deleted when their retention is over", "there is no job %q", string(id))
}

func (j *entry) status() Status {
	return Status{
		ID:        j.id,
		Spec:      j.spec,
		State:     j.state,
		Created:   j.created,
		Deadline:  j.deadline,
		Finished:  j.finished,
		Expires:   j.expires(),
		Parts:     j.received,
		Items:     int(j.items),
		Leased:    len(j.leases),
		Succeeded: int(j.succeeded),
		Failed:    int(j.failed),
		Unknown:   int(j.unknown),
	}
}

func digestOf(data []byte) uint64 {
	digest := fnv.New64a()
	digest.Write(data)
	return digest.Sum64()
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
