package telemetry

import (
	"context"
	"net"
)

// Suffixes of the counters of the payload bytes of connections, without TCP and IP
// headers.
const (
	BytesInSuffix  = ".bytes_in"
	BytesOutSuffix = ".bytes_out"
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// CountDial wraps dial to count the bytes of its connections under name.
func (m *Metrics) CountDial(name string, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: connection, metrics: m, name: name}, nil
	}
}

// CountListener wraps listener to count the bytes of its connections under name.
func (m *Metrics) CountListener(name string, listener net.Listener) net.Listener {
	return &countedListener{Listener: listener, metrics: m, name: name}
}

type countedListener struct {
	net.Listener
	metrics *Metrics
	name    string
}

// Accept waits for the next connection.
func (l *countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: connection, metrics: l.metrics, name: l.name}, nil
}

type countedConn struct {
	net.Conn
	metrics *Metrics
	name    string
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.metrics.Add(c.name+BytesInSuffix, int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.metrics.Add(c.name+BytesOutSuffix, int64(n))
	return n, err
}
