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

	"slateway.example/slateway/internal/checkedhttp"
	"slateway.example/slateway/internal/framing"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/sockets"
	"slateway.example/slateway/internal/upstream"
)

// transports holds the connections to upstreams. Each replica has a pool of its
// own, which is dropped when one of its connections has stalled.
type transports struct {
	dialer *net.Dialer
	checks checkedhttp.Options
	// fresh opens a new connection for each request. Probes use it to distinguish a
	// stalled connection from a dead replica. Requests that may not be repeated use
	// it because, if the upstream closes a pooled connection just then, it is unknown
	// whether the request ran.
	fresh *checkedhttp.Transport
	// questions asks plain services which process answers, over connections that stay open.
	questions    *checkedhttp.Transport
	held         heldConnections
	probeTimeout time.Duration
	probeFunc    func(ctx context.Context, address string) ProbeResult

	mu         sync.Mutex // guards the fields below
	pools      map[upstream.ReplicaID]*checkedhttp.Transport
	dialLimits *route.DialLimits
}

// countViolation is followed by the framing.Reason of a response that is none in the protocol.
const countViolation = "answers.invalid."

// Sizes and times of a connection pool.
const (
	maxIdlePerReplica = 256
	idleTimeout       = 30 * time.Second
)

func newTransports(o Options) *transports {
	l := &transports{
		dialer:       sockets.Dialer(o.DialTimeout, o.UnackedTimeout),
		probeTimeout: o.ProbeTimeout,
		probeFunc:    o.Probe,
		pools:        make(map[upstream.ReplicaID]*checkedhttp.Transport),
		dialLimits:   route.NewDialLimits(o.DialTimeout),
	}
	limits := framing.DefaultLimits()
	limits.Head = o.MaxHeadBytes
	l.checks = checkedhttp.Options{
		Limits:   limits,
		Violated: func(v *framing.Violation) { o.Metrics.Count(countViolation + string(v.Reason)) },
	}
	fresh := l.newTransport()
	fresh.DisableKeepAlives = true
	l.fresh = checkedhttp.New(fresh, l.checks)
	l.held.open = make(map[string]heldState)
	l.questions = l.newQuestionTransport()
	return l
}

func (l *transports) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         l.dial,
		MaxIdleConnsPerHost: maxIdlePerReplica,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// dial opens a connection to an upstream within the dial limit learned for it.
func (l *transports) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, l.dialLimit(address))
	defer cancel()
	start := time.Now()
	connection, err := l.dialer.DialContext(ctx, network, address)
	l.recordDial(address, time.Since(start), err)
	return connection, err
}

func (l *transports) dialLimit(address string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialLimits.Limit(address)
}

// recordDial updates an address's dial limit with the result of a dial. A refused
// connection says nothing about the time that connections take.
func (l *transports) recordDial(address string, took time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.dialLimits.Connected(address, took)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		l.dialLimits.Missed(address)
	}
}

func (l *transports) pool(id upstream.ReplicaID) *checkedhttp.Transport {
	l.mu.Lock()
	defer l.mu.Unlock()
	pool := l.pools[id]
	if pool == nil {
		pool = checkedhttp.New(l.newTransport(), l.checks)
		l.pools[id] = pool
	}
	return pool
}

// reset drops a replica's pool and closes its idle connections. Connections still in
// use are not returned to the new pool.
func (l *transports) reset(id upstream.ReplicaID) {
	l.mu.Lock()
	pool := l.pools[id]
	delete(l.pools, id)
	l.mu.Unlock()
	if pool != nil {
		pool.CloseIdleConnections()
	}
}

func (l *transports) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, pool := range l.pools {
		pool.CloseIdleConnections()
	}
	l.fresh.CloseIdleConnections()
	l.questions.CloseIdleConnections()
}

// ProbeResult is the result of a probe over a new connection.
type ProbeResult struct {
	Alive       bool // the process answered
	Refused     bool // the VM answers but no process listens
	Incarnation uint64
}

// maxProbeBytes limits how much of an answer a probe reads.
const maxProbeBytes = 4096

// probe checks whether the process at an address is alive.
func (l *transports) probe(address string) ProbeResult {
	if l.probeFunc == nil {
		ctx, cancel := context.WithTimeout(context.Background(), l.probeTimeout)
		defer cancel()
		return l.probeLoad(ctx, address)
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(l.probeTimeout, l.dialLimit(address)))
	defer cancel()
	start := time.Now()
	result := l.probeFunc(ctx, address)
	l.recordProbe(address, time.Since(start), result)
	return result
}

// recordProbe updates an address's dial limit with the result of a probe that only
// opens a connection.
func (l *transports) recordProbe(address string, took time.Duration, result ProbeResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case result.Alive:
		l.dialLimits.Connected(address, took)
	case !result.Refused:
		l.dialLimits.Missed(address)
	}
}

// probeLoad requests an engine's load. Any HTTP answer proves that the process is
// alive; a frozen one still accepts connections but never answers.
func (l *transports) probeLoad(ctx context.Context, address string) ProbeResult {
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
	_ = json.Unmarshal(data, &load) // plain services may answer without a load
	return ProbeResult{Alive: true, Incarnation: load.Incarnation}
}

// ProbeConnection checks whether a process listens at an address by opening a
// connection. It uses no slot of the replica, but does not detect a frozen process.
func ProbeConnection(ctx context.Context, address string) ProbeResult {
	connection, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return ProbeResult{Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	_ = connection.Close() // nothing was sent
	return ProbeResult{Alive: true}
}
