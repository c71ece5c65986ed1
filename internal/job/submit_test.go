package job_test

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/instant"
	"slateway.example/slateway/internal/job"
)

// submitted submits a job of partItems items with 10 tokens each.
func submitted(table *job.Table, key string, quota uint64, giveUp instant.Micros) (job.Status, error) {
	status, refusal := table.Submit(&job.Submission{
		Spec: job.Spec{
			Team: "council.example", Key: key, Queue: queue, Within: time.Hour, MaxAttempts: 2,
			Retention: time.Hour, GiveUpAt: giveUp, CountOnlyAnswered: true,
		},
		Tokens: []uint32{10, 10, 10}, Items: encodedPart(0), Quota: quota,
	}, 1)
	if refusal != nil {
		return status, refusal
	}
	return status, nil
}

func complete(table *job.Table, id job.ID, leased job.Leased, outcome job.Outcome, now instant.Micros) {
	table.Complete("s", []job.Result{{Job: id, Item: leased.Item, Attempt: leased.Attempt, Outcome: outcome}}, now)
}

func leaseAll(table *job.Table, request uint64) []job.Leased {
	items, _, _ := table.Lease("s", request, []job.QueueDemand{{Queue: queue, Max: partItems}}, 2)
	return items
}

// listed returns the items of a job in the order of completion.
func listed(t *testing.T, table *job.Table, storage *memoryStorage, id job.ID) []uint32 {
	t.Helper()
	listing, err := table.ListByCompletion(id, 0, 100)
	if err != nil {
		t.Fatal(err)
	}
	var items []uint32
	for _, ref := range listing.Refs {
		var result job.StoredResult
		if err := codec.Unmarshal(storage.results[ref.Offset], &result); err != nil {
			t.Fatal(err)
		}
		items = append(items, result.Item)
	}
	return items
}

// A client does not receive the answer to its submission and resends it, even
// after all items have run. The job must be accepted again without running twice.
func TestSubmittedJobIsAcceptedOnce(t *testing.T) {
	table := job.NewTable(&memoryStorage{})
	first, err := submitted(table, "a", 30, 0)
	if err != nil || first.Items != partItems {
		t.Fatalf("%+v, %v", first, err)
	}
	if again, err := submitted(table, "a", 30, 0); err != nil || again.ID != first.ID {
		t.Fatalf("resent while it runs: %+v, %v", again, err)
	}
	table.OpenSession("s", job.GateRun{VM: "vm"})
	for _, item := range leaseAll(table, 1) {
		complete(table, first.ID, item, job.OutcomeSucceeded, 2)
	}
	if again, err := submitted(table, "a", 30, 0); err != nil || again.State != job.StateCompleted {
		t.Fatalf("resent after its end: %+v, %v", again, err)
	}
	if items := leaseAll(table, 2); len(items) != 0 {
		t.Fatalf("leased again: %v", items)
	}
}

// Two jobs in one queue exceed the quota. The second must be refused as a whole
// until items of the first have results or the first job has ended.
func TestQuotaCountsItemsWithoutResult(t *testing.T) {
	table := job.NewTable(&memoryStorage{})
	first, _ := submitted(table, "a", 50, 0)
	if _, err := submitted(table, "b", 50, 0); err == nil {
		t.Fatal("60 tokens accepted under a quota of 50")
	}
	table.OpenSession("s", job.GateRun{VM: "vm"})
	items := leaseAll(table, 1)
	complete(table, first.ID, items[0], job.OutcomeSucceeded, 2)
	if _, err := submitted(table, "b", 50, 0); err != nil {
		t.Fatalf("refused while 20 tokens are waiting: %v", err)
	}
	if _, refusal := table.Cancel(first.ID, 3); refusal != nil {
		t.Fatal(refusal)
	}
	if _, err := submitted(table, "c", 60, 0); err != nil {
		t.Fatalf("a cancelled job still counts against the quota: %v", err)
	}
	if restored := roundTrip(t, table); restored != nil {
		if _, err := submitted(restored, "d", 60, 0); err == nil {
			t.Fatal("a snapshot lost the tokens that count against the quota")
		}
	}
}

