package gate

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// Reasons of refused requests to routes.
const (
	ReasonNoRoute apierr.Reason = "no_route"
	// ReasonNoRouteStale is of a gate that does not know whether the route is new.
	ReasonNoRouteStale apierr.Reason = "no_route_configuration_stale"
)

// RouteSource gives the routes that the gate serves by.
type RouteSource interface {
	Routes() *routes.Matcher
	Await(ctx context.Context) // returns when the first routes are known, or ctx has ended
	Age() time.Duration        // since they were last confirmed
	// Confirm returns nil once the routes are those that were in force when it was
	// called, or newer ones.
	Confirm(ctx context.Context) error
	Stale() bool // whether they may be out of date
}

// Routed serves callers' requests by the operators' routes.
type Routed struct {
	source   RouteSource
	router   *proxy.Router
	credit   Credit
	metrics  Metrics
	log      *zap.Logger
	timeouts *waitEstimator
}

// NewRouted makes a Routed.
func NewRouted(source RouteSource, router *proxy.Router, credit Credit, metrics Metrics, log *zap.Logger) *Routed {
	return &Routed{source: source, router: router, credit: credit, metrics: metrics, log: log, timeouts: newWaitEstimator()}
}

// Found is the route of a request with the document that has it.
type Found struct {
	*routes.Route
	Matcher *routes.Matcher
}

// canMove says whether the service's engines can stop a run and go on with it.
func (f Found) canMove(service string) bool {
	for _, s := range f.Matcher.Document().Services {
		if s.Name == service {
			return s.Engine != nil && s.Engine.Moves
		}
	}
	return false
}

// Lookup finds the route of a request.
//
// A gate that has no routes yet, or has not heard from the control VMs for a
// while, cannot know that there is none: it says that it cannot serve the
// request, so that the caller asks another gate.
func (f *Routed) Lookup(ctx context.Context, requestID, host, path string) (Found, *apierr.Error) {
	matcher := f.awaitRoutes(ctx)
	if found := matcher.Match(host, path); found != nil {
		return Found{Route: found, Matcher: matcher}, nil
	}
	var refusal *apierr.Error
	switch {
	case matcher.Version() == 0:
		refusal = apierr.New(apierr.Unavailable, ReasonNoConfig, "use another gate or come back",
			"this gate has no routes yet").WithRetryAfter(firstRoutesRetryAfter)
	case f.source.Stale():
		refusal = apierr.New(apierr.Unavailable, ReasonNoRouteStale, "use another gate or come back",
			"no route of version %d fits, and this gate may not have the newest", matcher.Version()).WithRetryAfter(configRetryInterval)
	default:
		refusal = apierr.New(apierr.NotFound, ReasonNoRoute, "ask for a host and path of the routes in force, or have a route for it put in force",
			"no route of version %d fits %s%s", matcher.Version(), host, path)
	}
	f.metrics.Refused(refusal.Reason)
	f.log.Info("request refused", telemetry.RequestID(requestID), telemetry.Reason(string(refusal.Reason)),
		zap.String("host", host), zap.String("path", path), zap.Uint64("routes", matcher.Version()), zap.Duration("routes_age", f.source.Age()))
	return Found{}, refusal
}

const (
	// firstRoutesWait is how long a request waits at a gate that has just started
	// for the first routes. Callers hold its address from before and come at once;
	// the routes come within an election and a call.
	firstRoutesWait = time.Second
	// firstRoutesRetryAfter is when to come back if that was not enough.
	firstRoutesRetryAfter = 300 * time.Millisecond
)

// awaitRoutes gives the routes; it waits for the first ones.
//
// Failure guarded against: all processes of a site were stopped and are back at
// their addresses. Refused, the callers would come back together after their
// answers are worth little, though routes and replicas are known a moment later.
func (f *Routed) awaitRoutes(ctx context.Context) *routes.Matcher {
	if matcher := f.source.Routes(); matcher.Version() > 0 {
		return matcher
	}
	ctx, cancel := context.WithTimeout(ctx, firstRoutesWait)
	defer cancel()
	f.source.Await(ctx)
	return f.source.Routes()
}

// RoutedRequest is a caller's request as its protocol was read.
type RoutedRequest struct {
	ID          string
	Fingerprint upstream.Fingerprint // of what an upstream would run
	Prefix      uint64               // hash of the prompt's start; 0: no affinity
	// Patience is how long the caller waits; 0: as long as the route allows.
	Patience time.Duration
	Arrived  time.Time
	Team     routes.Team // that sends it; empty where callers show no keys
	Protocol proxy.Protocol
}

// usefulUntil is when the answer must begin to be of full use: the route's target
// latency after the caller began to try. Waited is how long before this request that
// was. Zero if the route has no target.
func usefulUntil(found Found, r *RoutedRequest, waited time.Duration) time.Time {
	if found.TargetLatency <= 0 {
		return time.Time{}
	}
	return r.Arrived.Add(found.TargetLatency - waited)
}

// priorityOf gives the priority of a team's requests; its own goes before the route's.
func priorityOf(found Found, team *routes.Team) int {
	if team.Name != "" {
		return team.Priority
	}
	return found.Priority
}

// Serve answers a request to a route that is not for jobs.
func (f *Routed) Serve(ctx context.Context, caller proxy.Caller, found Found, r *RoutedRequest) {
	longest := found.Timeout
	if r.Patience > 0 {
		longest = min(longest, r.Patience)
	}
	waited := f.timeouts.timeWaited(found.Name, r.Patience, found.Timeout)
	taken := newCreditRequest(found, r, longest, waited)
	if refusal := f.credit.Take(ctx, taken); refusal != nil {
		caller.Refuse(refusal)
		return
	}
	caller = &creditedCaller{Caller: caller, credit: f.credit, request: taken}
	service := found.Pick(rand.Float64(), f.router.Available)
	f.log.Info("request routed", telemetry.RequestID(r.ID), telemetry.Team(r.Team.Name), zap.String("route", found.Name), zap.String("service", service),
		zap.Uint64("routes", found.Matcher.Version()), zap.Duration("routes_age", f.source.Age()), zap.Duration("limit", longest),
		zap.Duration("patience", r.Patience), zap.Duration("waited", waited),
		zap.Duration("target", found.TargetLatency), zap.Duration("pause", found.LongestPause))
	f.router.Serve(ctx, caller, service, r.Protocol, route.Request{
		ID:          r.ID,
		Team:        found.Name,
		Deadline:    r.Arrived.Add(longest),
		Fingerprint: r.Fingerprint,
		Prefix:      r.Prefix,
		Priority:    priorityOf(found, &r.Team),
		Repeatable:  found.Repeatable(),
		Resumable:   found.Kind == routes.Streaming && found.Resumable,
		Movable:     found.Kind == routes.Streaming && found.canMove(service),
		MaxAttempts: found.MaxAttempts,
		UsefulUntil: usefulUntil(found, r, waited),
	})
}
