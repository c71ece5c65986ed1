package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/control"
	"slateway.example/slateway/internal/directory"
	"slateway.example/slateway/internal/gate"
	"slateway.example/slateway/internal/gate/buffers"
	"slateway.example/slateway/internal/gate/credit"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/gate/takeup"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/settings"
	"slateway.example/slateway/internal/telemetry"
)

// Edge creates the protocol handlers of a site of control VMs. Each handler
// decodes the messages of external clients, calls the service behind it and
// encodes the answer.
type Edge struct {
	Callers      func(routed *gate.RouteHandler, jobs *gate.Jobs) http.Handler
	Readiness    func(ready func() bool) http.Handler
	Control      func(service *control.Service) http.Handler
	Directory    func(entries Entries) http.Handler
	ItemProtocol func(host, team string, item *job.Item, current *routes.Matcher) proxy.Protocol
	Refuse       func(w http.ResponseWriter, err error)
}

// Entries answers which gates the callers of a place should use.
type Entries interface {
	Entries(place string) (directory.Answer, error)
}

// DiskError reports that the disk of the data folder failed. Acknowledged data is
// on the other VMs too, so this VM can restart from its folder.
type DiskError struct {
	Folder string
	Cause  error
}

func (e *DiskError) Error() string {
	return fmt.Sprintf("the disk of %s failed: %v; free space on it or replace it", e.Folder, e.Cause)
}

func (e *DiskError) Unwrap() error { return e.Cause }

// Site is one slatewayd process of a site of control VMs.
type Site struct {
	edge    Edge
	log     *telemetry.Log
	metrics *telemetry.Metrics
	calls   *rpc.Client

	settings settings.Settings // as read at the start

	mu       sync.Mutex
	reloaded settings.Settings // as read last

	control   *siteControl // nil unless a control or store VM
	gate      *siteGate    // nil without the role
	listeners []*listener
}

// NewSite creates the components without starting them; Run starts them.
func NewSite(s settings.Settings, edge Edge, log *telemetry.Log) (*Site, error) {
	site := &Site{settings: s, reloaded: s, edge: edge, log: log, metrics: telemetry.NewMetrics()}
	site.calls = rpc.NewClient(peerClient(&s, site.metrics))
	if s.HasRole(settings.RoleControl) || s.HasRole(settings.RoleStore) {
		role, err := newSiteControl(site)
		if err != nil {
			return nil, err
		}
		site.control = role
	}
	if s.HasRole(settings.RoleGate) {
		role, err := newSiteGate(site)
		if err != nil {
			return nil, err
		}
		site.gate = role
	}
	return site, nil
}

// Run serves until ctx ends, then drains.
func (s *Site) Run(ctx context.Context) error {
	failures := make(chan error, 1)
	if err := s.listen(failures); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if s.control != nil {
		s.control.start(background)
	}
	if s.gate != nil {
		s.gate.start(background)
	}
	go watchForPauses(background, s.log.Logger)
	s.log.Info("serving", zap.String("vm", s.settings.VM.Name), zap.Any("roles", s.settings.VM.Roles),
		zap.Strings("seeds", s.settings.Control.Seeds), zap.Bool("found", s.settings.Control.Found))
	err := s.wait(ctx, failures)
	s.stop(stop, err)
	return err
}

// wait blocks until ctx ends and returns nil, or returns the error that prevents
// the daemon from continuing.
func (s *Site) wait(ctx context.Context, failures <-chan error) error {
	var hostDone <-chan struct{}
	if s.control != nil {
		hostDone = s.control.keeper.host.Done()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failures:
		return err
	case <-hostDone:
		return &DiskError{Folder: s.settings.VM.DataFolder, Cause: s.control.keeper.host.Err()}
	}
}

func (s *Site) stop(stopBackground context.CancelFunc, cause error) {
	s.log.Info("stopping", zap.Error(cause))
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.Timeouts.Drain-drainReserve)
	defer cancel()
	if s.gate != nil {
		s.gate.drain(ctx)
	}
	if s.control != nil {
		s.control.keeper.stop()
	}
	stopBackground()
	s.closeListeners()
	s.log.Info("stopped")
}

// closeListeners shuts down all listeners in parallel, within the remaining drain
// time. Requests to a replica that does not answer may still be in progress then.
// If the listeners waited for them one after the other, the process would be
// killed before it has logged them.
func (s *Site) closeListeners() {
	var closing sync.WaitGroup
	for _, l := range s.listeners {
		closing.Go(func() { l.shutdown(listenersTimeout) })
	}
	closing.Wait()
}

func (s *Site) listen(failures chan<- error) error {
	for _, entry := range s.handlers() {
		unacked := s.settings.Timeouts.Unanswered
		if entry.key == callersKey {
			unacked = callersUnackedTimeout(&s.settings.Timeouts)
		}
		l, err := newListener(entry.key, entry.address, entry.handler, unacked)
		if err != nil {
			for _, open := range s.listeners {
				_ = open.socket.Close()
			}
			return err
		}
		if entry.key == callersKey {
			l.server.ConnContext = s.gate.memory.ConnContext
		}
		l.socket = s.limitConnections(entry.key, l.socket)
		s.listeners = append(s.listeners, l)
	}
	for _, l := range s.listeners {
		go l.serve(failures)
	}
	return nil
}

// callersKey is the name of the callers' listener in the settings.
const callersKey = "callers"

// endpoint is a listening address with its handler.
type endpoint struct {
	key, address string // key is the name below listen in the settings
	handler      http.Handler
}

func (s *Site) handlers() []endpoint {
	addresses := s.settings.Listen
	peers := http.NewServeMux()
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", s.metrics.TextHandler())
	list := []endpoint{{"peers", addresses.Peers, peers}, {"metrics", addresses.Metrics, metrics}}
	if s.control != nil {
		s.control.mount(peers)
	}
	if s.control != nil && s.control.service != nil {
		list = append(list,
			endpoint{"control", addresses.Control, s.edge.Control(s.control.service)},
			endpoint{"directory", addresses.Directory, s.edge.Directory(s.control.service)})
	}
	if s.gate != nil {
		s.gate.exchange.Mount(peers)
		s.gate.takeups.Mount(peers)
		s.gate.follower.Mount(peers)
		metrics.HandleFunc("GET "+credit.PathCaps, s.gate.credit.ServeCaps)
		metrics.HandleFunc("GET "+proxy.PathPaces, s.gate.router.ServePaces)
		metrics.HandleFunc("GET "+takeup.PathBuilds, s.gate.takeups.ServeBuilds)
		metrics.HandleFunc("GET "+proxy.PathParts, s.gate.router.ServeParts)
		metrics.HandleFunc("POST "+proxy.PathLiftPart, s.gate.router.ServeLiftPart)
		metrics.HandleFunc("GET "+proxy.PathShares, s.gate.router.ServeShares)
		metrics.HandleFunc("GET "+buffers.PathMemory, s.gate.memory.ServeStatus)
		list = append(list,
			endpoint{callersKey, addresses.Callers, s.gate.handler(s.edge)},
			endpoint{"readiness", addresses.Readiness, s.edge.Readiness(s.gate.ready)},
			endpoint{"directory", addresses.Directory, s.edge.Directory(s.gate.entries)})
	}
	return list
}
