// Package batch runs the items of batch jobs on a gate. It leases as many items as
// the router can run, runs them, and reports their results in groups.
package batch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/team"
	"slateway.example/slateway/internal/workqueue"
)

// Session is the gate's session with the keepers.
type Session interface {
	Lease(ctx context.Context, demands []job.QueueDemand, wait time.Duration) ([]keeperapi.LeasedItem, error)
	Heartbeat(ctx context.Context, running []job.ID) (keeperclient.Renewal, error)
	Complete(ctx context.Context, results []job.Result) error
	Close(ctx context.Context) error
}

// Router runs batch items.
type Router interface {
	BatchTarget(service string, policy route.Policy) int
	// Updates returns a channel that receives a value when BatchTarget may have
	// changed, or nil if it does not notify.
	Updates(service string) <-chan struct{}
	RunBatch(ctx context.Context, item proxy.BatchItem) (proxy.BatchResult, error)
	Upstreams() []proxy.Replica
}

// Policies looks up the policy of a team.
type Policies interface {
	Policy(team string) (*team.Policy, bool)
}

// Options configures a Runner.
type Options struct {
	Session  Session
	Router   Router
	Policies Policies
	Log      *zap.Logger
	// Route returns the batch item to run for an item that was leased for a service's
	// replicas; nil: the policy of its team decides.
	Route func(leased *keeperapi.LeasedItem, service string) (proxy.BatchItem, error)
	// Queues returns the queues from which a service's replicas take items, given queues
	// from which no gate leases; nil: the queues of the service's models.
	Queues func(service string, unasked []job.Queue) []job.Queue
	// Obstacle returns why no replica takes the items of a queue; nil: it is not known.
	Obstacle func(queue job.Queue) workqueue.Obstacle
	// Services lists the services that have replicas. nil: they are taken from the
	// router's replicas, which are copied for it.
	Services func() []string

	LeaseItems  int           // maximum of items in one lease call
	ResultFlush time.Duration // longest delay of a result
	ResultGroup int           // results in a full group
	Heartbeat   time.Duration // interval of the session's renewals
	// Lifetime is how long the keepers keep a session that is not renewed. Items are
	// stopped before it ends; zero: they are not stopped.
	Lifetime time.Duration
}

const (
	// scanInterval is how often a runner looks for new services.
	scanInterval = 200 * time.Millisecond
	// capacityInterval is the shortest interval between two capacity checks of a
	// full service.
	capacityInterval = 5 * time.Millisecond
	// leaseWait is how long a lease call waits at the keepers for work. The call
	// fixes the wanted queues, so it also limits how long a newly announced model
	// waits for its first item.
	leaseWait = 5 * time.Second
	// leaseTimeout limits a lease call including its retries.
	leaseTimeout = 10 * time.Second
	// leaseRetryDelay is the delay after a failed lease call.
	leaseRetryDelay = 200 * time.Millisecond
	// closeTimeout limits the closing of the session at shutdown.
	closeTimeout = 3 * time.Second
)

// Runner runs batch items until its context ends.
type Runner struct {
	options  Options
	results  *reporter
	fence    fence
	services map[string]struct{}

	items sync.WaitGroup

	mu      sync.Mutex
	held    map[string]int           // items held, by service
	freed   map[string]chan struct{} // receives a value when an item has ended, by service
	running map[job.ID]*runningJob
	unasked []job.Queue                // queues with items from which no gate leases
	blocked map[job.Queue]blockedQueue // why this gate does not lease from them, as logged
	asking  map[string]*pendingRequest // the lease request in progress, by service
}

// pendingRequest is a lease request, which waits for items of the queues that it names.
type pendingRequest struct {
	queues []job.Queue
	cancel context.CancelFunc
}

// runningJob holds the running items of a job at this gate.
type runningJob struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	items  int
}

// errJobEnded is the cause with which the items of an ended job are cancelled.
var errJobEnded = errors.New("the job has ended")

// New creates a Runner.
func New(options Options) *Runner {
	return &Runner{
		options:  options,
		results:  newReporter(options),
		fence:    fence{lifetime: options.Lifetime},
		services: make(map[string]struct{}),
		held:     make(map[string]int),
		running:  make(map[job.ID]*runningJob),
		freed:    make(map[string]chan struct{}),
		asking:   make(map[string]*pendingRequest),
		blocked:  make(map[job.Queue]blockedQueue),
	}
}

// Run leases and runs items until ctx ends. Then it stops leasing, waits for its
// items, which the router's drain stops, reports their results and closes the
// session.
func (r *Runner) Run(ctx context.Context) {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var loops sync.WaitGroup
	loops.Go(func() { r.results.run(background) })
	loops.Go(func() { r.heartbeatLoop(background) })
	if r.options.Lifetime > 0 {
		loops.Go(func() { r.watchFence(background) })
	}
	r.scan(ctx, background)
	r.items.Wait()
	r.results.drain()
	stop()
	loops.Wait()
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if err := r.options.Session.Close(closing); err != nil {
		r.options.Log.Info("batch session not closed, the keepers will expire it", zap.Error(err))
	}
}

// scan starts a lease loop for each service that is announced, and renews lease requests.
func (r *Runner) scan(ctx, background context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	for ctx.Err() == nil {
		for _, service := range r.announcedServices() {
			if _, known := r.services[service]; known {
				continue
			}
			r.services[service] = struct{}{}
			r.mu.Lock()
			r.freed[service] = make(chan struct{}, 1)
			r.mu.Unlock()
			loops.Go(func() { r.leaseLoop(ctx, background, service) })
		}
		r.renewRequests()
		sleep(ctx, scanInterval)
	}
}

