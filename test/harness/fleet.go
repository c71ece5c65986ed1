package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"slateway.example/slateway/standin/link"
)

// Ports of a VM's listeners; each VM has its own IP address. upstreamPort is the port
// of the upstreams.
const (
	callersPort   = 8080
	operatorsPort = 8081
	peersPort     = 8082
	upstreamPort  = 8090
)

// Last octets of the IP addresses.
const (
	firstVM       = 1
	firstPeerLink = 51
	firstUpstream = 101
	relayHost     = 250
)

// Place is a data centre.
type Place struct {
	Name   string
	Region string
}

// VMOptions describes a VM.
type VMOptions struct {
	Place  Place
	Gate   bool
	Keeper bool
}

// Options describes a fleet.
type Options struct {
	VMs []VMOptions
	// Settings is TOML text that is appended to every VM's settings.
	Settings string
	// NoRunLogs disables the upstreams' run logs. Writes to the logs wait for the
	// keepers' syncs of the same disk, which upstreams do not share with keepers at a
	// real site.
	NoRunLogs bool
	// LinkDelay is the one-way delay between places. If it is not zero, gates reach
	// upstreams through links; the links within a place have no delay.
	LinkDelay time.Duration
	// PeerLinks puts a link in front of each VM's peers address, as Cut needs.
	PeerLinks bool
}

// Fleet is a set of VMs and upstreams. Its methods may be called concurrently.
type Fleet struct {
	Folder   string
	Programs Programs
	VMs      []*VM

	options Options
	network string // first three octets of all addresses

	mu        sync.Mutex
	upstreams []*Upstream
	relays    int
	closers   []func() error
	cuts      [][2]*VM // from, to
}

// VM is a virtual machine that runs the daemon as a gate, a keeper or both.
type VM struct {
	VMOptions
	Name      string
	IP        string
	Callers   string // IP:port
	Operators string
	Peers     string
	Advertise string // peers address that other VMs use: Peers, or the link in front of it
	Data      string // data folder
	Settings  string // path of its TOML file
	*Process         // nil until started

	fleet   *Fleet
	streams *link.Relay   // TCP to Peers; nil without PeerLinks
	packets *link.Packets // UDP to Peers
}

// New creates a fleet in folder and writes its settings. It starts no processes.
func New(folder string, programs Programs, options Options) (*Fleet, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{Folder: folder, Programs: programs, options: options, network: network}
	for i, vm := range options.VMs {
		fleet.VMs = append(fleet.VMs, fleet.newVM(i, vm))
	}
	if err := fleet.addPeerLinks(); err != nil {
		fleet.Close()
		return nil, err
	}
	for _, vm := range fleet.VMs {
		if err := os.MkdirAll(vm.Data, 0o755); err != nil {
			return nil, err
		}
		if err := os.WriteFile(vm.Settings, []byte(fleet.settingsFor(vm)+options.Settings), 0o644); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

// freeNetwork returns a random loopback network on which nothing listens. Port 0 would
// not work: settings contain the ports of other processes before these start, and a
// free port may be taken by then.
func freeNetwork() (string, error) {
	for range 100 {
		network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, firstVM, peersPort))
		if err == nil {
			return network, listener.Close()
		}
	}
	return "", errors.New("found no free loopback network; the harness needs all of 127.0.0.0/8, which only Linux configures by default")
}

func (f *Fleet) newVM(number int, options VMOptions) *VM {
	name := fmt.Sprintf("vm-%d", number+1)
	ip := fmt.Sprintf("%s.%d", f.network, firstVM+number)
	return &VM{
		VMOptions: options,
		Name:      name,
		IP:        ip,
		Callers:   fmt.Sprintf("%s:%d", ip, callersPort),
		Operators: fmt.Sprintf("%s:%d", ip, operatorsPort),
		Peers:     fmt.Sprintf("%s:%d", ip, peersPort),
		Advertise: fmt.Sprintf("%s:%d", ip, peersPort),
		Data:      filepath.Join(f.Folder, name),
		Settings:  filepath.Join(f.Folder, name+".toml"),
		fleet:     f,
	}
}

// Start starts the VM's daemon.
func (v *VM) Start() error {
	process, err := Start(v.Name, v.fleet.Folder, v.fleet.Programs.Slatewayd, v.fleet.daemonArgs(v)...)
	if err != nil {
		return err
	}
	v.Process = process
	return nil
}

// WipeDisk replaces the data folder of a killed VM with an empty one.
func (v *VM) WipeDisk() error {
	if err := os.RemoveAll(v.Data); err != nil {
		return err
	}
	return os.MkdirAll(v.Data, 0o755)
}

// Start starts all VMs.
func (f *Fleet) Start() error {
	for _, vm := range f.VMs {
		if err := vm.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close kills every process that the fleet started and closes its links.
func (f *Fleet) Close() {
	f.mu.Lock()
	upstreams := f.upstreams
	closers := f.closers
	f.mu.Unlock()
	for _, vm := range f.VMs {
		if vm.Process != nil {
			vm.Kill()
		}
	}
	for _, upstream := range upstreams {
		if upstream.Process != nil {
			upstream.Kill()
		}
	}
	for _, closer := range closers {
		_ = closer()
	}
}

// Callers returns the callers' addresses of all gates.
func (f *Fleet) Callers() []string {
	var addresses []string
	for _, vm := range f.VMs {
		if vm.Gate {
			addresses = append(addresses, vm.Callers)
		}
	}
	return addresses
}

// Operators returns the operators' addresses of all VMs.
func (f *Fleet) Operators() []string {
	var addresses []string
	for _, vm := range f.VMs {
		addresses = append(addresses, vm.Operators)
	}
	return addresses
}
