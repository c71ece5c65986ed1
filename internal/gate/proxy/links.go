package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/sockets"
	"slateway.example/slateway/internal/upstream"
)

// links holds the connections to upstreams: a pool for each replica, so that
// the pool of one can be dropped when a connection of it has gone silent.
type links struct {
	dialer *net.Dialer
	// fresh opens a connection for each request. Probes need one, to tell a
	// silent connection from a dead replica; requests that may not be repeated
	// need one, since a pooled connection that the upstream closes at the same
	// moment leaves open whether the request ran.
	fresh        *http.Transport
	probeTimeout time.Duration
	ask          func(ctx context.Context, address string) ProbeResult

	mu     sync.Mutex // guards what follows
	pools  map[upstream.ReplicaID]*http.Transport
	limits *route.DialLimits
}

// Sizes and times of a connection pool.
const (
	maxIdlePerReplica = 256
	idleTimeout       = 30 * time.Second
)

func newLinks(o Options) *links {
	l := &links{
		dialer:       sockets.Dialer(o.DialTimeout, o.Unanswered),
		probeTimeout: o.ProbeTimeout,
		ask:          o.Probe,
		pools:        make(map[upstream.ReplicaID]*http.Transport),
		limits:       route.NewDialLimits(o.DialTimeout),
	}
	l.fresh = l.newTransport()
	l.fresh.DisableKeepAlives = true
	return l
}

func (l *links) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         l.dial,
		MaxIdleConnsPerHost: maxIdlePerReplica,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// dial opens a connection to an upstream within the limit learned for it.
func (l *links) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, l.dialLimit(address))
	defer cancel()
	start := time.Now()
	connection, err := l.dialer.DialContext(ctx, network, address)
	l.dialed(address, time.Since(start), err)
	return connection, err
}

func (l *links) dialLimit(address string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.Limit(address)
}

// dialed reports how a connection came. One that was refused tells nothing of the
// time that connections take.
func (l *links) dialed(address string, took time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.limits.Connected(address, took)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		l.limits.Missed(address)
	}
}

func (l *links) pool(id upstream.ReplicaID) *http.Transport {
	l.mu.Lock()
	defer l.mu.Unlock()
	pool := l.pools[id]
	if pool == nil {
		pool = l.newTransport()
		l.pools[id] = pool
	}
	return pool
}

// reset drops a replica's pool: its idle connections are closed, and requests
// that still use the old pool do not return theirs to the new one.
func (l *links) reset(id upstream.ReplicaID) {
	l.mu.Lock()
	pool := l.pools[id]
	delete(l.pools, id)
	l.mu.Unlock()
	if pool != nil {
		pool.CloseIdleConnections()
	}
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, pool := range l.pools {
		pool.CloseIdleConnections()
	}
	l.fresh.CloseIdleConnections()
}

// ProbeResult says what a fresh connection to a replica found.
type ProbeResult struct {
	Alive       bool // something answered
	Refused     bool // the VM answers and no process listens
	Incarnation uint64
}

// maxProbeBytes bounds the answer that a probe reads.
const maxProbeBytes = 4096

// probe asks whether the process at an address lives.
func (l *links) probe(address string) ProbeResult {
	if l.ask == nil {
		ctx, cancel := context.WithTimeout(context.Background(), l.probeTimeout)
		defer cancel()
		return l.askLoad(ctx, address)
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(l.probeTimeout, l.dialLimit(address)))
	defer cancel()
	start := time.Now()
	found := l.ask(ctx, address)
	l.probed(address, time.Since(start), found)
	return found
}

// probed learns from a probe that only opens a connection.
func (l *links) probed(address string, took time.Duration, found ProbeResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case found.Alive:
		l.limits.Connected(address, took)
	case !found.Refused:
		l.limits.Missed(address)
	}
}

// askLoad asks an engine for its load. Any HTTP answer shows a live process: a
// frozen one still accepts connections, but never answers.
func (l *links) askLoad(ctx context.Context, address string) ProbeResult {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathLoad, nil)
	if err != nil {
		return ProbeResult{}
	}
	response, err := l.fresh.RoundTrip(request)
	if err != nil {
		return ProbeResult{Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxProbeBytes))
	if err != nil {
		return ProbeResult{}
	}
	var load struct {
		Incarnation uint64 `json:"incarnation"`
	}
	_ = json.Unmarshal(data, &load) // plain services need not report a load
	return ProbeResult{Alive: true, Incarnation: load.Incarnation}
}

// ProbeConnection finds out whether a process listens at an address by opening a
// connection. It takes no slot of the replica; a process that is frozen passes.
func ProbeConnection(ctx context.Context, address string) ProbeResult {
	connection, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return ProbeResult{Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	_ = connection.Close() // nothing was sent
	return ProbeResult{Alive: true}
}
