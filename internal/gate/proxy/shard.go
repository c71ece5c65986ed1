package proxy

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// shard drives the decisions of one service. Its lock is held only while they
// are made: what may block runs in goroutines.
type shard struct {
	router  *Router
	service string

	mu      sync.Mutex
	decide  *route.Shard
	flights map[string]*flight           // requests in progress by ID
	runs    map[route.AttemptID]*attempt // attempts in progress

	stepped chan struct{} // gets a value after decisions, unless one waits there
}

func newShard(r *Router, service string, decide *route.Shard) *shard {
	return &shard{
		router:  r,
		service: service,
		decide:  decide,
		flights: make(map[string]*flight),
		runs:    make(map[route.AttemptID]*attempt),
		stepped: make(chan struct{}, 1),
	}
}

// step gives an input to the decisions and does what they say.
func (s *shard) step(in route.Input) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.execute(s.decide.Step(time.Now(), in))
}

// signalStep tells the reader of stepped, if it has read the last value.
func (s *shard) signalStep() {
	select {
	case s.stepped <- struct{}{}:
	default:
	}
}

// open registers a flight and offers its request. A request whose ID is in
// progress already is refused without touching the first one.
func (s *shard) open(f *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flights[f.request.ID] != nil {
		f.end(apierr.New(apierr.Conflict, route.ReasonDuplicateID,
			"send each request under an ID of its own", "request %s is in progress", f.request.ID))
		return
	}
	s.flights[f.request.ID] = f
	s.execute(s.decide.Step(time.Now(), route.Arrive{Request: f.request}))
}

// close takes a flight out; its attempts are stopped if any are left.
func (s *shard) close(f *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flights[f.request.ID] != f {
		return
	}
	s.execute(s.decide.Step(time.Now(), route.Abandon{ID: f.request.ID}))
	delete(s.flights, f.request.ID)
}

// complete reports a whole answer. It returns false if the attempt was stopped
// meanwhile: its answer must not be used.
func (s *shard) complete(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.stopped.Load() {
		return false
	}
	delete(s.runs, a.id)
	s.execute(s.decide.Step(time.Now(), route.Finished{Attempt: a.id}))
	return true
}

// execute does the outputs in order. Those after a Spread wait until the other
// gates know of the strikes, so that neither the next attempt nor the caller's
// next request is ahead of the news.
func (s *shard) execute(outputs []route.Output) {
	defer s.signalStep()
	ready := alreadyDone
	for _, o := range outputs {
		switch o := o.(type) {
		case route.Dispatch:
			s.dispatch(o, ready)
		case route.HandOver:
			s.handOver(o)
		case route.Cancel:
			s.cancel(o)
		case route.Believed:
			s.logBelief(&o)
		case route.Refuse:
			s.refuse(o, ready)
		case route.Probe:
			go s.probe(o)
		case route.Reset:
			s.router.links.reset(o.Replica)
		case route.YieldTo:
			s.router.usage.put(o.Gate, Usage{
				Service: s.service, Gate: s.router.options.Self, Replica: o.Replica, Online: o.Online, Batch: o.Batch, Word: o.Word,
			})
		case route.Spread:
			ready = s.spread(o.Strikes)
		case route.Count:
			s.router.options.Metrics.Count(counterName(o.Reason))
		}
	}
}

// alreadyDone is a closed channel: nothing to wait for.
var alreadyDone = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

func (s *shard) spread(strikes []upstream.Strike) chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), s.router.options.SpreadTimeout)
		defer cancel()
		s.router.options.Spread(ctx, s.service, strikes)
	}()
	return done
}

func (s *shard) dispatch(o route.Dispatch, ready <-chan struct{}) {
	f := s.flights[o.ID]
	if f == nil {
		return
	}
	a := f.newAttempt(o)
	s.runs[o.Attempt] = a
	s.logDispatch(&o)
	go func() {
		defer f.attempts.Done()
		<-ready
		a.run()
	}()
}

