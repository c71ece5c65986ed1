package sockets

import (
	"context"
	"net"
	"time"
)

// DialHedged opens a connection with dial. While no attempt has finished, it starts another
// one after delay, then after twice the delay, and so on, so that a slow VM is not flooded.
// It returns the result of the first attempt that finishes, whether a connection or an error,
// and closes later connections. The system retransmits a SYN packet that was lost, or sent
// to a VM still starting, only after a second: longer than calls between processes may take.
func DialHedged(ctx context.Context, delay time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	go tryDial(ctx, dial, results)
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			delay *= 2
			timer.Reset(delay)
			go tryDial(ctx, dial, results)
		case result := <-results:
			return result.connection, result.err
		}
	}
}

type dialResult struct {
	connection net.Conn
	err        error
}

// tryDial sends the result of one attempt to results. If ctx ends first, it closes the
// connection.
func tryDial(ctx context.Context, dial func(context.Context) (net.Conn, error), results chan<- dialResult) {
	connection, err := dial(ctx)
	select {
	case results <- dialResult{connection, err}:
	case <-ctx.Done():
		if connection != nil {
			_ = connection.Close() // the error does not matter: nothing was sent
		}
	}
}
