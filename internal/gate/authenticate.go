package gate

import (
	"context"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/telemetry"
)

// Reasons for refusing a request because of its key.
const (
	ReasonNoKey      apierr.Reason = "no_key"
	ReasonUnknownKey apierr.Reason = "unknown_key"
	// ReasonKeyUnconfirmed means that the gate cannot tell whether the key is new.
	ReasonKeyUnconfirmed apierr.Reason = "key_unconfirmed"
)

const (
	// confirmTimeout limits the wait for confirmation that the routes are the newest.
	confirmTimeout = 700 * time.Millisecond
	// confirmRetryAfter is the Retry-After if they were not confirmed.
	confirmRetryAfter = 300 * time.Millisecond
)

// Authenticate returns the team that holds a key. The team is empty if the routes
// require no keys, and on routes that allow anonymous requests if the key is unknown.
//
// Callers do not retry after the refusal of an unknown key, so the gate first confirms
// that it has the newest routes: an operator may just have added the key.
func (f *RouteHandler) Authenticate(ctx context.Context, requestID, key string, anonymous bool) (routes.Team, *apierr.Error) {
	matcher := f.awaitRoutes(ctx)
	if team := matcher.TeamOf(key); team != nil {
		return *team, nil
	}
	if anonymous || matcher.Version() > 0 && !matcher.RequiresKey() {
		return routes.Team{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	unconfirmed := f.confirmRoutes(ctx, matcher, key)
	matcher = f.source.Routes()
	if team := matcher.TeamOf(key); team != nil {
		return *team, nil
	}
	refusal := keyRefusal(key, matcher.Version(), unconfirmed)
	f.metrics.Refused(refusal.Reason)
	f.log.Info("request refused", telemetry.RequestID(requestID), telemetry.Reason(string(refusal.Reason)),
		zap.Uint64("routes", matcher.Version()), zap.Duration("routes_age", f.source.Age()), zap.NamedError("unconfirmed", unconfirmed))
	return routes.Team{}, refusal
}

// confirmRoutes confirms that the routes are the newest. A missing key needs no
// confirmation.
func (f *RouteHandler) confirmRoutes(ctx context.Context, matcher *routes.Matcher, key string) error {
	if key == "" && matcher.Version() > 0 {
		return nil
	}
	return f.source.Confirm(ctx)
}

func keyRefusal(key string, version uint64, unconfirmed error) *apierr.Error {
	switch {
	case unconfirmed != nil:
		return apierr.New(apierr.Unavailable, ReasonKeyUnconfirmed, "use another gate or retry later",
			"no team in version %d of the routes has the key, and this gate may not have the newest version", version).WithRetryAfter(confirmRetryAfter)
	case key == "":
		return apierr.New(apierr.Unauthorized, ReasonNoKey, "send a key of your team", "the request has no key")
	default:
		return apierr.New(apierr.Unauthorized, ReasonUnknownKey, "ask the operators for a valid key",
			"no team in version %d of the routes has the key", version)
	}
}
