package replica

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"slateway.example/slateway/internal/wal"
)

// ledger is a state machine that appends each entry to a file and counts them.
type ledger struct {
	path string

	mu    sync.Mutex
	file  *os.File
	count uint64
	seen  map[string]int
}

func newLedger(folder string) *ledger { return &ledger{path: filepath.Join(folder, "ledger")} }

func (m *ledger) Apply(entry Entry) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count++
	m.seen[string(entry.Data)]++
	if _, err := fmt.Fprintf(m.file, "%s\n", entry.Data); err != nil {
		panic(err)
	}
	return binary.BigEndian.AppendUint64(nil, m.count)
}

func (m *ledger) Snapshot() (Snapshot, error) {
	info, err := m.file.Stat()
	if err != nil {
		return Snapshot{}, err
	}
	state := binary.BigEndian.AppendUint64(nil, m.count)
	return Snapshot{State: state, Files: []File{{Name: "ledger", Length: info.Size()}}}, m.file.Sync()
}

func (m *ledger) Restore(s Snapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.file != nil {
		_ = m.file.Close()
	}
	file, err := os.OpenFile(m.path, os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	m.file, m.count, m.seen = file, 0, map[string]int{}
	if len(s.State) > 0 {
		m.count = binary.BigEndian.Uint64(s.State)
	}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		m.seen[lines.Text()]++
	}
	return lines.Err()
}

func (m *ledger) times(data string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seen[data]
}

// vm is one in-process host on the loopback interface.
type vm struct {
	name, address, folder string
	voters                []Voter
	host                  *Host
	server                *http.Server
	machines              []*ledger
	network               *faultyNetwork
}

// faultyNetwork makes all calls of a VM, incoming and outgoing, hang without an error,
// or only those on connections that it has opened.
type faultyNetwork struct {
	transport http.Transport
	bytes     atomic.Int64 // sent and received on connections opened by this VM

	mu      sync.Mutex
	hanging bool
	conns   []*blackholeConn
}

// blackholeConn is a connection that stays open without passing data, as when a
// middlebox has lost its state: writes are discarded and reads block until it is
// closed.
type blackholeConn struct {
	net.Conn
	blackholed atomic.Bool
	bytes      *atomic.Int64 // shared by all connections that the VM has opened
	closed     chan struct{}
	once       sync.Once
}

func (c *blackholeConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	if c.blackholed.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *blackholeConn) Write(data []byte) (int, error) {
	if c.blackholed.Load() {
		return len(data), nil
	}
	c.bytes.Add(int64(len(data)))
	return c.Conn.Write(data)
}

func (c *blackholeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (s *faultyNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tracked := &blackholeConn{Conn: conn, bytes: &s.bytes, closed: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, tracked)
	return tracked, nil
}

// blackholeConnections makes the currently open connections discard all data
// permanently.
func (s *faultyNetwork) blackholeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.blackholed.Store(true)
	}
	s.conns = nil
}

func newFaultyNetwork() *faultyNetwork {
	s := &faultyNetwork{}
	s.transport.DialContext = s.dial
	return s
}

func (s *faultyNetwork) setHanging(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging = on
}

// hangIfSet blocks until ctx ends if the network hangs, and reports whether it does.
func (s *faultyNetwork) hangIfSet(ctx context.Context) bool {
	s.mu.Lock()
	on := s.hanging
	s.mu.Unlock()
	if on {
		<-ctx.Done()
	}
	return on
}

func (s *faultyNetwork) CloseIdleConnections() { s.transport.CloseIdleConnections() }

func (s *faultyNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.hangIfSet(r.Context()) {
		return nil, r.Context().Err()
	}
	return s.transport.RoundTrip(r)
}

type cluster struct {
	t         testing.TB
	vms       []*vm
	configure func(*Config)
}

// startCluster starts count VMs, of which the first voters are initial members.
func startCluster(t testing.TB, count, voters int, set func(*Config)) *cluster {
	t.Helper()
	c := &cluster{t: t, configure: set}
	var list []Voter
	listeners := make([]net.Listener, count)
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = listener
		c.vms = append(c.vms, &vm{name: fmt.Sprintf("vm-%d", i), address: listener.Addr().String(), folder: t.TempDir(), network: newFaultyNetwork()})
		if i < voters {
			list = append(list, Voter{VM: c.vms[i].name, Address: c.vms[i].address})
		}
	}
	for i, v := range c.vms {
		v.voters = list
		c.open(v, listeners[i])
	}
	t.Cleanup(func() {
		for _, v := range c.vms {
			v.kill()
		}
	})
	return c
}

