package proxy

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// shard runs the routing state machine of one service and executes its outputs.
// Its lock is held only while decisions are made; anything that may block runs
// in a goroutine.
type shard struct {
	router  *Router
	service string

	mu       sync.Mutex
	routing  *route.Shard
	flights  map[string]*flight           // requests in progress, by ID
	attempts map[route.AttemptID]*attempt // attempts in progress

	updates chan struct{} // receives a value after each step; holds one at most
}

func newShard(r *Router, service string, routing *route.Shard) *shard {
	return &shard{
		router:   r,
		service:  service,
		routing:  routing,
		flights:  make(map[string]*flight),
		attempts: make(map[route.AttemptID]*attempt),
		updates:  make(chan struct{}, 1),
	}
}

// step applies an input to the routing state machine and executes its outputs.
func (s *shard) step(in route.Input) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.execute(s.routing.Step(time.Now(), in))
}

// notifyUpdate sends a value to updates unless one is still unread.
func (s *shard) notifyUpdate() {
	select {
	case s.updates <- struct{}{}:
	default:
	}
}

// add registers a flight and submits its request. A request whose ID is already
// in progress is refused; the first one is not affected.
func (s *shard) add(f *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flights[f.request.ID] != nil {
		f.finish(apierr.New(apierr.Conflict, route.ReasonDuplicateID,
			"send each request under an ID of its own", "request %s is in progress", f.request.ID))
		return
	}
	s.flights[f.request.ID] = f
	s.execute(s.routing.Step(time.Now(), route.Arrive{Request: f.request}))
}

// remove unregisters a flight and stops the attempts that are still running.
func (s *shard) remove(f *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flights[f.request.ID] != f {
		return
	}
	s.execute(s.routing.Step(time.Now(), route.Abandon{ID: f.request.ID}))
	delete(s.flights, f.request.ID)
}

// complete reports that an attempt has received its whole answer. It returns
// false if the attempt was stopped meanwhile; its answer must not be used then.
func (s *shard) complete(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.stopped.Load() {
		return false
	}
	delete(s.attempts, a.id)
	s.execute(s.routing.Step(time.Now(), route.Finished{Attempt: a.id}))
	return true
}

// execute runs the outputs in order. Outputs after ReportCrashes wait until the
// crash records are sent to the other gates, for at most BroadcastTimeout, so
// that neither the next attempt nor the caller's next request overtakes them.
func (s *shard) execute(outputs []route.Output) {
	defer s.notifyUpdate()
	ready := closedChannel
	for _, o := range outputs {
		switch o := o.(type) {
		case route.Dispatch:
			s.dispatch(o, ready)
		case route.HandOver:
			s.handOver(o)
		case route.Cancel:
			s.cancel(o)
		case route.StateChanged:
			s.logHealth(&o)
		case route.ProcessDied:
			s.logDeath(&o)
		case route.Refuse:
			s.refuse(o, ready)
		case route.Probe:
			go s.probe(o)
		case route.Reset:
			s.router.transports.reset(o.Replica)
		case route.ReportLoad:
			s.router.reports.enqueue(o.Gate, LoadReport{
				Service: s.service, Gate: s.router.options.Self, Replica: o.Replica, Online: o.Online, Batch: o.Batch, Number: o.ReportNumber,
				Pace: o.Pace, Waiting: o.Waiting,
			})
		case route.StreamBegan:
			s.router.options.StreamBegan(s.service, o.ID, o.Build, o.Certain)
		case route.ReportCrashes:
			ready = s.broadcastCrashes(o.Crashes, o.Parts)
		case route.ReportParts:
			s.reportParts(&o)
		case route.IdentifyProcess:
			s.identify(&o)
		case route.OriginConfirmed:
			s.confirmWriter(&o)
		case route.PartJudged:
			s.logPart(&o.Change)
		case route.Count:
			s.router.options.Metrics.Count(counterName(o.Reason))
		}
	}
}

