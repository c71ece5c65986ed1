// Package link provides relays that simulate network faults between processes in tests
// and experiments. The TCP relay can add delay and packet loss, stall one or both
// directions, and blackhole the open connections while new ones work. The UDP relay
// can drop the datagrams of chosen senders.
package link

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Condition is the state of a link. The zero Condition forwards everything at once.
//
// A stalled direction holds back its bytes without closing the connection, like a
// network partition, in which the sender's kernel keeps retransmitting. The bytes
// arrive once the stall ends.
type Condition struct {
	StallForward  bool // from the client to the target
	StallBackward bool // from the target to the client

	Delay time.Duration // one way
	// Loss is the fraction, 0 to 1, of chunks that arrive later by Retransmit, together
	// with everything behind them on the connection. This is how a lost packet affects
	// TCP.
	Loss       float64
	Retransmit time.Duration
}

// Relay forwards TCP connections to a target.
type Relay struct {
	address string
	target  string

	// source returns the name of the process that opened a connection, or "" if it is
	// unknown. If nil, all connections have the same condition.
	source func(net.Conn) string

	mu          sync.Mutex
	listener    net.Listener
	condition   Condition
	bySource    map[string]Condition // overrides condition
	changed     chan struct{}        // closed and replaced at each change of a condition
	random      *rand.Rand
	connections map[*connection]struct{}
	closed      bool
}

// connection is a relayed TCP connection.
type connection struct {
	source         string
	client, server net.Conn      // the accepted connection, and the one to the target
	blackholed     chan struct{} // closed once the connection forwards nothing any more
	done           chan struct{} // closed by close
	once           sync.Once
}

// Listen starts a relay that listens on address, IP:port, and forwards to target. seed
// initializes the random choice of lost chunks.
func Listen(address, target string, seed uint64) (*Relay, error) {
	return ListenFrom(address, target, seed, nil)
}

// ListenFrom starts a relay that can have a separate condition for each source, set by
// SetFor. source returns the name of the process that opened a connection. If it
// returns "", the relay closes the connection, so that no connection bypasses a
// simulated partition.
func ListenFrom(address, target string, seed uint64, source func(net.Conn) string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	relay := &Relay{
		address:     listener.Addr().String(),
		listener:    listener,
		target:      target,
		source:      source,
		bySource:    make(map[string]Condition),
		changed:     make(chan struct{}),
		random:      rand.New(rand.NewPCG(seed, 0)),
		connections: make(map[*connection]struct{}),
	}
	go relay.accept(listener)
	return relay, nil
}

// Address returns the IP:port that the relay listens on.
func (r *Relay) Address() string { return r.address }

// Down closes the relay's listener and connections, as when the VM answers and no process
// listens. Up ends it.
func (r *Relay) Down() {
	r.mu.Lock()
	_ = r.listener.Close()
	open := r.connections
	r.connections = make(map[*connection]struct{})
	r.mu.Unlock()
	for connection := range open {
		connection.close()
	}
}

// Up listens again after Down.
func (r *Relay) Up() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return listener.Close()
	}
	r.listener = listener
	go r.accept(listener)
	return nil
}

// Set changes the condition of all open and future connections, except those of a
// source whose condition SetFor has set.
func (r *Relay) Set(condition Condition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.condition = condition
	r.notifyChange()
}

// SetFor changes the condition of all open and future connections of a source.
func (r *Relay) SetFor(source string, condition Condition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bySource[source] = condition
	r.notifyChange()
}

// notifyChange wakes the goroutines that wait for a change of condition. The caller
// holds r.mu.
func (r *Relay) notifyChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// conditionOf returns the condition of a source's connections. The caller holds r.mu.
func (r *Relay) conditionOf(source string) Condition {
	if own, ok := r.bySource[source]; ok {
		return own
	}
	return r.condition
}

// BlackholeOpen makes the relay stop forwarding on the connections that are open now,
// permanently and without closing them. New connections are not affected. It returns
// the number of connections that it changed.
func (r *Relay) BlackholeOpen() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for open := range r.connections {
		select {
		case <-open.blackholed:
		default:
			close(open.blackholed)
			count++
		}
	}
	return count
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() error {
	r.mu.Lock()
	err := r.listener.Close()
	r.closed = true
	open := r.connections
	r.connections = nil
	r.mu.Unlock()
	for connection := range open {
		connection.close()
	}
	return err
}

func (r *Relay) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serve(client)
	}
}

// serve connects to the target and relays a connection until both directions end.
func (r *Relay) serve(client net.Conn) {
	source := ""
	if r.source != nil {
		if source = r.source(client); source == "" {
			client.Close()
			return
		}
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		client.Close()
		return
	}
	conn := &connection{source: source, client: client, server: server, blackholed: make(chan struct{}), done: make(chan struct{})}
	if !r.add(conn) {
		conn.close()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(conn, server, client, func(c Condition) bool { return c.StallForward }) })
	directions.Go(func() { r.forward(conn, client, server, func(c Condition) bool { return c.StallBackward }) })
	directions.Wait()
	conn.close()
	r.mu.Lock()
	delete(r.connections, conn)
	r.mu.Unlock()
}

// add registers a connection. It returns false if the relay is closed.
func (r *Relay) add(conn *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.connections[conn] = struct{}{}
	return true
}

func (c *connection) close() {
	c.once.Do(func() {
		close(c.done)
		c.client.Close()
		c.server.Close()
	})
}
