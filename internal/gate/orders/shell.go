// Package orders keeps the model engines of a place as the teams' templates ask:
// one gate of the place holds the right to order them, under a fencing number,
// reads them back and sends what package order decides.
package orders

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/order"
	"slateway.example/slateway/internal/team"
	"slateway.example/slateway/internal/upstream"
)

// Keepers grant the right to order.
type Keepers interface {
	AcquireTenure(ctx context.Context, name, holder string) (*keeperapi.TenureResponse, error)
	LeaveTenure(ctx context.Context, name, holder string) error
}

// Policies lists what the teams ask for.
type Policies interface {
	Policies() []*team.Policy
}

// Router knows the engines.
type Router interface {
	Upstreams() []proxy.Replica
}

// Metrics counts what was ordered.
type Metrics interface {
	Count(name string)
}

// Names of the counters.
const (
	countSent    = "orders.sent"
	countRefused = "orders.refused"
	countFailed  = "orders.failed"
)

// Options are what a Shell needs.
type Options struct {
	Place    string
	Holder   string // names this run of the gate
	Keepers  Keepers
	Policies Policies
	Router   Router
	Client   *http.Client
	Metrics  Metrics
	Log      *zap.Logger

	Order       order.Config
	Step        time.Duration // pace of decisions and renewals
	WeightBytes int           // of one model, for the weight store's rate
	MaxModels   int           // that fit beside each other in an engine
}

// Shell orders the engines of a place while it holds the right to. It is safe
// for concurrent use.
type Shell struct {
	options Options

	mu       sync.Mutex
	services map[string]*order.Orderer // by service: a model runs on its own service's engines
	engines  map[string]knownEngine    // by replica
}

// knownEngine is where an engine is ordered.
type knownEngine struct {
	service string
	address string
}

// New makes a Shell.
func New(options Options) *Shell {
	return &Shell{options: options, services: make(map[string]*order.Orderer), engines: make(map[string]knownEngine)}
}

// rightPrefix begins the name of the right to order a place's engines.
const rightPrefix = "orders/"

// Run renews the right and orders until ctx ends; then it gives the right up.
func (s *Shell) Run(ctx context.Context) {
	ticker := time.NewTicker(s.options.Step)
	defer ticker.Stop()
	var calls sync.WaitGroup
	for ctx.Err() == nil {
		s.round(ctx, &calls)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	calls.Wait()
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if err := s.options.Keepers.LeaveTenure(leaving, rightPrefix+s.options.Place, s.options.Holder); err != nil {
		s.options.Log.Info("right to order not given up, it runs out", zap.Error(err))
	}
}

const (
	// leaveTimeout bounds giving the right up at shutdown.
	leaveTimeout = 2 * time.Second
	// acquireTimeout bounds one renewal.
	acquireTimeout = 3 * time.Second
)

func (s *Shell) round(ctx context.Context, calls *sync.WaitGroup) {
	asking, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	// The lease counts from here: counted from the answer it could outlast the
	// keepers' own count, after which another gate orders.
	asked := time.Now()
	response, err := s.options.Keepers.AcquireTenure(asking, rightPrefix+s.options.Place, s.options.Holder)
	if err != nil || response.Fence == 0 {
		return
	}
	tenure := order.Tenure{Fence: response.Fence, Since: time.Now(), Until: asked.Add(response.Lease)}
	for _, action := range s.decide(tenure) {
		calls.Go(func() { s.carryOut(ctx, &action) })
	}
}

// decide takes in what is known now and gives what to do.
func (s *Shell) decide(tenure order.Tenure) []order.Action {
	replicas := s.options.Router.Upstreams()
	wants := wantsOf(s.options.Policies.Policies(), s.options.WeightBytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announce(replicas)
	var actions []order.Action
	for service, orderer := range s.services {
		orderer.Grant(tenure)
		orderer.SetWants(withDemand(wants[service], service, replicas))
		actions = append(actions, orderer.Step(time.Now())...)
		for _, blocked := range orderer.Blocked() {
			s.options.Log.Debug("want not met", zap.String("model", blocked.Model.Name),
				zap.String("version", blocked.Model.Version), zap.String("why", blocked.Reason))
		}
	}
	return actions
}

// announce brings the orderers' engines up to date.
func (s *Shell) announce(replicas []proxy.Replica) {
	seen := make(map[string]bool)
	for i := range replicas {
		replica := &replicas[i]
		if replica.Kind != upstream.KindEngine || replica.Place != s.options.Place {
			continue
		}
		name := string(replica.Replica)
		seen[name] = true
		s.engines[name] = knownEngine{service: replica.Service, address: replica.Address}
		s.orderer(replica.Service).Announce(order.Engine{
			Name:          name,
			Incarnation:   replica.Incarnation,
			Ready:         replica.Ready && !replica.Suspect,
			Leaving:       replica.Leaving,
			Slots:         replica.Slots,
			Running:       replica.Running,
			ChecksFencing: replica.ChecksFencing,
			KVExport:      replica.KVExport,
			MaxModels:     s.options.MaxModels,
		})
	}
	for name, engine := range s.engines {
		if !seen[name] {
			s.orderer(engine.service).Remove(name)
			delete(s.engines, name)
		}
	}
}

func (s *Shell) orderer(service string) *order.Orderer {
	orderer := s.services[service]
	if orderer == nil {
		orderer = order.New(s.options.Order)
		s.services[service] = orderer
	}
	return orderer
}

// with runs fn with the orderer of an engine that is still known.
func (s *Shell) with(engine string, fn func(*order.Orderer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, found := s.engines[engine]; found {
		fn(s.services[known.service])
	}
}

func (s *Shell) addressOf(engine string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.engines[engine]
	return known.address, found
}
