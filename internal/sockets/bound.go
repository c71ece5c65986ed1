package sockets

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// LimitedListener is a listener that limits the number of open connections. Further
// connections are passed to a function that refuses and closes them.
//
// Without the limit, a listener could use up the file descriptors of the process,
// which then could neither open files nor connect to other processes.
type LimitedListener struct {
	net.Listener
	slots  chan struct{}
	refuse func(net.Conn)
}

// NewLimitedListener returns a listener that accepts up to limit connections at a time from
// listener, and passes further ones to refuse, which must close them and not block.
func NewLimitedListener(listener net.Listener, limit int, refuse func(net.Conn)) *LimitedListener {
	return &LimitedListener{Listener: listener, slots: make(chan struct{}, limit), refuse: refuse}
}

// Accept returns the next connection within the limit.
func (l *LimitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: connection, release: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			l.refuse(connection)
		}
	}
}

// limitedConn frees its slot in the limit when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// SyscallConn gives access to the socket, for Acknowledgements.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn()
}

func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
