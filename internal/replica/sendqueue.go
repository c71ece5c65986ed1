package replica

import "slateway.example/slateway/internal/quorum"

// Limits of the queue of one member in messages, and of one call in bytes.
const (
	maxQueued     = 4096
	maxBatchBytes = 512 << 10
)

// sendQueue holds the messages to be sent to one member, in order.
type sendQueue struct {
	envelopes []envelope
}

// add appends a message, or drops it beyond the limit, since the consensus nodes resend
// whatever is not acknowledged. A heartbeat replaces a queued one of the same group,
// receiver and term: after a pause of seconds a member would respond to each, and its leader
// would take the many responses without progress for lost appends. The newer one confirms
// all reads of the older, and its commit index is one that the member is known to hold.
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

// sameHeartbeat reports whether other is of the same group, receiver and term as the
// heartbeat e.
func (e *envelope) sameHeartbeat(other *envelope) bool {
	return e.Message.Type == quorum.MsgHeartbeat && e.Group == other.Group &&
		e.Message.To == other.Message.To && e.Message.Term == other.Message.Term
}

// takeBatch removes and returns the messages that fit into one call, or a single
// message that exceeds the limit.
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