// closedChannel stands for a broadcast that need not be awaited.
var closedChannel = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

func (s *shard) broadcastCrashes(crashes []upstream.CrashRecord, parts []crash.Record) chan struct{} {
	done := make(chan struct{})
	if len(parts) > 0 {
		s.router.options.ReportParts(s.service, parts)
	}
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), s.router.options.BroadcastTimeout)
		defer cancel()
		if answered := s.router.options.BroadcastCrashes(ctx, s.service, crashes, parts); len(answered) > 0 {
			s.step(route.PartsReported{Records: answered, Answer: true})
		}
	}()
	return done
}

// reportParts sends records of parts without waiting for it.
func (s *shard) reportParts(o *route.ReportParts) {
	if o.ControlOnly {
		s.router.options.ReportParts(s.service, o.Records)
		return
	}
	s.broadcastCrashes(nil, o.Records)
}

// mergeParts applies records of parts from another VM and returns those that answer them.
func (s *shard) mergeParts(records []crash.Record) (answer []crash.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outputs := s.routing.Step(time.Now(), route.PartsReported{Records: records})
	for _, o := range outputs {
		if a, ok := o.(route.AnswerParts); ok {
			answer = a.Records
		}
	}
	s.execute(outputs)
	return answer
}

func (s *shard) dispatch(o route.Dispatch, ready chan struct{}) {
	f := s.flights[o.ID]
	if f == nil {
		return
	}
	a := f.newAttempt(o)
	s.attempts[o.Attempt] = a
	s.logDispatch(&o)
	if f.request.Class == route.Online && o.Kind == route.First {
		s.router.options.Metrics.Observe(MetricShareWait, o.Queued)
	}
	go func() {
		defer f.attempts.Done()
		if ready != closedChannel {
			<-ready
			a.step(route.Sent{Attempt: a.id})
		}
		a.run()
	}()
}

func (s *shard) cancel(o route.Cancel) {
	a := s.attempts[o.Attempt]
	if a == nil {
		return
	}
	delete(s.attempts, o.Attempt)
	s.log().Info("attempt stopped", telemetry.RequestID(o.ID), zap.Uint64("attempt", uint64(o.Attempt)),
		telemetry.Upstream(string(a.target.Replica)), telemetry.Reason(string(o.Cause)), zap.Duration("after", time.Since(a.startedAt)), zap.String("for", o.For))
	a.stop(o.Cause)
}

func (s *shard) log() *zap.Logger { return s.router.options.Log }

// logDispatch logs where a request is sent and the load that the gate assumes there.
func (s *shard) logDispatch(o *route.Dispatch) {
	view := s.routing.Load(o.Target.Replica)
	s.log().Info("attempt", telemetry.RequestID(o.ID), zap.Uint64("attempt", uint64(o.Attempt)), zap.String("kind", string(o.Kind)),
		telemetry.Upstream(string(o.Target.Replica)), zap.String("address", o.Target.Address), zap.String("build", o.Target.Build), zap.Bool("resume", o.Resume),
		zap.Int("slots", view.Slots), zap.Int("online", view.Online), zap.Int("batch", view.Batch),
		zap.Int("others_online", view.OthersOnline), zap.Int("others_batch", view.OthersBatch), zap.Duration("others_age", view.OthersAge),
		zap.Float64("pace", view.Pace), zap.Int("waiting", view.Waiting), zap.Duration("queued", o.Queued), zap.Int("behind", o.AheadInQueue),
		zap.Int("places", o.ReservationTries),
		telemetry.Team(o.Share.Team), zap.Float64("share_lead", o.Share.Lead), zap.Int("teams_waiting", o.Share.TeamsWaiting))
}

