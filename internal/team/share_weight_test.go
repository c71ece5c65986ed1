package team_test

import (
	"strings"
	"testing"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/team"
)

// A weight of zero would starve a team, and one that is not a number would break the order of
// all teams. The error must name the setting and a value that works.
func TestShareWeightIsChecked(t *testing.T) {
	for weight, want := range map[string]float64{"": 1, "share_weight = 2.5": 2.5, "share_weight = 100": 100, "share_weight = 0.01": 0.01} {
		template := parse(t, "name = \"a\"\n[online]\n"+weight)
		policy, err := team.Resolve(&template, &team.Team{Name: "council", Template: "a"})
		if err != nil || policy.Online.ShareWeight != want {
			t.Errorf("%q: weight %g, %v", weight, policy.Online.ShareWeight, err)
		}
	}
	for _, weight := range []string{"0", "-1", "100.5", "nan", "inf", `"much"`} {
		_, err := team.ParseTemplate("", []byte("name = \"a\"\n[online]\nshare_weight = "+weight))
		if err == nil || !strings.Contains(err.Error(), "online.share_weight") || !strings.Contains(err.Error(), "at most 100") {
			t.Errorf("%s: %v", weight, err)
		}
	}
	byTeam := parse(t, "name = \"a\"\n[[parameters]]\nname = \"weight\"\ntype = \"number\"\ndefault = 1\n[online]\nshare_weight = \"${weight}\"")
	_, err := team.Resolve(&byTeam, &team.Team{Name: "council", Template: "a", Values: []team.Value{{Name: "weight", Value: "0"}}})
	if err == nil || !strings.Contains(err.Error(), "online.share_weight") {
		t.Errorf("a team's weight of 0: %v", err)
	}
}

// Keepers of an older build must store the same bytes of a template without a weight, because
// replicas are compared by checksum.
func TestATemplateWithoutAWeightIsStoredAsBefore(t *testing.T) {
	if data := codec.MustMarshal(parse(t, templateText)); strings.Contains(string(data), "ShareWeight") {
		t.Error("the stored form has the weight that is not set")
	}
}
