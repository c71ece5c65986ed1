// Package follow keeps a gate in step with the control VMs: it asks one of them
// for changes of the routes, the replicas and the other gates, and tells it in
// the same call that this gate lives.
package follow

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// Router takes in what the control VMs know of replicas.
type Router interface {
	Announce(a upstream.Announcement) error
	Withdraw(service string, id upstream.ReplicaID, incarnation uint64)
}

// Options are what a Follower needs. All must be set.
type Options struct {
	Gate    roster.Gate // this gate; Sequence, Ready and Draining are the Follower's
	Seeds   []string    // peers addresses of some control VMs
	Calls   *rpc.Client
	Router  Router
	Log     *zap.Logger
	Metrics *telemetry.Metrics
}

const (
	// callWait is how long a control VM holds the question. It is a third of the
	// silence after which a gate is no longer named to callers.
	callWait = 500 * time.Millisecond
	// callTimeout is the time for an answer beside the wait. A control VM that is
	// frozen, or a connection that has gone silent for good, shows by it only.
	callTimeout = 600 * time.Millisecond
	// wholeInterval is how often everything is asked for: what this gate was not
	// told, while it went from one control VM to another, is made good by it.
	wholeInterval = 10 * time.Second
	// unlistedLifetime is how long a replica is kept that no control VM lists. A
	// control VM that has just started does not know all of them.
	unlistedLifetime = 4 * wholeInterval
	// staleAfter is the silence of all control VMs after which what this gate
	// knows may be out of date.
	staleAfter = 2 * time.Second
)

// Follower is one gate's side. Run must run beside it.
type Follower struct {
	options Options
	wake    chan struct{} // this gate's report has changed

	matcher atomic.Pointer[routes.Matcher]
	heard   atomic.Int64 // when a control VM last answered, in ns since start
	start   time.Time
	first   chan struct{} // closes once routes and replicas are known
	invites chan string   // peers addresses of control VMs that have called
	known   sync.Once

	routesMu sync.Mutex // makes putting newer routes in force one step
	confirms confirmer

	mu       sync.Mutex // guards what follows
	gate     roster.Gate
	controls []string
	keepers  []string
	peers    uint64 // hash of the two lists, as the control VM gave it
	choice   chooser
	current  string // control VM that is asked
	lost     int    // control VMs in a row that did not answer
	epoch    string
	since    uint64
	wholeAt  time.Time
	listed   map[upstream.ReplicaID]listing
	gates    []roster.Gate
	expected int           // gates that there are, as the control VM last said
	before   []roster.Gate // those of them that are not back after a stop of all
	onGates  []func()
}

// listing is when a control VM last listed a replica.
type listing struct {
	service     string
	incarnation uint64
	at          time.Time
}

// New makes a follower.
func New(options Options) *Follower {
	f := &Follower{
		options: options, gate: options.Gate, controls: slices.Clone(options.Seeds),
		wake: make(chan struct{}, 1), listed: make(map[upstream.ReplicaID]listing), start: time.Now(),
		first: make(chan struct{}), invites: make(chan string, maxInvites), choice: newChooser(options.Gate.VM),
	}
	f.matcher.Store(routes.NewMatcher(&routes.Document{}))
	return f
}

// Routes gives the routes that this gate serves by; version 0 before the first.
func (f *Follower) Routes() *routes.Matcher { return f.matcher.Load() }

// Await returns when the first routes and replicas are known, or ctx has ended.
func (f *Follower) Await(ctx context.Context) {
	select {
	case <-f.first:
	case <-ctx.Done():
	}
}

// Age gives how long ago a control VM last confirmed what this gate knows.
func (f *Follower) Age() time.Duration {
	return time.Since(f.start) - time.Duration(f.heard.Load())
}

// Stale says whether what this gate knows may be out of date.
func (f *Follower) Stale() bool { return f.Age() > staleAfter }

// Keepers gives the peers addresses of the VMs that hold replicated state; the
// seeds' while none is known.
func (f *Follower) Keepers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.keepers) == 0 {
		return f.controls
	}
	return f.keepers
}

