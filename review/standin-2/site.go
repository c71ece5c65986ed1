package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine of the site: all machines use the same ports on different
// loopback addresses.
const (
	portFrontend  = 18244
	portReadiness = 18240
	portControl   = 18246
	portDirectory = 18243
	portPeers     = 17760
)

// machine is one machine of the site with its process.
type machine struct {
	name, role, class, ip string
	zone                  string
	memoryMB              int
	folder, settings      string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// site is a small deployment: control, store and gate machines on loopback addresses.
type site struct {
	record   *record
	network  string // first three numbers of all addresses
	folder   string
	machines []*machine
	fields   map[string]any // settings that all machines share
}

// Zones of the site.
const (
	homeZone = "glas-a"
	sideZone = "edin-b"
)

// homeGates returns the zones of a number of gates in homeZone.
func homeGates(count int) []string {
	zones := make([]string, count)
	for i := range zones {
		zones[i] = homeZone
	}
	return zones
}

// newSite lays out a site without starting it. The bounds are those of the small site files.
// Control and store machines are in homeZone; gates lists the zone of each gate.
func newSite(r *record, controls, stores int, gates ...string) (*site, error) {
	folder, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, folder: folder, network: fmt.Sprintf("127.%d.%d", 60+os.Getpid()/250%100, 1+os.Getpid()%250)}
	s.fields = map[string]any{
		"bounds.cancel_ms": 3000, "bounds.status_s": 120, "bounds.grace_period_s": 8, "fault_tolerance.machines": 1,
	}
	inZone := map[string]int{}
	add := func(role, class, zone string, memoryMB int) {
		inZone[class+zone]++
		name := fmt.Sprintf("%s-%s-%d", class, zone, inZone[class+zone])
		m := &machine{name: name, role: role, class: class, zone: zone, memoryMB: memoryMB, ip: fmt.Sprintf("%s.%d", s.network, len(s.machines)+1)}
		m.folder, m.settings = filepath.Join(folder, name), filepath.Join(folder, name+".toml")
		s.machines = append(s.machines, m)
	}
	for range controls {
		add("control", "core", homeZone, 280)
	}
	for range stores {
		add("store", "storage", homeZone, 324)
	}
	for _, zone := range gates {
		add("gate", "frontend", zone, 284)
	}
	return s, nil
}

func (s *site) of(role string) []*machine {
	var found []*machine
	for _, m := range s.machines {
		if m.role == role {
			found = append(found, m)
		}
	}
	return found
}

// settingsOf returns the fields that the platform fills into a machine's template.
func (s *site) settingsOf(m *machine, bootstrap bool) map[string]any {
	seeds := []string{}
	for _, c := range s.of("control") {
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, portControl))
		}
	}
	fields := map[string]any{
		"node_name": m.name, "zone": m.zone, "region": "scot-central", "data_directory": m.folder, "ip_address": m.ip,
		"listen_addresses.frontend": fmt.Sprintf("%s:%d", m.ip, portFrontend), "listen_addresses.readiness": fmt.Sprintf("%s:%d", m.ip, portReadiness),
		"listen_addresses.control_plane": fmt.Sprintf("%s:%d", m.ip, portControl), "listen_addresses.directory": fmt.Sprintf("%s:%d", m.ip, portDirectory),
		"internal_port_range.0": portPeers, "seed_nodes": seeds, "bootstrap": bootstrap,
		"limits.file_descriptors": 4100, "limits.memory_mb": m.memoryMB,
	}
	for name, value := range s.fields {
		fields[name] = value
	}
	return fields
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}\n?(.*?)\{\{/([a-z_.]+)\}\}\n?`)
	placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)(\|json)?\}\}`)
)

// render fills in a template of the deploy file as the platform does.
func render(template string, fields map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		value, found := fields[parts[1]]
		if !found {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", fmt.Sprint(value))
	})
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		parts := placeholder.FindStringSubmatch(text)
		value := fields[parts[1]]
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		data, err := json.Marshal(value)
		if err != nil {
			panic(err) // cannot happen: the fields hold plain values
		}
		return string(data)
	})
}

// start starts a machine's process with the command of the deploy file.
func (s *site) start(m *machine, bootstrap bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	template, err := os.ReadFile("deploy/" + m.role + ".toml.tmpl")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(m.folder, 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(m.settings, []byte(render(string(template), s.settingsOf(m, bootstrap))), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(s.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command("target/slatewayd")
	command.Env = []string{wire["settings_variable"] + "=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.command, m.ended = command, ended
	go func() {
		err := command.Wait()
		s.record.line("%s: process %d ended: %v", m.name, command.Process.Pid, err)
		close(ended)
	}()
	return nil
}

// startAll starts all machines for the first time.
func (s *site) startAll() error {
	for _, m := range s.machines {
		if err := s.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a machine's process.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.command.Process.Signal(sig) // it may have ended
}

func (m *machine) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.command.Process.Pid
}

// kill ends a machine's process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	<-ended
}

// close ends all processes and removes their folders, unless KEEP is set.
func (s *site) close() {
	for _, m := range s.machines {
		if m.command != nil {
			m.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept", s.folder)
	}
}

func (m *machine) frontend() string { return fmt.Sprintf("%s:%d", m.ip, portFrontend) }
func (m *machine) control() string  { return fmt.Sprintf("%s:%d", m.ip, portControl) }

// awaitReady waits until all gates are ready.
func (s *site) awaitReady(ctx context.Context) error {
	for _, m := range s.of("gate") {
		for {
			response, err := http.Get(fmt.Sprintf("http://%s:%d/readiness", m.ip, portReadiness))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if !pause(ctx, 100*time.Millisecond) {
				return fmt.Errorf("%s is not ready", m.name)
			}
		}
	}
	return nil
}

// pause waits and reports whether ctx still runs.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
