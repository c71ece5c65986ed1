package gate

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/gate/takeup"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// Reasons for refusing requests to routes.
const (
	ReasonNoRoute apierr.Reason = "no_route"
	// ReasonNoRouteStale means that the gate cannot tell whether the route is new.
	ReasonNoRouteStale apierr.Reason = "no_route_configuration_stale"
)

// Origins finds the build that began a stream which a caller takes up.
type Origins interface {
	Resolve(ctx context.Context, t takeup.TakeUp) (takeup.Found, *apierr.Error)
}

// RouteSource provides the routes by which the gate serves requests.
type RouteSource interface {
	Routes() *routes.Matcher
	Await(ctx context.Context) // returns when the first routes are known, or ctx has ended
	Age() time.Duration        // since they were last confirmed
	// Confirm returns nil once the routes are at least as new as those in force when
	// it was called.
	Confirm(ctx context.Context) error
	Stale() bool // whether they may be out of date
}

// RouteHandler serves callers' requests according to the operators' routes.
type RouteHandler struct {
	source   RouteSource
	router   *proxy.Router
	credit   Credit
	origins  Origins
	metrics  Metrics
	log      *zap.Logger
	timeouts *waitEstimator
}

// NewRouteHandler creates a RouteHandler.
func NewRouteHandler(source RouteSource, router *proxy.Router, credit Credit, origins Origins, metrics Metrics, log *zap.Logger) *RouteHandler {
	return &RouteHandler{source: source, router: router, credit: credit, origins: origins, metrics: metrics, log: log, timeouts: newWaitEstimator()}
}

// MatchedRoute is the route of a request, with the version of the routes it is from.
type MatchedRoute struct {
	*routes.Route
	Matcher *routes.Matcher
}

// canMove reports whether the service's engines can stop a run and continue it later.
func (f MatchedRoute) canMove(service string) bool {
	for _, s := range f.Matcher.Document().Services {
		if s.Name == service {
			return s.Engine != nil && s.Engine.CanMove
		}
	}
	return false
}

// Lookup returns the route of a request.
//
// A gate that has no routes yet, or has lost contact to the control VMs, cannot know
// that there is no route. It then answers that it is unavailable, so that the caller
// asks another gate.
func (f *RouteHandler) Lookup(ctx context.Context, requestID, host, path string) (MatchedRoute, *apierr.Error) {
	matcher := f.awaitRoutes(ctx)
	if found := matcher.Match(host, path); found != nil {
		return MatchedRoute{Route: found, Matcher: matcher}, nil
	}
	var refusal *apierr.Error
	switch {
	case matcher.Version() == 0:
		refusal = apierr.New(apierr.Unavailable, ReasonNoConfig, "use another gate or retry later",
			"this gate has not received any routes yet").WithRetryAfter(firstRoutesRetryAfter)
	case f.source.Stale():
		refusal = apierr.New(apierr.Unavailable, ReasonNoRouteStale, "use another gate or retry later",
			"no route in version %d matches the request, and this gate may not have the newest version", matcher.Version()).WithRetryAfter(configRetryInterval)
	default:
		refusal = apierr.New(apierr.NotFound, ReasonNoRoute, "use a host and path of the current routes, or ask the operators to add a route",
			"no route in version %d matches %s%s", matcher.Version(), host, path)
	}
	f.metrics.Refused(refusal.Reason)
	f.log.Info("request refused", telemetry.RequestID(requestID), telemetry.Reason(string(refusal.Reason)),
		zap.String("host", host), zap.String("path", path), zap.Uint64("routes", matcher.Version()), zap.Duration("routes_age", f.source.Age()))
	return MatchedRoute{}, refusal
}

const (
	// firstRoutesWait is how long a request waits for the first routes of a gate that
	// has just started. Callers that still have its address send requests at once; the
	// routes arrive within the time of an election and a call.
	firstRoutesWait = time.Second
	// firstRoutesRetryAfter is the Retry-After if that was not enough.
	firstRoutesRetryAfter = 300 * time.Millisecond
)

