package batch

import (
	"sync"
	"time"

	"slateway.example/slateway/internal/apierr"
)

// ReasonItemLeaseExpired is the reason of items that are stopped because another gate
// may have leased them.
const ReasonItemLeaseExpired apierr.Reason = "lease_out"

const (
	// fenceShare is the share of a session's lifetime after which its items are
	// stopped if it is not renewed. The rest covers the time until an attempt that is
	// being sent arrives, and the interval of the checks.
	fenceShare = 0.85
	// fenceChecks is the number of checks of the fence within a session's lifetime.
	fenceChecks = 30
)

// fence tracks whether the gate may still run its leased items. Without it, a gate that
// was frozen or cannot reach the keepers would send items to upstreams after the keepers
// have leased them to other gates or acknowledged the end of their jobs. It expires
// before the keepers end the session: it measures from the sending of the last
// successful renewal, the keepers from a later time.
type fence struct {
	lifetime time.Duration // of a session; zero: the fence never expires

	mu      sync.Mutex
	renewed time.Time // when the last successful renewal was sent
}

// renew records that a renewal sent at that time succeeded.
func (f *fence) renew(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renewed = sent
}

// invalidate records that the keepers have ended the session.
func (f *fence) invalidate() { f.renew(time.Time{}) }

// valid reports whether items may run at that time.
func (f *fence) valid(now time.Time) bool {
	if f.lifetime <= 0 {
		return true
	}
	return f.age(now) < time.Duration(fenceShare*float64(f.lifetime))
}

// age returns the time since the session was renewed.
func (f *fence) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.renewed)
}

func leaseExpired() *apierr.Error {
	return apierr.New(apierr.Unavailable, ReasonItemLeaseExpired, "see why the gate could not renew its session with the keepers",
		"the gate's lease of the item may have expired").WithRan(apierr.RanUnknown)
}
