package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"slateway.example/slateway/standin/engine"
	"slateway.example/slateway/standin/link"
	"slateway.example/slateway/standin/service"
)

// Upstream is a simulated engine or service that runs as a process.
type Upstream struct {
	Replica    string
	Address    string // IP:port
	RunLog     string // file with a line for each start and end of a run
	Place      Place
	LocalLink  *link.Relay // link in front of it for gates in its place; nil without LinkDelay
	RemoteLink *link.Relay // link in front of it for gates in other places; nil without LinkDelay
	*Process

	fleet   *Fleet
	program string
	args    []string
}

// StartEngine starts a simulated engine in a place; it announces itself to all gates.
// extra holds additional flags for standin-engine.
func (f *Fleet) StartEngine(service, replica string, place Place, extra ...string) (*Upstream, error) {
	return f.startUpstream(f.Programs.Engine, service, replica, place, extra)
}

// StartService starts a simulated plain service, as StartEngine does an engine.
func (f *Fleet) StartService(service, replica string, place Place, extra ...string) (*Upstream, error) {
	return f.startUpstream(f.Programs.Service, service, replica, place, extra)
}

func (f *Fleet) startUpstream(program, service, replica string, place Place, extra []string) (*Upstream, error) {
	f.mu.Lock()
	address := fmt.Sprintf("%s.%d:%d", f.network, firstUpstream+len(f.upstreams), upstreamPort)
	upstream := &Upstream{Replica: replica, Address: address, RunLog: filepath.Join(f.Folder, replica+".runs"), Place: place, fleet: f, program: program}
	f.upstreams = append(f.upstreams, upstream)
	f.mu.Unlock()

	upstream.args = []string{
		"--listen", address, "--service", service, "--replica", replica,
		"--place", place.Name, "--vm", "host-of-" + replica,
	}
	if !f.options.NoRunLogs {
		upstream.args = append(upstream.args, "--run-log", upstream.RunLog)
	}
	upstream.args = append(upstream.args, extra...)
	if err := f.addLinks(upstream); err != nil {
		return nil, err
	}
	for _, vm := range f.VMs {
		if vm.Gate {
			upstream.args = append(upstream.args, "--gate", vm.Callers+upstream.linkSuffix(vm))
		}
	}
	return upstream, upstream.Restart()
}

// addLinks puts links in front of an upstream if the fleet has a LinkDelay.
func (f *Fleet) addLinks(upstream *Upstream) (err error) {
	if f.options.LinkDelay == 0 {
		return nil
	}
	if upstream.LocalLink, err = f.Relay(upstream.Address, 1); err != nil {
		return err
	}
	if upstream.RemoteLink, err = f.Relay(upstream.Address, 2); err != nil {
		return err
	}
	upstream.RemoteLink.Set(link.Condition{Delay: f.options.LinkDelay})
	return nil
}

// linkSuffix returns the suffix of the --gate flag with the address that the upstream
// announces to that gate; empty means its own address.
func (u *Upstream) linkSuffix(gate *VM) string {
	switch {
	case u.LocalLink == nil:
		return ""
	case gate.Place == u.Place:
		return "=" + u.LocalLink.Address()
	}
	return "=" + u.RemoteLink.Address()
}

// Restart starts the upstream again on the same address after it has exited.
func (u *Upstream) Restart() error {
	process, err := Start(u.Replica, u.fleet.Folder, u.program, u.args...)
	if err != nil {
		return err
	}
	u.Process = process
	return nil
}

// Runs returns the runs in an engine's run log, which can also be read after the engine
// was killed. A run that never ended has no Outcome.
func (u *Upstream) Runs() ([]engine.RunEntry, error) {
	file, err := os.Open(u.RunLog)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines := json.NewDecoder(file)
	open := map[string]int{}
	var runs []engine.RunEntry
	for {
		var entry engine.RunEntry
		err := lines.Decode(&entry)
		// A killed process may leave an incomplete last line.
		if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
			return runs, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", u.RunLog, err)
		}
		key := entry.RequestID + entry.Started.String()
		if at, ok := open[key]; ok && entry.Outcome != "" {
			runs[at] = entry
			continue
		}
		open[key] = len(runs)
		runs = append(runs, entry)
	}
}

// Relay puts a link with its own address in front of a target, IP:port.
func (f *Fleet) Relay(target string, seed uint64) (*link.Relay, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relays++
	relay, err := link.Listen(fmt.Sprintf("%s.%d:%d", f.network, relayHost, upstreamPort+f.relays), target, seed)
	if err != nil {
		return nil, err
	}
	f.closers = append(f.closers, relay.Close)
	return relay, nil
}

// Calls returns the calls in a service's run log.
func (u *Upstream) Calls() ([]service.Call, error) {
	file, err := os.Open(u.RunLog)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines := json.NewDecoder(file)
	var calls []service.Call
	for {
		var call service.Call
		err := lines.Decode(&call)
		if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
			return calls, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", u.RunLog, err)
		}
		calls = append(calls, call)
	}
}
