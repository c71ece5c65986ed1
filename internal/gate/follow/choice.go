package follow

import (
	"errors"
	"math/rand/v2"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/rendezvous"
)

// chooser picks the control VM that a gate follows by rendezvous hashing: the gates
// spread evenly over the control VMs, and when one fails its gates spread over the
// others. It is not safe for concurrent use.
type chooser struct {
	gate     string
	failures map[string]failure
}

// failure says how often in a row a control VM did not answer, and until when it
// is passed over.
type failure struct {
	count int
	until time.Time
}

const (
	// minPassOver is how long a control VM that failed is passed over at first, it
	// doubles with each failure up to maxPassOver.
	minPassOver = 2 * time.Second
	maxPassOver = 64 * time.Second
)

func newChooser(gate string) chooser {
	return chooser{gate: gate, failures: make(map[string]failure)}
}

// failed notes that a control VM did not answer.
func (c *chooser) failed(now time.Time, control string) {
	count := c.failures[control].count + 1
	passOver := maxPassOver
	if shift := count - 1; shift < 8 {
		passOver = min(maxPassOver, minPassOver<<shift)
	}
	c.failures[control] = failure{count: count, until: now.Add(passOver)}
}

// answered notes that a control VM answered.
func (c *chooser) answered(control string) { delete(c.failures, control) }

// choose gives the first choice among the control VMs that are not passed over,
// or the one whose time is over first.
func (c *chooser) choose(now time.Time, controls []string) string {
	var able []string
	soonest := ""
	for _, control := range controls {
		switch until := c.failures[control].until; {
		case !until.After(now):
			able = append(able, control)
		case soonest == "" || until.Before(c.failures[soonest].until):
			soonest = control
		}
	}
	if len(able) == 0 {
		return soonest
	}
	return rendezvous.Best(c.gate, able)
}

// backoff paces the questions that no control VM has answered. It is the pause
// before the last one.
type backoff time.Duration

const (
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// next gives the pause before the next question: at least what the control VM
// asked for, and random within a factor of two, so that gates which lost the same
// control VM do not ask the next one in step.
func (b *backoff) next(err error) time.Duration {
	*b = min(max(2**b, backoff(minRetryPause)), backoff(maxRetryPause))
	asked := time.Duration(0)
	var refusal *apierr.Error
	if errors.As(err, &refusal) {
		asked = refusal.RetryAfter
	}
	pause := max(time.Duration(*b), asked)
	return pause/2 + rand.N(pause)
}
