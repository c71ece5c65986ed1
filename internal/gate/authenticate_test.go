package gate_test

import (
	"errors"
	"testing"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate"
	"slateway.example/slateway/internal/routes"
)

// withTeams returns routes in which one team has the given keys.
func withTeams(version uint64, keys ...string) *routes.Matcher {
	team := routes.Team{Name: "council"}
	for _, key := range keys {
		team.Keys = append(team.Keys, routes.HashKey(key))
	}
	return routes.NewMatcher(&routes.Document{Version: version, RequiresKey: true, Teams: []routes.Team{team}})
}

// Guards against the final refusal of a key that has just been added.
func TestAKeyIsLookedUpInTheNewestRoutesBeforeItIsRefused(t *testing.T) {
	s := newSource()
	s.matcher.Store(withTeams(3, "old"))
	s.confirming = func() { s.matcher.Store(withTeams(4, "old", "new")) }
	front, _ := newRouted(s)
	team, refusal := front.Authenticate(t.Context(), "r1", "new", false)
	if refusal != nil || team.Name != "council" {
		t.Fatalf("%+v, %v", team, refusal)
	}
}

// Guards against a final refusal by a gate that cannot tell whether the key is new.
func TestAKeyThatCannotBeConfirmedIsNotRefusedForGood(t *testing.T) {
	s := newSource()
	s.matcher.Store(withTeams(3, "old"))
	s.unconfirmed = errors.New("no control VM answers")
	front, _ := newRouted(s)
	_, refusal := front.Authenticate(t.Context(), "r1", "new", false)
	if refusal == nil || refusal.Kind != apierr.Unavailable || refusal.RetryAfter == 0 || refusal.Ran != apierr.RanNo {
		t.Fatalf("%+v", refusal)
	}
}

// Guards against a call to the control VMs for each request with a known key or none.
func TestOnlyUnknownKeysAreAskedFor(t *testing.T) {
	s := newSource()
	s.matcher.Store(withTeams(3, "old"))
	asked := 0
	s.confirming = func() { asked++ }
	front, _ := newRouted(s)
	for key, want := range map[string]apierr.Reason{"old": "", "": gate.ReasonNoKey, "nobody": gate.ReasonUnknownKey} {
		_, refusal := front.Authenticate(t.Context(), "r1", key, false)
		if (refusal == nil) != (want == "") || refusal != nil && refusal.Reason != want {
			t.Errorf("%q: %v", key, refusal)
		}
	}
	if asked != 1 {
		t.Errorf("confirmed the routes %d times, want once", asked)
	}
}

// Guards against the refusal of requests without a key if the routes have no teams.
func TestWhereThereAreNoTeamsNoKeyIsNeeded(t *testing.T) {
	s := newSource()
	s.publishRoutes()
	front, _ := newRouted(s)
	if team, refusal := front.Authenticate(t.Context(), "r1", "anything", false); refusal != nil || team.Name != "" {
		t.Fatalf("%+v, %v", team, refusal)
	}
}
