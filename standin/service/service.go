// Package service is a small stand-in for a plain service behind slateway. It
// answers each call with what it received, and counts how often each call ran,
// so that a test can tell whether one ran twice.
package service

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Paths that the stand-in keeps for itself; every other path is a call.
const (
	LoadPath   = "/v1/load"
	LogPath    = "/v1/log"
	FreezePath = "/v1/freeze"
)

// Headers that a call's log entry keeps.
const (
	RequestIDHeader      = "Slateway-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
)

// maxBody bounds a call's body.
const maxBody = 8 << 20

// Options set the size and behaviour of a Service.
type Options struct {
	Name    string
	Replica string
	// Incarnation is the start of the process in milliseconds since 1970.
	Incarnation int64
	Slots       int           // calls that run at the same time; others wait
	Delay       time.Duration // time that a call takes

	// CrashMarker in a call's body crashes the service as the call runs.
	CrashMarker string
	// OnCrash is called then; if nil, all connections are dropped.
	OnCrash func()

	// Log receives one JSON line as each call starts to run. May be nil.
	Log io.Writer
}

// Defaults give 16 slots and 5 ms a call.
func Defaults() Options {
	return Options{Slots: 16, Delay: 5 * time.Millisecond, CrashMarker: "crash-upstream"}
}

// Call is a log entry, and the answer to the call.
type Call struct {
	Service        string    `json:"service"`
	Replica        string    `json:"replica"`
	Run            int64     `json:"run"` // number of the run at this replica, from 1
	Method         string    `json:"method"`
	Path           string    `json:"path"` // with its query
	Body           string    `json:"body"`
	RequestID      string    `json:"request_id,omitempty"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Started        time.Time `json:"started"`
}

// Load is what GET /v1/load answers.
type Load struct {
	Running     int   `json:"running"`
	Queued      int   `json:"queued"`
	Slots       int   `json:"slots"`
	Incarnation int64 `json:"incarnation"`
}

// Service is an http.Handler.
type Service struct {
	options Options
	slots   chan struct{}
	dead    chan struct{}

	mu      sync.Mutex
	crashed bool
	frozen  bool
	thawed  chan struct{} // closed while the service is not frozen
	running int
	queued  int
	runs    int64
	calls   []Call
}

// New makes a Service.
func New(options Options) *Service {
	service := &Service{
		options: options,
		slots:   make(chan struct{}, options.Slots),
		dead:    make(chan struct{}),
		thawed:  make(chan struct{}),
	}
	close(service.thawed)
	return service
}

// ServeHTTP answers one request.
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
	s.acquire(r)
	defer s.release()

	call := s.start(r, body)
	if s.options.CrashMarker != "" && bytes.Contains(body, []byte(s.options.CrashMarker)) {
		s.Crash()
	}
	s.work(r)
	w.Header().Set(RequestIDHeader, call.RequestID)
	writeJSON(w, http.StatusOK, call)
}

// acquire waits for a slot, or drops the call whose caller has gone.
func (s *Service) acquire(r *http.Request) {
	s.count(0, 1)
	select {
	case s.slots <- struct{}{}:
		s.count(1, -1)
	case <-r.Context().Done():
		s.count(0, -1)
		panic(http.ErrAbortHandler)
	case <-s.dead:
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) release() {
	<-s.slots
	s.count(-1, 0)
}

func (s *Service) count(running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.queued += queued
}

// start numbers and logs a run.
func (s *Service) start(r *http.Request, body []byte) Call {
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

// work takes Delay. A call that started to run is finished, also when its
// caller has gone: that is why such a call must not be repeated blindly.
func (s *Service) work(r *http.Request) {
	timer := time.NewTimer(s.options.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.dead:
		panic(http.ErrAbortHandler)
	}
	s.waitThawed(r)
}

func (s *Service) waitThawed(r *http.Request) {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	select {
	case <-s.dead:
		panic(http.ErrAbortHandler)
	default:
	}
	select {
	case <-thawed:
	case <-s.dead:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// Freeze stops all progress, as SIGSTOP would, until Freeze(false).
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

// Crash drops all connections, now and later.
func (s *Service) Crash() {
	s.mu.Lock()
	first := !s.crashed
	if first {
		s.crashed = true
		close(s.dead)
	}
	s.mu.Unlock()
	if first && s.options.OnCrash != nil {
		s.options.OnCrash()
	}
}

// Alive says whether the service answers: it has not crashed and is not frozen.
func (s *Service) Alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.crashed && !s.frozen
}

// Busy gives the number of calls that run or wait.
func (s *Service) Busy() int {
	load := s.Load()
	return load.Running + load.Queued
}

// Load gives the load now.
func (s *Service) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{Running: s.running, Queued: s.queued, Slots: s.options.Slots, Incarnation: s.options.Incarnation}
}

// Calls gives every run so far.
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
