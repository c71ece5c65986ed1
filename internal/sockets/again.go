package sockets

import (
	"context"
	"net"
	"time"
)

// DialAgain opens a connection with dial, which is called again after gap, twice
// gap and so on until one has come; the first wins and the others are closed. An
// error other than the end of ctx ends it. The gap doubles so that a VM which is
// slow to accept is not asked for more and more connections by all that call it.
//
// Failure guarded against: the packet that opens a connection is lost, or comes to
// a VM that has no power yet. It is sent again only after a second, which is longer
// than the calls between processes may take, though the other side is there by then.
func DialAgain(ctx context.Context, gap time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	timer := time.NewTimer(gap)
	defer timer.Stop()
	go tryDial(ctx, dial, results)
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			gap *= 2
			timer.Reset(gap)
			go tryDial(ctx, dial, results)
		case found := <-results:
			return found.connection, found.err
		}
	}
}

type dialResult struct {
	connection net.Conn
	err        error
}

// tryDial hands its connection on, or closes it when nobody wants it any more.
func tryDial(ctx context.Context, dial func(context.Context) (net.Conn, error), results chan<- dialResult) {
	connection, err := dial(ctx)
	select {
	case results <- dialResult{connection, err}:
	case <-ctx.Done():
		if connection != nil {
			_ = connection.Close() // nothing was sent
		}
	}
}
