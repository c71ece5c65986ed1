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
	storage        Storage
	jobs           map[ID]*entry // jobs that have not ended
	ended          endedJobs
	uploadExpiry   *btree.BTreeG[expiryKey]          // open jobs by upload expiry
	ready          map[Queue]*btree.BTreeG[readyKey] // jobs with items to lease
	sessions       map[SessionID]*session
	dropped        Dropped
	created        uint64 // jobs created so far; orders jobs with equal deadlines
	partSegments   segmentUse
	resultSegments segmentUse
	giveUps        *btree.BTreeG[expiryKey] // running jobs by give-up time
	pendingTokens  map[quotaKey]uint64      // tokens of the items without a result

	// meanDuration is the mean time from an item's lease to its end, by queue.
	// Keepers store it because gates lose it at a restart, which is when much work
	// is waiting.
	meanDuration map[Queue]time.Duration

	// cachedPart is the part that customID read last. The cache is not part of the
	// replicated state.
	cachedPart  Ref
	cachedItems []Item
}

// entry is the state of one job.
type entry struct {
	id       ID
	spec     Spec
	state    State
	sequence uint64 // position in the order of creation
	created  instant.Micros
	deadline instant.Micros
	finished instant.Micros
	items    uint32
	parts    []part // by number; Count is 0 if a part is missing
	received int    // number of parts received

	next           uint32                  // first item that was never leased
	returned       []uint32                // items to lease again
	attempts       map[uint32]attemptCount // by item, for items that were leased and returned
	leases         map[uint32]lease        // by item
	partials       map[uint32]partial
	pages          []page
	resultSegments segmentUse // records in use by result segment
	tokens         []uint32   // by item; only for submitted jobs
	order          []uint32   // items in the order of their results

	succeeded, failed, unknown uint32
}

// part references the items of one upload.
type part struct {
	Digest uint64 `cbor:"1,keyasint"`
	Count  uint32 `cbor:"2,keyasint"`
	First  uint32 `cbor:"3,keyasint"` // index of the part's first item; set when the job is sealed
	Ref    Ref    `cbor:"4,keyasint"`
}

// attemptCount counts the attempts at an item.
type attemptCount struct {
	Leases  int `cbor:"1,keyasint"` // all leases
	Counted int `cbor:"2,keyasint"` // leases without those that were returned
}

// partial locates the partial answer of an item.
type partial struct {
	End  int   `cbor:"1,keyasint"`           // last event or token of the partial answer
	Ref  Ref   `cbor:"2,keyasint"`           // first piece
	More []Ref `cbor:"3,keyasint,omitempty"` // further pieces, in order
	// Writer is the Result.PartialWriter of the pieces.
	Writer string `cbor:"4,keyasint,omitempty"`
}

// pieces returns the references of all pieces in order.
func (p *partial) pieces() []Ref { return append([]Ref{p.Ref}, p.More...) }

type lease struct {
	Session      SessionID      `cbor:"1,keyasint"`
	Attempt      int            `cbor:"2,keyasint"`
	LeasedAt     instant.Micros `cbor:"3,keyasint,omitempty"`
	ResumedAfter int            `cbor:"4,keyasint,omitempty"` // event or token that the attempt resumes after
}

func (l lease) heldBy(session SessionID, attempt int) bool {
	return l.Session == session && l.Attempt == attempt
}

const btreeDegree = 16

// NewTable creates an empty table that keeps its records in storage.
func NewTable(storage Storage) *Table {
	return &Table{
		storage:        storage,
		jobs:           make(map[ID]*entry),
		ready:          make(map[Queue]*btree.BTreeG[readyKey]),
		ended:          newEndedJobs(),
		uploadExpiry:   btree.NewG(btreeDegree, expiryKey.less),
		sessions:       make(map[SessionID]*session),
		partSegments:   make(segmentUse),
		resultSegments: make(segmentUse),
		giveUps:        btree.NewG(btreeDegree, expiryKey.less),
		pendingTokens:  make(map[quotaKey]uint64),
		meanDuration:   make(map[Queue]time.Duration),
	}
}

