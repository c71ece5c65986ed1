package routes

import (
	"slices"

	"slateway.example/slateway/internal/apierr"
)

// Reasons of refused documents.
const (
	ReasonUnreadable     apierr.Reason = "routes_unreadable"
	ReasonNoVersion      apierr.Reason = "routes_without_version"
	ReasonUnknownService apierr.Reason = "route_to_unknown_service"
	ReasonSamePlace      apierr.Reason = "routes_on_one_prefix"
	ReasonNoWeight       apierr.Reason = "route_without_weight"
	ReasonNoTimeout      apierr.Reason = "route_without_timeout"
	ReasonBadRoute       apierr.Reason = "route_incomplete"
	ReasonSharedKey      apierr.Reason = "teams_share_key"
)

func invalid(reason apierr.Reason, remedy, format string, args ...any) *apierr.Error {
	return apierr.New(apierr.Invalid, reason, remedy, format, args...)
}

// Check refuses a document that cannot be served; its error names the route and
// the remedy.
func (d *Document) Check() *apierr.Error {
	if d.Version == 0 {
		return invalid(ReasonNoVersion, "number versions from 1", "the document has no version")
	}
	services := make(map[string]bool, len(d.Services))
	for i := range d.Services {
		services[d.Services[i].Name] = true
	}
	taken := make(map[string]string, len(d.Routes))
	for i := range d.Routes {
		route := &d.Routes[i]
		if err := route.check(services); err != nil {
			return err
		}
		place := canonicalHost(route.Host) + " " + route.Prefix
		if other, found := taken[place]; found {
			return invalid(ReasonSamePlace, "give each route its own host and path prefix",
				"routes %q and %q both have %q", other, route.Name, place)
		}
		taken[place] = route.Name
	}
	return checkTeams(d.Teams)
}

var kinds = []Kind{Idempotent, NonIdempotent, Streaming, Batch}

func (r *Route) check(services map[string]bool) *apierr.Error {
	switch {
	case r.Host == "" || r.Prefix == "":
		return invalid(ReasonBadRoute, "give each route a host and a path prefix", "route %q has none", r.Name)
	case !slices.Contains(kinds, r.Kind):
		return invalid(ReasonBadRoute, "use a kind that the daemon knows", "route %q has the kind %q", r.Name, r.Kind)
	case r.Timeout <= 0:
		return invalid(ReasonNoTimeout, "give each route a timeout above zero", "route %q has the timeout %s", r.Name, r.Timeout)
	}
	total := 0
	for _, share := range r.Split {
		if !services[share.Service] {
			return invalid(ReasonUnknownService, "name a service of the same document", "route %q goes to %q, which is not listed", r.Name, share.Service)
		}
		if share.Weight < 0 {
			return invalid(ReasonNoWeight, "use weights of zero and above", "route %q gives %q the weight %d", r.Name, share.Service, share.Weight)
		}
		total += share.Weight
	}
	if total == 0 {
		return invalid(ReasonNoWeight, "give at least one service a weight above zero", "the weights of route %q add up to zero", r.Name)
	}
	return nil
}
