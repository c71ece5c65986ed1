package job_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/instant"
	"slateway.example/slateway/internal/job"
)

// One item of a job crashes each gate that runs it. The job must still end: the
// item fails with a reason after its last attempt, and the other items are not
// delayed.
func TestItemThatCrashesEachGateFails(t *testing.T) {
	storage := &memoryStorage{}
	table := job.NewTable(storage)
	status, _ := table.Create(job.Spec{Team: "t", Key: "k", Queue: queue, Within: time.Hour, MaxAttempts: 2, Retention: time.Hour}, 1)
	table.AddPart(status.ID, 0, partItems, encodedPart(0))
	table.Seal(status.ID, 1, 1)
	lostGates := 0
	for request := uint64(1); ; request++ {
		session := job.SessionID(fmt.Sprint("s", lostGates))
		table.OpenSession(session, job.GateRun{VM: "vm"})
		items, _, _ := table.Lease(session, request, []job.QueueDemand{{Queue: queue, Max: 1}}, 2)
		if len(items) == 0 {
			break
		}
		if items[0].Item == 0 {
			table.EndSession(session, 2)
			lostGates++
			continue
		}
		table.Complete(session, []job.Result{{Job: status.ID, Item: items[0].Item, Attempt: items[0].Attempt, Outcome: job.OutcomeSucceeded}}, 2)
	}
	status, _ = table.Status(status.ID)
	if lostGates != 2 || status.State != job.StateCompleted || status.Failed != 1 || status.Succeeded != 2 {
		t.Fatalf("lost %d gates, status %+v", lostGates, status)
	}
	located, _ := table.ListByItem(status.ID, 0, 1)
	var first job.StoredResult
	if err := codec.Unmarshal(storage.results[located.Refs[0].Offset], &first); err != nil {
		t.Fatal(err)
	}
	if first.Reason != job.ReasonAttemptsExhausted || first.CustomID != "notice-0" {
		t.Fatalf("result %+v", first)
	}
}

// All processes of a site are restarted. Without replacement of the sessions,
// batch work stands still for three more seconds while replicas are idle: the
// items stay leased to the earlier gate processes until their sessions expire.
func TestRestartedGateReplacesItsEarlierSessions(t *testing.T) {
	table := job.NewTable(&memoryStorage{})
	earlier := job.GateRun{VM: "gate-a", Started: 1_000}
	table.OpenSession("earlier", earlier)
	table.OpenSession("other", job.GateRun{VM: "gate-b", Started: 900})
	table.OpenSession("unknown", job.GateRun{VM: "gate-a"})

	if replaced := table.ReplacedSessions(job.GateRun{VM: "gate-a", Started: 2_000}); !slices.Equal(replaced, []job.SessionID{"earlier"}) {
		t.Errorf("a later run replaces %v", replaced)
	}
	// A second session of the same run, a delayed call of an earlier run or a
	// clock that was set back replace nothing.
	for _, run := range []job.GateRun{earlier, {VM: "gate-a", Started: 500}, {VM: "gate-a"}, {VM: "gate-c", Started: 5_000}} {
		if replaced := table.ReplacedSessions(run); len(replaced) > 0 {
			t.Errorf("%+v replaces %v", run, replaced)
		}
	}

	data, err := table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := job.RestoreTable(data, &memoryStorage{})
	if err != nil {
		t.Fatal(err)
	}
	if replaced := restored.ReplacedSessions(job.GateRun{VM: "gate-a", Started: 2_000}); !slices.Equal(replaced, []job.SessionID{"earlier"}) {
		t.Errorf("after a restart of the keeper a later run replaces %v", replaced)
	}
}

