package replica

import "slateway.example/slateway/internal/quorum"

// Bounds of what waits for one member, in messages and in bytes of one call.
const (
	maxQueued     = 4096
	maxBatchBytes = 512 << 10
)

// sendQueue holds what waits to be sent to one member, in order.
type sendQueue struct {
	envelopes []envelope
}

// add takes a message in; beyond the bound it is dropped, since the decisions
// send anew what gets no answer.
//
// A heartbeat takes the place of one of the same group and term that still
// waits. A member that wakes after some seconds would otherwise answer each of
// them, and its leader would take many answers without progress for lost appends.
// The later one says no less: it confirms all reads that the earlier one does,
// and its commit index is one that the member is known to hold.
func (q *sendQueue) add(e envelope) {
	if e.Message.Type == quorum.MsgHeartbeat {
		for i := range q.envelopes {
			if q.envelopes[i].sameHeartbeat(&e) {
				q.envelopes[i] = e
				return
			}
		}
	}
	if len(q.envelopes) < maxQueued {
		q.envelopes = append(q.envelopes, e)
	}
}

func (e *envelope) sameHeartbeat(other *envelope) bool {
	return e.Message.Type == quorum.MsgHeartbeat && e.Group == other.Group &&
		e.Message.To == other.Message.To && e.Message.Term == other.Message.Term
}

// takeBatch gives what fits into one call; a single larger message still goes.
func (q *sendQueue) takeBatch() []envelope {
	size, count := 0, 0
	for i := range q.envelopes {
		size += q.envelopes[i].size()
		if count > 0 && size > maxBatchBytes {
			break
		}
		count++
	}
	taken := q.envelopes[:count:count]
	q.envelopes = append([]envelope(nil), q.envelopes[count:]...)
	return taken
}
