package checkedhttp

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"slateway.example/slateway/internal/framing"
)

// conn is a connection whose responses are checked as they are read.
//
// A reset is reported once, to whoever uses the socket next. If that is the writer, the reader finds
// the plain end of the connection. A response that ends with its connection therefore counts as ended
// only once the request has been sent to its end. And a failed write must not close the connection
// before a response that has arrived is read, so that Write then waits for the reader.
type conn struct {
	net.Conn
	options Options

	mu        sync.Mutex
	changed   sync.Cond // of the fields below
	scanner   *framing.Scanner
	sending   outgoing
	cut       bool // a write has failed
	settled   bool // the response has ended, or cannot be read on
	returned  bool // the transport has returned the response's head
	impatient bool // settleTime has passed since the response's end
	closed    bool
	violation *framing.Violation
	answered  bool          // bytes of the response have been read
	settle    time.Duration // 0: until the connection is closed
}

func newConn(opened net.Conn, o Options) *conn {
	c := &conn{Conn: opened, options: o, scanner: framing.NewScanner(o.Limits), settled: true, returned: true}
	c.changed.L = &c.mu
	return c
}

// begin expects the response to a request that is about to be sent.
func (c *conn) begin(request *http.Request, settle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.Begin(request.Method)
	c.sending = outgoing{body: bodyLength(request)}
	c.settled, c.returned, c.answered = false, false, false
	c.impatient, c.settle = false, settle
}

func bodyLength(request *http.Request) int64 {
	if request.Body == nil || request.Body == http.NoBody {
		return 0
	}
	if request.ContentLength <= 0 {
		return -1
	}
	return request.ContentLength
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
	switch {
	case err == nil:
		if c.scanner.IsDone() {
			c.settleLocked()
		}
		return n, nil
	case errors.Is(err, io.EOF) && c.scanner.EndsWithConnection() && !c.isSent():
		err = ErrRequestCut
	}
	c.settleLocked()
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
	c.settleLocked()
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

// isSent waits until the request has been sent to its end, and reports whether it has. c.mu must be
// held.
func (c *conn) isSent() bool {
	if c.sending.body < 0 {
		return false // it cannot be told
	}
	if c.settle > 0 {
		timer := time.AfterFunc(c.settle, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.impatient = true
			c.changed.Broadcast()
		})
		defer timer.Stop()
	}
	for !c.sending.isDone() && !c.cut && !c.closed && !c.impatient {
		c.changed.Wait()
	}
	return c.sending.isDone() && !c.cut
}

// settleLocked lets a writer that waits for the end of the response go on.
func (c *conn) settleLocked() {
	c.settled = true
	c.changed.Broadcast()
}

// roundTripReturned records that the transport has returned the response's head or an error.
func (c *conn) roundTripReturned() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.returned = true
	c.changed.Broadcast()
}

// Write writes bytes of a request. If that fails, it returns when the response has ended.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending.wrote(p[:n])
	if err != nil {
		c.cut = true
	}
	if err != nil || c.sending.isDone() {
		c.changed.Broadcast()
	}
	for err != nil && (!c.settled || !c.returned) && !c.closed {
		c.changed.Wait()
	}
	return n, err
}

// Close closes the connection and ends all waiting.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// outgoing follows the bytes of one request to their end.
type outgoing struct {
	body    int64 // bytes of the body that have not been sent; -1: unknown
	matched int   // how much of headEnd the bytes so far end with
}

const headEnd = "\r\n\r\n"

func (o *outgoing) wrote(data []byte) {
	for i, b := range data {
		if o.matched == len(headEnd) {
			if o.body > 0 {
				o.body -= int64(len(data) - i)
			}
			return
		}
		switch {
		case b == headEnd[o.matched]:
			o.matched++
		case b == headEnd[0]:
			o.matched = 1
		default:
			o.matched = 0
		}
	}
}

func (o *outgoing) isDone() bool { return o.matched == len(headEnd) && o.body == 0 }
