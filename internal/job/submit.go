package job

import (
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/instant"
)

// Submission is a complete job that is created with one command.
type Submission struct {
	Spec   Spec     `cbor:"1,keyasint"`
	Tokens []uint32 `cbor:"2,keyasint"` // by item
	Items  []byte   `cbor:"3,keyasint"` // encoded []Item
	// Quota is the maximum number of tokens that may wait in the queue for the job's
	// owner, including this job; zero means no limit.
	Quota uint64 `cbor:"4,keyasint,omitempty"`
	// GiveUpAfter is the time after acceptance at which items without a result end
	// as failed, by the keepers' clock; zero means that Spec.GiveUpAt applies.
	GiveUpAfter time.Duration `cbor:"5,keyasint,omitempty"`
}

// Submit accepts a complete job atomically. A job that was accepted before is
// accepted again in any state, since its client did not receive the answer.
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
		spec.GiveUpAt = now.Add(s.GiveUpAfter)
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
	requested := sum(s.Tokens)
	waiting := t.pendingTokens[s.Spec.quotaKey()]
	if s.Quota == 0 || waiting+requested <= s.Quota {
		return nil
	}
	return apierr.New(apierr.Overloaded, ReasonQueueFull, "retry after some of the results have arrived, or ask the operator for a larger quota",
		"%d tokens are waiting in the queue %q; %d more would exceed its quota of %d", waiting, s.Spec.Queue.Service, requested, s.Quota)
}

// WaitingTokens returns the tokens of an owner's items without a result in the queues for which in
// returns true.
func (t *Table) WaitingTokens(owner string, in func(Queue) bool) uint64 {
	total := uint64(0)
	for key, tokens := range t.pendingTokens {
		if key.owner == owner && in(key.queue) {
			total += tokens
		}
	}
	return total
}

// quotaKey identifies the queue and owner whose waiting tokens share a quota.
type quotaKey struct {
	queue Queue
	owner string
}

func (s *Spec) quotaKey() quotaKey { return quotaKey{queue: s.Queue, owner: s.Owner} }

func sum(tokens []uint32) uint64 {
	total := uint64(0)
	for _, count := range tokens {
		total += uint64(count)
	}
	return total
}

// trackRunning counts the tokens of a job that starts to run against its owner's
// quota and schedules the give-up time of its items.
func (t *Table) trackRunning(job *entry) {
	if job.spec.GiveUpAt != 0 {
		t.giveUps.ReplaceOrInsert(job.giveUpKey())
	}
	for item, count := range job.tokens {
		if !job.done(uint32(item)) {
			t.pendingTokens[job.spec.quotaKey()] += uint64(count)
		}
	}
}

// untrackRunning reverts trackRunning for a job that ends.
func (t *Table) untrackRunning(job *entry) {
	t.giveUps.Delete(job.giveUpKey())
	for item, count := range job.tokens {
		if !job.done(uint32(item)) {
			t.addPendingTokens(job.spec.quotaKey(), -int64(count))
		}
	}
}

// releaseTokens removes the tokens of an item with a result from the quota.
func (t *Table) releaseTokens(job *entry, item uint32) {
	if int(item) < len(job.tokens) {
		t.addPendingTokens(job.spec.quotaKey(), -int64(job.tokens[item]))
	}
}

func (t *Table) addPendingTokens(key quotaKey, count int64) {
	total := int64(t.pendingTokens[key]) + count
	if total <= 0 {
		delete(t.pendingTokens, key)
		return
	}
	t.pendingTokens[key] = uint64(total)
}

func (j *entry) giveUpKey() expiryKey {
	key, _ := j.id.key()
	return expiryKey{at: j.spec.GiveUpAt, key: key}
}

func (j *entry) pastGiveUp(now instant.Micros) bool {
	return j.spec.GiveUpAt != 0 && now >= j.spec.GiveUpAt
}

// giveUpDueJobs ends the waiting items of the jobs whose give-up time has passed.
// Leased items end when their gate reports them.
func (t *Table) giveUpDueJobs(now instant.Micros) {
	for {
		next, found := t.giveUps.Min()
		if !found || next.at > now {
			return
		}
		t.giveUps.DeleteMin()
		t.giveUpWaitingItems(t.jobs[next.key.id()], now)
	}
}

func (t *Table) giveUpWaitingItems(job *entry, now instant.Micros) {
	t.setUnready(job)
	for job.state == StateRunning {
		item, found := job.nextItem()
		if !found {
			return
		}
		t.giveUpItem(job, item, now)
	}
}

func (t *Table) giveUpItem(job *entry, item uint32, now instant.Micros) {
	t.endItem(job, item, job.attempts[item].Leases, now, OutcomeFailed, ReasonGivenUp, "its time was over before it had a result")
}

// CompletionListing is a range of a job's results in the order of completion.
type CompletionListing struct {
	Items uint32 // total number of items of the job
	Refs  []Ref
	Next  uint32 // position to continue from
	Ended bool   // no more results will follow
}

// ListByCompletion returns at most limit results, starting at a position in the
// order of completion. A result keeps its position until the job is deleted.
func (t *Table) ListByCompletion(id ID, position uint32, limit int) (CompletionListing, error) {
	job, refusal := t.find(id)
	if refusal != nil {
		return CompletionListing{}, refusal
	}
	listing := CompletionListing{Items: job.items, Next: position, Ended: job.state.Ended()}
	reader := pageReader{storage: t.storage, number: -1}
	for int(listing.Next) < len(job.order) && len(listing.Refs) < limit {
		ref, err := reader.ref(job, job.order[listing.Next])
		if err != nil {
			return CompletionListing{}, err
		}
		listing.Refs = append(listing.Refs, ref)
		listing.Next++
	}
	return listing, nil
}

// PartRefs returns the references of the parts of a job that has not ended.
func (t *Table) PartRefs(id ID) ([]Ref, *apierr.Error) {
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