// awaitRoutes returns the routes and waits for the first ones. Without the wait, all
// callers of a site that has just restarted would be refused and would retry together,
// past their targets, although routes and replicas are known a moment later.
func (f *RouteHandler) awaitRoutes(ctx context.Context) *routes.Matcher {
	if matcher := f.source.Routes(); matcher.Version() > 0 {
		return matcher
	}
	ctx, cancel := context.WithTimeout(ctx, firstRoutesWait)
	defer cancel()
	f.source.Await(ctx)
	return f.source.Routes()
}

// RoutedRequest is a caller's request, as parsed from its protocol.
type RoutedRequest struct {
	ID          string
	Fingerprint upstream.Fingerprint // of the content that an upstream would run
	Prefix      uint64               // hash of the prompt's start; 0: no affinity
	// CallerTimeout is how long the caller waits; 0: as long as the route allows.
	CallerTimeout time.Duration
	Arrived       time.Time
	Team          routes.Team // the sender; empty if the routes require no keys
	Cost          float64     // tokens of the prompt and the longest output; 0: the request has none
	Protocol      proxy.Protocol
	// Resumes is the ID of the request that brought the first event of the stream that the
	// caller takes up; empty if the caller names none.
	Resumes string
}

// usefulUntil returns the time by which the answer must start to meet the route's
// target latency, which counts from the caller's first try, waited before this request.
// It is zero if the route has no target.
func usefulUntil(found MatchedRoute, r *RoutedRequest, waited time.Duration) time.Time {
	if found.TargetLatency <= 0 {
		return time.Time{}
	}
	return r.Arrived.Add(found.TargetLatency - waited)
}

// priorityOf returns the priority of the team, or of the route without a team.
func priorityOf(found MatchedRoute, team *routes.Team) int {
	if team.Name != "" {
		return team.Priority
	}
	return found.Priority
}

// Serve serves a request to a route that is not for batch jobs.
func (f *RouteHandler) Serve(ctx context.Context, caller proxy.Caller, found MatchedRoute, r *RoutedRequest) {
	longest := found.Timeout
	if r.CallerTimeout > 0 {
		longest = min(longest, r.CallerTimeout)
	}
	waited := f.timeouts.timeWaited(found.Name, r.CallerTimeout, found.Timeout)
	creditRequest := newCreditRequest(found, r, longest, waited)
	if refusal := f.credit.Take(ctx, creditRequest); refusal != nil {
		caller.Refuse(refusal)
		return
	}
	caller = &creditedCaller{Caller: caller, credit: f.credit, request: creditRequest}
	service := found.Pick(rand.Float64(), f.router.Available)
	build, takenUp := "", r.Protocol.LastReceived() > 0
	if takenUp {
		origin, refusal := f.origins.Resolve(ctx, takeup.TakeUp{
			ID: r.ID, Resumes: r.Resumes, LastEvent: r.Protocol.LastReceived(), Route: found.Route, Service: service,
		})
		if refusal != nil {
			caller.Refuse(refusal)
			return
		}
		service, build = origin.Service, origin.Build
	}
	f.log.Info("request routed", telemetry.RequestID(r.ID), telemetry.Team(r.Team.Name), zap.String("route", found.Name), zap.String("service", service),
		zap.Uint64("routes", found.Matcher.Version()), zap.Duration("routes_age", f.source.Age()), zap.Duration("limit", longest),
		zap.Duration("patience", r.CallerTimeout), zap.Duration("waited", waited),
		zap.Duration("target", found.TargetLatency), zap.Duration("pause", found.MaxEventGap), zap.Stringers("parts", r.Protocol.PromptParts()))
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
		Continues:   takenUp,
		Build:       build,
		MaxAttempts: found.MaxAttempts,
		UsefulUntil: usefulUntil(found, r, waited),
		Share:       route.Share{Team: r.Team.Name, Cost: r.Cost},
	})
}
