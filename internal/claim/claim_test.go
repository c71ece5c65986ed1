package claim_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"slateway.example/slateway/internal/claim"
	"slateway.example/slateway/internal/instant"
	"slateway.example/slateway/internal/job"
)

// The seed is fixed so that each run gives the same result. For a longer search, use
// -rapid.seed=0 -rapid.checks=20000.
func init() { _ = flag.Set("rapid.seed", "1") }

type memory struct{ outcomes [][]byte }

func (m *memory) AppendOutcome(data []byte) job.Ref {
	m.outcomes = append(m.outcomes, data)
	return job.Ref{Segment: 1, Length: uint32(len(data)), Offset: uint64(len(m.outcomes) - 1)}
}

// machine makes requests to a Table for gates that may be lost.
type machine struct {
	table   *claim.Table
	storage *memory
	now     instant.Micros
	granted []claim.Request
	sent    map[string]string // attempt that sent the request, by key
	done    map[string]string // outcome returned, by key
	freed   []claim.Request   // ended without a run
	next    int
}

// claimKey claims a key and, if the claim is granted, either sends the request or frees
// the key.
func (m *machine) claimKey(t *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
	m.next++
	request := claim.Request{
		Team: "registry", Key: key, Fingerprint: 1, ID: fmt.Sprint(m.next),
		Session: job.SessionID(rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "session")),
	}
	answer, refusal := m.table.Claim(request, true)
	if refusal != nil {
		t.Fatal(refusal)
	}
	if answer.State == claim.StateDone {
		m.checkOutcome(t, key, string(m.storage.outcomes[answer.Outcome.Offset]))
	}
	if answer.State != claim.StateGranted {
		return
	}
	if again, _ := m.table.Claim(request, true); again.State != claim.StateGranted {
		t.Fatalf("the resend of a granted claim has the state %s, want granted", again.State)
	}
	if rapid.IntRange(0, 3).Draw(t, "not run") == 0 {
		m.finish(t, claim.Finish{Team: "registry", Key: key, ID: request.ID, NotRun: true})
		m.freed = append(m.freed, request)
		return
	}
	if first, ran := m.sent[key]; ran {
		t.Fatalf("key %s runs twice, in attempts %s and %s", key, first, request.ID)
	}
	m.sent[key] = request.ID
	m.granted = append(m.granted, request)
}

// delayedCopy delivers a copy of a claim that its gate has already freed.
func (m *machine) delayedCopy(t *rapid.T) {
	if len(m.freed) == 0 {
		t.Skip("no claim was freed")
	}
	request := m.freed[max(0, len(m.freed)-rapid.IntRange(1, 5).Draw(t, "copy"))]
	if answer, refusal := m.table.Claim(request, true); refusal == nil && answer.State == claim.StateGranted {
		t.Fatalf("claim %s of key %s was granted after it was freed", request.ID, request.Key)
	}
}

func (m *machine) checkOutcome(t *rapid.T, key, outcome string) {
	if first, known := m.done[key]; known && first != outcome {
		t.Fatalf("key %s was answered %q after %q", key, outcome, first)
	}
	m.done[key] = outcome
}

func (m *machine) finish(t *rapid.T, finish claim.Finish) {
	for range 2 {
		if refusal := m.table.Finish(finish, m.now); refusal != nil {
			t.Fatal(refusal)
		}
	}
}

func (m *machine) answerArrives(t *rapid.T) {
	if len(m.granted) == 0 {
		t.Skip("no request runs")
	}
	request := rapid.SampledFrom(m.granted).Draw(t, "request")
	finish := claim.Finish{Team: request.Team, Key: request.Key, ID: request.ID, Outcome: []byte("by " + request.ID)}
	finish.Unknown = rapid.Bool().Draw(t, "broken")
	m.finish(t, finish)
}

func (m *machine) loseGate(t *rapid.T) {
	m.table.EndSession(job.SessionID(rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "session")), m.now)
}

func (m *machine) restart(t *rapid.T) {
	data, err := m.table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if m.table, err = claim.RestoreTable(data, m.storage); err != nil {
		t.Fatal(err)
	}
}

// A request is sent repeatedly through several gates, some of which are lost while it
// runs. It must run at most once, and all callers that get an outcome must get the same.
//
// The test fails with "runs twice" if endAsUnknown deletes the claim, and with "was
// granted after it was freed" if Claim does not check for freed IDs.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		storage := &memory{}
		m := &machine{table: claim.NewTable(storage), storage: storage, now: 1, sent: make(map[string]string), done: make(map[string]string)}
		t.Repeat(map[string]func(*rapid.T){
			"":       func(*rapid.T) { m.now++ },
			"ask":    m.claimKey,
			"answer": m.answerArrives, "lose": m.loseGate, "late": m.delayedCopy, "restart": m.restart,
		})
	})
}

func TestExpiryForgetsEndedClaimsOnly(t *testing.T) {
	storage := &memory{}
	table := claim.NewTable(storage)
	for _, key := range []string{"done", "running"} {
		table.Claim(claim.Request{Team: "t", Key: key, ID: key, Session: "s"}, true)
	}
	table.Finish(claim.Finish{Team: "t", Key: "done", ID: "done", Outcome: []byte("x")}, 1)
	if table.Expire(1) != 0 {
		t.Fatal("a claim expired immediately")
	}
	afterRetention := instant.Micros(2).Add(claim.Retention)
	if table.Expire(afterRetention) != 1 || table.SegmentInUse(1) {
		t.Fatal("the ended claim was kept beyond its retention")
	}
	if answer, _ := table.Claim(claim.Request{Team: "t", Key: "running", ID: "other", Session: "s"}, true); answer.State != claim.StateRunning {
		t.Fatalf("the running claim has the state %s, want running", answer.State)
	}
}
