package follow

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"slateway.example/slateway/internal/apierr"
)

var start = time.Unix(1_000_000, 0)

func nineControls() []string {
	var controls []string
	for i := range 9 {
		controls = append(controls, fmt.Sprintf("10.0.0.%d:7660", i))
	}
	return controls
}

// Hundreds of gates must spread over all control VMs instead of staying at the few that
// their settings name.
func TestGatesSpreadOverTheControlVMs(t *testing.T) {
	const gates = 246
	controls := nineControls()
	count := func(lost string) map[string]int {
		followers := map[string]int{}
		for i := range gates {
			c := newChooser(fmt.Sprint("gate-", i))
			if lost != "" {
				c.recordFailure(start, lost)
			}
			followers[c.choose(start, controls)]++
		}
		return followers
	}
	for _, lost := range []string{"", controls[3]} {
		followers := count(lost)
		for _, control := range controls {
			if mean := gates / 9; control != lost && (followers[control] < mean/2 || followers[control] > mean*2) {
				t.Errorf("with %q lost, %d gates follow %s", lost, followers[control], control)
			}
		}
		if followers[lost] > 0 {
			t.Errorf("%d gates follow %s, which has failed", followers[lost], lost)
		}
	}
}

// A gate must not ask a failed control VM again and again, and must return to it once it
// answers.
func TestAControlVMThatFailedIsPassedOverForLongerEachTime(t *testing.T) {
	c := newChooser("gate-1")
	controls := nineControls()
	first := c.choose(start, controls)
	now := start
	for _, skipped := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
		c.recordFailure(now, first)
		if got := c.choose(now.Add(skipped-time.Millisecond), controls); got == first {
			t.Errorf("the failed control VM is chosen again within %s", skipped)
		}
		now = now.Add(skipped)
		if got := c.choose(now, controls); got != first {
			t.Errorf("the failed control VM is not chosen again after %s", skipped)
		}
	}
	c.recordAnswer(first)
	c.recordFailure(now, first)
	if got := c.choose(now.Add(2*time.Second), controls); got != first {
		t.Error("an answer does not reset the skip time")
	}
	for _, control := range controls {
		c.recordFailure(now, control)
	}
	if got := c.choose(now, controls); got == "" {
		t.Error("no control VM is chosen when all have failed")
	}
}

// Gates that lost the same control VM must not ask the next one simultaneously.
func TestQuestionsAreSpacedAtRandomAndAsTheControlVMAsks(t *testing.T) {
	var b backoff
	refusal := apierr.New(apierr.Unavailable, "r", "wait", "not now").WithRetryAfter(300 * time.Millisecond)
	for range 20 {
		var fresh backoff
		if got := fresh.next(refusal); got < 150*time.Millisecond || got > 450*time.Millisecond {
			t.Errorf("the pause is %s after a refusal with a retry time of 300 ms", got)
		}
	}
	for range 10 {
		b.next(errors.New("refused"))
	}
	if got := b.next(errors.New("refused")); got < maxRetryPause/2 || got > maxRetryPause*3/2 {
		t.Errorf("the pause is %s after many failures", got)
	}
}
