package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"slateway.example/slateway/internal/checkedhttp"
	"slateway.example/slateway/internal/framing"
	"slateway.example/slateway/internal/upstream"
)

// heldConn is a connection for questions about the process at an address.
type heldConn struct {
	net.Conn
	opened time.Time
	closed func()
	once   sync.Once
}

// Close closes the connection. http.Transport calls it also when the replica has closed its end.
func (c *heldConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// heldConnections knows the open connections for questions by address, and remembers which
// services need them.
type heldConnections struct {
	mu     sync.Mutex
	habits framing.Habits
	open   map[string]heldState
}

type heldState struct {
	count int
	used  time.Time
}

// maxQuestions is how many connections for questions a gate opens to one replica.
const maxQuestions = 2

func (l *transports) newQuestionTransport() *checkedhttp.Transport {
	t := l.newTransport()
	t.MaxIdleConnsPerHost, t.MaxConnsPerHost = maxQuestions, maxQuestions
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := l.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		l.held.add(address, 1)
		return &heldConn{Conn: connection, opened: time.Now(), closed: func() { l.held.add(address, -1) }}, nil
	}
	return checkedhttp.New(t, l.checks)
}

func (h *heldConnections) add(address string, count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.open[address]
	if state.count += count; state.count <= 0 {
		delete(h.open, address)
		return
	}
	h.open[address] = state
}

// used records that a connection to an address has just served a question.
func (h *heldConnections) used(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if state, open := h.open[address]; open {
		state.used = time.Now()
		h.open[address] = state
	}
}

// saw records that an answer of the service ended with its connection.
func (l *transports) saw(service string) {
	l.held.mu.Lock()
	defer l.held.mu.Unlock()
	l.held.habits.Saw(service, time.Now())
}

// lacksHeld reports whether the next answer of the replica may need a connection for questions that
// is open before its request is sent, and there is none, or it may soon be closed as idle.
func (l *transports) lacksHeld(target *upstream.Announcement, repeatable bool) bool {
	now := time.Now()
	l.held.mu.Lock()
	defer l.held.mu.Unlock()
	state := l.held.open[target.Address]
	return (state.count == 0 || now.Sub(state.used) > framing.IdleLimit) && l.held.habits.Expects(target.Service, repeatable, now)
}
