package job

import (
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/instant"
)

// Submission is a whole job that is handed in with one command.
type Submission struct {
	Spec   Spec     `cbor:"1,keyasint"`
	Tokens []uint32 `cbor:"2,keyasint"` // by item
	Items  []byte   `cbor:"3,keyasint"` // encoded []Item
	// Quota is how many tokens of the job's owner may wait in the queue with those of
	// this job; zero sets no bound.
	Quota uint64 `cbor:"4,keyasint,omitempty"`
	// GiveUpAfter is the time from the acceptance after which items that have no result
	// end without one, by the keepers' clock; zero: as the Spec says.
	GiveUpAfter time.Duration `cbor:"5,keyasint,omitempty"`
}

// Submit accepts a whole job at once, or nothing of it. A job that was accepted
// before is accepted again, whatever has become of it: its client has lost the
// answer.
func (t *Table) Submit(s *Submission, now instant.Micros) (Status, *apierr.Error) {
	if known, refusal := t.find(NewID(s.Spec.Team, s.Spec.Key)); refusal == nil {
		return known.status(), nil
	}
	if len(s.Tokens) == 0 || len(s.Tokens) > MaxPartItems {
		return Status{}, apierr.New(apierr.Invalid, ReasonInvalidJob, "send at least one item, or split the job",
			"a submitted job holds 1 to %d items, not %d", MaxPartItems, len(s.Tokens))
	}
	if refusal := t.checkQuota(s); refusal != nil {
		return Status{}, refusal
	}
	spec := s.Spec
	if s.GiveUpAfter > 0 {
		spec.GiveUp = now.Add(s.GiveUpAfter)
	}
	status, refusal := t.Create(spec, now)
	if refusal != nil {
		return Status{}, refusal
	}
	if _, refusal := t.AddPart(status.ID, 0, uint32(len(s.Tokens)), s.Items); refusal != nil {
		t.end(t.jobs[status.ID], StateCancelled, now)
		return Status{}, refusal
	}
	job := t.jobs[status.ID]
	job.tokens = s.Tokens
	return t.Seal(status.ID, 1, now)
}

func (t *Table) checkQuota(s *Submission) *apierr.Error {
	asked := sum(s.Tokens)
	waiting := t.waiting[s.Spec.account()]
	if s.Quota == 0 || waiting+asked <= s.Quota {
		return nil
	}
	return apierr.New(apierr.Overloaded, ReasonQueueFull, "come back when results have arrived, or ask the operator for a larger quota",
		"%d tokens wait for %s, %d more would exceed the quota of %d", waiting, s.Spec.Queue.Service, asked, s.Quota)
}

// account names whose waiting tokens count together.
type account struct {
	queue Queue
	owner string
}

func (s *Spec) account() account { return account{queue: s.Queue, owner: s.Owner} }

func sum(tokens []uint32) uint64 {
	total := uint64(0)
	for _, count := range tokens {
		total += uint64(count)
	}
	return total
}

// schedule makes a job that begins to run count against its owner's quota and
// notes when its items are given up.
func (t *Table) schedule(job *entry) {
	if job.spec.GiveUp != 0 {
		t.giveUps.ReplaceOrInsert(job.giveUpKey())
	}
	for item, count := range job.tokens {
		if !job.done(uint32(item)) {
			t.waiting[job.spec.account()] += uint64(count)
		}
	}
}

// unschedule takes back what schedule noted of a job that ends.
func (t *Table) unschedule(job *entry) {
	t.giveUps.Delete(job.giveUpKey())
	for item, count := range job.tokens {
		if !job.done(uint32(item)) {
			t.addWaiting(job.spec.account(), -int64(count))
		}
	}
}

// freeTokens takes an item that has its result out of the quota.
func (t *Table) freeTokens(job *entry, item uint32) {
	if int(item) < len(job.tokens) {
		t.addWaiting(job.spec.account(), -int64(job.tokens[item]))
	}
}

func (t *Table) addWaiting(of account, count int64) {
	left := int64(t.waiting[of]) + count
	if left <= 0 {
		delete(t.waiting, of)
		return
	}
	t.waiting[of] = uint64(left)
}

func (j *entry) giveUpKey() expiryKey {
	key, _ := j.id.key()
	return expiryKey{at: j.spec.GiveUp, key: key}
}

func (j *entry) overdue(now instant.Micros) bool {
	return j.spec.GiveUp != 0 && now >= j.spec.GiveUp
}

// giveUpOverdue ends the waiting items of the jobs whose time is over. Items
// that run end when their gate reports them.
func (t *Table) giveUpOverdue(now instant.Micros) {
	for {
		next, found := t.giveUps.Min()
		if !found || next.at > now {
			return
		}
		t.giveUps.DeleteMin()
		t.giveUpWaiting(t.jobs[next.key.id()], now)
	}
}

func (t *Table) giveUpWaiting(job *entry, now instant.Micros) {
	t.setUnready(job)
	for job.state == StateRunning {
		item, found := job.takeItem()
		if !found {
			return
		}
		t.giveUpItem(job, item, now)
	}
}

func (t *Table) giveUpItem(job *entry, item uint32, now instant.Micros) {
	t.endItem(job, item, job.tries[item].Leases, now, OutcomeFailed, ReasonGivenUp, "its time was over before it had a result")
}

// Listing is a range of a job's results in the order in which they were made.
type Listing struct {
	Items uint32 // of the job
	Refs  []Ref
	Next  uint32 // position from which to go on
	Ended bool   // no result will follow
}

// ListFrom gives the results from a position on, limit at most. A result keeps
// its position for as long as the job is kept.
func (t *Table) ListFrom(id ID, position uint32, limit int) (Listing, error) {
	job, refusal := t.find(id)
	if refusal != nil {
		return Listing{}, refusal
	}
	listing := Listing{Items: job.items, Next: position, Ended: job.state.Ended()}
	reader := pageReader{storage: t.storage, number: -1}
	for int(listing.Next) < len(job.order) && len(listing.Refs) < limit {
		ref, err := reader.ref(job, job.order[listing.Next])
		if err != nil {
			return Listing{}, err
		}
		listing.Refs = append(listing.Refs, ref)
		listing.Next++
	}
	return listing, nil
}

// Bodies gives where the items of a running job lie.
func (t *Table) Bodies(id ID) ([]Ref, *apierr.Error) {
	job, refusal := t.find(id)
	if refusal != nil {
		return nil, refusal
	}
	if job.state.Ended() {
		return nil, job.endedRefusal()
	}
	refs := make([]Ref, len(job.parts))
	for i := range job.parts {
		refs[i] = job.parts[i].Ref
	}
	return refs, nil
}
