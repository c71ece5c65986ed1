package proxy

import "io"

// streamBody bounds what the reader of a stream holds of one event before its end has arrived, and
// reserves memory for it.
type streamBody struct {
	io.ReadCloser
	attempt  *attempt
	pending  int // bytes since the end of the last event
	reserved int // bytes reserved for them
}

const (
	eventTooLong = "event_too_long" // counted as an answer that is none

	// unreservedBytes of an event need no reservation: nearly all events are shorter.
	unreservedBytes = 8 << 10
	// eventCopies is how often a reader of events holds the bytes of one: as lines and joined.
	eventCopies = 2
)

// Read reads bytes of the stream. It blocks while there is no memory for a long event.
func (b *streamBody) Read(p []byte) (int, error) {
	limit := b.attempt.flight.shard.router.options.MaxEventBytes
	if b.pending >= limit {
		b.attempt.flight.shard.router.options.Metrics.Count(countViolation + eventTooLong)
		return 0, errEventTooLong
	}
	p = p[:min(len(p), limit-b.pending)]
	if missing := eventCopies*(b.pending+len(p)-unreservedBytes) - b.reserved; missing > 0 {
		step := min(max(missing, b.reserved), eventCopies*limit) // grows as the reader's buffers do
		if err := b.attempt.reserveWhole(step); err != nil {
			return 0, err
		}
		b.reserved += step
	}
	n, err := b.ReadCloser.Read(p)
	b.pending += n
	return n, err
}

// eventRead records that an event has been read to its end.
func (b *streamBody) eventRead() {
	b.pending = 0
	b.release()
}

// release returns the memory that is reserved.
func (b *streamBody) release() {
	if b.reserved > 0 {
		b.attempt.returnWhole(b.reserved)
		b.reserved = 0
	}
}