func (c *cluster) open(v *vm, listener net.Listener) {
	c.t.Helper()
	if err := c.tryOpen(v, listener); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) tryOpen(v *vm, listener net.Listener) error {
	v.machines = nil
	config := Config{
		VM: v.name, Address: v.address, Folder: v.folder, Voters: v.voters, Groups: 1,
		NewStateMachine: func(_ uint32, folder string) (StateMachine, error) {
			m := newLedger(folder)
			v.machines = append(v.machines, m)
			return m, nil
		},
		Client: &http.Client{Transport: v.network},
	}
	if c.configure != nil {
		c.configure(&config)
	}
	host, err := Open(config)
	if err != nil {
		_ = listener.Close()
		return err
	}
	mux := http.NewServeMux()
	host.Mount(mux)
	v.host = host
	v.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !v.network.hangIfSet(r.Context()) {
			mux.ServeHTTP(w, r)
		}
	})}
	server := v.server
	go func() { _ = server.Serve(listener) }()
	host.Start()
	return nil
}

// kill stops the host without transferring leadership.
func (v *vm) kill() {
	_ = v.server.Close()
	v.host.shutdown()
	v.network.transport.CloseIdleConnections()
}

func (c *cluster) restart(v *vm) {
	c.t.Helper()
	var listener net.Listener
	c.eventually("the address is free", func() bool {
		var err error
		listener, err = net.Listen("tcp", v.address)
		return err == nil
	})
	c.open(v, listener)
}

const testTimeout = 30 * time.Second

func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("condition not met within %v: %s", testTimeout, what)
}

// leader waits for a VM that leads group 0, other than the given ones.
func (c *cluster) leader(except ...*vm) *vm {
	c.t.Helper()
	var found *vm
	c.eventually("a leader", func() bool {
		for _, v := range c.vms {
			skip := false
			for _, e := range except {
				skip = skip || e == v
			}
			if !skip && v.host.stopped() == nil && v.host.Status()[0].Leads {
				found = v
				return true
			}
		}
		return false
	})
	return found
}

// memberStatus returns the leader's view of a member of group 0.
func (c *cluster) memberStatus(v *vm) MemberStatus {
	for _, m := range c.leader().host.Status()[0].Members {
		if m.VM == v.name {
			return m
		}
	}
	return MemberStatus{}
}

// idleTicks returns the ticks since the leader of group 0 last had contact with a
// member.
func (c *cluster) idleTicks(v *vm) int {
	g := c.leader().host.groups[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.node.Status().Members {
		if m.VM == v.name {
			return m.IdleTicks
		}
	}
	return 0
}

// propose proposes data to the current leader until it is acknowledged. After an
// unknown outcome it asks the next leader whether the change was applied.
func (c *cluster) propose(data string) {
	c.t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); {
		err := c.tryPropose(c.leader(), data)
		var unknown *OutcomeUnknownError
		if err == nil || errors.As(err, &unknown) && c.wasApplied(data) {
			return
		}
	}
	c.t.Error("no leader accepted the change")
}

// wasApplied reports whether data is in the state of a leader after a read barrier; an
// entry that is missing by then can never be committed.
func (c *cluster) wasApplied(data string) bool {
	made := false
	c.eventually("a read barrier", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		v := c.leader()
		err := v.host.ReadBarrier(ctx, 0)
		made = v.machines[0].times(data) > 0
		return err == nil
	})
	return made
}

func (c *cluster) tryPropose(v *vm, data string) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := v.host.Propose(ctx, 0, []byte(data))
	return err
}

// expectApplied waits until data is applied exactly once on v.
func (c *cluster) expectApplied(v *vm, data string) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("%s on %s", data, v.name), func() bool { return v.machines[0].times(data) > 0 })
	if times := v.machines[0].times(data); times != 1 {
		c.t.Errorf("%s applied %q %d times", v.name, data, times)
	}
}

func (c *cluster) others(v *vm) []*vm {
	var others []*vm
	for _, other := range c.vms {
		if other != v {
			others = append(others, other)
		}
	}
	return others
}

// failSync is a log file whose syncs fail while fail returns true.
type failSync struct {
	wal.File
	shouldFail func() bool
}

func (f failSync) Sync() error {
	if f.shouldFail() {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}
