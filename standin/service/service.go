// Package service simulates a plain service behind slateway for tests and experiments.
// It answers each call with what it received and records every run, so that a test can
// detect a call that ran twice.
package service

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Paths for inspection and control. A request to any other path is a call.
const (
	LoadPath   = "/v1/load"
	LogPath    = "/v1/log"
	FreezePath = "/v1/freeze"
)

// Headers that are recorded in the log entry of a call.
const (
	RequestIDHeader      = "Slateway-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
)

// maxBody is the size limit of a call's body in bytes.
const maxBody = 8 << 20

// Options set the size and behaviour of a Service.
type Options struct {
	Name    string
	Replica string
	// Incarnation is the start time of the process in Unix milliseconds.
	Incarnation int64
	Slots       int           // calls that run at the same time; further calls wait
	Delay       time.Duration // duration of a call

	// CrashMarker is a text that crashes the service while it runs a call whose body
	// contains it. Empty disables this.
	CrashMarker string
	// OnCrash is called once when the service crashes; it may end the process. If nil,
	// a crashed service drops all connections.
	OnCrash func()

	// Log receives a JSON line when a call starts to run. May be nil.
	Log io.Writer
}

// Defaults returns options with 16 slots and a duration of 5 ms per call.
func Defaults() Options {
	return Options{Slots: 16, Delay: 5 * time.Millisecond, CrashMarker: "crash-upstream"}
}

// Call is the log entry of a call and the body of its response.
type Call struct {
	Service        string    `json:"service"`
	Replica        string    `json:"replica"`
	Run            int64     `json:"run"` // number of the run on this replica, counted from 1
	Method         string    `json:"method"`
	Path           string    `json:"path"` // including the query
	Body           string    `json:"body"`
	RequestID      string    `json:"request_id,omitempty"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Started        time.Time `json:"started"`
}

// Load is the response body of GET /v1/load.
type Load struct {
	Running     int   `json:"running"`
	Queued      int   `json:"queued"`
	Slots       int   `json:"slots"`
	Incarnation int64 `json:"incarnation"`
}

// Service is an http.Handler that simulates a plain service.
type Service struct {
	options Options
	slots   chan struct{}
	done    chan struct{} // closed by Crash

	mu      sync.Mutex
	crashed bool
	frozen  bool
	thawed  chan struct{} // open while the service is frozen, else closed
	running int
	queued  int
	runs    int64
	calls   []Call
}

// New returns a Service with the given options.
func New(options Options) *Service {
	service := &Service{
		options: options,
		slots:   make(chan struct{}, options.Slots),
		done:    make(chan struct{}),
		thawed:  make(chan struct{}),
	}
	close(service.thawed)
	return service
}

// ServeHTTP serves a request. A frozen service answers only FreezePath.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == FreezePath {
		s.serveFreeze(w, r)
		return
	}
	s.waitThawed(r)
	switch r.URL.Path {
	case LoadPath:
		writeJSON(w, http.StatusOK, s.Load())
	case LogPath:
		writeJSON(w, http.StatusOK, s.Calls())
	default:
		s.serveCall(w, r)
	}
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.acquireSlot(r)
	defer s.releaseSlot()

	call := s.recordRun(r, body)
	if s.options.CrashMarker != "" && bytes.Contains(body, []byte(s.options.CrashMarker)) {
		s.Crash()
	}
	s.simulateWork(r)
	w.Header().Set(RequestIDHeader, call.RequestID)
	writeJSON(w, http.StatusOK, call)
}

// acquireSlot waits for a slot. It aborts the call if the caller disconnects or the
// service crashes first.
func (s *Service) acquireSlot(r *http.Request) {
	s.adjustCounts(0, 1)
	select {
	case s.slots <- struct{}{}:
		s.adjustCounts(1, -1)
	case <-r.Context().Done():
		s.adjustCounts(0, -1)
		panic(http.ErrAbortHandler)
	case <-s.done:
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) releaseSlot() {
	<-s.slots
	s.adjustCounts(-1, 0)
}

// adjustCounts adds to the numbers of running and queued calls.
func (s *Service) adjustCounts(running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.queued += queued
}

// recordRun assigns the next run number and logs the run.
func (s *Service) recordRun(r *http.Request, body []byte) Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	call := Call{
		Service:        s.options.Name,
		Replica:        s.options.Replica,
		Run:            s.runs,
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		Body:           string(body),
		RequestID:      r.Header.Get(RequestIDHeader),
		IdempotencyKey: r.Header.Get(IdempotencyKeyHeader),
		Started:        time.Now(),
	}
	s.calls = append(s.calls, call)
	if s.options.Log != nil {
		_ = json.NewEncoder(s.options.Log).Encode(call)
	}
	return call
}

// simulateWork takes as long as Delay. A call that has started to run completes even
// if its caller disconnects, which is why a caller must not blindly repeat it.
func (s *Service) simulateWork(r *http.Request) {
	timer := time.NewTimer(s.options.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.done:
		panic(http.ErrAbortHandler)
	}
	s.waitThawed(r)
}

// waitThawed waits until the service is not frozen. It aborts the request if the
// service crashes or the caller disconnects first.
func (s *Service) waitThawed(r *http.Request) {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	select {
	case <-s.done:
		panic(http.ErrAbortHandler)
	default:
	}
	select {
	case <-thawed:
	case <-s.done:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// Freeze suspends the service, as SIGSTOP does, until Freeze(false) resumes it.
func (s *Service) Freeze(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if frozen == s.frozen {
		return
	}
	s.frozen = frozen
	if frozen {
		s.thawed = make(chan struct{})
	} else {
		close(s.thawed)
	}
}

// Crash simulates a crash of the process: it drops all open and future connections.
func (s *Service) Crash() {
	s.mu.Lock()
	first := !s.crashed
	if first {
		s.crashed = true
		close(s.done)
	}
	s.mu.Unlock()
	if first && s.options.OnCrash != nil {
		s.options.OnCrash()
	}
}

// Alive reports whether the service has not crashed and is not frozen.
func (s *Service) Alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.crashed && !s.frozen
}

// ActiveRequests returns the number of running and waiting calls.
func (s *Service) ActiveRequests() int {
	load := s.Load()
	return load.Running + load.Queued
}

// Load returns the current load.
func (s *Service) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{Running: s.running, Queued: s.queued, Slots: s.options.Slots, Incarnation: s.options.Incarnation}
}

// Calls returns the log entries of all runs so far.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call{}, s.calls...)
}

func (s *Service) serveFreeze(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Frozen bool `json:"frozen"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Freeze(body.Frozen)
	writeJSON(w, http.StatusOK, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
