package buffers

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/sockets"
	"slateway.example/slateway/internal/telemetry"
)

// countSilent counts connections that were closed because the other VM acknowledged
// nothing.
const countSilent = "caller_unacknowledged"

type connKey struct{}

// ConnContext makes the connection known to Handler. It is for http.Server.ConnContext.
func (a *Account) ConnContext(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connection)
}

// silence watches whether the other end of a connection acknowledges what was sent. TCP's
// own timeout (TCP_USER_TIMEOUT) cannot be as short as UnackedTimeout here: it also ends
// the connection of a caller that is alive and does not read for that time, and with it a
// response that is kept for the caller.
type silence struct {
	connection net.Conn // nil: not known
	since      time.Time
	lastAck    time.Time
}

// observe records the state of the connection and reports whether its other end is dead:
// nothing was acknowledged for timeout although data was sent.
func (s *silence) observe(now time.Time, state sockets.AckState, timeout time.Duration) bool {
	if !state.Unacknowledged {
		s.since = time.Time{}
		return false
	}
	ack := now.Add(-state.SinceAck)
	if s.since.IsZero() || ack.Sub(s.lastAck) > ackPrecision {
		s.since, s.lastAck = now, ack
		return false
	}
	return now.Sub(s.since) >= timeout
}

// ackPrecision is by how much the time of one acknowledgement differs between two
// readings.
const ackPrecision = 20 * time.Millisecond

// closeSilent closes the connections whose other end is dead.
func (a *Account) closeSilent() {
	now := time.Now()
	a.mu.Lock()
	watched := make([]*Request, 0, len(a.requests))
	for _, r := range a.requests {
		if r.silence.connection != nil {
			watched = append(watched, r)
		}
	}
	a.mu.Unlock()
	for _, r := range watched {
		state, err := sockets.Acknowledgements(r.silence.connection)
		if err != nil || !r.silence.observe(now, state, a.options.UnackedTimeout) {
			continue
		}
		owner, held := a.describe(r)
		a.options.Log.Info("caller's connection closed: nothing is acknowledged", telemetry.RequestID(owner.Request), telemetry.Team(owner.Team),
			zap.Int64("held", held), zap.Duration("silent", now.Sub(r.silence.since)), zap.Duration("age", time.Since(r.started)))
		a.options.Metrics.Count(countSilent)
		_ = r.silence.connection.Close() // the request's context ends
	}
}