// Waiting items of one owner must not use up the quota of the others.
func TestQuotaIsPerOwner(t *testing.T) {
	table := job.NewTable(&memoryStorage{})
	submit := func(owner, key string) *apierr.Error {
		_, refusal := table.Submit(&job.Submission{
			Spec:   job.Spec{Team: "news.example", Owner: owner, Key: owner + key, Queue: job.Queue{Service: "wordroom"}, MaxAttempts: 1},
			Tokens: []uint32{30}, Items: codec.MustMarshal([]job.Item{{CustomID: "i"}}), Quota: 50,
		}, 1)
		return refusal
	}
	for _, owner := range []string{"council", "parish"} {
		if refusal := submit(owner, "a"); refusal != nil {
			t.Fatalf("%s: %v", owner, refusal)
		}
		if refusal := submit(owner, "b"); refusal == nil {
			t.Fatalf("%s has 60 tokens waiting under a quota of 50", owner)
		}
	}
	table = roundTrip(t, table)
	if refusal := submit("council", "c"); refusal == nil {
		t.Fatal("a snapshot lost the owner of waiting items")
	}
}

func roundTrip(t *testing.T, table *job.Table) *job.Table {
	t.Helper()
	data, err := table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := job.RestoreTable(data, &memoryStorage{})
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

// A client pages through a job's results while the job runs. A result that changed
// its position would be read twice or not at all.
func TestResultsKeepTheOrderOfCompletion(t *testing.T) {
	storage := &memoryStorage{}
	table := job.NewTable(storage)
	status, _ := submitted(table, "a", 0, 0)
	table.OpenSession("s", job.GateRun{VM: "vm"})
	items := leaseAll(table, 1)
	complete(table, status.ID, items[2], job.OutcomeSucceeded, 2)
	complete(table, status.ID, items[0], job.OutcomeFailed, 3)
	if got := listed(t, table, storage, status.ID); len(got) != 2 || got[0] != 2 || got[1] != 0 {
		t.Fatalf("listed %v", got)
	}
	complete(table, status.ID, items[1], job.OutcomeSucceeded, 4)
	if got := listed(t, table, storage, status.ID); len(got) != 3 || got[0] != 2 || got[1] != 0 || got[2] != 1 {
		t.Fatalf("listed after the job's end: %v", got)
	}
}

// Gates are lost repeatedly while they run an item that no upstream has answered.
// The item must not fail before its give-up time.
func TestItemIsGivenUpByTimeOnly(t *testing.T) {
	storage := &memoryStorage{}
	table := job.NewTable(storage)
	const giveUp = instant.Micros(1000)
	status, _ := submitted(table, "a", 0, giveUp)
	for round := range 5 {
		table.OpenSession("s", job.GateRun{VM: "vm"})
		if items := leaseAll(table, uint64(round+1)); len(items) != partItems {
			t.Fatalf("round %d: leased %d items", round, len(items))
		}
		table.EndSession("s", 2)
	}
	table.OpenSession("s", job.GateRun{VM: "vm"})
	running := leaseAll(table, 1)[:1]
	for _, item := range leaseAll(table, 2) {
		complete(table, status.ID, item, job.OutcomeReturned, 3)
	}
	if !table.Expired(giveUp) || table.Expired(giveUp-1) {
		t.Fatal("given up at the wrong time")
	}
	table.Expire(giveUp)
	complete(table, status.ID, running[0], job.OutcomeReturned, giveUp+1)
	for _, item := range leaseAll(table, 3) {
		t.Fatalf("leased after the give-up time: %+v", item)
	}
	table.EndSession("s", giveUp+2)
	status, _ = table.Status(status.ID)
	if status.State != job.StateCompleted || status.Failed != partItems {
		t.Fatalf("status %+v", status)
	}
}

// reportPart reports a partial answer: the text of an item's events after start,
// up to and including end.
func reportPart(table *job.Table, session job.SessionID, item job.Leased, outcome job.Outcome, start, end int, text string) {
	table.Complete(session, []job.Result{{
		Job: item.Job, Item: item.Item, Attempt: item.Attempt, Outcome: outcome,
		Partial: []byte(text), PartialFrom: start, PartialEnd: end,
	}}, 2)
}

// A gate that stops returns its items with their partial answers. The next gate
// must resume there; otherwise each restart of a gate would lose work.
func TestReturnedItemResumesFromPartialAnswer(t *testing.T) {
	storage := &memoryStorage{}
	table := job.NewTable(storage)
	submitted(table, "a", 0, 0)
	table.OpenSession("s", job.GateRun{VM: "vm"})
	item := leaseAll(table, 1)[0]
	returnItem := func(item job.Leased, end int, text string) {
		reportPart(table, "s", item, job.OutcomeReturned, 0, end, text)
	}
	returnItem(item, 7, "seven events")
	data, err := table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if table, err = job.RestoreTable(data, storage); err != nil {
		t.Fatal(err)
	}
	again := leaseAll(table, 2)[0]
	text, err := storage.ReadResult(again.Partial[0])
	if err != nil || again.Item != item.Item || again.PartialEnd != 7 || string(text) != "seven events" {
		t.Fatalf("leased %+v, %q, %v", again, text, err)
	}
	returnItem(again, 3, "three") // a shorter partial answer must not replace a longer one
	if third := leaseAll(table, 3)[0]; third.PartialEnd != 7 {
		t.Fatalf("leased %+v", third)
	}
}

// A gate is killed while it runs an item, so that only the pieces of the answer
// that it has already reported survive. The next gate must resume after the last
// of them. A piece whose predecessor is missing must not be appended.
func TestItemOfKilledGateResumesAfterItsLastPiece(t *testing.T) {
	storage := &memoryStorage{}
	table := job.NewTable(storage)
	submitted(table, "a", 0, 0)
	table.OpenSession("s", job.GateRun{VM: "vm"})
	item := leaseAll(table, 1)[0]
	report := func(session job.SessionID, start, end int, text string) {
		reportPart(table, session, item, job.OutcomeProgress, start, end, text)
	}
	report("s", 0, 3, "one two three")
	report("s", 3, 5, " four five")
	report("s", 3, 5, " four five") // resent
	report("s", 6, 8, " seven eight")
	report("other", 5, 6, " six")
	if ready := table.Ready(queue, partItems); ready != 0 {
		t.Fatalf("%d items can be leased while their gate runs them", ready)
	}
	data, err := table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if table, err = job.RestoreTable(data, storage); err != nil {
		t.Fatal(err)
	}
	table.EndSession("s", 3)
	table.OpenSession("next", job.GateRun{VM: "vm"})
	items, _, _ := table.Lease("next", 1, []job.QueueDemand{{Queue: queue, Max: 100}}, 4)
	for _, again := range items {
		if again.Item != item.Item {
			continue
		}
		text := ""
		for _, ref := range again.Partial {
			read, err := storage.ReadResult(ref)
			if err != nil {
				t.Fatal(err)
			}
			text += string(read)
		}
		if again.PartialEnd != 5 || text != "one two three four five" {
			t.Errorf("the partial answer ends at %d and is %q", again.PartialEnd, text)
		}
		return
	}
	t.Errorf("the item was not leased again: %+v", items)
}

// Attempts that an upstream answered as failed count. After the maximum number of
// attempts the item must end as failed.
func TestFailureAnswersCount(t *testing.T) {
	table := job.NewTable(&memoryStorage{})
	status, _ := submitted(table, "a", 0, 0)
	table.OpenSession("s", job.GateRun{VM: "vm"})
	for request := uint64(1); request <= 2; request++ {
		for _, item := range leaseAll(table, request) {
			complete(table, status.ID, item, job.OutcomeRetry, 2)
		}
	}
	if status, _ = table.Status(status.ID); status.State != job.StateCompleted || status.Failed != partItems {
		t.Fatalf("status %+v", status)
	}
}

// The clock of the gate that accepts a job, or of the gate that runs its items, is
// an hour off. Items must still be given up at the right time.
func TestGiveUpTimeDoesNotDependOnGateClocks(t *testing.T) {
	const accepted, giveUpAfter = instant.Micros(50_000_000), 20 * time.Second
	table := job.NewTable(&memoryStorage{})
	status, refusal := table.Submit(&job.Submission{
		Spec: job.Spec{
			Team: "news.example", Key: "a", Queue: queue, Within: 9 * time.Second, MaxAttempts: 1, CountOnlyAnswered: true,
		},
		Tokens: []uint32{30}, Items: codec.MustMarshal([]job.Item{{CustomID: "i"}}), GiveUpAfter: giveUpAfter,
	}, accepted)
	if refusal != nil {
		t.Fatal(refusal)
	}
	if want := accepted.Add(giveUpAfter); status.Spec.GiveUpAt != want {
		t.Fatalf("given up at %d, accepted at %d", status.Spec.GiveUpAt, accepted)
	}
	table.OpenSession("s", job.GateRun{VM: "vm"})
	leasedAt := accepted.Add(5 * time.Second)
	items, _, refusal := table.Lease("s", 1, []job.QueueDemand{{Queue: queue, Max: 1}}, leasedAt)
	if refusal != nil || len(items) != 1 {
		t.Fatalf("%v, %v", items, refusal)
	}
	gateTime := leasedAt.Time().Add(time.Hour)
	if left := items[0].LocalTime(items[0].GiveUpAt, gateTime).Sub(gateTime); left != 15*time.Second {
		t.Errorf("given up in %s at a gate whose clock is an hour ahead", left)
	}
	if left := items[0].LocalTime(items[0].Deadline, gateTime).Sub(gateTime); left != 4*time.Second {
		t.Errorf("due in %s at a gate whose clock is an hour ahead", left)
	}
}
