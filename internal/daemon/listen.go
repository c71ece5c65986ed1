package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"slateway.example/slateway/internal/api"
	"slateway.example/slateway/internal/gate/buffers"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/sockets"
)

const (
	// headerTimeout limits how long a client may take to send its headers.
	headerTimeout = 10 * time.Second
	// shutdownTimeout limits the shutdown of a listener after the drain.
	shutdownTimeout = 2 * time.Second
)

// listener is one HTTP server on one address.
type listener struct {
	server *http.Server
	socket net.Listener
}

// newListener binds the address and creates the server for it.
func newListener(key, address string, handler http.Handler, unackedTimeout time.Duration) (*listener, error) {
	socket, err := sockets.Listen(context.Background(), address, unackedTimeout)
	if err != nil {
		return nil, fmt.Errorf("listen.%s = %q: %w; free the port or set another address", key, address, err)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, Protocols: protocols}
	return &listener{server: server, socket: socket}, nil
}

func (l *listener) serve(failures chan<- error) {
	err := l.server.Serve(l.socket)
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return
	}
	select {
	case failures <- fmt.Errorf("serve on %s: %w", l.socket.Addr(), err):
	default:
	}
}

// shutdown waits up to timeout for the requests in progress, then closes the
// remaining connections.
func (l *listener) shutdown(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if l.server.Shutdown(ctx) != nil {
		_ = l.server.Close()
	}
}

// listen binds all addresses before it serves any of them, so that a port that
// is in use fails the start with one clear error.
func (d *Daemon) listen(failures chan<- error) error {
	addresses := d.settings.Listen
	if err := d.add("peers", addresses.Peers, d.peersHandler()); err != nil {
		return err
	}
	if err := d.add("operators", addresses.Operators, d.operatorsHandler()); err != nil {
		return err
	}
	if d.gate != nil {
		if err := d.add(callersKey, addresses.Callers, d.callersHandler()); err != nil {
			return err
		}
	}
	for _, l := range d.listeners {
		go l.serve(failures)
	}
	return nil
}

func (d *Daemon) add(key, address string, handler http.Handler) error {
	unacked := d.settings.Timeouts.Unanswered
	if key == callersKey {
		unacked = callersUnackedTimeout(&d.settings.Timeouts)
	}
	l, err := newListener(key, address, handler, unacked)
	if err != nil {
		for _, open := range d.listeners {
			_ = open.socket.Close()
		}
		return err
	}
	if key == callersKey {
		l.server.ConnContext = d.gate.memory.ConnContext
	}
	if key == peersCounter {
		l.socket = d.metrics.CountListener(peersCounter, l.socket)
	}
	d.listeners = append(d.listeners, l)
	return nil
}

func (d *Daemon) peersHandler() http.Handler {
	mux := http.NewServeMux()
	if d.keeper != nil {
		d.keeper.host.Mount(mux)
		d.keeper.service.Mount(mux)
	}
	d.fleet.Handle(mux)
	if d.gate != nil {
		d.gate.exchange.Mount(mux)
	}
	return mux
}

func (d *Daemon) operatorsHandler() http.Handler {
	server := d.newServer()
	server.MountOperators()
	server.Handle(http.MethodGet, "/metrics", d.metrics.Handler().ServeHTTP)
	if d.gate != nil {
		server.Handle(http.MethodGet, proxy.PathShares, d.gate.router.ServeShares)
		server.Handle(http.MethodGet, buffers.PathMemory, d.gate.memory.ServeStatus)
	}
	return server.Handler()
}

func (d *Daemon) callersHandler() http.Handler {
	server := d.newServer()
	server.MountCallers()
	front := d.gate.front
	server.Handle(http.MethodPost, "/v1/chat/completions", front.ServeCompletions)
	server.Handle(http.MethodPost, "/v1/completions", front.ServeCompletions)
	for _, method := range serviceMethods {
		server.Handle(method, "/services/{service}/{*path}", func(w http.ResponseWriter, r *http.Request) {
			front.ServeService(w, r, server.PathValue(r, "service"), "/"+server.PathValue(r, "path"))
		})
	}
	return d.gate.draining.trackRequests(d.gate.memory.Handler(server.Handler()))
}

// serviceMethods are the HTTP methods forwarded to upstreams that are not LLM
// APIs.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions,
	http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

func (d *Daemon) newServer() *api.Server {
	options := api.Options{
		Keepers: d.keepers(),
		Fleet:   d.view,
		Metrics: d.metrics,
		Log:     d.log,
		Limits: api.Limits{
			MaxBodyBytes: int64(d.settings.Limits.MaxBodyBytes),
			MaxPartBytes: int64(d.settings.Limits.MaxPartBytes),
			MaxItemBytes: d.settings.Limits.MaxItemBytes,
		},
	}
	if d.gate != nil {
		options.Teams = d.gate.access
		options.Router = d.gate.exchange
	}
	return api.NewServer(options)
}
