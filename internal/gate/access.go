// Package gate is the role of a VM that callers talk to: it authenticates and
// routes online requests, and runs the items of batch jobs in the capacity that
// online requests leave.
package gate

import (
	"strings"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/team"
)

// Reasons of refusals before a request is routed.
const (
	ReasonUnknownToken  apierr.Reason = "unknown_token"
	ReasonNoConfig      apierr.Reason = "no_configuration"
	ReasonLeaseExpired  apierr.Reason = "configuration_lease_expired"
	configRetryInterval               = time.Second
)

// Access decides under which policy a request is served, if at all.
type Access struct {
	watcher    *keeperclient.Watcher
	serveStale bool
	now        func() time.Time
}

// NewAccess makes an Access that follows watcher. With serveStale it serves on
// after the configuration lease has run out.
func NewAccess(watcher *keeperclient.Watcher, serveStale bool) *Access {
	return &Access{watcher: watcher, serveStale: serveStale, now: time.Now}
}

// Authenticate finds the policy of the team that owns a bearer token.
//
// A gate that the keepers cannot reach would serve by a revision that operators
// were told is replaced. Its lease runs out before they are told so; from then
// on it refuses, unless the site chose to serve on by the last revision.
func (a *Access) Authenticate(token string) (*team.Policy, error) {
	if err := a.ready(); err != nil {
		return nil, err
	}
	token = strings.TrimPrefix(token, "Bearer ")
	policy, found := a.watcher.Authenticate(token)
	if !found {
		return nil, apierr.New(apierr.Unauthorized, ReasonUnknownToken,
			"send a token that the operators set for the team: Authorization: Bearer TOKEN", "no team has this token")
	}
	return policy, nil
}

func (a *Access) ready() error {
	if a.watcher.Revision() == 0 && a.watcher.LeaseUntil().IsZero() {
		return apierr.New(apierr.Unavailable, ReasonNoConfig, "use another gate or come back",
			"this gate has not heard from a keeper yet").WithRetryAfter(configRetryInterval)
	}
	if a.serveStale || a.now().Before(a.watcher.LeaseUntil()) {
		return nil
	}
	return apierr.New(apierr.Unavailable, ReasonLeaseExpired, "use another gate or come back",
		"this gate cannot reach the keepers, its configuration may be out of date").WithRetryAfter(configRetryInterval)
}

// Stale reports whether the gate serves by a configuration that may be out of
// date.
func (a *Access) Stale() bool { return !a.now().Before(a.watcher.LeaseUntil()) }
