package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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

// Ports of every VM, as on the platform: the same on all addresses.
const (
	portCallers   = 8144
	portReadiness = 8140
	portDirectory = 8143
	portControl   = 8146
	portPeers     = 7660
	portMetrics   = 9464
	portReplica   = 8080
)

// Bounds of the installation, those of the sheet of cipg-slate.
const (
	finishTime  = 18 * time.Second // finish_s
	configApply = 2 * time.Second  // config_apply_ms
	contact     = 3 * time.Second  // contact_window_ms
	cancelMS    = 3000
	statusS     = 120
	graceS      = 8
	startLimit  = 25 * time.Second
)

var zones = []string{"glas-a", "edin-b", "perth-c"}

// process is a process that the case has started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// site is a small installation: three control VMs, three store VMs and two gates.
type site struct {
	trouble bool
	net     string // first three bytes of all addresses
	folder  string
	started time.Time
	client  *http.Client

	mu        sync.Mutex
	record    *os.File
	processes []*process
	runs      []runEvent
	runAt     []time.Time
	onRun     func(runEvent)
}

func newSite(recordPath string) (*site, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "slateway-review-")
	if err != nil {
		return nil, err
	}
	s := &site{folder: folder, started: time.Now(), record: record}
	s.client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	for range 20 {
		s.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if s.isFree() {
			return s, nil
		}
	}
	return nil, errors.New("no free ports on the loopback addresses tried")
}

// isFree reports whether the ports of all VMs are free.
func (s *site) isFree() bool {
	for _, host := range []int{1, 2, 3, 11, 12, 13, 21, 22} {
		for _, port := range []int{portCallers, portReadiness, portDirectory, portControl, portPeers, portMetrics} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", s.net, host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(s.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(s.record, line)
	fmt.Println(line)
}

// close ends all processes and removes the folder.
func (s *site) close() {
	s.mu.Lock()
	processes := s.processes
	s.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs are in", s.folder)
	}
	_ = s.record.Close()
}

func (s *site) controls() []string {
	var list []string
	for i := 1; i <= 3; i++ {
		list = append(list, fmt.Sprintf("%s.%d:%d", s.net, i, portControl))
	}
	return list
}

func (s *site) gateAddress(i int) string { return fmt.Sprintf("%s.%d:%d", s.net, 21+i, portCallers) }

