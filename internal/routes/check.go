package routes

import (
	"slices"

	"slateway.example/slateway/internal/apierr"
)

// Reasons for refusing a document.
const (
	ReasonUnreadable      apierr.Reason = "routes_unreadable"
	ReasonNoVersion       apierr.Reason = "routes_without_version"
	ReasonUnknownService  apierr.Reason = "route_to_unknown_service"
	ReasonDuplicatePrefix apierr.Reason = "routes_on_one_prefix"
	ReasonNoWeight        apierr.Reason = "route_without_weight"
	ReasonNoTimeout       apierr.Reason = "route_without_timeout"
	ReasonBadRoute        apierr.Reason = "route_incomplete"
	ReasonSharedKey       apierr.Reason = "teams_share_key"
)

func invalid(reason apierr.Reason, remedy, format string, args ...any) *apierr.Error {
	return apierr.New(apierr.Invalid, reason, remedy, format, args...)
}

// Check validates a document. Its error names the invalid route and the remedy.
func (d *Document) Check() *apierr.Error {
	if d.Version == 0 {
		return invalid(ReasonNoVersion, "set a version of 1 or higher", "the document has no version")
	}
	services := make(map[string]bool, len(d.Services))
	for i := range d.Services {
		services[d.Services[i].Name] = true
	}
	names := make(map[string]string, len(d.Routes))
	for i := range d.Routes {
		route := &d.Routes[i]
		if err := route.check(services); err != nil {
			return err
		}
		prefix := canonicalHost(route.Host) + " " + route.Prefix
		if other, found := names[prefix]; found {
			return invalid(ReasonDuplicatePrefix, "use a different host or path prefix for each route",
				"routes %q and %q both have the host and prefix %q", other, route.Name, prefix)
		}
		names[prefix] = route.Name
	}
	return checkTeams(d.Teams)
}

var kinds = []Kind{Idempotent, NonIdempotent, Streaming, Batch}

func (r *Route) check(services map[string]bool) *apierr.Error {
	switch {
	case r.Host == "" || r.Prefix == "":
		return invalid(ReasonBadRoute, "set a host and a path prefix for each route", "route %q has no host or no path prefix", r.Name)
	case !slices.Contains(kinds, r.Kind):
		return invalid(ReasonBadRoute, `use "idempotent", "non_idempotent", "streaming" or "batch"`, "route %q has the unsupported kind %q", r.Name, r.Kind)
	case r.Timeout <= 0:
		return invalid(ReasonNoTimeout, "set a timeout above zero", "route %q has the timeout %s", r.Name, r.Timeout)
	}
	total := 0
	for _, share := range r.Split {
		if !services[share.Service] {
			return invalid(ReasonUnknownService, "use a service that is defined in the same document", "route %q refers to the undefined service %q", r.Name, share.Service)
		}
		if share.Weight < 0 {
			return invalid(ReasonNoWeight, "use weights of zero or above", "route %q assigns service %q the weight %d", r.Name, share.Service, share.Weight)
		}
		total += share.Weight
	}
	if total == 0 {
		return invalid(ReasonNoWeight, "set a weight above zero for at least one service", "the weights of route %q add up to zero", r.Name)
	}
	return nil
}
