package replica

import (
	"testing"

	"slateway.example/slateway/internal/quorum"
)

func heartbeatTo(to quorum.ID, term, round uint64) envelope {
	return envelope{Group: 1, Message: quorum.Message{Type: quorum.MsgHeartbeat, To: to, Term: term, Round: round}}
}

func appendTo(to quorum.ID, bytes int) envelope {
	entry := quorum.Entry{Data: make([]byte, bytes)}
	return envelope{Group: 1, Message: quorum.Message{Type: quorum.MsgAppend, To: to, Entries: []quorum.Entry{entry}}}
}

// Guards against a backlog of heartbeats: a VM that froze for eight seconds received
// the eighty heartbeats that were queued for it and responded to each. Its leader saw
// eighty responses without progress and treated the appends that were still on their
// way as lost.
func TestOneHeartbeatOfAGroupAndTermWaits(t *testing.T) {
	var q sendQueue
	q.add(appendTo(2, 1))
	for round := range uint64(80) {
		q.add(heartbeatTo(2, 1, round+1))
	}
	q.add(heartbeatTo(3, 1, 1))
	q.add(heartbeatTo(2, 2, 81))
	sent := q.takeBatch()
	if len(sent) != 4 {
		t.Fatalf("%d messages were queued, want 4", len(sent))
	}
	if sent[1].Message.Round != 80 {
		t.Errorf("the queued heartbeat has round %d, want 80", sent[1].Message.Round)
	}
}

func TestACallIsBoundedInBytesAndKeepsTheOrder(t *testing.T) {
	var q sendQueue
	q.add(appendTo(2, 2*maxBatchBytes))
	q.add(appendTo(2, maxBatchBytes/2))
	q.add(appendTo(2, maxBatchBytes/4))
	q.add(appendTo(2, maxBatchBytes/2))
	for i, want := range []int{1, 2, 1, 0} {
		if got := len(q.takeBatch()); got != want {
			t.Errorf("call %d carries %d messages, want %d", i, got, want)
		}
	}
}

func TestTheQueueIsBounded(t *testing.T) {
	var q sendQueue
	for range maxQueued + 10 {
		q.add(appendTo(2, 1))
	}
	if len(q.envelopes) != maxQueued {
		t.Errorf("%d messages are queued", len(q.envelopes))
	}
}
