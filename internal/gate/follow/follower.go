// Package follow synchronizes a gate with the control VMs. The gate polls one of them for
// changes of the routes, the replicas and the other gates; the same call reports that this
// gate is alive.
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
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/origin"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// Router receives what the control VMs report about replicas.
type Router interface {
	Announce(a upstream.Announcement) error
	Withdraw(service string, id upstream.ReplicaID, incarnation uint64)
	// RememberBuilds is called before Announce with the builds that a control VM remembers and
	// the time for which it has missed none.
	RememberBuilds(past []origin.Past, reach time.Duration)
	// PartsHash returns a hash of what is known of parts of prompts that crash replicas.
	PartsHash() uint64
	// RememberParts is called with what a control VM knows of them, if its hash is another one. It
	// tells the control VMs what they lack.
	RememberParts(known []controlapi.ServiceParts, hash uint64)
	// Confirmed is called after Announce and Withdraw when a control VM in contact has
	// confirmed all replicas.
	Confirmed()
}

// Options configures a Follower. All fields are required.
type Options struct {
	Gate    roster.Gate // this gate; the Follower sets Sequence, Ready and Draining
	Seeds   []string    // peers addresses of some control VMs
	Calls   *rpc.Client
	Router  Router
	Log     *zap.Logger
	Metrics *telemetry.Metrics
}

const (
	// pollWait is how long a control VM holds a long poll. It is a third of the time without
	// reports after which a gate is no longer listed to callers.
	pollWait = 500 * time.Millisecond
	// callTimeout is the time for an answer in addition to pollWait. It is the only sign of
	// a frozen control VM or a connection that was cut without notice.
	callTimeout = 600 * time.Millisecond
	// fullRefreshInterval is how often the control VM compares a digest of this gate's state
	// with its own, or sends the whole state if it is of a build without digests. It repairs
	// changes that were missed while switching between control VMs.
	fullRefreshInterval = 10 * time.Second
	// unlistedLifetime is how long a replica is kept that no control VM lists. A control VM
	// that has just started does not know all replicas.
	unlistedLifetime = 4 * fullRefreshInterval
	// staleAfter is the time without any answer of a control VM after which this gate's state
	// may be outdated.
	staleAfter = 2 * time.Second
)

// Follower synchronizes one gate with the control VMs. Run must run as long as it is used.
type Follower struct {
	options Options
	wake    chan struct{} // receives a value when this gate's report has changed

	matcher     atomic.Pointer[routes.Matcher]
	lastContact atomic.Int64 // last answer of a control VM, in ns since start
	start       time.Time
	first       chan struct{} // closed once routes and replicas are known
	invites     chan string   // peers addresses of control VMs that invited this gate
	firstOnce   sync.Once

	routesMu sync.Mutex // makes comparing and installing routes atomic
	confirms confirmer

	mu                  sync.Mutex // guards the fields below
	gate                roster.Gate
	controls            []string
	keepers             []string
	peers               uint64 // hash of controls and keepers, as sent by the control VM
	choice              chooser
	current             string // control VM being followed
	consecutiveFailures int    // requests in a row without an answer
	epoch               string
	since               uint64
	digest              uint64 // of listing, as of the last response
	bucketDigests       [roster.Buckets]uint64
	partsHash           uint64    // of the parts of prompts that the control VM of the last response knows
	partsComparedAt     time.Time // when they were last compared and differed
	buildsHash          uint64    // of the builds that the control VM of the last response remembers
	answeredBy          string    // control VM of the last response
	acceptsDigest       bool      // that control VM compares digests
	fullRefreshAt       time.Time // last full or verified response
	gates               []roster.Gate
	members             []member.Member // gates as members; nil: not made yet
	expected            int             // number of gates of the site, as last reported by a control VM
	missing             []roster.Gate   // expected gates that have not returned since all gates were down
	onGates             []func()

	// listed and listing are used by applyResponse only. listed also contains replicas that
	// an earlier control VM listed, listing what the current one lists.
	listed  map[upstream.ReplicaID]lastListing
	listing *roster.Listing
}

// lastListing records when a control VM last listed a replica.
type lastListing struct {
	service     string
	incarnation uint64
	at          time.Time
}

// New creates a Follower.
func New(options Options) *Follower {
	f := &Follower{
		options: options, gate: options.Gate, controls: slices.Clone(options.Seeds),
		wake: make(chan struct{}, 1), listed: make(map[upstream.ReplicaID]lastListing), start: time.Now(),
		listing: roster.NewListing(),
		first:   make(chan struct{}), invites: make(chan string, maxInvites), choice: newChooser(options.Gate.VM),
	}
	f.matcher.Store(routes.NewMatcher(&routes.Document{}))
	return f
}

// Routes returns the routes in force; they have version 0 until the first are received.
func (f *Follower) Routes() *routes.Matcher { return f.matcher.Load() }

// Await returns when the first routes and replicas are known or ctx has ended.
func (f *Follower) Await(ctx context.Context) {
	select {
	case <-f.first:
	case <-ctx.Done():
	}
}

// Age returns the time since a control VM last confirmed this gate's state.
func (f *Follower) Age() time.Duration {
	return time.Since(f.start) - time.Duration(f.lastContact.Load())
}

// Stale reports whether this gate's state may be outdated.
func (f *Follower) Stale() bool { return f.Age() > staleAfter }

// Keepers returns the peers addresses of the VMs that hold replicated state, or of the known
// control VMs while no keeper is known.
func (f *Follower) Keepers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.keepers) == 0 {
		return f.controls
	}
	return f.keepers
}

