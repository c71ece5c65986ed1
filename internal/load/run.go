package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Send sends one request, which should have been sent at the intended time, and returns
// its result.
type Send func(ctx context.Context, intended time.Time, request *Request) Result

// OpenLoop sends requests at their arrival times, counted from now, and waits for the last
// answer or until ctx ends. At most maxOpen requests are open at a time; further ones are
// recorded as not sent rather than delayed.
func OpenLoop(ctx context.Context, arrivals []time.Duration, requests []Request, maxOpen int, send Send) *Recorder {
	recorder := NewRecorder()
	start := time.Now()
	var open atomic.Int64
	var pending sync.WaitGroup
	for i, arrival := range arrivals {
		intended := start.Add(arrival)
		if !waitUntil(ctx, intended) {
			break
		}
		if open.Load() >= int64(maxOpen) {
			recorder.Record(&Result{Arrival: arrival, Outcome: NotSent, Reason: "generator limit"})
			continue
		}
		open.Add(1)
		pending.Go(func() {
			defer open.Add(-1)
			result := send(ctx, intended, &requests[i])
			result.Arrival = arrival
			recorder.Record(&result)
		})
	}
	pending.Wait()
	recorder.Finish(time.Since(start))
	return recorder
}

// ClosedLoop keeps width requests open until ctx ends or limit requests have been sent. It
// cycles through requests.
func ClosedLoop(ctx context.Context, requests []Request, width, limit int, send Send) *Recorder {
	recorder := NewRecorder()
	start := time.Now()
	var next atomic.Int64
	var workers sync.WaitGroup
	for range width {
		workers.Go(func() {
			for ctx.Err() == nil {
				i := int(next.Add(1)) - 1
				if i >= limit {
					return
				}
				began := time.Now()
				result := send(ctx, began, &requests[i%len(requests)])
				result.Arrival = began.Sub(start)
				recorder.Record(&result)
				if result.Outcome != Answered {
					waitUntil(ctx, time.Now().Add(refusalPause))
				}
			}
		})
	}
	workers.Wait()
	recorder.Finish(time.Since(start))
	return recorder
}

// refusalPause is the pause after a request that was not answered. It keeps a closed loop
// from spinning on refusals.
const refusalPause = 20 * time.Millisecond

func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
