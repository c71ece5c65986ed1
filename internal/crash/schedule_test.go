package crash_test

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/route"
)

// guild is a site of today's size under load: seven gates, nine replicas.
func guild(seed uint64) schedule {
	return schedule{
		seed: seed, gates: 7, replicas: 9, sound: 35, harmful: 10, from: 3 * time.Second, until: 25 * time.Second, end: 30 * time.Second,
		restart: 3 * time.Second,
	}
}

// maxAfterFifth is how many requests with a part may reach replicas, later than the contact window
// after the fifth of them has ended, from gates in touch.
const maxAfterFifth = 3

// Guards against requests that share nothing but a part of their prompts and crash one replica
// after the other, with sound requests beside them.
func TestRequestsThatShareAHarmfulPartAreStopped(t *testing.T) {
	w := newWorld(guild(1))
	w.run()
	t.Logf("%d processes ended, %d harmful requests sent, %d after the fifth death and the window", len(w.deaths), w.sends, w.afterFifth)
	if w.afterFifth > maxAfterFifth {
		t.Errorf("%d requests with the part reached replicas, %d may", w.afterFifth, maxAfterFifth)
	}
	if len(w.deaths) == 0 {
		t.Fatal("no process ended")
	}
	from := w.deaths[min(len(w.deaths), 5)-1].Add(2 * contactWindow)
	sent, begun := w.beganAtFirst(from, w.began.Add(w.until))
	t.Logf("%d of %d sound requests began at the first attempt", begun, sent)
	if float64(begun) < 0.9*float64(sent) {
		t.Errorf("%d of %d sound requests began at the first attempt", begun, sent)
	}
}

// Guards against sound requests that are refused, some in the middle of their answer, because
// they were on replicas that harmful ones have ended.
func TestSoundRequestsBesideHarmfulOnesAreNotRefusedAsHarmful(t *testing.T) {
	w := newWorld(guild(2))
	w.run()
	if refused := w.refusedSound(route.ReasonPoison); len(refused) > 0 {
		t.Errorf("%d sound requests were refused as harmful, among them %s", len(refused), refused[0].id)
	}
}
