package replica

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"slateway.example/slateway/internal/wal"
)

// ledger is a machine that appends each entry to a file and counts them.
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
	var line string
	for read := uint64(0); read < m.count; read++ {
		if _, err := fmt.Fscanln(file, &line); err != nil {
			return fmt.Errorf("line %d of %d: %w", read, m.count, err)
		}
		m.seen[line]++
	}
	return nil
}

func (m *ledger) times(data string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seen[data]
}

// vm is one in-process host on loopback.
type vm struct {
	name, address, folder string
	voters                []Voter
	host                  *Host
	server                *http.Server
	machines              []*ledger
	silent                *silence
}

// silence makes a VM's calls, in and out, hang without an error.
type silence struct {
	mu sync.Mutex
	on bool
}

func (s *silence) set(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.on = on
}

func (s *silence) hang(ctx context.Context) bool {
	s.mu.Lock()
	on := s.on
	s.mu.Unlock()
	if on {
		<-ctx.Done()
	}
	return on
}

func (s *silence) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.hang(r.Context()) {
		return nil, r.Context().Err()
	}
	return http.DefaultTransport.RoundTrip(r)
}

type cluster struct {
	t   testing.TB
	vms []*vm
	set func(*Config)
}

// start begins count VMs, of which the first voters are initial members.
func start(t testing.TB, count, voters int, set func(*Config)) *cluster {
	t.Helper()
	c := &cluster{t: t, set: set}
	var list []Voter
	listeners := make([]net.Listener, count)
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = listener
		c.vms = append(c.vms, &vm{name: fmt.Sprintf("vm-%d", i), address: listener.Addr().String(), folder: t.TempDir(), silent: &silence{}})
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
		NewMachine: func(_ uint32, folder string) (Machine, error) {
			m := newLedger(folder)
			v.machines = append(v.machines, m)
			return m, nil
		},
		Client: &http.Client{Transport: v.silent},
	}
	if c.set != nil {
		c.set(&config)
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
		if !v.silent.hang(r.Context()) {
			mux.ServeHTTP(w, r)
		}
	})}
	server := v.server
	go func() { _ = server.Serve(listener) }()
	host.Start()
	return nil
}

// kill ends the host without handing leadership over.
func (v *vm) kill() {
	_ = v.server.Close()
	v.host.shutdown()
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

const patience = 30 * time.Second

func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("not within %v: %s", patience, what)
}

// leader waits for a VM that leads group 0, other than those given.
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

// change proposes data at whichever VM leads, until it is acknowledged. An
// unknown outcome ends the test unless it may be repeated.
func (c *cluster) change(data string) {
	c.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		err := c.tryChange(c.leader(), data)
		var elsewhere *NotLeaderError
		if err == nil {
			return
		}
		if !errors.As(err, &elsewhere) {
			c.t.Fatal(err)
		}
	}
	c.t.Fatal("no leader took the change")
}

func (c *cluster) tryChange(v *vm, data string) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := v.host.Propose(ctx, 0, []byte(data))
	return err
}

// expect waits until data is applied exactly once on v.
func (c *cluster) expect(v *vm, data string) {
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

// failSync makes the syncs of a log fail once it is set.
type failSync struct {
	wal.File
	fail func() bool
}

func (f failSync) Sync() error {
	if f.fail() {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}
