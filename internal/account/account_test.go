package account_test

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"slateway.example/slateway/internal/account"
)

// gateLog builds the log of one gate.
type gateLog struct {
	text strings.Builder
	at   time.Time
}

func newGateLog() *gateLog { return &gateLog{at: time.Unix(1_700_000_000, 0).UTC()} }

func (g *gateLog) line(message, fields string) {
	g.at = g.at.Add(time.Millisecond)
	if fields != "" {
		fields = "," + fields
	}
	fmt.Fprintf(&g.text, `{"level":"info","time":%q,"msg":%q%s}`+"\n", g.at.Format(time.RFC3339Nano), message, fields)
}

func (g *gateLog) routed(id string) {
	g.line("request routed", fmt.Sprintf(`"request_id":%q,"route":"letters","target":"300ms","pause":"250ms","waited":"0s"`, id))
}

func (g *gateLog) attempt(id string, number int, replica, queued string) {
	g.line("attempt", fmt.Sprintf(`"request_id":%q,"attempt":%d,"kind":"first","upstream":%q,"queued":%q`, id, number, replica, queued))
}

func (g *gateLog) failed(id string, number int, replica, reason, after string) {
	g.line("attempt failed", fmt.Sprintf(`"request_id":%q,"attempt":%d,"upstream":%q,"reason":%q,"after":%q`, id, number, replica, reason, after))
}

func (g *gateLog) answered(id, first, pause string) {
	g.line("request answered", fmt.Sprintf(`"request_id":%q,"first":%q,"longest_pause":%q,"after":"900ms"`, id, first, pause))
}

// answeredAttempt writes the lines of an attempt that is answered.
func (g *gateLog) answeredAttempt(id string, number int, replica, queued, first, pause string) {
	g.attempt(id, number, replica, queued)
	g.answered(id, first, pause)
}

func (g *gateLog) refused(id, reason, after string) {
	g.line("request refused", fmt.Sprintf(`"request_id":%q,"reason":%q,"after":%q`, id, reason, after))
}

func (g *gateLog) account(t *testing.T) *account.Report {
	ledger := account.NewLedger(0)
	if err := ledger.Read("gate-1", strings.NewReader(g.text.String())); err != nil {
		t.Fatal(err)
	}
	return ledger.Report()
}

func TestEachRequestHasOneCause(t *testing.T) {
	g := newGateLog()
	g.line("serving", `"vm":"gate-1"`)
	cases := []struct {
		cause account.Cause
		write func(id string)
	}{
		{account.InTime, func(id string) { g.answeredAttempt(id, 1, "i-1", "0s", "50ms", "30ms") }},
		{account.Queued, func(id string) { g.answeredAttempt(id, 2, "i-1", "400ms", "450ms", "30ms") }},
		{account.WaitedAtReplica, func(id string) { g.answeredAttempt(id, 3, "i-3", "10ms", "400ms", "30ms") }},
		{account.Stalled, func(id string) { g.answeredAttempt(id, 4, "i-3", "0s", "40ms", "300ms") }},
		{account.ReplicaDown, func(id string) {
			g.attempt(id, 5, "i-2", "0s")
			g.failed(id, 5, "i-2", "not_sent", "700ms")
			g.answeredAttempt(id, 6, "i-1", "0s", "760ms", "30ms")
		}},
		{account.ReplicaDied, func(id string) {
			g.attempt(id, 7, "i-2", "0s")
			g.failed(id, 7, "i-2", "silent", "2s")
			g.refused(id, "upstream_failed", "2.1s")
		}},
		{account.BrokenOff, func(id string) {
			g.attempt(id, 8, "i-3", "0s")
			g.line("answer broken off", fmt.Sprintf(`"request_id":%q,"reason":"upstream_failed","after":"300ms"`, id))
		}},
		{account.RefusedPrefix + "queue_full", func(id string) { g.refused(id, "queue_full", "0s") }},
		{account.GateLost, func(id string) { g.attempt(id, 9, "i-3", "0s") }},
	}
	for i, c := range cases {
		id := fmt.Sprint("q", i)
		g.routed(id)
		c.write(id)
	}
	report := g.account(t)
	found := map[account.Cause]int{}
	for _, row := range report.Rows {
		found[row.Cause] += row.Requests
	}
	for _, c := range cases {
		if found[c.cause] != 1 {
			t.Errorf("%d requests with the cause %q, want 1: %v", found[c.cause], c.cause, found)
		}
	}
	if all, inTime := report.Requests(); all != len(cases) || inTime != 1 {
		t.Errorf("%d requests, %d in time", all, inTime)
	}
}

func TestReportNamesReplicas(t *testing.T) {
	g := newGateLog()
	g.routed("q")
	g.attempt("q", 1, "i-dark", "0s")
	g.failed("q", 1, "i-dark", "not_sent", "700ms")
	g.attempt("q", 2, "i-1", "0s")
	g.answered("q", "760ms", "30ms")
	report := g.account(t)
	if row := report.Rows[0]; row.Replica != "i-dark" || row.Took != 700*time.Millisecond {
		t.Errorf("%+v", row)
	}
}