// Gates gives the gates that live, as the control VMs last said.
func (f *Follower) Gates() []roster.Gate {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gates
}

// ExpectedGates gives how many gates there are, also those that may not be back
// after a stop of all; 0 if that is not known.
func (f *Follower) ExpectedGates() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.expected
}

// GatesBefore gives the gates that lived before a stop of all and are not back, as far
// as the control VMs know them.
func (f *Follower) GatesBefore() []roster.Gate {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.before
}

// OnGates adds fn to what is called when the gates have changed.
func (f *Follower) OnGates(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onGates = append(f.onGates, fn)
}

// SetSeeds adds control VMs that the settings name now to those that may be asked.
func (f *Follower) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := slices.Clone(f.controls)
	for _, seed := range seeds {
		if !slices.Contains(known, seed) {
			known = append(known, seed)
		}
	}
	f.controls = known
}

// SetReady tells that this gate can serve callers.
func (f *Follower) SetReady() { f.say(func(g *roster.Gate) { g.Ready = true }) }

// SetDraining tells that this gate takes no new callers.
func (f *Follower) SetDraining() { f.say(func(g *roster.Gate) { g.Draining = true }) }

func (f *Follower) say(change func(*roster.Gate)) {
	f.mu.Lock()
	change(&f.gate)
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.findFirst(ctx)
	var retry backoff
	for ctx.Err() == nil {
		address := f.target()
		err := f.ask(ctx, address)
		if err == nil || ctx.Err() != nil {
			retry = 0
			continue
		}
		f.leave(address, err)
		pause(ctx, retry.next(err))
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// target gives the control VM to ask: the one that answered last, else the first
// choice of those that did not fail lately. With each question for everything the
// choice is made anew, so that gates come back to a control VM that was gone.
func (f *Follower) target() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.current == "" || now.Sub(f.wholeAt) >= wholeInterval {
		f.current = f.choice.choose(now, f.controls)
	}
	return f.current
}

// leave turns to other control VMs.
func (f *Follower) leave(address string, err error) {
	f.mu.Lock()
	f.current = ""
	f.choice.failed(time.Now(), address)
	f.mu.Unlock()
	f.missed(address, err)
}

// missed notes that a control VM did not answer.
func (f *Follower) missed(address string, err error) {
	f.options.Metrics.Count("follow.lost")
	f.mu.Lock()
	f.lost++
	first := f.lost == 1
	f.mu.Unlock()
	if first { // the next line of it says that one answers again
		f.options.Log.Info("control VM does not answer, asking others", zap.String("control", address),
			zap.Duration("age", f.Age()), zap.Error(err))
	}
}

func (f *Follower) ask(ctx context.Context, address string) error {
	request := f.request()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := make(chan struct{})
	defer close(asked)
	superseded := atomic.Bool{}
	go func() { // a new report does not wait for the answer to the last
		select {
		case <-f.wake:
			superseded.Store(true)
			cancel()
		case <-asked:
		}
	}()
	response, err := f.call(ctx, address, request)
	if err != nil {
		if superseded.Load() {
			return nil
		}
		return err
	}
	f.take(address, request, response)
	return nil
}

func (f *Follower) call(ctx context.Context, address string, request *controlapi.FollowRequest) (*controlapi.FollowResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callWait+callTimeout)
	defer cancel()
	response, err := rpc.Call(ctx, f.options.Calls, address, controlapi.Follow, request)
	if err != nil {
		return nil, err
	}
	if err := response.Unpack(); err != nil {
		return nil, fmt.Errorf("read the changes of %s: %w", address, err)
	}
	return response, nil
}

// request is this gate's report and its question.
func (f *Follower) request() *controlapi.FollowRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate.Sequence++
	request := &controlapi.FollowRequest{
		Gate: f.gate, Routes: f.Routes().Version(), Epoch: f.epoch, Since: f.since, Wait: callWait, Peers: f.peers,
		TakesPacked: true, TakesGateChanges: true,
	}
	if time.Since(f.wholeAt) >= wholeInterval {
		request.Epoch, request.Since = "", 0
	}
	return request
}
