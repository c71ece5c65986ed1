// Package link is a TCP relay that behaves like a bad network link: it delays,
// stalls in one direction or both, and lets open connections go silent for
// good while new ones work. Tests and experiments put it between processes.
package link

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Condition is the state of a link. The zero Condition passes everything.
//
// A stalled direction holds its bytes back and closes nothing, as a network
// partition does: the sender's kernel goes on sending them again, and they
// arrive once the partition heals.
type Condition struct {
	StallForward  bool // from the side that connects to the target
	StallBackward bool // from the target

	Delay time.Duration // one way
	// Loss is the share, 0 to 1, of chunks that come Retransmit later, with all
	// that follow on their connection: what a lost packet does to TCP.
	Loss       float64
	Retransmit time.Duration
}

// Relay passes connections on to a target.
type Relay struct {
	listener net.Listener
	target   string

	// source names the side that connects; nil if all are treated alike.
	source func(net.Conn) string

	mu        sync.Mutex
	condition Condition
	bySource  map[string]Condition // instead of condition
	changed   chan struct{}        // closed at each change of condition
	random    *rand.Rand
	open      map[*connection]struct{}
	closed    bool
}

// connection is one relayed connection.
type connection struct {
	source    string
	near, far net.Conn
	silent    chan struct{} // closed once the connection passes nothing more
	done      chan struct{}
	once      sync.Once
}

// Listen starts a relay on address, IP:port, to target. Losses are drawn from
// seed.
func Listen(address, target string, seed uint64) (*Relay, error) {
	return ListenFrom(address, target, seed, nil)
}

// ListenFrom starts a relay that can treat connections by who opened them:
// source names the process at a connection's other end, for SetFor. Connections
// of nobody that it knows are closed, so that none escapes a cut.
func ListenFrom(address, target string, seed uint64, source func(net.Conn) string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	relay := &Relay{
		listener: listener,
		target:   target,
		source:   source,
		bySource: make(map[string]Condition),
		changed:  make(chan struct{}),
		random:   rand.New(rand.NewPCG(seed, 0)),
		open:     make(map[*connection]struct{}),
	}
	go relay.accept()
	return relay, nil
}

// Address is where the relay listens, IP:port.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set changes the link's condition for all connections, old and new, but for
// those from a source with a condition of its own.
func (r *Relay) Set(condition Condition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.condition = condition
	r.announceChange()
}

// SetFor changes the condition of a source's connections, old and new.
func (r *Relay) SetFor(source string, condition Condition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bySource[source] = condition
	r.announceChange()
}

// announceChange wakes what waits for another condition. The caller holds r.mu.
func (r *Relay) announceChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// conditionOf gives the condition of a source's connections. The caller holds
// r.mu.
func (r *Relay) conditionOf(source string) Condition {
	if own, ok := r.bySource[source]; ok {
		return own
	}
	return r.condition
}

// SilenceOpen makes the connections that are open now pass nothing any more,
// and leaves them open; new ones are not affected. It returns their number.
func (r *Relay) SilenceOpen() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for open := range r.open {
		select {
		case <-open.silent:
		default:
			close(open.silent)
			count++
		}
	}
	return count
}

// Close ends the relay and its connections.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.mu.Lock()
	r.closed = true
	open := r.open
	r.open = nil
	r.mu.Unlock()
	for connection := range open {
		connection.close()
	}
	return err
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(near)
	}
}

func (r *Relay) serve(near net.Conn) {
	source := ""
	if r.source != nil {
		if source = r.source(near); source == "" {
			near.Close()
			return
		}
	}
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		near.Close()
		return
	}
	relayed := &connection{source: source, near: near, far: far, silent: make(chan struct{}), done: make(chan struct{})}
	if !r.add(relayed) {
		relayed.close()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.pass(relayed, far, near, func(c Condition) bool { return c.StallForward }) })
	directions.Go(func() { r.pass(relayed, near, far, func(c Condition) bool { return c.StallBackward }) })
	directions.Wait()
	relayed.close()
	r.mu.Lock()
	delete(r.open, relayed)
	r.mu.Unlock()
}

func (r *Relay) add(relayed *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.open[relayed] = struct{}{}
	return true
}

func (c *connection) close() {
	c.once.Do(func() {
		close(c.done)
		c.near.Close()
		c.far.Close()
	})
}
