package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"slateway.example/slateway/standin/announce"
)

// errCancelled is the cause of a run that POST /v1/cancel ended.
var errCancelled = errors.New("cancelled")

// errCrashed is the error of all runs that a crash of the engine ended.
var errCrashed = errors.New("the engine crashed")

// Engine is an http.Handler that implements the engine protocol.
type Engine struct {
	options Options
	mux     *http.ServeMux
	log     *runLog

	mu       sync.Mutex
	running  int
	waiting  []*waiter
	runs     map[*run]struct{}
	load     loadHistory
	prefixes *prefixCache
	thawed   chan struct{} // open while the engine is frozen, else closed
	frozen   bool
	done     chan struct{} // closed by Crash
	crashed  bool
	orders   orderState
}

// New returns an Engine with the given options.
func New(options Options) *Engine {
	engine := &Engine{
		options:  options,
		log:      newRunLog(options.Log),
		runs:     make(map[*run]struct{}),
		load:     loadHistory{lag: options.LoadLag},
		prefixes: newPrefixCache(options.CachedPrefixes),
		thawed:   make(chan struct{}),
		done:     make(chan struct{}),
		orders:   newOrderState(options),
	}
	close(engine.thawed)
	engine.load.record(time.Time{}, Load{Slots: options.Slots})
	engine.mux = engine.routes()
	return engine
}

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("POST /v1/completions", e.serveText)
	mux.HandleFunc("POST /v1/cancel", e.serveCancel)
	mux.HandleFunc("POST /v1/freeze", e.serveFreeze)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("GET /v1/orders", e.serveOrderState)
	mux.HandleFunc("GET /v1/models", e.serveModels)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/log", e.serveLog)
	return mux
}

// ServeHTTP serves a request. A frozen engine accepts connections but answers only
// /v1/freeze. A crashed engine drops all connections.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/freeze" {
		if err := e.waitThawed(r.Context()); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	e.mux.ServeHTTP(w, r)
}

// Freeze suspends the engine, as SIGSTOP does, until Freeze(false) resumes it.
func (e *Engine) Freeze(frozen bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if frozen == e.frozen {
		return
	}
	e.frozen = frozen
	if frozen {
		e.thawed = make(chan struct{})
	} else {
		close(e.thawed)
	}
}

// Crash simulates a crash of the process: all runs end and all connections are
// dropped.
func (e *Engine) Crash() {
	e.mu.Lock()
	first := !e.crashed
	if first {
		e.crashed = true
		close(e.done)
	}
	e.mu.Unlock()
	if first && e.options.OnCrash != nil {
		e.options.OnCrash()
	}
}

// Alive reports whether the engine has not crashed and is not frozen.
func (e *Engine) Alive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.crashed && !e.frozen
}

// Models returns the models that are loaded now.
func (e *Engine) Models() []announce.Model {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]announce.Model(nil), e.orders.models...)
}

// ActiveRequests returns the current number of running and waiting requests, without lag.
func (e *Engine) ActiveRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running + len(e.waiting)
}

// Load returns the load as it was LoadLag ago.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load.report(time.Now())
}

// recordLoad adds the current load to the history. The caller holds e.mu.
func (e *Engine) recordLoad() {
	e.load.record(time.Now(), Load{
		Running:    e.running,
		Queued:     len(e.waiting),
		Slots:      e.options.Slots,
		PrefixHits: e.prefixes.hits,
	})
}

// waitThawed waits until the engine is not frozen. It returns an error if the engine
// crashes or ctx is cancelled first.
func (e *Engine) waitThawed(ctx context.Context) error {
	e.mu.Lock()
	thawed := e.thawed
	e.mu.Unlock()
	select {
	case <-e.done:
		return errCrashed
	default:
	}
	select {
	case <-thawed:
		return nil
	case <-e.done:
		return errCrashed
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (e *Engine) serveFreeze(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Frozen bool `json:"frozen"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_json", err.Error())
		return
	}
	e.Freeze(body.Frozen)
	writeJSON(w, http.StatusOK, body)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	report := struct {
		Load
		Replica     string `json:"replica"`
		Incarnation int64  `json:"incarnation"`
	}{e.Load(), e.options.Replica, e.options.Incarnation}
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) serveLog(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.log.report())
}

// Log returns the runs so far.
func (e *Engine) Log() LogReport { return e.log.report() }

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list"}
	for _, loaded := range e.Models() {
		list.Data = append(list.Data, model{ID: loaded.Name, Object: "model"})
	}
	writeJSON(w, http.StatusOK, list)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorBody{errorDetail{Message: message, Type: "engine_error", Code: code}})
}
