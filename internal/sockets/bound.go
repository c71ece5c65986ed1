package sockets

import (
	"net"
	"sync"
)

// Bound is a listener with at most Limit connections open at the same time. A
// further one is handed to Refuse, which closes it.
//
// A process without descriptors cannot open files, nor reach others: a listener
// that takes all of them stops what has nothing to do with its clients.
type Bound struct {
	net.Listener
	slots  chan struct{}
	refuse func(net.Conn)
}

// NewBound bounds a listener. Refuse must not block.
func NewBound(listener net.Listener, limit int, refuse func(net.Conn)) *Bound {
	return &Bound{Listener: listener, slots: make(chan struct{}, limit), refuse: refuse}
}

// Accept gives the next connection within the bound.
func (b *Bound) Accept() (net.Conn, error) {
	for {
		connection, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case b.slots <- struct{}{}:
			return &boundConn{Conn: connection, release: sync.OnceFunc(func() { <-b.slots })}, nil
		default:
			b.refuse(connection)
		}
	}
}

// boundConn gives its place back when it is closed.
type boundConn struct {
	net.Conn
	release func()
}

func (c *boundConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