// More work is waiting than can be done in time. Ordered by deadline alone, gates
// would lease the job that is due next although its items cannot be done by then,
// and the job after it would miss its deadline too.
func TestOverdueItemsAreLeasedLast(t *testing.T) {
	table := job.NewTable(&memoryStorage{})
	now := instant.Micros(1)
	submit := func(key string, within time.Duration) job.ID {
		status, _ := table.Create(job.Spec{Team: "t", Key: key, Queue: queue, Within: within, MaxAttempts: 2, Retention: time.Hour}, now)
		table.AddPart(status.ID, 0, partItems, encodedPart(0))
		table.Seal(status.ID, 1, now)
		return status.ID
	}
	table.OpenSession("s", job.GateRun{VM: "vm"})
	request := uint64(0)
	lease := func(count int) []job.Leased {
		request++
		items, _, _ := table.Lease("s", request, []job.QueueDemand{{Queue: queue, Max: count}}, now)
		return items
	}
	submit("before", time.Minute)
	for _, item := range lease(partItems) { // sets the mean duration of items
		table.Complete("s", []job.Result{{
			Job: item.Job, Item: item.Item, Attempt: item.Attempt, Outcome: job.OutcomeSucceeded,
		}}, now.Add(5*time.Second))
	}
	now = now.Add(5 * time.Second)
	overdue, inTime := submit("late", 3*time.Second), submit("in-time", 8*time.Second)

	data, err := table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if table, err = job.RestoreTable(data, &memoryStorage{}); err != nil { // a restart of the keepers
		t.Fatal(err)
	}
	first := lease(1)[0]
	if first.Job != inTime || first.ExpectedRunTime != 5*time.Second {
		t.Errorf("an overdue item was leased before one that can be in time; expected run time %s", first.ExpectedRunTime)
	}
	for _, item := range lease(partItems) {
		if item.Job == overdue {
			return
		}
	}
	t.Error("the overdue job was not leased although nothing else was waiting")
}

// An abandoned upload and an ended job past its retention must both be removed
// from the keepers' memory and disk.
func TestExpire(t *testing.T) {
	storage := &memoryStorage{}
	table := job.NewTable(storage)
	spec := job.Spec{Team: "t", Key: "lost", Queue: queue, MaxAttempts: 1, Retention: time.Minute}
	upload, _ := table.Create(spec, 1)
	table.AddPart(upload.ID, 0, partItems, encodedPart(0))
	spec.Key = "ended"
	ended, _ := table.Create(spec, 1)
	table.Seal(ended.ID, 0, 1)
	before, expiry := instant.Micros(1).Add(time.Minute-1), instant.Micros(1).Add(time.Minute)
	if table.Expired(before) || !table.Expired(expiry) {
		t.Fatal("the jobs expire at the wrong time")
	}
	if deleted := table.Expire(expiry); deleted != 1 || table.PartSegmentInUse(1) {
		t.Fatalf("deleted %d jobs, parts in use: %v", deleted, table.PartSegmentInUse(1))
	}
	if status, refusal := table.Status(upload.ID); refusal != nil || status.State != job.StateCancelled {
		t.Fatalf("the abandoned upload: %+v, %v", status, refusal)
	}
	if table.Expire(expiry.Add(time.Minute)) != 1 || table.ResultSegmentInUse(1) || len(table.List("t")) != 0 {
		t.Fatal("an expired job or its results were kept")
	}
}

// New jobs keep arriving while one job is overdue. Always served last, it would
// never end; always served first, it would delay the others past their deadlines.
func TestOverdueJobIsNotStarved(t *testing.T) {
	table := job.NewTable(&memoryStorage{})
	add := func(key string, within time.Duration) job.ID {
		status, _ := table.Create(job.Spec{Team: "t", Key: key, Queue: queue, Within: within, MaxAttempts: 1, Retention: time.Hour}, 1)
		for number := range 5 {
			table.AddPart(status.ID, number, partItems, encodedPart(number))
		}
		table.Seal(status.ID, 5, 1)
		return status.ID
	}
	overdue, second, first := add("late", 0), add("second", 2*time.Hour), add("first", time.Hour)
	table.OpenSession("s", job.GateRun{VM: "vm"})
	var order []job.ID
	for request := uint64(1); request <= 17; request++ {
		items, _, _ := table.Lease("s", request, []job.QueueDemand{{Queue: queue, Max: 1}}, 2)
		order = append(order, items[0].Job)
	}
	if order[0] != first || order[6] != first || order[7] != overdue || order[15] != overdue || order[16] != first {
		t.Fatalf("overdue %s, first %s, second %s: order %v", overdue, first, second, order)
	}
}
