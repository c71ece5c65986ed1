package keeper

import (
	"fmt"
	"os"
	"testing"
	"time"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/replica"
)

// applier applies commands to a machine and records them like its log.
type applier struct {
	machine *JobMachine
	log     []command
}

func (a *applier) apply(t *testing.T, cmd command) {
	t.Helper()
	a.log = append(a.log, cmd)
	var answer result
	if err := codec.Unmarshal(a.machine.Apply(replica.Entry{Data: codec.MustMarshal(cmd)}), &answer); err != nil {
		t.Fatal(err)
	}
	if answer.Refusal != nil {
		t.Fatal(answer.Refusal)
	}
}

// runJob creates a job of one item and completes it.
func (a *applier) runJob(t *testing.T, key string) job.ID {
	id := job.NewID("t", key)
	a.apply(t, command{At: 1, Create: &job.Spec{Team: "t", Key: key, MaxAttempts: 1, Retention: time.Minute}})
	a.apply(t, command{At: 1, AddPart: &addPart{Job: id, Count: 1, Data: codec.MustMarshal([]job.Item{{CustomID: key}})}})
	a.apply(t, command{At: 1, Seal: &sealJob{Job: id, Parts: 1}})
	a.apply(t, command{At: 1, Complete: &completeItems{Results: []job.Result{{Job: id, Outcome: job.OutcomeSucceeded, Body: []byte(key)}}}})
	return id
}

func (m *JobMachine) body(t *testing.T, id job.ID) string {
	t.Helper()
	located, err := m.jobs.ListByItem(id, 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	response, err := m.readResults(located)
	if err != nil {
		t.Fatal(err)
	}
	return string(response.Results[0].Body)
}

func fileCount(t *testing.T, folder string) int {
	t.Helper()
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// A keeper must delete the files of expired results, but not too early: if it crashes
// while it takes a snapshot, it restarts from the previous snapshot, which still
// refers to files of results that have expired since. Without those files it could not
// start.
//
// If files are deleted at once and not at the next snapshot, this test fails with "no
// such file or a short one".
func TestExpiredFilesOutliveTheSnapshotThatRefersToThem(t *testing.T) {
	folder := t.TempDir()
	fail := func(err error) { t.Fatal(err) }
	a := &applier{machine: newJobMachine(folder, 1, fail)} // one record per segment
	for n := range 5 {
		a.runJob(t, fmt.Sprint("old-", n))
	}
	snapshot, err := a.machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	a.log = nil
	a.apply(t, command{At: 1 << 40, Expire: true})
	kept := a.runJob(t, "new")
	if _, err := a.machine.Snapshot(); err != nil {
		t.Fatal(err)
	}
	// The process crashes before it stores the second snapshot and restarts from the
	// first one.
	if err := a.machine.Close(); err != nil {
		t.Fatal(err)
	}
	restarted := newJobMachine(folder, 1, fail)
	if err := restarted.Restore(snapshot); err != nil {
		t.Fatalf("no such file or a short one: %v", err)
	}
	if body := restarted.body(t, job.NewID("t", "old-3")); body != "old-3" {
		t.Fatalf("result %q", body)
	}
	for _, cmd := range a.log {
		restarted.Apply(replica.Entry{Data: codec.MustMarshal(cmd)})
	}
	before := fileCount(t, folder)
	for range 2 {
		if snapshot, err = restarted.Snapshot(); err != nil {
			t.Fatal(err)
		}
	}
	if after := fileCount(t, folder); after >= before {
		t.Errorf("%d files, %d before the results expired", after, before)
	}
	if err := restarted.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if body := restarted.body(t, kept); body != "new" {
		t.Errorf("result %q", body)
	}
}