// Create creates a job. A resent creation with the same content returns the
// existing job; other content under the same key is a conflict.
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
		return Status{}, apierr.New(apierr.Invalid, ReasonInvalidJob, "set the team, the job key and at least one attempt", "the job has no team, key or attempts")
	}
	t.created++
	job := &entry{
		id:             id,
		spec:           spec,
		state:          StateOpen,
		sequence:       t.created,
		created:        now,
		deadline:       spec.Deadline,
		attempts:       make(map[uint32]attemptCount),
		leases:         make(map[uint32]lease),
		resultSegments: make(segmentUse),
	}
	if job.deadline == 0 {
		job.deadline = now.Add(spec.Within)
	}
	t.jobs[id] = job
	t.uploadExpiry.ReplaceOrInsert(job.uploadExpiryKey())
	return job.status(), nil
}

// uploadExpiryKey orders an open job by the expiry of its upload. Without this
// expiry a client that is lost during its upload would leave the job behind
// forever.
func (j *entry) uploadExpiryKey() expiryKey {
	key, _ := j.id.key()
	return expiryKey{at: j.created.Add(j.spec.Retention), key: key}
}

// AddPart stores the part with the given number of an open job. A part sent twice
// is stored once; different items under the same number are a conflict. Data is
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
	t.partSegments.add(ref)
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
		return apierr.New(apierr.Invalid, ReasonInvalidPart, "split the items into several parts", "a part holds 1 to %d items, not %d", MaxPartItems, count)
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

// Seal ends the upload of a job with parts 0 to parts-1 and makes its items
// available for leases.
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
	t.uploadExpiry.Delete(job.uploadExpiryKey())
	job.state = StateRunning
	job.pages = newPages(job.items)
	if job.items == 0 {
		t.end(job, StateCompleted, now)
		return job.status(), nil
	}
	t.trackRunning(job)
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

// Cancel ends a job. Its leases end immediately and later results are dropped;
// the existing results stay readable.
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

// end moves a job to a final state and frees the data that only a running job
// needs.
func (t *Table) end(job *entry, state State, now instant.Micros) {
	for _, item := range sortedKeys(job.leases) {
		t.dropLease(job, item)
	}
	t.setUnready(job)
	t.uploadExpiry.Delete(job.uploadExpiryKey())
	t.untrackRunning(job)
	for i := range job.pages {
		t.flushPage(job, i)
	}
	for i := range job.parts {
		t.partSegments.remove(job.parts[i].Ref)
	}
	job.state = state
	job.finished = now
	job.returned, job.attempts, job.leases, job.tokens, job.partials = nil, nil, nil, nil, nil
	// A client that did not receive the answers sends the whole job again. The
	// digests of a completed job's parts are kept, so that resent parts are
	// recognised instead of refused. A cancelled job refuses all parts.
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

// Status returns the status of a job.
func (t *Table) Status(id ID) (Status, *apierr.Error) {
	job, refusal := t.find(id)
	if refusal != nil {
		return Status{}, refusal
	}
	return job.status(), nil
}

// List returns the jobs of a team, newest first.
func (t *Table) List(team string) []Status {
	var list []Status
	for _, job := range t.jobs {
		if job.spec.Team == team {
			list = append(list, job.status())
		}
	}
	for _, ref := range t.ended.recordsOfTeam(team) {
		list = append(list, t.loadEnded(ref).status())
	}
	slices.SortFunc(list, func(a, b Status) int {
		return cmp.Or(cmp.Compare(b.Created, a.Created), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// Counts holds the sizes of a table.
type Counts struct {
	Open     int // jobs that have not ended
	Ended    int // ended jobs that have not expired
	Sessions int
	Dropped  Dropped
}

// Counts returns the sizes of the table.
func (t *Table) Counts() Counts {
	return Counts{Open: len(t.jobs), Ended: len(t.ended.byKey), Sessions: len(t.sessions), Dropped: t.dropped}
}

// Add returns the sum of the counts of two tables.
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

// find returns a job. An ended job is read from storage and must not be modified.
func (t *Table) find(id ID) (*entry, *apierr.Error) {
	if job, found := t.jobs[id]; found {
		return job, nil
	}
	if ended, found := t.ended.find(id); found {
		return t.loadEnded(ended.record), nil
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