// announcedServices lists the services of the known replicas, perhaps repeatedly.
func (r *Runner) announcedServices() []string {
	if r.options.Services != nil {
		return r.options.Services()
	}
	var services []string
	for _, replica := range r.options.Router.Upstreams() {
		services = append(services, replica.Service)
	}
	return services
}

func (r *Runner) leaseLoop(ctx, background context.Context, service string) {
	for ctx.Err() == nil {
		demands := r.demands(service)
		if len(demands) == 0 || !r.leaseValid() {
			r.awaitCapacity(ctx, service)
			continue
		}
		items, err := r.lease(ctx, service, demands)
		if err != nil && ctx.Err() == nil {
			r.options.Log.Warn("leasing of batch items failed, will retry", zap.String("service", service), zap.Error(err))
			sleep(ctx, leaseRetryDelay)
		}
		for i := range items {
			r.start(background, service, &items[i])
		}
	}
}

// awaitCapacity returns when the service may have capacity for items, but not before
// capacityInterval, so that a busy service is not checked after each decision. Without
// this delay, a gate that owns no replica would check all the time.
func (r *Runner) awaitCapacity(ctx context.Context, service string) {
	r.mu.Lock()
	freed := r.freed[service]
	r.mu.Unlock()
	sleep(ctx, capacityInterval)
	timer := time.NewTimer(scanInterval)
	defer timer.Stop()
	select {
	case <-r.options.Router.Updates(service):
	case <-freed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r *Runner) lease(ctx context.Context, service string, demands []job.QueueDemand) ([]keeperapi.LeasedItem, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	pending := &pendingRequest{cancel: cancel}
	for _, demand := range demands {
		pending.queues = append(pending.queues, demand.Queue)
	}
	r.mu.Lock()
	r.asking[service] = pending
	r.mu.Unlock()
	items, err := r.options.Session.Lease(ctx, demands, leaseWait)
	r.mu.Lock()
	delete(r.asking, service)
	r.mu.Unlock()
	if errors.Is(ctx.Err(), context.Canceled) {
		return items, nil // to be sent again with other queues
	}
	return items, err
}

// renewRequests cancels the lease requests that lack a queue from which their services take
// items since: a route has moved, or a service has lost its replicas.
func (r *Runner) renewRequests() {
	if r.options.Queues == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, pending := range r.asking {
		isAsked := func(q job.Queue) bool { return slices.Contains(pending.queues, q) }
		if !slices.ContainsFunc(r.options.Queues(service, r.unasked), func(q job.Queue) bool { return !isAsked(q) }) {
			continue
		}
		pending.cancel()
	}
}

// demands returns how many items of each queue of the service to lease: those that
// could start now and a few more, so that a freed slot need not wait for the
// keepers.
func (r *Runner) demands(service string) []job.QueueDemand {
	target := r.options.Router.BatchTarget(service, route.ThroughputPolicy())
	held := r.heldCount(service)
	count := min(target-held, r.options.LeaseItems)
	if count <= 0 {
		return nil
	}
	queues := r.queues(service)
	demands := make([]job.QueueDemand, len(queues))
	for i, queue := range queues {
		demands[i] = job.QueueDemand{Queue: queue, Max: count, Held: held}
	}
	return demands
}

// queues returns the queues whose items the service's replicas can run.
func (r *Runner) queues(service string) (queues []job.Queue) {
	if r.options.Queues != nil {
		return r.options.Queues(service, r.unaskedQueues())
	}
	for _, replica := range r.options.Router.Upstreams() {
		if replica.Service != service {
			continue
		}
		for _, queue := range queuesOf(&replica) {
			if !slices.Contains(queues, queue) {
				queues = append(queues, queue)
			}
		}
	}
	return queues
}

func (r *Runner) unaskedQueues() []job.Queue {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unasked
}

func queuesOf(replica *proxy.Replica) []job.Queue {
	if len(replica.Models) == 0 {
		return []job.Queue{{Service: replica.Service}}
	}
	var queues []job.Queue
	for _, model := range replica.Models {
		queues = append(queues, job.Queue{Service: replica.Service, Model: model.Name})
		if model.Version != "" {
			queues = append(queues, job.Queue{Service: replica.Service, Model: model.Name, Version: model.Version})
		}
	}
	return queues
}

func (r *Runner) heldCount(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held[service]
}

// start runs an item that was leased for a service in a goroutine.
func (r *Runner) start(background context.Context, service string, leased *keeperapi.LeasedItem) {
	held := *leased
	parent := r.itemStarted(background, service, &held.Lease)
	r.items.Go(func() {
		defer r.itemEnded(service, &held.Lease, parent)
		r.runItem(parent.ctx, service, &held)
	})
}

func (r *Runner) itemStarted(background context.Context, service string, lease *job.Leased) *runningJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[service]++
	current := r.running[lease.Job]
	if current == nil {
		current = &runningJob{}
		current.ctx, current.cancel = context.WithCancelCause(background)
		r.running[lease.Job] = current
	}
	current.items++
	return current
}

func (r *Runner) itemEnded(service string, lease *job.Leased, parent *runningJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[service]--
	signal(r.freed[service])
	parent.items--
	if parent.items > 0 {
		return
	}
	parent.cancel(errJobEnded)
	if r.running[lease.Job] == parent {
		delete(r.running, lease.Job)
	}
}

func (r *Runner) runningJobs() []job.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]job.ID, 0, len(r.running))
	for id := range r.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// signal sends a value to a channel with a buffer of one, unless it is full.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
