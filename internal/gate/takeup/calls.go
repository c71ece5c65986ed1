package takeup

import (
	"context"
	"sync"
	"time"

	"slateway.example/slateway/internal/origin"
	"slateway.example/slateway/internal/rpc"
)

// maxCallBytes bounds the size of a call between gates.
const maxCallBytes = 1 << 20

// Entry is a record on its way between gates.
type Entry struct {
	Request string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Build   string `cbor:"3,keyasint,omitempty"`
	Unknown bool   `cbor:"4,keyasint,omitempty"`
	AgeMS   int64  `cbor:"5,keyasint,omitempty"`
}

// Request gives records to another gate, asks it for one, or both.
type Request struct {
	Records []Entry `cbor:"1,keyasint,omitempty"`
	Ask     string  `cbor:"2,keyasint,omitempty"` // request ID; empty: the caller named none
	Service string  `cbor:"3,keyasint,omitempty"` // service of a new request on the route; empty: nothing is asked
}

// Response answers a Request.
type Response struct {
	Found *Entry `cbor:"1,keyasint,omitempty"` // record of the request that was asked for
	// Sole reports that the service has had SoleBuild only since the stream can have begun.
	Sole      bool   `cbor:"2,keyasint,omitempty"`
	SoleBuild string `cbor:"3,keyasint,omitempty"`
}

const procedure rpc.Procedure[Request, Response] = "/slateway.gate/Origins"

func (s *Service) serve(_ context.Context, request *Request) (*Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for i := range request.Records {
		e := &request.Records[i]
		s.records.Put(now, e.Request, origin.Record{Service: e.Service, Build: e.Build, Unknown: e.Unknown})
	}
	response := &Response{}
	if request.Service == "" {
		return response, nil
	}
	if record, found := s.records.Get(request.Ask); found {
		response.Found = &Entry{
			Request: request.Ask, Service: record.Service, Build: record.Build, Unknown: record.Unknown, AgeMS: now.Sub(record.At).Milliseconds(),
		}
		return response, nil
	}
	build, doubt := s.history.Sole(now, request.Service, s.window())
	response.Sole, response.SoleBuild = doubt == "", build
	return response, nil
}

// askTimeout bounds how long a caller that takes a stream up waits for the answers of other
// gates: several round trips between places.
const askTimeout = 250 * time.Millisecond

// ask asks other gates for the origin of a stream. The first one that knows it decides.
func (s *Service) ask(ctx context.Context, t *TakeUp) (found origin.Record, source Source, from string) {
	type answer struct {
		*Response
		gate string
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var asked sync.WaitGroup
	ranked := origin.Rank(t.Resumes, s.gates(), origin.Asked)
	answers := make(chan answer, len(ranked))
	for _, gate := range ranked {
		address, known := s.addressOf(gate.ID)
		if gate.ID == s.options.VM || !known {
			continue
		}
		asked.Go(func() {
			response, err := rpc.Call(ctx, s.options.Calls, address, procedure, &Request{Ask: t.Resumes, Service: t.Service})
			if err == nil {
				answers <- answer{Response: response, gate: gate.ID}
			}
		})
	}
	go func() {
		asked.Wait()
		close(answers)
	}()
	var sole origin.Record
	soleFrom := ""
	for a := range answers {
		switch {
		case a.Found != nil:
			return origin.Record{
				Service: a.Found.Service, Build: a.Found.Build, Unknown: a.Found.Unknown, At: time.Now().Add(-time.Duration(a.Found.AgeMS) * time.Millisecond),
			}, SourceGate, a.gate
		case a.Sole:
			sole, soleFrom = origin.Record{Service: t.Service, Build: a.SoleBuild, At: time.Now()}, a.gate
		}
	}
	if soleFrom != "" {
		return sole, SourceSide, soleFrom
	}
	return origin.Record{}, "", ""
}
