package buffers

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/sockets"
)

// Guards against a dead caller that keeps its replica's slot for half a minute, and
// against a live one that is cut off because it was idle before, or reads slowly.
func TestSilentConnection(t *testing.T) {
	const timeout = 1500 * time.Millisecond
	start := time.Unix(1_700_000_000, 0)
	cases := []struct {
		name  string
		state func(at time.Duration) sockets.AckState
		dead  time.Duration // when the connection counts as dead; 0: never
	}{
		{"dead", func(at time.Duration) sockets.AckState { return sockets.AckState{Unacknowledged: true, SinceAck: at} }, timeout},
		{"idle for an hour, then dead", func(at time.Duration) sockets.AckState {
			return sockets.AckState{Unacknowledged: at >= time.Second, SinceAck: time.Hour + at}
		}, time.Second + timeout},
		{"acknowledges each second", func(at time.Duration) sockets.AckState {
			return sockets.AckState{Unacknowledged: true, SinceAck: at % time.Second}
		}, 0},
		{"does not read", func(at time.Duration) sockets.AckState { return sockets.AckState{SinceAck: at} }, 0},
		{"idle, with a new event now and then", func(at time.Duration) sockets.AckState {
			return sockets.AckState{Unacknowledged: at%time.Second == 0, SinceAck: at % time.Second}
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s silence
			for at := time.Duration(0); at < 10*time.Second; at += watchInterval {
				if s.observe(start.Add(at), c.state(at), timeout) {
					if at != c.dead {
						t.Fatalf("dead after %s", at)
					}
					return
				}
			}
			if c.dead != 0 {
				t.Error("never dead")
			}
		})
	}
}
