package link

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// Limits of the data in flight in one direction of a connection.
const (
	maxChunkBytes     = 32 << 10
	maxChunksInFlight = 64
)

// chunk is a part of a stream in flight, to be delivered at the time due.
type chunk struct {
	data []byte
	due  time.Time
}

// forward relays one direction of a connection until reading from src ends. It
// propagates the end of the stream after all data. A reset is propagated as a reset,
// because after an orderly close the receiver would take a truncated stream for
// complete.
func (r *Relay) forward(conn *connection, dst, src net.Conn, stalled func(Condition) bool) {
	inFlight := make(chan chunk, maxChunksInFlight)
	var readErr error // from reading src; read only after inFlight is closed
	go func() {
		defer close(inFlight)
		for {
			buffer := make([]byte, maxChunkBytes)
			n, err := src.Read(buffer)
			if n > 0 && !conn.enqueue(inFlight, chunk{buffer[:n], r.deliveryTime(conn.source)}) {
				return
			}
			if err != nil {
				readErr = err
				return
			}
		}
	}()
	for next := range inFlight {
		if !conn.sleep(time.Until(next.due)) || !r.waitUnstalled(conn, stalled) {
			return
		}
		if _, err := dst.Write(next.data); err != nil {
			conn.close()
			return
		}
	}
	if !r.waitUnstalled(conn, stalled) {
		return
	}
	tcpConn, ok := dst.(*net.TCPConn)
	switch {
	case !ok:
	case errors.Is(readErr, syscall.ECONNRESET):
		_ = tcpConn.SetLinger(0) // makes close send a reset
		conn.close()
	default:
		_ = tcpConn.CloseWrite()
	}
}

// enqueue adds a chunk to those in flight. It returns false if the connection is
// closed first.
func (c *connection) enqueue(inFlight chan<- chunk, next chunk) bool {
	select {
	case inFlight <- next:
		return true
	case <-c.done:
		return false
	}
}

// sleep waits for a duration. It returns false if the connection is closed first.
func (c *connection) sleep(wait time.Duration) bool {
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.done:
		return false
	}
}

// deliveryTime returns when to deliver a chunk that was read now, after the delay and a
// random loss.
func (r *Relay) deliveryTime(source string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	condition := r.conditionOf(source)
	arrival := time.Now().Add(condition.Delay)
	if condition.Loss > 0 && r.random.Float64() < condition.Loss {
		arrival = arrival.Add(condition.Retransmit)
	}
	return arrival
}

// waitUnstalled waits until the direction is not stalled. It returns false once the
// connection is closed. A blackholed connection stays stalled until it is closed.
func (r *Relay) waitUnstalled(conn *connection, stalled func(Condition) bool) bool {
	for {
		r.mu.Lock()
		isStalled := stalled(r.conditionOf(conn.source))
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-conn.blackholed:
			<-conn.done
			return false
		case <-conn.done:
			return false
		default:
		}
		if !isStalled {
			return true
		}
		select {
		case <-changed:
		case <-conn.blackholed:
		case <-conn.done:
			return false
		}
	}
}