// Controls returns the peers addresses of the known control VMs. The slice is read only.
func (f *Follower) Controls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controls
}

// Gates returns the live gates as last reported by the control VMs.
func (f *Follower) Gates() []roster.Gate {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gates
}

// ExpectedGates returns the number of gates including those that have not returned since all
// gates were down; 0 if it is unknown.
func (f *Follower) ExpectedGates() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.expected
}

// MissingGates returns the gates known to the control VMs that have not returned since all
// gates were down.
func (f *Follower) MissingGates() []roster.Gate {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.missing
}

// OnGates registers fn to be called when the list of gates changes.
func (f *Follower) OnGates(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onGates = append(f.onGates, fn)
}

// SetSeeds adds control VMs named by changed settings to the known ones.
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

// SetReady reports that this gate can serve callers.
func (f *Follower) SetReady() { f.updateReport(func(g *roster.Gate) { g.Ready = true }) }

// SetDraining reports that this gate accepts no new callers.
func (f *Follower) SetDraining() { f.updateReport(func(g *roster.Gate) { g.Draining = true }) }

func (f *Follower) updateReport(change func(*roster.Gate)) {
	f.mu.Lock()
	change(&f.gate)
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run follows the control VMs until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.findFirstControl(ctx)
	var retry backoff
	for ctx.Err() == nil {
		address := f.target()
		err := f.ask(ctx, address)
		if err == nil || ctx.Err() != nil {
			retry = 0
			continue
		}
		f.switchControl(address, err)
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

// target returns the control VM to ask: the one that answered last, otherwise the first choice
// that did not fail recently. Every full refresh chooses again, so that gates return to a
// control VM that was down.
func (f *Follower) target() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.current == "" || now.Sub(f.fullRefreshAt) >= fullRefreshInterval {
		f.current = f.choice.choose(now, f.controls)
	}
	return f.current
}

// switchControl stops following a control VM that did not answer.
func (f *Follower) switchControl(address string, err error) {
	f.mu.Lock()
	f.current = ""
	f.choice.recordFailure(time.Now(), address)
	f.mu.Unlock()
	f.recordNoAnswer(address, err)
}

// recordNoAnswer counts and logs that a control VM did not answer.
func (f *Follower) recordNoAnswer(address string, err error) {
	f.options.Metrics.Count("follow.lost")
	f.mu.Lock()
	f.consecutiveFailures++
	first := f.consecutiveFailures == 1
	f.mu.Unlock()
	if first { // logged once until a control VM answers, which logs "following"
		f.options.Log.Info("control VM does not answer, asking others", zap.String("control", address),
			zap.Duration("age", f.Age()), zap.Error(err))
	}
}

func (f *Follower) ask(ctx context.Context, address string) error {
	request := f.request()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	superseded := atomic.Bool{}
	go func() { // a changed report does not wait for the answer to the last one
		select {
		case <-f.wake:
			superseded.Store(true)
			cancel()
		case <-done:
		}
	}()
	response, err := f.call(ctx, address, request)
	if err != nil {
		if superseded.Load() {
			return nil
		}
		return err
	}
	f.applyResponse(address, request, response)
	return nil
}

func (f *Follower) call(ctx context.Context, address string, request *controlapi.FollowRequest) (*controlapi.FollowResponse, error) {
	response, err := f.callPacked(ctx, address, request)
	if err != nil {
		return nil, err
	}
	return response, unpack(address, response)
}

// callPacked is like call but leaves the roster changes in the response packed.
func (f *Follower) callPacked(ctx context.Context, address string, request *controlapi.FollowRequest) (*controlapi.FollowResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pollWait+callTimeout)
	defer cancel()
	return rpc.Call(ctx, f.options.Calls, address, controlapi.Follow, request)
}

func unpack(address string, response *controlapi.FollowResponse) error {
	if err := response.Unpack(); err != nil {
		return fmt.Errorf("unpack the answer of control VM %s: %w", address, err)
	}
	return nil
}

// partsInterval is how often records of parts that differ are exchanged. Records that become too
// old at two VMs at different times may differ for a while.
const partsInterval = 5 * time.Second

// partsHashToSend returns the hash to which the control VM compares its own, given that of this
// gate. The caller holds f.mu.
func (f *Follower) partsHashToSend(own uint64) uint64 {
	if own != f.partsHash && time.Since(f.partsComparedAt) < partsInterval {
		return f.partsHash
	}
	return own
}

// request returns the next request: this gate's report and the versions that it has.
func (f *Follower) request() *controlapi.FollowRequest {
	partsHash := f.options.Router.PartsHash() // takes locks under which f.mu is taken
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate.Sequence++
	request := &controlapi.FollowRequest{
		Gate: f.gate, Routes: f.Routes().Version(), Epoch: f.epoch, Since: f.since, Wait: pollWait, PeersHash: f.peers,
		AcceptsPacked: true, AcceptsGateChanges: true, AcceptsLater: true, BuildsHash: new(f.buildsHash), PartsHash: new(f.partsHashToSend(partsHash)),
	}
	refresh := time.Since(f.fullRefreshAt) >= fullRefreshInterval
	switch {
	case f.acceptsDigest && (refresh || f.current != f.answeredBy):
		digest := f.digest
		request.Digest = &digest
		if f.current != f.answeredBy {
			digests := f.bucketDigests
			request.Digests = digests[:]
		}
	case refresh:
		request.Epoch, request.Since = "", 0
	}
	return request
}
