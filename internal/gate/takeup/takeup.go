// Package takeup finds the build that began a stream which a caller takes up, and records the
// builds of the streams that this gate begins. Package origin decides; this package owns the
// calls between gates, the lock and the log.
package takeup

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/origin"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// Reasons for refusing to continue a stream. None of the requests has run.
const (
	// ReasonOriginUnknown: no one in reach knows which build began the stream.
	ReasonOriginUnknown apierr.Reason = "stream_origin_unknown"
	// ReasonServiceGone: the route no longer uses the service that began the stream.
	ReasonServiceGone apierr.Reason = "stream_service_gone"
)

// Counters.
const (
	countTakenUp  = "streams.taken_up"        // streams that callers took up
	countKnownPre = "streams.origin_"         // followed by the Source, if the origin was found
	countRecords  = "streams.records_sent"    // records sent to other gates
	countDropped  = "streams.records_lost"    // records that a gate did not acknowledge, or that were too many
	countRetried  = "streams.records_retried" // calls with records that were sent again
)

// Source is how a gate learned which build began a stream.
type Source string

// Sources.
const (
	SourceOwn  Source = "own_record"   // this gate began the stream or holds its record
	SourceSole Source = "sole_build"   // the service has had one build only
	SourceGate Source = "other_record" // another gate holds the record
	SourceSide Source = "other_sole"   // another gate knows that the service has had one build only
)

// Fleet provides the gates of the site.
type Fleet interface{ Members() []member.Member }

// A control VM holds a copy of each record too, so that not all of them are gone when all
// gates are killed at once. Two are asked, since one may have joined or left meanwhile.
const (
	controlHolders = 1
	controlsAsked  = 2
)

// Options configures a Service. All fields are required.
type Options struct {
	VM    string
	Fleet Fleet
	// Controls returns the peers addresses of the control VMs.
	Controls func() []string
	Calls    *rpc.Client
	Routes   func() *routes.Matcher
	Log      *zap.Logger
	Metrics  *telemetry.Metrics
}

// Service is one gate's part in finding the origins of streams. It is safe for concurrent use.
type Service struct {
	options Options
	sender  *sender

	mu     sync.Mutex // guards the fields below
	book   *origin.Book
	shared map[string]bool // services with several builds, whose records were sent to other gates
	routes windowOf
}

// windowOf is the window for a version of the routes.
type windowOf struct {
	version uint64
	window  time.Duration
}

// New creates a Service. Run must run while it is used.
func New(options Options) *Service {
	now := time.Now()
	s := &Service{
		options: options, book: origin.NewBook(now), shared: make(map[string]bool),
	}
	s.sender = newSender(s)
	return s
}

// Announced records the announcement of a replica.
func (s *Service) Announced(a *upstream.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.book.Announced(now, a)
	s.shareRecords(now, a.Service)
}

// Withdrawn records that a replica is no longer announced, up to an incarnation.
func (s *Service) Withdrawn(id upstream.ReplicaID, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Withdrawn(time.Now(), id, incarnation)
}

// RememberBuilds adds builds that a control VM remembers, which has missed none for reach.
func (s *Service) RememberBuilds(past []origin.Past, reach time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Remember(time.Now(), past, reach)
}

// Confirmed records that a control VM has confirmed what this gate knows of replicas.
func (s *Service) Confirmed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Confirm(time.Now())
}

// minWindow is the shortest time for which a service must have had one build. Callers try for
// some seconds.
const minWindow = 10 * time.Second

// window returns how long ago a stream that is taken up now may have begun: a stream lasts for
// its route's timeout at most, and its caller's tries for as long again. The caller holds the
// mutex.
func (s *Service) window() time.Duration {
	matcher := s.options.Routes()
	if s.routes.window > 0 && s.routes.version == matcher.Version() {
		return s.routes.window
	}
	longest := minWindow
	for _, r := range matcher.Document().Routes {
		if r.Kind == routes.Streaming {
			longest = max(longest, 2*r.Timeout)
		}
	}
	s.routes = windowOf{version: matcher.Version(), window: min(longest, origin.Memory)}
	return s.routes.window
}

// shareRecords sends the records of a service to other gates when it has had several builds for
// the first time. The caller holds the mutex.
func (s *Service) shareRecords(now time.Time, service string) {
	window := s.window()
	switch _, doubt := s.book.Sole(now, service, window); {
	case doubt == "":
		s.shared[service] = false
		return
	case doubt != origin.DoubtSeveral || s.shared[service]:
		return
	}
	s.shared[service] = true
	records := s.book.Of(service, now.Add(-window))
	s.options.Log.Info("a service has several builds, sending the records of its streams", zap.String("service", service), zap.Int("records", len(records)))
	for id, record := range records {
		s.publish(id, record)
	}
}

// Began records the build that has written the first event of a stream. If it is not certain,
// the stream cannot be taken up while the service has several builds.
func (s *Service) Began(service, request, build string, certain bool) {
	s.record(request, origin.Record{Service: service, Build: build, Unknown: !certain})
}

func (s *Service) record(request string, record origin.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.book.Put(now, request, record)
	if _, doubt := s.book.Sole(now, record.Service, s.window()); doubt != "" {
		s.publish(request, record)
	}
}

