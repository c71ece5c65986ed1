package keepertest

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/keeper"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/rpc"
)

// Cluster is a set of keepers in one process that communicate over loopback and
// store their state in temporary folders of the test.
type Cluster struct {
	Keepers []*Keeper

	tb        testing.TB
	groups    uint32
	voters    []replica.Voter
	configure func(*replica.Config, *keeper.Options)
}

// Keeper is a keeper of a Cluster.
type Keeper struct {
	VM      string
	Address string
	Host    *replica.Host

	folder    string
	server    *http.Server
	cancel    context.CancelFunc
	isolation atomic.Int32 // an Isolation
}

// Isolation selects the callers whose calls to a keeper hang without an error, as
// with a frozen process or a network that drops packets.
type Isolation int32

// Values of Isolation.
const (
	NotIsolated       Isolation = iota
	IsolatedFromPeers           // calls to and from the other keepers; gates and operators still reach it
	IsolatedFromAll
)

// StartCluster starts count keepers, which stop at the end of the test. configure,
// which may be nil, adjusts the settings of each.
func StartCluster(tb testing.TB, count int, groups uint32, configure func(*replica.Config, *keeper.Options)) *Cluster {
	tb.Helper()
	c := &Cluster{tb: tb, groups: groups, configure: configure}
	var listeners []net.Listener
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		listeners = append(listeners, listener)
		k := &Keeper{VM: fmt.Sprintf("vm-%d", i+1), Address: listener.Addr().String(), folder: tb.TempDir()}
		c.Keepers = append(c.Keepers, k)
		c.voters = append(c.voters, replica.Voter{VM: k.VM, Address: k.Address})
	}
	for i, k := range c.Keepers {
		if err := c.open(k, listeners[i]); err != nil {
			tb.Fatal(err)
		}
	}
	tb.Cleanup(func() {
		for _, k := range c.Keepers {
			k.Stop()
		}
	})
	return c
}

func (c *Cluster) open(k *Keeper, listener net.Listener) error {
	options := keeper.Options{Config: keeper.NewConfigMachine(), Jobs: make([]*keeper.JobMachine, c.groups-1), Log: zap.NewNop()}
	config := replica.Config{
		VM: k.VM, Address: k.Address, Folder: k.folder, Voters: c.voters, Groups: c.groups,
		Client: &http.Client{Transport: k},
		NewStateMachine: func(group uint32, folder string) (replica.StateMachine, error) {
			if group == keeperapi.ConfigGroup {
				return options.Config, nil
			}
			options.Jobs[group-1] = keeper.NewJobMachine(folder, func(err error) { panic(err) })
			return options.Jobs[group-1], nil
		},
	}
	if c.configure != nil {
		c.configure(&config, &options)
	}
	host, err := replica.Open(config)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	k.Host = host
	options.Proposer, options.Self = host, host.Self().ID
	service := keeper.NewService(options)
	peers, calls := http.NewServeMux(), http.NewServeMux()
	host.Mount(peers)
	service.Mount(calls)
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.server = &http.Server{Handler: k.guard(peers, calls), ReadHeaderTimeout: time.Minute}
	go func(server *http.Server) { _ = server.Serve(listener) }(k.server)
	host.Start()
	go service.Run(ctx)
	return nil
}

// guard forwards requests and hangs those from which the keeper is isolated.
func (k *Keeper) guard(peers, calls *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler, isolation := calls, IsolatedFromAll
		if _, pattern := peers.Handler(r); pattern != "" {
			handler, isolation = peers, IsolatedFromPeers
		}
		if k.isIsolated(isolation) {
			<-r.Context().Done()
			return
		}
		handler.ServeHTTP(w, r)
	})
}

func (k *Keeper) isIsolated(from Isolation) bool { return Isolation(k.isolation.Load()) >= from }

// RoundTrip sends a call to another keeper, or hangs it if the keeper is isolated.
func (k *Keeper) RoundTrip(r *http.Request) (*http.Response, error) {
	if k.isIsolated(IsolatedFromPeers) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return http.DefaultTransport.RoundTrip(r)
}

// SetIsolation isolates the keeper from its callers, or reconnects it.
func (k *Keeper) SetIsolation(isolation Isolation) { k.isolation.Store(int32(isolation)) }

// Stop stops the keeper.
func (k *Keeper) Stop() {
	k.cancel()
	_ = k.server.Close()
	k.Host.Stop()
}

// Restart starts a stopped keeper from its folder.
func (c *Cluster) Restart(k *Keeper) {
	c.tb.Helper()
	const timeout = 10 * time.Second
	for deadline := time.Now().Add(timeout); ; time.Sleep(5 * time.Millisecond) {
		listener, err := net.Listen("tcp", k.Address)
		if err == nil {
			err = c.open(k, listener)
		}
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.tb.Fatal(err)
		}
	}
}

// Client creates a client with its own connections.
func (c *Cluster) Client() *keeperclient.Client { return c.LossyClient(func() bool { return false }) }

// LossyClient creates a client that loses the response of a call whenever lose
// returns true. The keeper has executed the call then.
func (c *Cluster) LossyClient(lose func() bool) *keeperclient.Client {
	const connections = 256 // to each keeper; with the default of 2, most would be closed after use
	transport := &http.Transport{MaxIdleConnsPerHost: connections}
	c.tb.Cleanup(transport.CloseIdleConnections)
	var addresses []string
	for _, k := range c.Keepers {
		addresses = append(addresses, k.Address)
	}
	return keeperclient.New(rpc.NewClient(&http.Client{Transport: &lossyTransport{transport: transport, lose: lose}}), addresses)
}

// lossyTransport is a transport that may lose responses.
type lossyTransport struct {
	transport http.RoundTripper
	lose      func() bool
}

var errResponseLost = errors.New("connection reset")

// RoundTrip sends a call and may lose its response.
func (l *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := l.transport.RoundTrip(r)
	if err == nil && l.lose() {
		_ = response.Body.Close()
		return nil, errResponseLost
	}
	return response, err
}

// Leader waits until a keeper leads the group, and returns it.
func (c *Cluster) Leader(group uint32) *Keeper {
	c.tb.Helper()
	const timeout = 30 * time.Second
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, k := range c.Keepers {
			if k.Host.Status()[group].Leads {
				return k
			}
		}
	}
	c.tb.Fatalf("group %d elected no leader in time", group)
	return nil
}
