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

// The seed is fixed, so that a run gives the same verdict each time; a longer
// search takes -rapid.seed=0 -rapid.checks=20000.
func init() { _ = flag.Set("rapid.seed", "1") }

type memory struct{ outcomes [][]byte }

func (m *memory) AppendOutcome(data []byte) job.Ref {
	m.outcomes = append(m.outcomes, data)
	return job.Ref{Segment: 1, Length: uint32(len(data)), Offset: uint64(len(m.outcomes) - 1)}
}

// machine drives a Table with the requests of gates that may be lost.
type machine struct {
	table   *claim.Table
	storage *memory
	now     instant.Micros
	granted []claim.Request
	sent    map[string]string // attempt that sent the request, by key
	done    map[string]string // outcome told, by key
	freed   []claim.Request   // given up without a run
	next    int
}

// ask claims a key and, when granted, sends the request at once or frees it.
func (m *machine) ask(t *rapid.T) {
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
		m.told(t, key, string(m.storage.outcomes[answer.Outcome.Offset]))
	}
	if answer.State != claim.StateGranted {
		return
	}
	if again, _ := m.table.Claim(request, true); again.State != claim.StateGranted {
		t.Fatalf("the resend of a granted claim is %s", again.State)
	}
	if rapid.IntRange(0, 3).Draw(t, "not run") == 0 {
		m.finish(t, claim.Finish{Team: "registry", Key: key, ID: request.ID, NotRun: true})
		m.freed = append(m.freed, request)
		return
	}
	if first, ran := m.sent[key]; ran {
		t.Fatalf("key %s runs twice, by attempts %s and %s", key, first, request.ID)
	}
	m.sent[key] = request.ID
	m.granted = append(m.granted, request)
}

// lateCopy lets a claim arrive that its gate has given up.
func (m *machine) lateCopy(t *rapid.T) {
	if len(m.freed) == 0 {
		t.Skip("none given up")
	}
	request := m.freed[max(0, len(m.freed)-rapid.IntRange(1, 5).Draw(t, "copy"))]
	if answer, refusal := m.table.Claim(request, true); refusal == nil && answer.State == claim.StateGranted {
		t.Fatalf("claim %s of key %s was granted after it was given up", request.ID, request.Key)
	}
}

func (m *machine) told(t *rapid.T, key, outcome string) {
	if first, told := m.done[key]; told && first != outcome {
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
		t.Skip("nothing runs")
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

// A plate confirmation is sent again and again through several gates, some of
// which are lost with the request under way: it runs at most once, and all who
// get its outcome get the same.
//
// Red without its guards: giveUp deleting the claim, "runs twice"; Claim not
// asking for freed IDs, "was granted after it was given up".
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		storage := &memory{}
		m := &machine{table: claim.NewTable(storage), storage: storage, now: 1, sent: make(map[string]string), done: make(map[string]string)}
		t.Repeat(map[string]func(*rapid.T){
			"":       func(*rapid.T) { m.now++ },
			"ask":    m.ask,
			"answer": m.answerArrives, "lose": m.loseGate, "late": m.lateCopy, "restart": m.restart,
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
		t.Fatal("a claim expired at once")
	}
	late := instant.Micros(2).Add(claim.Retention)
	if table.Expire(late) != 1 || table.SegmentInUse(1) {
		t.Fatal("the ended claim was kept")
	}
	if answer, _ := table.Claim(claim.Request{Team: "t", Key: "running", ID: "other", Session: "s"}, true); answer.State != claim.StateRunning {
		t.Fatalf("the running claim is %s", answer.State)
	}
}
