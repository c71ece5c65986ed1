package takeup

import (
	"context"
	"net/http"
	"sync"
	"time"

	"slateway.example/slateway/internal/origin"
	"slateway.example/slateway/internal/rpc"
)

// Store holds records of streams on a control VM, for when all gates are killed at once. It
// is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	records *origin.Records
}

// NewStore creates an empty Store.
func NewStore() *Store { return &Store{records: origin.NewRecords(time.Now())} }

// Mount registers the procedure that gates call on mux.
func (s *Store) Mount(mux *http.ServeMux) { rpc.Handle(mux, procedure, maxCallBytes, s.serve) }

func (s *Store) serve(_ context.Context, request *Request) (*Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	request.putInto(s.records, now)
	response := &Response{}
	if record, found := s.records.Get(request.Ask); found {
		response.Found = entryOf(request.Ask, &record, now)
	}
	return response, nil
}

// putInto adds the records of a request.
func (r *Request) putInto(records *origin.Records, now time.Time) {
	for i := range r.Records {
		e := &r.Records[i]
		records.Put(now, e.Request, origin.Record{Service: e.Service, Build: e.Build, Unknown: e.Unknown})
	}
}

func entryOf(request string, record *origin.Record, now time.Time) *Entry {
	return &Entry{
		Request: request, Service: record.Service, Build: record.Build, Unknown: record.Unknown, AgeMS: now.Sub(record.At).Milliseconds(),
	}
}