// publish sends a record to the gates that hold it.
func (s *Service) publish(request string, record origin.Record) {
	entry := Entry{Request: request, Service: record.Service, Build: record.Build, Unknown: record.Unknown}
	for _, gate := range origin.Rank(request, s.gates(), origin.Holders) {
		if gate.ID != s.options.VM {
			s.sender.enqueue(gate.ID, entry)
		}
	}
	for _, control := range origin.Rank(request, s.controls(), controlHolders) {
		s.sender.enqueue(control.ID, entry)
	}
}

// controls returns the control VMs by their addresses.
func (s *Service) controls() []origin.Gate {
	var controls []origin.Gate
	for _, address := range s.options.Controls() {
		controls = append(controls, origin.Gate{ID: address})
	}
	return controls
}

func (s *Service) gates() []origin.Gate {
	members := s.options.Fleet.Members()
	gates := make([]origin.Gate, len(members))
	for i := range members {
		gates[i] = origin.Gate{ID: members[i].VM.Name, Place: members[i].VM.Place}
	}
	return gates
}

// addressOf returns the address of a gate, or of a control VM, which its address identifies.
func (s *Service) addressOf(gate string) (string, bool) {
	members := s.options.Fleet.Members()
	i := slices.IndexFunc(members, func(m member.Member) bool { return m.VM.Name == gate })
	if i < 0 {
		return gate, slices.Contains(s.options.Controls(), gate)
	}
	return members[i].VM.Peers, true
}

// TakeUp is a caller's request for the rest of a stream.
type TakeUp struct {
	ID        string
	Resumes   string // request that brought the first event; empty if the caller names none
	LastEvent int
	Route     *routes.Route
	Service   string // that a new request would use
}

// Found is the build at which a stream goes on.
type Found struct{ Service, Build string }

// Resolve returns the service and the build that began a stream, or why it cannot go on.
func (s *Service) Resolve(ctx context.Context, t TakeUp) (Found, *apierr.Error) {
	s.options.Metrics.Count(countTakenUp)
	began := time.Now()
	answer, source, from := s.find(ctx, &t)
	found, known := answer.Origin(t.Service)
	var refusal *apierr.Error
	switch {
	case !known:
		refusal = apierr.New(apierr.Unavailable, ReasonOriginUnknown, "request the stream from its start",
			"it is not known which build of service %q began the stream of request %q", t.Service, t.Resumes)
	case found.Service != t.Service && !usesService(t.Route, found.Service):
		refusal = apierr.New(apierr.Unavailable, ReasonServiceGone, "request the stream from its start",
			"the route no longer uses service %q, which began the stream", found.Service)
	}
	s.logDecision(&t, &answer, source, from, refusal, time.Since(began))
	if refusal != nil {
		s.options.Metrics.Refused(refusal.Reason)
		return Found{}, refusal
	}
	s.options.Metrics.Count(countKnownPre + string(source))
	// The caller may take the stream up again under this request's ID.
	s.record(t.ID, origin.Record{Service: found.Service, Build: found.Build})
	return Found{Service: found.Service, Build: found.Build}, nil
}

func usesService(r *routes.Route, service string) bool {
	return slices.ContainsFunc(r.Split, func(share routes.Share) bool { return share.Service == service && share.Weight > 0 })
}

// find looks the origin of a stream up in this gate and then in others. It returns the answer
// that decides, where it is from and the gate that gave it.
func (s *Service) find(ctx context.Context, t *TakeUp) (answer origin.Answer, source Source, from string) {
	s.mu.Lock()
	own := s.book.Find(time.Now(), t.Resumes, t.Service, s.window())
	s.mu.Unlock()
	if own.Final() {
		return own, sourceOf(&own, SourceOwn, SourceSole), s.options.VM
	}
	best, from := s.ask(ctx, t)
	if own.Doubt == origin.DoubtSeveral {
		best.Sole = false // this gate knows better
	}
	best.Doubt = own.Doubt
	return best, sourceOf(&best, SourceGate, SourceSide), from
}

// sourceOf returns the source of an answer; empty if it does not tell the origin.
func sourceOf(a *origin.Answer, record, sole Source) Source {
	switch {
	case a.Known && !a.Record.Unknown:
		return record
	case a.Sole:
		return sole
	default:
		return ""
	}
}

func (s *Service) logDecision(t *TakeUp, answer *origin.Answer, source Source, from string, refusal *apierr.Error, took time.Duration) {
	s.mu.Lock()
	reach, confirmAge := s.book.Reach(time.Now())
	s.mu.Unlock()
	found, _ := answer.Origin(t.Service)
	fields := []zap.Field{
		telemetry.RequestID(t.ID), zap.String("resumes", t.Resumes), zap.Int("last_event", t.LastEvent), zap.String("route", t.Route.Name),
		zap.String("service", found.Service), zap.String("build", found.Build), zap.String("known_by", string(source)), zap.String("gate", from),
		zap.String("doubt", string(answer.Doubt)), zap.Duration("history", reach), zap.Duration("confirmed", confirmAge), zap.Duration("after", took),
	}
	if answer.Known {
		fields = append(fields, zap.Duration("record_age", time.Since(answer.Record.At)))
	}
	if refusal != nil {
		fields = append(fields, telemetry.Reason(string(refusal.Reason)))
	}
	s.options.Log.Info("caller takes a stream up", fields...)
}

// Mount registers the procedure that other gates call on mux.
func (s *Service) Mount(mux *http.ServeMux) { rpc.Handle(mux, procedure, maxCallBytes, s.serve) }

// Run sends records to other gates until ctx ends.
func (s *Service) Run(ctx context.Context) { s.sender.run(ctx) }
