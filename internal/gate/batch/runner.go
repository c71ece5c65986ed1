// Package batch runs the items of batch jobs on a gate: it leases as many as
// the router has room for, runs them, and reports their results in groups.
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
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/team"
)

// Session is the gate's session with the keepers.
type Session interface {
	Lease(ctx context.Context, wants []job.Want, wait time.Duration) ([]keeperapi.LeasedItem, error)
	Heartbeat(ctx context.Context, running []job.ID) (ended []job.ID, err error)
	Complete(ctx context.Context, results []job.Result) error
	Close(ctx context.Context) error
}

// Router runs single items.
type Router interface {
	BatchTarget(service string, policy route.Policy) int
	// Updates gets a value when BatchTarget may have changed; nil: it does not tell.
	Updates(service string) <-chan struct{}
	RunBatch(ctx context.Context, item proxy.BatchItem) (proxy.BatchResult, error)
	Upstreams() []proxy.Replica
}

// Policies finds the policy of a team.
type Policies interface {
	Policy(team string) (*team.Policy, bool)
}

// Options are what a Runner needs.
type Options struct {
	Session  Session
	Router   Router
	Policies Policies
	Log      *zap.Logger
	// Route gives how an item is run; nil: as its team's policy says.
	Route func(leased *keeperapi.LeasedItem) (proxy.BatchItem, error)

	LeaseItems  int           // items asked for at once
	ResultFlush time.Duration // longest wait of a result for its group
	ResultGroup int           // results reported together
	Heartbeat   time.Duration // pace of the session's renewal
	// Lifetime is how long the keepers keep a session that is not renewed. Items
	// stop before it is over; zero: they run on.
	Lifetime time.Duration
}

const (
	// scanInterval is how often a runner looks for new services.
	scanInterval = 200 * time.Millisecond
	// capacityInterval is the least time between two looks at a full service.
	capacityInterval = 5 * time.Millisecond
	// leaseWait is how long a lease call waits at the keepers for work. The
	// wanted queues are decided before it, so it also bounds how long a newly
	// announced model waits for its first item.
	leaseWait = 5 * time.Second
	// leaseTimeout bounds a lease call with its repetitions.
	leaseTimeout = 10 * time.Second
	// leaseRetryDelay is the pause after a failed lease call.
	leaseRetryDelay = 200 * time.Millisecond
	// closeTimeout bounds the end of the session at shutdown.
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
	freed   map[string]chan struct{} // by service: gets a value when an item has ended
	running map[job.ID]*runningJob
}

// runningJob is a job of which this gate runs items.
type runningJob struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	items  int
}

// errJobEnded is why the items of a job stop that needs no more answers.
var errJobEnded = errors.New("the job has ended")

// New makes a Runner.
func New(options Options) *Runner {
	return &Runner{
		options:  options,
		results:  newReporter(options),
		fence:    fence{lifetime: options.Lifetime},
		services: make(map[string]struct{}),
		held:     make(map[string]int),
		running:  make(map[job.ID]*runningJob),
		freed:    make(map[string]chan struct{}),
	}
}

// Run leases and runs items until ctx ends. Then it stops leasing, waits for
// the items that it holds, which the router's drain stops, reports them and
// ends the session.
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
		r.options.Log.Info("batch session not closed, it runs out", zap.Error(err))
	}
}

// scan starts a lease loop for each service that announces itself.
func (r *Runner) scan(ctx, background context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	for ctx.Err() == nil {
		for _, replica := range r.options.Router.Upstreams() {
			service := replica.Service
			if _, known := r.services[service]; known {
				continue
			}
			r.services[service] = struct{}{}
			r.mu.Lock()
			r.freed[service] = make(chan struct{}, 1)
			r.mu.Unlock()
			loops.Go(func() { r.leaseLoop(ctx, background, service) })
		}
		sleep(ctx, scanInterval)
	}
}

func (r *Runner) leaseLoop(ctx, background context.Context, service string) {
	for ctx.Err() == nil {
		wants := r.wants(service)
		if len(wants) == 0 || !r.leaseValid() {
			r.awaitCapacity(ctx, service)
			continue
		}
		items, err := r.lease(ctx, wants)
		if err != nil && ctx.Err() == nil {
			r.options.Log.Warn("no batch items leased", zap.String("service", service), zap.Error(err))
			sleep(ctx, leaseRetryDelay)
		}
		for i := range items {
			r.start(background, &items[i])
		}
	}
}

// awaitCapacity returns when there may be room for items of the service: roomInterval
// at least, so that a busy service is not looked at after each decision. A gate that
// feeds no replica would else look for room for good.
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

func (r *Runner) lease(ctx context.Context, wants []job.Want) ([]keeperapi.LeasedItem, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	return r.options.Session.Lease(ctx, wants, leaseWait)
}

// wants says how many items of each queue of the service to lease: those that
// could start now and a few more, so that a freed slot need not wait for the
// keepers.
func (r *Runner) wants(service string) []job.Want {
	target := r.options.Router.BatchTarget(service, route.ThroughputPolicy())
	holds := r.heldCount(service)
	count := min(target-holds, r.options.LeaseItems)
	if count <= 0 {
		return nil
	}
	queues := r.queues(service)
	wants := make([]job.Want, len(queues))
	for i, queue := range queues {
		wants[i] = job.Want{Queue: queue, Max: count, Held: holds}
	}
	return wants
}

// queues lists what the service's replicas can run.
func (r *Runner) queues(service string) (queues []job.Queue) {
	if r.options.Route != nil {
		return []job.Queue{{Service: service}} // items say themselves what they are for
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

// start runs an item beside the others.
func (r *Runner) start(background context.Context, leased *keeperapi.LeasedItem) {
	held := *leased
	within := r.itemStarted(background, &held.Lease)
	r.items.Go(func() {
		defer r.itemEnded(&held.Lease, within)
		r.runItem(within.ctx, &held)
	})
}

func (r *Runner) itemStarted(background context.Context, lease *job.Leased) *runningJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[lease.Queue.Service]++
	current := r.running[lease.Job]
	if current == nil {
		current = &runningJob{}
		current.ctx, current.cancel = context.WithCancelCause(background)
		r.running[lease.Job] = current
	}
	current.items++
	return current
}

func (r *Runner) itemEnded(lease *job.Leased, within *runningJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[lease.Queue.Service]--
	signal(r.freed[lease.Queue.Service])
	within.items--
	if within.items > 0 {
		return
	}
	within.cancel(errJobEnded)
	if r.running[lease.Job] == within {
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

// signal wakes the reader of a channel that holds one value.
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
