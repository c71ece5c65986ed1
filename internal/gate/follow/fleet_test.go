package follow

import (
	"testing"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/roster"
)

// A gate that goes on with an older list of members sends load reports to gates that are
// gone, and lists them to callers.
func TestMembersFollowTheGates(t *testing.T) {
	f := New(Options{Gate: roster.Gate{VM: "gate-1"}})
	apply := func(changes roster.Changes) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.applyGates(&controlapi.FollowResponse{Changes: changes}, false)
	}
	expect := func(want ...string) {
		t.Helper()
		members := f.Fleet().Members()
		if len(members) != len(want) {
			t.Fatalf("%d members, want %v", len(members), want)
		}
		for i, m := range members {
			if m.VM.Name != want[i] || m.Self != (want[i] == "gate-1") {
				t.Errorf("member %d is %s (self: %t), want %s", i, m.VM.Name, m.Self, want[i])
			}
		}
	}
	expect()
	apply(roster.Changes{HasGates: true, Gates: []roster.Gate{{VM: "gate-1"}, {VM: "gate-2"}}})
	expect("gate-1", "gate-2")
	apply(roster.Changes{Gates: []roster.Gate{{VM: "gate-3"}}, GatesGone: []string{"gate-2"}})
	expect("gate-1", "gate-3")
}
