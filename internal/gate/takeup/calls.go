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
	request.putInto(s.book.Records, now)
	response := &Response{}
	if request.Service == "" {
		return response, nil
	}
	answer := s.book.Find(now, request.Ask, request.Service, s.window())
	response.Sole, response.SoleBuild = answer.Sole, answer.SoleBuild
	if answer.Known {
		response.Found = entryOf(request.Ask, &answer.Record, now)
	}
	return response, nil
}

// answer converts a response.
func (r *Response) answer() origin.Answer {
	a := origin.Answer{Sole: r.Sole, SoleBuild: r.SoleBuild}
	if f := r.Found; f != nil {
		a.Known = true
		a.Record = origin.Record{
			Service: f.Service, Build: f.Build, Unknown: f.Unknown, At: time.Now().Add(-time.Duration(f.AgeMS) * time.Millisecond),
		}
	}
	return a
}

// askTimeout bounds how long a caller that takes a stream up waits for the answers of other
// gates: several round trips between places.
const askTimeout = 250 * time.Millisecond

// ask asks other gates for the origin of a stream and returns the best answer and the gate that
// gave it. The first gate with a record decides.
func (s *Service) ask(ctx context.Context, t *TakeUp) (best origin.Answer, from string) {
	type reply struct {
		origin.Answer
		gate string
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var asked sync.WaitGroup
	ranked := append(origin.Rank(t.Resumes, s.gates(), origin.Asked), origin.Rank(t.Resumes, s.controls(), controlsAsked)...)
	replies := make(chan reply, len(ranked))
	for _, gate := range ranked {
		address, known := s.addressOf(gate.ID)
		if gate.ID == s.options.VM || !known {
			continue
		}
		asked.Go(func() {
			response, err := rpc.Call(ctx, s.options.Calls, address, procedure, &Request{Ask: t.Resumes, Service: t.Service})
			if err == nil {
				replies <- reply{response.answer(), gate.ID}
			}
		})
	}
	go func() {
		asked.Wait()
		close(replies)
	}()
	for r := range replies {
		if r.Prefer(&best) {
			best, from = r.Answer, r.gate
		}
		if best.Known {
			break
		}
	}
	return best, from
}
