package checkedhttp

import (
	"net"
	"net/http"
	"sync"

	"slateway.example/slateway/internal/framing"
)

// conn is a connection whose responses are checked as they are read.
type conn struct {
	net.Conn
	options Options

	mu        sync.Mutex
	scanner   *framing.Scanner
	violation *framing.Violation
	answered  bool // bytes of the response have been read
}

func newConn(opened net.Conn, o Options) *conn {
	return &conn{Conn: opened, options: o, scanner: framing.NewScanner(o.Limits)}
}

// begin expects the response to a request that is about to be sent.
func (c *conn) begin(request *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.Begin(request.Method)
	c.answered = false
}

// Read reads bytes of a response. It returns those before a violation first.
func (c *conn) Read(p []byte) (int, error) {
	if violation := c.violated(); violation != nil {
		return 0, violation
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	used, violation := c.scanner.Scan(p[:n])
	if violation != nil {
		return c.failRead(used, violation)
	}
	c.answered = c.answered || n > 0
	return n, err
}

func (c *conn) violated() *framing.Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violation
}

// failRead ends the response before a violation. If that is its first byte, it is returned too: the
// transport may repeat a request without any byte of a response. c.mu must be held.
func (c *conn) failRead(used int, violation *framing.Violation) (int, error) {
	c.violation = violation
	if c.options.Violated != nil {
		c.options.Violated(violation)
	}
	if !c.answered && violation.Reason != framing.Unrequested {
		used = max(used, 1)
	}
	if used > 0 {
		return used, nil // the next read returns the violation
	}
	return 0, violation
}
