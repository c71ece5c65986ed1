package keeper

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/claim"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/replica"
)

// A newer version or a faulty proposer may write an entry that this version does not
// expect. All replicas must answer it alike: a panic would stop all of them at the
// same entry permanently.
func FuzzJobCommand(f *testing.F) {
	session, spec := job.SessionID("s"), job.Spec{Team: "t", Key: "k", MaxAttempts: 1, Within: time.Hour}
	id := job.NewID("t", "k")
	commands := []command{
		{At: 1, Create: &spec},
		{At: 2, AddPart: &addPart{Job: id, Count: 2, Data: codec.MustMarshal([]job.Item{{CustomID: "a"}})}},
		{At: 3, Seal: &sealJob{Job: id, Parts: 1}},
		{At: 4, OpenSession: &openSession{Session: session}},
		{At: 5, Lease: &leaseItems{Session: session, Request: 1, Wants: []job.QueueDemand{{Max: 2}}}},
		{At: 6, Complete: &completeItems{Session: session, Results: []job.Result{{Job: id, Attempt: 1, Outcome: job.OutcomeRetry}}}},
		{At: 7, Claim: &claim.Request{Team: "t", Key: "k", ID: "c", Session: session}},
		{At: 8, FinishClaim: &claim.Finish{Team: "t", Key: "k", ID: "c", NotRun: true}},
		{At: 9, EndSessions: []job.SessionID{session}},
		{At: 10, Cancel: id},
		{At: 1 << 60, Expire: true},
	}
	for _, cmd := range commands {
		f.Add(codec.MustMarshal(cmd))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		machine := NewJobMachine(t.TempDir(), func(err error) { t.Fatal(err) })
		defer func() { _ = machine.Close() }()
		for i, cmd := range commands {
			machine.Apply(replica.Entry{Index: uint64(2 * i), Data: codec.MustMarshal(cmd)})
			machine.Apply(replica.Entry{Index: uint64(2*i + 1), Data: data})
		}
		snapshot, err := machine.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := machine.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
	})
}
