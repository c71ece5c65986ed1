package takeup

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/rpc"
)

const (
	// sendTimeout bounds one call with records.
	sendTimeout = 500 * time.Millisecond
	// maxWaiting bounds the records that wait for one gate.
	maxWaiting = 4096
	// maxSends is how often a batch of records is sent to a gate that does not acknowledge it.
	maxSends = 2
)

// sender sends records to other gates. Records for a gate that arrive during a call are sent
// together in the next one.
type sender struct {
	service *Service

	mu      sync.Mutex
	waiting map[string][]Entry // by gate; present while a goroutine sends to it
	ctx     context.Context    // of run; nil before
	calls   sync.WaitGroup
}

func newSender(s *Service) *sender { return &sender{service: s, waiting: make(map[string][]Entry)} }

// run allows the sending of records until ctx ends.
func (s *sender) run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	<-ctx.Done()
	s.calls.Wait()
}

// enqueue sends a record to a gate without waiting for it.
func (s *sender) enqueue(gate string, entry Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting, sending := s.waiting[gate]
	if s.ctx == nil || s.ctx.Err() != nil || len(waiting) >= maxWaiting {
		s.service.options.Metrics.Count(countDropped)
		return
	}
	s.waiting[gate] = append(waiting, entry)
	if !sending {
		s.calls.Go(func() { s.sendAll(gate) })
	}
}

func (s *sender) sendAll(gate string) {
	for {
		s.mu.Lock()
		batch := s.waiting[gate]
		if len(batch) == 0 || s.ctx.Err() != nil {
			delete(s.waiting, gate)
			s.mu.Unlock()
			return
		}
		s.waiting[gate] = nil
		ctx := s.ctx
		s.mu.Unlock()
		s.send(ctx, gate, batch)
	}
}

func (s *sender) send(ctx context.Context, gate string, batch []Entry) {
	metrics := s.service.options.Metrics
	var err error
	for range maxSends {
		address, known := s.service.addressOf(gate)
		if !known {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
		_, err = rpc.Call(callCtx, s.service.options.Calls, address, procedure, &Request{Records: batch})
		cancel()
		if err == nil {
			metrics.Add(countRecords, int64(len(batch)))
			return
		}
		metrics.Count(countRetried)
	}
	metrics.Add(countDropped, int64(len(batch)))
	s.service.options.Log.Info("records of streams not sent", zap.String("gate", gate), zap.Int("records", len(batch)), zap.Error(err))
}
