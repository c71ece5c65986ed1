package origin

import "time"

// Record is who began the stream of a request.
type Record struct {
	Service string
	Build   string
	At      time.Time // when it was recorded
	// Unknown: the process that began the stream may be of another build than was recorded.
	Unknown bool
}

// Records holds the records of a gate by request ID, for at least Lifetime while there are not
// more than maxRecords. It is not safe for concurrent use.
type Records struct {
	current, previous map[string]Record
	rotatedAt         time.Time
}

const (
	// RecordLifetime is longer than a caller tries to get one stream.
	RecordLifetime = 2 * time.Minute
	// maxRecords bounds the memory of a gate under a flood of streams.
	maxRecords = 40_000
)

// NewRecords creates an empty Records.
func NewRecords(now time.Time) *Records {
	return &Records{current: make(map[string]Record), rotatedAt: now}
}

// Put adds a record. A stream whose build became unknown stays so.
func (r *Records) Put(now time.Time, request string, record Record) {
	if known, found := r.Get(request); found && known.Unknown {
		return
	}
	r.rotate(now)
	record.At = now
	r.current[request] = record
}

// rotate drops the records of an earlier generation.
func (r *Records) rotate(now time.Time) {
	if now.Sub(r.rotatedAt) < RecordLifetime && len(r.current) < maxRecords/2 {
		return
	}
	r.previous, r.current, r.rotatedAt = r.current, make(map[string]Record), now
}

// Get returns the record of a request.
func (r *Records) Get(request string) (Record, bool) {
	if record, found := r.current[request]; found {
		return record, true
	}
	record, found := r.previous[request]
	return record, found
}

// Of returns the records of a service that were added since a time.
func (r *Records) Of(service string, since time.Time) map[string]Record {
	found := make(map[string]Record)
	for _, generation := range []map[string]Record{r.previous, r.current} {
		for request, record := range generation {
			if record.Service == service && record.At.After(since) {
				found[request] = record
			}
		}
	}
	return found
}

// Len returns the number of records.
func (r *Records) Len() int { return len(r.current) + len(r.previous) }