func (s *shard) cancel(o route.Cancel) {
	a := s.runs[o.Attempt]
	if a == nil {
		return
	}
	delete(s.runs, o.Attempt)
	s.log().Info("attempt stopped", telemetry.RequestID(o.ID), zap.Uint64("attempt", uint64(o.Attempt)),
		telemetry.Upstream(string(a.target.Replica)), telemetry.Reason(string(o.Cause)), zap.Duration("after", time.Since(a.began)), zap.String("for", o.For))
	a.halt(o.Cause)
}

func (s *shard) log() *zap.Logger { return s.router.options.Log }

// logDispatch tells where a request goes and what was believed of the replica.
func (s *shard) logDispatch(o *route.Dispatch) {
	view := s.decide.Load(o.Target.Replica)
	s.log().Info("attempt", telemetry.RequestID(o.ID), zap.Uint64("attempt", uint64(o.Attempt)), zap.String("kind", string(o.Kind)),
		telemetry.Upstream(string(o.Target.Replica)), zap.String("address", o.Target.Address), zap.Bool("resume", o.Resume),
		zap.Int("slots", view.Slots), zap.Int("online", view.Online), zap.Int("batch", view.Batch),
		zap.Int("others_online", view.OthersOnline), zap.Int("others_batch", view.OthersBatch), zap.Duration("others_age", view.OthersAge),
		zap.Int("waiting", view.Waiting), zap.Duration("queued", o.Queued), zap.Int("behind", o.Behind), zap.Int("places", o.Places))
}

// logBelief tells what is believed of a replica from now on, and from what.
func (s *shard) logBelief(o *route.Believed) {
	s.log().Info("replica believed", telemetry.Upstream(string(o.Replica)), zap.String("service", s.service),
		zap.String("belief", string(o.Belief)), zap.String("evidence", string(o.Evidence)), zap.Int("failures", o.Failures),
		zap.Int("attempts", o.Attempts), zap.Duration("quiet", o.Quiet), zap.Bool("slowly", o.Slowly))
}

func (s *shard) refuse(o route.Refuse, ready chan struct{}) {
	f := s.flights[o.ID]
	if f == nil {
		return
	}
	s.log().Info("request refused", telemetry.RequestID(o.ID), telemetry.Reason(string(o.Err.Reason)), zap.String("service", s.service),
		zap.String("ran", string(o.Err.Ran)), zap.Duration("after", time.Since(f.started)),
		zap.Duration("retry_after", o.Err.RetryAfter), zap.String("message", o.Err.Message))
	if ready == alreadyDone {
		f.end(o.Err)
		return
	}
	go func() {
		<-ready
		f.end(o.Err)
	}()
}

func (s *shard) probe(o route.Probe) {
	result := s.router.links.probe(o.Address)
	s.step(route.Probed{
		Replica:     o.Replica,
		Alive:       result.Alive,
		Refused:     result.Refused,
		Incarnation: result.Incarnation,
	})
}

func (s *shard) changes(since uint64) (upstream.Digest, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, version := s.decide.Changes(since)
	d.Service = s.service
	return d, version
}

func (s *shard) merge(d upstream.Digest) {
	for _, a := range d.Identity {
		s.step(route.Announced{Announcement: a})
	}
	for _, l := range d.Loads {
		s.step(route.Reported{Digest: l})
	}
	for _, f := range d.Feeding {
		s.step(route.Fed{Feeding: f})
	}
	if len(d.Strikes) > 0 {
		s.step(route.Struck{Strikes: d.Strikes})
	}
}

func (s *shard) upstreams() []Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Replica
	for _, v := range s.decide.Replicas() {
		list = append(list, Replica{
			Announcement: v.Entry.Announcement,
			Seen:         v.Entry.Seen,
			Suspect:      v.Suspect,
			Online:       v.Online,
			Batch:        v.Batch,
			Feeder:       v.Feeder,
		})
	}
	return list
}
