package follow

import (
	"errors"
	"math/rand/v2"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/rendezvous"
)

// chooser selects the control VM that a gate follows by rendezvous hashing: gates spread
// evenly over the control VMs, and the gates of a failed one spread over the others. It is
// not safe for concurrent use.
type chooser struct {
	gate     string
	failures map[string]failure
}

// failure is the number of consecutive failures of a control VM and the end of the time in
// which it is skipped.
type failure struct {
	count int
	until time.Time
}

const (
	// minSkipDuration is how long a control VM is skipped after its first failure. The time
	// doubles with each further failure up to maxSkipDuration.
	minSkipDuration = 2 * time.Second
	maxSkipDuration = 64 * time.Second
)

func newChooser(gate string) chooser {
	return chooser{gate: gate, failures: make(map[string]failure)}
}

// recordFailure records that a control VM did not answer.
func (c *chooser) recordFailure(now time.Time, control string) {
	count := c.failures[control].count + 1
	skip := maxSkipDuration
	if shift := count - 1; shift < 8 {
		skip = min(maxSkipDuration, minSkipDuration<<shift)
	}
	c.failures[control] = failure{count: count, until: now.Add(skip)}
}

// recordAnswer records that a control VM answered.
func (c *chooser) recordAnswer(control string) { delete(c.failures, control) }

// choose returns the first choice among the control VMs that are not skipped, or the one
// whose skip time ends first if all are skipped.
func (c *chooser) choose(now time.Time, controls []string) string {
	var available []string
	soonest := ""
	for _, control := range controls {
		switch until := c.failures[control].until; {
		case !until.After(now):
			available = append(available, control)
		case soonest == "" || until.Before(c.failures[soonest].until):
			soonest = control
		}
	}
	if len(available) == 0 {
		return soonest
	}
	return rendezvous.Best(c.gate, available)
}

// backoff paces retries while no control VM answers. Its value is the base of the last
// pause.
type backoff time.Duration

const (
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// next returns the pause before the next request: the larger of the exponential backoff and
// the retry time in err, randomized between 50 % and 150 %, so that gates that lost the same
// control VM do not ask the next one simultaneously.
func (b *backoff) next(err error) time.Duration {
	*b = min(max(2**b, backoff(minRetryPause)), backoff(maxRetryPause))
	requested := time.Duration(0)
	var refusal *apierr.Error
	if errors.As(err, &refusal) {
		requested = refusal.RetryAfter
	}
	pause := max(time.Duration(*b), requested)
	return pause/2 + rand.N(pause)
}