// logHealth logs a change of a replica's health state and the evidence for it.
func (s *shard) logHealth(o *route.StateChanged) {
	s.log().Info("replica health changed", telemetry.Upstream(string(o.Replica)), zap.String("service", s.service),
		zap.String("belief", string(o.State)), zap.String("evidence", string(o.Evidence)), zap.Int("failures", o.Failures),
		zap.Int("attempts", o.Attempts), zap.Duration("quiet", o.Idle), zap.Bool("slowly", o.SlowStart))
}

// logDeath logs which requests were on a process when it ended, which of them had begun their
// answer, and the parts of prompts of the others.
func (s *shard) logDeath(o *route.ProcessDied) {
	var begun, waiting []string
	var parts []crash.Part
	for i := range o.Requests {
		lost := &o.Requests[i]
		line := fmt.Sprintf("%s %s crashes=%d", lost.ID, lost.Class, lost.Crashes)
		if lost.Tokens > 0 {
			begun = append(begun, fmt.Sprintf("%s events=%d flowed=%s", line, lost.Tokens, lost.Flowed.Round(time.Millisecond)))
			continue
		}
		waiting = append(waiting, fmt.Sprintf("%s parts=%v", line, lost.Parts))
		parts = append(parts, lost.Parts...)
	}
	slices.Sort(parts)
	s.log().Info("requests lost with a process", telemetry.Upstream(string(o.Replica)), zap.String("service", s.service),
		zap.Uint64("incarnation", o.Incarnation), zap.String("evidence", string(o.Evidence)), zap.Strings("begun", firstOf(begun)), zap.Int("begun_count", len(begun)),
		zap.Strings("not_begun", firstOf(waiting)), zap.Int("not_begun_count", len(waiting)), zap.Stringers("parts", firstOf(slices.Compact(parts))))
}

// logPart logs that the standing of a part of prompts has changed, and what speaks against it.
func (s *shard) logPart(c *crash.Change) {
	s.log().Info("part of prompts judged", zap.Stringer("part", c.Part), zap.String("service", s.service),
		zap.Stringer("from", c.From), zap.Stringer("to", c.Standing), zap.Int("crashes", c.Deaths), zap.Any("processes", firstOf(c.Processes)),
		zap.Strings("teams", firstOf(c.Teams)), zap.Bool("doubtful", c.Doubtful), zap.Int("trials", c.Trials), zap.Duration("since_first", c.Age))
}

// maxLogged bounds a list in a log line.
const maxLogged = 24

func firstOf[T any](list []T) []T { return list[:min(len(list), maxLogged)] }

func (s *shard) refuse(o route.Refuse, ready chan struct{}) {
	f := s.flights[o.ID]
	if f == nil {
		return
	}
	s.log().Info("request refused", telemetry.RequestID(o.ID), telemetry.Reason(string(o.Err.Reason)), zap.String("service", s.service),
		zap.String("ran", string(o.Err.Ran)), zap.Duration("after", time.Since(f.started)),
		zap.Duration("retry_after", o.Err.RetryAfter), zap.String("message", o.Err.Message))
	if ready == closedChannel {
		f.finish(o.Err)
		return
	}
	go func() {
		<-ready
		f.finish(o.Err)
	}()
}

func (s *shard) probe(o route.Probe) {
	result := s.router.transports.probe(o.Address)
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
	d, version := s.routing.Changes(since)
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
	for _, f := range d.OwnerLoads {
		s.step(route.OwnerReported{Load: f})
	}
	if len(d.Crashes) > 0 {
		s.step(route.CrashesReported{Crashes: d.Crashes})
	}
}

func (s *shard) upstreams() []Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Replica
	for _, v := range s.routing.Replicas() {
		list = append(list, Replica{
			Announcement: v.Entry.Announcement,
			Seen:         v.Entry.LastAnnounced,
			Suspect:      v.Suspect,
			Online:       v.Online,
			Batch:        v.Batch,
			OwnerGate:    v.Owner,
			Pace:         v.Pace,
			Distrusted:   v.Distrusted,
		})
	}
	return list
}

func (s *shard) hasReplicas() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routing.HasReplicas()
}
