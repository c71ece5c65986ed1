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

// moveTimeout limits the call that stops a run. It allows for the retransmission of
// a lost packet, since a stopped run cannot continue without the call's answer.
const moveTimeout = 500 * time.Millisecond

// errCannotMove means that a flight's upstreams cannot keep the memory of a run.
var errCannotMove = errors.New("the request's protocol cannot move a run to another replica")

// handOver asks the replica to stop the run of an attempt, and reports the result.
// The shard's lock must be held.
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

func (f *flight) move(o route.HandOver) (MoveResult, error) {
	mover, ok := f.protocol.(Mover)
	if !ok {
		return MoveResult{}, errCannotMove
	}
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	request, err := mover.MoveRequest(ctx, o.From, o.To)
	if err != nil {
		return MoveResult{}, err
	}
	response, err := f.shard.router.transports.pool(o.From.Replica).RoundTrip(request)
	if err != nil {
		return MoveResult{}, err
	}
	defer response.Body.Close()
	moved, err := mover.ParseMoveResult(response, o.From)
	if err != nil {
		return MoveResult{}, fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes)) // so that the connection is reused
	return moved, nil
}
