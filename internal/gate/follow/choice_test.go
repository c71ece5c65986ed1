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

// Guards against hundreds of gates at the few control VMs that their settings name.
func TestGatesSpreadOverTheControlVMs(t *testing.T) {
	const gates = 246
	controls := nineControls()
	count := func(lost string) map[string]int {
		followers := map[string]int{}
		for i := range gates {
			c := newChooser(fmt.Sprint("gate-", i))
			if lost != "" {
				c.failed(start, lost)
			}
			followers[c.choose(start, controls)]++
		}
		return followers
	}
	for _, lost := range []string{"", controls[3]} {
		followers := count(lost)
		for _, control := range controls {
			if mean := gates / 9; control != lost && (followers[control] < mean/2 || followers[control] > mean*2) {
				t.Errorf("lost %q: %d gates follow %s", lost, followers[control], control)
			}
		}
		if followers[lost] > 0 {
			t.Errorf("%d gates follow %s, which does not answer", followers[lost], lost)
		}
	}
}

// Guards against a gate that asks a control VM without an answer again and again, and one that never returns to it.
func TestAControlVMThatFailedIsPassedOverForLongerEachTime(t *testing.T) {
	c := newChooser("gate-1")
	controls := nineControls()
	first := c.choose(start, controls)
	now := start
	for _, passedOver := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
		c.failed(now, first)
		if got := c.choose(now.Add(passedOver-time.Millisecond), controls); got == first {
			t.Errorf("asked again within %s", passedOver)
		}
		now = now.Add(passedOver)
		if got := c.choose(now, controls); got != first {
			t.Errorf("not asked again after %s", passedOver)
		}
	}
	c.answered(first)
	c.failed(now, first)
	if got := c.choose(now.Add(2*time.Second), controls); got != first {
		t.Error("an answer does not end the series")
	}
	for _, control := range controls {
		c.failed(now, control)
	}
	if got := c.choose(now, controls); got == "" {
		t.Error("no control VM is asked when all have failed")
	}
}

// Guards against gates that ask in step after they have lost the same control VM.
func TestQuestionsAreSpacedAtRandomAndAsTheControlVMAsks(t *testing.T) {
	var b backoff
	refusal := apierr.New(apierr.Unavailable, "r", "wait", "not now").WithRetryAfter(300 * time.Millisecond)
	for range 20 {
		var fresh backoff
		if got := fresh.next(refusal); got < 150*time.Millisecond || got > 450*time.Millisecond {
			t.Errorf("asked to wait 300 ms, waits %s", got)
		}
	}
	for range 10 {
		b.next(errors.New("refused"))
	}
	if got := b.next(errors.New("refused")); got < maxRetryPause/2 || got > maxRetryPause*3/2 {
		t.Errorf("waits %s after many failures", got)
	}
}
