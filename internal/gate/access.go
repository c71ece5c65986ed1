// Package gate implements the role of a VM that serves callers. It authenticates and
// routes online requests, and runs the items of batch jobs in the capacity that
// online requests leave free.
package gate

import (
	"strings"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/team"
)

// Reasons for refusing a request before it is routed.
const (
	ReasonUnknownToken  apierr.Reason = "unknown_token"
	ReasonNoConfig      apierr.Reason = "no_configuration"
	ReasonLeaseExpired  apierr.Reason = "configuration_lease_expired"
	configRetryInterval               = time.Second
)

// Access authenticates requests and returns the policy by which they are served.
type Access struct {
	watcher    *keeperclient.Watcher
	serveStale bool
	now        func() time.Time
}

// NewAccess creates an Access that uses the configuration of watcher. With serveStale
// it continues to serve after the configuration lease has expired.
func NewAccess(watcher *keeperclient.Watcher, serveStale bool) *Access {
	return &Access{watcher: watcher, serveStale: serveStale, now: time.Now}
}

// Authenticate returns the policy of the team that owns a bearer token. It refuses all
// requests once the configuration lease has expired, unless the site chose to keep
// serving by the last revision. A change is acknowledged to operators only after the
// leases of unreachable gates have expired, so that no gate serves by a replaced
// revision.
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
		return apierr.New(apierr.Unavailable, ReasonNoConfig, "use another gate or retry later",
			"this gate has not received a configuration from the keepers yet").WithRetryAfter(configRetryInterval)
	}
	if a.serveStale || a.now().Before(a.watcher.LeaseUntil()) {
		return nil
	}
	return apierr.New(apierr.Unavailable, ReasonLeaseExpired, "use another gate or retry later",
		"this gate cannot reach the keepers and its configuration may be out of date").WithRetryAfter(configRetryInterval)
}

// Stale reports whether the configuration may be out of date.
func (a *Access) Stale() bool { return !a.now().Before(a.watcher.LeaseUntil()) }