func TestReportIsWritten(t *testing.T) {
	g := newGateLog()
	g.routed("in-time")
	g.answeredAttempt("in-time", 1, "i-1", "0s", "50ms", "30ms")
	g.routed("late")
	g.answeredAttempt("late", 2, "i-2", "0s", "400ms", "30ms")
	g.text.WriteString("not a log line\n")
	var out strings.Builder
	if err := g.account(t).Write(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`2 requests, 1 in time`,
		`1 +400ms +400ms +letters +waited at the replica`,
		`1 +400ms +400ms +i-2 +waited at the replica`,
		`1 unreadable lines`,
	} {
		if !regexp.MustCompile(want).MatchString(out.String()) {
			t.Errorf("no %q in:\n%s", want, out.String())
		}
	}
}

// A stopped gate returns an item and another gate completes it. The logs may be read
// in any order: reading the second gate's log first used to count the item both as
// ended and, because of the first gate's lines, as unfinished.
func TestItemsAreJoinedAcrossGates(t *testing.T) {
	first, second := newGateLog(), newGateLog()
	first.attempt("job/item", 1, "i-1", "0s")
	first.line("attempt stopped", `"request_id":"job/item","attempt":1,"reason":"preempted","after":"80ms"`)
	first.line("item ends", `"request_id":"item","job":"job","outcome":"given_back","reached":4,"late":"0s"`)
	first.attempt("job/again", 2, "i-1", "0s")
	second.line("attempt", `"request_id":"job/item","attempt":1,"kind":"first","upstream":"i-2","resume":true`)
	second.line("item ends", `"request_id":"item","job":"job","outcome":"succeeded","reached":200,"late":"2s"`)
	second.attempt("job/again", 2, "i-2", "0s")
	second.line("item ends", `"request_id":"again","job":"job","outcome":"succeeded","reached":200,"late":"0s"`)
	second.attempt("job/other", 3, "i-2", "0s")
	for _, order := range [][]*gateLog{{first, second}, {second, first}} {
		ledger := account.NewLedger(0)
		for i, g := range order {
			if err := ledger.Read(fmt.Sprint("gate-", i), strings.NewReader(g.text.String())); err != nil {
				t.Fatal(err)
			}
		}
		b := ledger.Report().Batch
		if b.Items != 2 || b.Late != 1 || b.Runs != 4 || b.SeveralRuns != 2 || b.Restarts != 1 || b.Stopped != 1 || b.Unfinished != 1 ||
			b.MedianStopped != 80*time.Millisecond {
			t.Errorf("%+v", b)
		}
	}
}

// Logs in production may contain an incomplete last line, lines of other programs and
// lines longer than any of slatewayd's. These are counted and listed.
func TestForeignAndBrokenLinesAreCountedAndListed(t *testing.T) {
	g := newGateLog()
	g.routed("q")
	g.text.WriteString("panic: not a log line\n")
	g.text.WriteString(`{"level":"info"}` + "\n")
	g.text.WriteString(strings.Repeat("x", 3<<20) + "\n")
	g.answered("q", "40ms", "30ms")
	g.text.WriteString(`{"level":"info","time":"20`)
	report := g.account(t)
	if all, _ := report.Requests(); all != 1 || report.Unread != 4 {
		t.Errorf("%d requests, %d unreadable lines: %v", all, report.Unread, report.Foreign)
	}
	var numbers []int
	for _, line := range report.Foreign {
		numbers = append(numbers, line.Number)
	}
	if fmt.Sprint(numbers) != "[2 3 4 6]" {
		t.Errorf("lines %v are listed", numbers)
	}
}

// Only requests that have not ended are kept in memory, so that large logs can be
// read.
func TestEndedRequestsAreNotKept(t *testing.T) {
	g := newGateLog()
	for i := range 2000 {
		id := fmt.Sprint("q", i)
		g.routed(id)
		g.answered(id, "40ms", "30ms")
	}
	ledger := account.NewLedger(0)
	if err := ledger.Read("gate-1", strings.NewReader(g.text.String())); err != nil {
		t.Fatal(err)
	}
	if ledger.Open() != 0 {
		t.Errorf("%d ended requests are kept", ledger.Open())
	}
}

func TestPlotIsDrawn(t *testing.T) {
	g := newGateLog()
	for i, pause := range []string{"300ms", "20ms", "400ms"} {
		id := fmt.Sprint("q", i)
		g.routed(id)
		g.answered(id, "40ms", pause)
		g.at = g.at.Add(time.Second)
	}
	if err := g.account(t).Plot(t.TempDir() + "/losses.svg"); err != nil {
		t.Error(err)
	}
}
