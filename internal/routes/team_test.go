package routes_test

import (
	"strings"
	"testing"

	"slateway.example/slateway/internal/routes"
)

func withTeams(teams ...routes.Team) *routes.Document {
	return document(3, func(d *routes.Document) { d.RequiresKey, d.Teams = true, teams })
}

// A key that belongs to two teams would assign a request to an arbitrary one of them.
func TestTeamsThatShareAKeyAreRefused(t *testing.T) {
	shared := withTeams(
		routes.Team{Name: "council", Keys: []routes.KeyHash{routes.HashKey("a"), routes.HashKey("b")}},
		routes.Team{Name: "parish", Keys: []routes.KeyHash{routes.HashKey("b")}},
	)
	refusal := shared.Check()
	if refusal == nil || refusal.Reason != routes.ReasonSharedKey || refusal.Remedy == "" {
		t.Fatalf("%v", refusal)
	}
	twice := withTeams(routes.Team{Name: "council", Keys: []routes.KeyHash{routes.HashKey("a"), routes.HashKey("a")}}, routes.Team{Name: "empty"})
	if refusal := twice.Check(); refusal != nil {
		t.Errorf("a team that lists a key twice was refused: %v", refusal)
	}
}

func TestKeyIdentifiesItsTeam(t *testing.T) {
	m := routes.NewMatcher(withTeams(routes.Team{Name: "council", Keys: []routes.KeyHash{routes.HashKey("a")}, Rate: 5}))
	if team := m.TeamOf("a"); team == nil || team.Name != "council" || team.Rate != 5 {
		t.Errorf("%+v", team)
	}
	for _, key := range []string{"", "b", "A"} {
		if team := m.TeamOf(key); team != nil {
			t.Errorf("key %q belongs to %+v", key, team)
		}
	}
}

// Gates must not receive keys, since they could log or forward them.
func TestGatesAreSentNoKeys(t *testing.T) {
	d := withTeams(routes.Team{Name: "council", Keys: []routes.KeyHash{routes.HashKey("the-secret-key")}})
	d.Source = []byte(`{"tenants":[{"name":"council","api_keys":["the-secret-key"]}]}`)
	packed, err := routes.Pack(d.WithoutSource())
	if err != nil {
		t.Fatal(err)
	}
	unpacked, err := packed.Unpack()
	if err != nil || len(unpacked.Source) > 0 || strings.Contains(string(packed), "the-secret-key") {
		t.Fatalf("%v, source %q", err, unpacked.Source)
	}
	if team := routes.NewMatcher(unpacked).TeamOf("the-secret-key"); team == nil || team.Name != "council" {
		t.Errorf("%+v", team)
	}
}
