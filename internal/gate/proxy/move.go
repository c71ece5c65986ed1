package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/telemetry"
)

// moveTimeout bounds the call that stops a run. Its answer is worth waiting for when
// a packet of it is lost too: without it, a run that was stopped cannot go on.
const moveTimeout = 500 * time.Millisecond

// errCannotMove says that a flight's upstreams keep no memory of runs.
var errCannotMove = errors.New("the request's protocol moves no runs")

// handOver asks the replica to stop the run of an attempt, and reports what came of
// it. The shard's lock is held.
func (s *shard) handOver(o route.HandOver) {
	f := s.flights[o.ID]
	if f == nil {
		return
	}
	f.attempts.Add(1)
	go func() {
		defer f.attempts.Done()
		start := time.Now()
		moved, err := f.move(o)
		s.log().Info("run handed over", telemetry.RequestID(o.ID), zap.Uint64("attempt", uint64(o.Attempt)),
			telemetry.Upstream(string(o.From.Replica)), zap.String("to", string(o.To.Replica)), zap.Bool("copied", moved.Copied), zap.Bool("no_room", moved.NoRoom),
			zap.Duration("after", time.Since(start)), zap.Error(err))
		s.step(route.HandedOver{Attempt: o.Attempt, Memory: moved.Memory, Copied: moved.Copied, NoRoom: moved.NoRoom})
	}()
}

func (f *flight) move(o route.HandOver) (Move, error) {
	mover, can := f.protocol.(Mover)
	if !can {
		return Move{}, errCannotMove
	}
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	request, err := mover.Move(ctx, o.From, o.To)
	if err != nil {
		return Move{}, err
	}
	response, err := f.shard.router.links.pool(o.From.Replica).RoundTrip(request)
	if err != nil {
		return Move{}, err
	}
	defer response.Body.Close()
	moved, err := mover.Moved(response, o.From)
	if err != nil {
		return Move{}, fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes)) // so that the connection is used again
	return moved, nil
}
