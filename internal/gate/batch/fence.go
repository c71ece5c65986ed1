package batch

import (
	"sync"
	"time"

	"slateway.example/slateway/internal/apierr"
)

// ReasonItemLeaseExpired is why an item is stopped that other gates may hold by now.
const ReasonItemLeaseExpired apierr.Reason = "lease_out"

const (
	// fenceShare is the part of a session's lifetime after which its items stop
	// without a renewal. The rest covers the way of an attempt that is just being
	// sent and the pace at which the fence is looked at.
	fenceShare = 0.85
	// fenceChecks is how often the fence is looked at in a session's lifetime.
	fenceChecks = 30
)

// fence says whether the gate may still run the items that it has leased.
//
// It guards against a gate that cannot reach the keepers, or was frozen. They
// end its session and lease its items to others, and they acknowledge the end
// of jobs, while the gate goes on sending the items to upstreams. The fence
// counts from the moment at which the last successful renewal was sent. The
// keepers count from a later one, so it closes before they end the session.
type fence struct {
	lifetime time.Duration // of a session; zero: there is no fence

	mu      sync.Mutex
	renewed time.Time // when the last successful renewal was sent
}

// renew notes that a renewal sent at that time succeeded.
func (f *fence) renew(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renewed = sent
}

// invalidate says that the keepers have ended the session.
func (f *fence) invalidate() { f.renew(time.Time{}) }

// valid reports whether items may run at that time.
func (f *fence) valid(now time.Time) bool {
	if f.lifetime <= 0 {
		return true
	}
	return f.age(now) < time.Duration(fenceShare*float64(f.lifetime))
}

// age is how long ago the session was renewed.
func (f *fence) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.renewed)
}

func leaseExpired() *apierr.Error {
	return apierr.New(apierr.Unavailable, ReasonItemLeaseExpired, "see why the gate could not renew its session with the keepers",
		"the gate may no longer hold the item").WithRan(apierr.RanUnknown)
}
