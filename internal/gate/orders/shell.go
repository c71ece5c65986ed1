// Package orders brings the model engines of a place into the state that the teams'
// templates ask for. One gate of the place at a time holds the tenure to order them, under
// a fencing number; it reads the engines' states and sends the orders that package order
// decides on.
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

// Keepers grants the tenure to order engines.
type Keepers interface {
	AcquireTenure(ctx context.Context, name, holder string) (*keeperapi.TenureResponse, error)
	ReleaseTenure(ctx context.Context, name, holder string) error
}

// Policies provides the teams' policies.
type Policies interface {
	Policies() []*team.Policy
}

// Router provides the known engines.
type Router interface {
	Upstreams() []proxy.Replica
}

// Metrics counts the orders by outcome.
type Metrics interface {
	Count(name string)
}

// Names of the counters.
const (
	countSent    = "orders.sent"
	countRefused = "orders.refused"
	countFailed  = "orders.failed"
)

// Options configures a Reconciler.
type Options struct {
	Place    string
	Holder   string // identifies this process of the gate
	Keepers  Keepers
	Policies Policies
	Router   Router
	Client   *http.Client
	Metrics  Metrics
	Log      *zap.Logger

	Order       order.Config
	Step        time.Duration // interval between decisions and between renewals of the tenure
	WeightBytes int           // size of one model, to keep to the rate limit of the weight store
	MaxModels   int           // number of models that fit into an engine together
}

// Reconciler orders the engines of a place while it holds the tenure. It is safe for
// concurrent use.
type Reconciler struct {
	options Options

	mu       sync.Mutex
	services map[string]*order.Orderer // by service: a model runs only on engines of its own service
	engines  map[string]knownEngine    // by replica
}

// knownEngine is the service and the address of an engine.
type knownEngine struct {
	service string
	address string
}

// New creates a Reconciler.
func New(options Options) *Reconciler {
	return &Reconciler{options: options, services: make(map[string]*order.Orderer), engines: make(map[string]knownEngine)}
}

// tenurePrefix is the prefix of the name of a place's tenure.
const tenurePrefix = "orders/"

// Run renews the tenure and sends orders until ctx ends, then releases the tenure.
func (s *Reconciler) Run(ctx context.Context) {
	ticker := time.NewTicker(s.options.Step)
	defer ticker.Stop()
	var calls sync.WaitGroup
	for ctx.Err() == nil {
		s.reconcile(ctx, &calls)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	calls.Wait()
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := s.options.Keepers.ReleaseTenure(releaseCtx, tenurePrefix+s.options.Place, s.options.Holder); err != nil {
		s.options.Log.Info("cannot release the tenure for engine orders, it ends when its lease expires", zap.Error(err))
	}
}

const (
	// releaseTimeout bounds the release of the tenure at shutdown.
	releaseTimeout = 2 * time.Second
	// acquireTimeout bounds one renewal of the tenure.
	acquireTimeout = 3 * time.Second
)

// reconcile renews the tenure and, while it is held, starts the actions that are due.
func (s *Reconciler) reconcile(ctx context.Context, calls *sync.WaitGroup) {
	acquireCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	// The lease is counted from the request. Counted from the response, it could outlast the
	// keepers' count, after which another gate may send orders.
	requestedAt := time.Now()
	response, err := s.options.Keepers.AcquireTenure(acquireCtx, tenurePrefix+s.options.Place, s.options.Holder)
	if err != nil || response.Fence == 0 {
		return
	}
	tenure := order.Lease{Fence: response.Fence, Since: time.Now(), Until: requestedAt.Add(response.Lease)}
	for _, action := range s.decide(tenure) {
		calls.Go(func() { s.execute(ctx, &action) })
	}
}

// decide updates the orderers from the current state and returns the actions to execute.
func (s *Reconciler) decide(tenure order.Lease) []order.Action {
	replicas := s.options.Router.Upstreams()
	wants := collectWants(s.options.Policies.Policies(), s.options.WeightBytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateEngines(replicas)
	var actions []order.Action
	for service, orderer := range s.services {
		orderer.SetLease(tenure)
		orderer.SetWants(addDemand(wants[service], service, replicas))
		actions = append(actions, orderer.Step(time.Now())...)
		for _, blocked := range orderer.Blocked() {
			s.options.Log.Debug("no replica of a wanted model version can be added now", zap.String("model", blocked.Model.Name),
				zap.String("version", blocked.Model.Version), zap.String("why", blocked.Reason))
		}
	}
	return actions
}

// updateEngines passes the engines of the place to their orderers and removes lost ones.
func (s *Reconciler) updateEngines(replicas []proxy.Replica) {
	seen := make(map[string]bool)
	for i := range replicas {
		replica := &replicas[i]
		if replica.Kind != upstream.KindEngine || replica.Place != s.options.Place {
			continue
		}
		name := string(replica.Replica)
		seen[name] = true
		s.engines[name] = knownEngine{service: replica.Service, address: replica.Address}
		s.ordererOf(replica.Service).UpdateEngine(order.Engine{
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
			s.ordererOf(engine.service).Remove(name)
			delete(s.engines, name)
		}
	}
}

func (s *Reconciler) ordererOf(service string) *order.Orderer {
	orderer := s.services[service]
	if orderer == nil {
		orderer = order.New(s.options.Order)
		s.services[service] = orderer
	}
	return orderer
}

// withOrderer calls fn with the orderer of an engine if the engine is still known.
func (s *Reconciler) withOrderer(engine string, fn func(*order.Orderer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, found := s.engines[engine]; found {
		fn(s.services[known.service])
	}
}

func (s *Reconciler) addressOf(engine string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.engines[engine]
	return known.address, found
}