// startVMs starts all processes of the site with the templates of the deploy file.
func (s *site) startVMs() error {
	for i := range 3 {
		if err := s.startVM("core", "control", i, 1+i); err != nil {
			return err
		}
		if err := s.startVM("storage", "store", i, 11+i); err != nil {
			return err
		}
	}
	for i := range 2 {
		if err := s.startVM("frontend", "gate", i, 21+i); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) startVM(class, role string, i, host int) error {
	ip := fmt.Sprintf("%s.%d", s.net, host)
	name := fmt.Sprintf("%s-%s-1", class, zones[i])
	data := filepath.Join(s.folder, name)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	template, err := os.ReadFile(filepath.Join("deploy", role+".toml.tmpl"))
	if err != nil {
		return err
	}
	memory := map[string]int{"control": 280, "store": 324, "gate": 284}[role]
	descriptors := map[string]int{"control": 4096, "store": 8200, "gate": 4100}[role]
	settings := render(string(template), map[string]any{
		"node_name": name, "zone": zones[i], "region": "scot-central", "data_directory": data, "ip_address": ip,
		"listen_addresses.frontend": fmt.Sprintf("%s:%d", ip, portCallers), "listen_addresses.readiness": fmt.Sprintf("%s:%d", ip, portReadiness),
		"listen_addresses.directory": fmt.Sprintf("%s:%d", ip, portDirectory), "listen_addresses.control_plane": fmt.Sprintf("%s:%d", ip, portControl),
		"internal_port_range.0": portPeers, "seed_nodes": s.controls(), "bootstrap": true, "fault_tolerance.machines": 1,
		"bounds.cancel_ms": cancelMS, "bounds.status_s": statusS, "bounds.grace_period_s": graceS,
		"limits.file_descriptors": descriptors, "limits.memory_mb": memory,
	})
	file := filepath.Join(s.folder, name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return err
	}
	cmd := exec.Command("target/slatewayd") // the command of the deploy file
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire["settings_variable"] + "=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	_, err = s.start(name, cmd)
	return err
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}\n?(.*?)\{\{/([a-z_.0-9]+)\}\}\n?`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// render fills in a template as the platform does; a section is rendered if its field is there.
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
		encoded, _ := json.Marshal(value)
		return string(encoded)
	})
}

// start starts a process that does not outlive this one.
func (s *site) start(name string, cmd *exec.Cmd) (*process, error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	s.note("started %s, process %d", name, cmd.Process.Pid)
	return p, nil
}

// replicaOptions describe a replica to start.
type replicaOptions struct {
	id, service string
	host        int
	engine      bool
	slots       int
	pieces      int
	pause       time.Duration
}

func (s *site) replicaAddress(host int) string {
	return fmt.Sprintf("%s.%d:%d", s.net, host, portReplica)
}

// startReplica starts a replica's process and records its runs.
func (s *site) startReplica(o replicaOptions) (*process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, "replica", "-id", o.id, "-service", o.service, "-address", s.replicaAddress(o.host), "-zone", zones[o.host%3],
		fmt.Sprintf("-engine=%t", o.engine), "-slots", fmt.Sprint(o.slots), "-pieces", fmt.Sprint(o.pieces), "-pause", o.pause.String(),
		"-controls", strings.Join(s.controls(), ","))
	output, writer := io.Pipe()
	cmd.Stdout = writer
	cmd.Stderr = os.Stderr
	go s.readRuns(output)
	return s.start("replica "+o.id, cmd)
}

func (s *site) readRuns(output io.Reader) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		var event runEvent
		if json.Unmarshal(lines.Bytes(), &event) != nil {
			continue
		}
		s.mu.Lock()
		s.runs = append(s.runs, event)
		s.runAt = append(s.runAt, time.Now())
		onRun := s.onRun
		s.mu.Unlock()
		s.note("replica %s: %s %s %s after event %d", event.Replica, event.Request, event.Path, event.Event, event.After)
		if onRun != nil {
			onRun(event)
		}
	}
}

// quiet reports for how long no replica has begun, ended or dropped a request.
func (s *site) quiet() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.runAt) == 0 {
		return time.Since(s.started)
	}
	return time.Since(s.runAt[len(s.runAt)-1])
}

// operate sends an operator's or another writer's call to the control VMs in turn until one answers
// with a status below 500.
func (s *site) operate(what, method, path string, body []byte) (status int, answer []byte, err error) {
	err = errors.New("not sent")
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, control := range s.controls() {
			status, _, answer, err = s.call(method, "http://"+control+path, "", nil, body)
			if err == nil && status < http.StatusInternalServerError {
				s.note("%s: %s %s at %s is answered %d", what, method, path, control, status)
				return status, answer, nil
			}
		}
	}
	return status, answer, fmt.Errorf("%s: %d %v", what, status, err)
}

func (s *site) call(method, url, host string, header map[string]string, body []byte) (status int, answered http.Header, answer []byte, err error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	if host != "" {
		request.Host = host
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, response.Header, answer, err
}

// configure puts a desired state in force.
func (s *site) configure(document string) error {
	status, answer, err := s.operate("operator", http.MethodPost, wire["replace_configuration"], []byte(document))
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("the desired state is answered %d: %s", status, answer)
	}
	return err
}

// awaitReady waits until all gates are ready and serve a request of the path.
func (s *site) awaitReady(path string, header map[string]string) error {
	end := time.Now().Add(startLimit)
	for i := range 2 {
		for served := 0; served < 5; time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("gate %d does not serve %s", i, path)
			}
			ready, _, _, err := s.call(http.MethodGet, fmt.Sprintf("http://%s.%d:%d/readiness", s.net, 21+i, portReadiness), "", nil, nil)
			if err != nil || ready != http.StatusOK {
				continue
			}
			if status, _, _, err := s.request(i, path, fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano()), header); err == nil && status == http.StatusOK {
				served++
			}
		}
	}
	s.note("all gates are ready and serve %s", path)
	return nil
}

const host = "news.example"

// request sends a client's request to a gate.
func (s *site) request(gate int, path, id string, header map[string]string) (int, http.Header, []byte, error) {
	all := map[string]string{wire["request_id"]: id, wire["time_left"]: "5000"}
	for name, value := range header {
		all[name] = value
	}
	status, answered, body, err := s.call(http.MethodPost, "http://"+s.gateAddress(gate)+path, host, all, []byte("prompt of "+id))
	s.note("client: %s %s at gate %d is answered %d with %d bytes, error %v", id, path, gate, status, len(body), err)
	return status, answered, body, err
}

// engineHeader is what a request for tokens specifies.
var engineHeader = map[string]string{wire["model"]: "m", wire["usage"]: "100,40", wire["prompt"]: "aa:50,bb:50"}
