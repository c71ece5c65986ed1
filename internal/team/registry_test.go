package team_test

import (
	"flag"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/team"
)

// The seed is fixed to make runs reproducible. For a longer search use
// -rapid.seed=0 -rapid.checks=20000.
func init() { _ = flag.Set("rapid.seed", "1") }

const templateText = `
name = "newsdesk"
[[parameters]]
name = "rate"
type = "integer"
default = 10
min = 1
max = 100
[[parameters]]
name = "model"
type = "string"
choices = ["wordroom-7b", "wordroom-70b"]
[[models]]
name = "${model}"
service = "wordroom"
[online]
requests_per_second = "${rate}"
deadline = "5s"
[batch]
policy = "tail"
headroom = 0.25
`

func parse(t testing.TB, text string) team.Template {
	template, err := team.ParseTemplate("", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return template
}

func TestResolve(t *testing.T) {
	template := parse(t, templateText)
	council := &team.Team{Name: "council", Template: "newsdesk", Values: []team.Value{{Name: "model", Value: "wordroom-7b"}}}
	policy, err := team.Resolve(&template, council)
	if err != nil {
		t.Fatal(err)
	}
	if model, found := policy.Model("wordroom-7b"); !found || model.Service != "wordroom" {
		t.Errorf("models %v", policy.Models)
	}
	if policy.Online.RequestsPerSecond != 10 || policy.Online.Deadline != 5*time.Second {
		t.Errorf("online %+v", policy.Online)
	}
	if policy.Batch.Mode != team.BatchTail || policy.Batch.Headroom != 0.25 {
		t.Errorf("batch %+v", policy.Batch)
	}
	for _, values := range [][]team.Value{
		nil,                               // no value for a parameter without a default
		{{Name: "model", Value: "other"}}, // not a choice
		{{Name: "model", Value: "wordroom-7b"}, {Name: "rate", Value: "101"}}, // out of bounds
		{{Name: "model", Value: "wordroom-7b"}, {Name: "rate", Value: "ten"}}, // wrong type
		{{Name: "model", Value: "wordroom-7b"}, {Name: "speed", Value: "1"}},  // no such parameter
	} {
		if _, err := team.Resolve(&template, &team.Team{Name: "x", Values: values}); err == nil {
			t.Errorf("values %v were accepted", values)
		}
	}
}

func TestParseTemplateRefuses(t *testing.T) {
	for name, text := range map[string]string{
		"unknown key":       "name = \"a\"\nmodle = 1",
		"bad name":          "name = \"a b\"",
		"unknown parameter": "name = \"a\"\n[online]\nburst = \"${b}\"",
		"default too high":  "name = \"a\"\n[[parameters]]\nname = \"p\"\ntype = \"integer\"\ndefault = 5\nmax = 4",
		"setting too high":  "name = \"a\"\n[batch]\nheadroom = 1.5",
		"unknown policy":    "name = \"a\"\n[batch]\npolicy = \"fast\"",
	} {
		_, err := team.ParseTemplate("", []byte(text))
		if apierr.ReasonOf(err) != team.ReasonInvalidTemplate || err == nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// machine runs random operations on a Registry and the View of a gate.
type machine struct {
	registry *team.Registry
	view     *team.View
	template team.Template
	sent     []team.Change
	answers  map[string]team.Outcome
	winners  map[string]string // ID of the accepted change, by object and base revision
	accepted uint64
	updates  []team.Update // answers in transit to the gate
}

func (m *machine) change(t *rapid.T) {
	change := team.Change{ID: fmt.Sprint("c", len(m.sent)), Operator: rapid.SampledFrom([]string{"ann", "ben"}).Draw(t, "operator")}
	name := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team")
	current, found := m.registry.Team(name)
	if found {
		change.BaseRevision = current.Revision
	}
	if rapid.Bool().Draw(t, "stale") {
		change.BaseRevision = uint64(rapid.IntRange(0, int(m.accepted)).Draw(t, "base"))
	}
	if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
		change.DeleteTeam = name
	} else {
		rate := fmt.Sprint(rapid.IntRange(1, 110).Draw(t, "rate"))
		change.PutTeam = &team.Team{
			Name: name, Template: m.template.Name,
			Values: []team.Value{{Name: "model", Value: "wordroom-7b"}, {Name: "rate", Value: rate}},
		}
		if token := rapid.SampledFrom([]string{"", "1", "2", "3"}).Draw(t, "token"); token != "" {
			change.PutTeam.Tokens = []team.TokenHash{team.HashToken(token)}
		}
	}
	m.send(t, change, name)
}

func (m *machine) send(t *rapid.T, change team.Change, name string) {
	outcome := m.registry.Apply(change)
	m.sent = append(m.sent, change)
	m.answers[change.ID] = outcome
	if outcome.Refusal != nil {
		return
	}
	m.accepted++
	if outcome.Revision != m.accepted {
		t.Fatalf("accepted change %d got revision %d", m.accepted, outcome.Revision)
	}
	// Base revision 0 creates an object and can be used again after its deletion.
	if change.BaseRevision > 0 {
		base := fmt.Sprint(name, "/", change.BaseRevision)
		if winner, found := m.winners[base]; found {
			t.Fatalf("changes %s and %s were both accepted from base %s", winner, change.ID, base)
		}
		m.winners[base] = change.ID
	}
}

func (m *machine) resend(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("no change")
	}
	change := rapid.SampledFrom(m.sent).Draw(t, "change")
	if again := m.registry.Apply(change); !reflect.DeepEqual(again, m.answers[change.ID]) {
		t.Fatalf("resent change %s got %+v after %+v", change.ID, again, m.answers[change.ID])
	}
	change.Operator += "-other"
	if reused := m.registry.Apply(change); reused.Refusal == nil || reused.Refusal.Reason != team.ReasonChangeIDReused {
		t.Fatalf("another change under ID %s got %+v", change.ID, reused)
	}
}

func (m *machine) restart(t *rapid.T) {
	data, err := m.registry.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if m.registry, err = team.RestoreRegistry(data); err != nil {
		t.Fatal(err)
	}
}

func (m *machine) ask(*rapid.T) { m.updates = append(m.updates, m.registry.Since(m.view.Revision())) }

func (m *machine) askFull(*rapid.T) { m.updates = append(m.updates, m.registry.FullUpdate()) }

// answer delivers any earlier answer to the gate, possibly late or repeatedly.
func (m *machine) answer(t *rapid.T) {
	if len(m.updates) == 0 {
		t.Skip("no answer")
	}
	before := m.view.Revision()
	m.view.Apply(rapid.SampledFrom(m.updates).Draw(t, "update"))
	if m.view.Revision() < before {
		t.Fatalf("the gate returned from revision %d to %d", before, m.view.Revision())
	}
}

// check compares the gate's view with the registry when both have the same revision.
func (m *machine) check(t *rapid.T) {
	if m.view.Revision() != m.registry.Revision() {
		return
	}
	for _, name := range []string{"x", "y"} {
		stored, found := m.registry.Team(name)
		policy, resolved := m.view.Policy(name)
		if found != resolved {
			t.Fatalf("team %s: in the registry %v, at the gate %v", name, found, resolved)
		}
		if !found {
			continue
		}
		want, err := team.Resolve(&m.template, &stored.Team)
		if err != nil || !reflect.DeepEqual(*policy, want) {
			t.Fatalf("team %s: %v, at the gate %+v, in the registry %+v", name, err, *policy, want)
		}
	}
}

// Of changes with the same base revision exactly one is accepted. A resent change
// gets the first answer, even after a restart. A gate never returns to an earlier
// revision, in whatever order answers arrive.
//
// Without these checks the test fails as follows: the stored answers in Apply,
// "resent change ... got"; the base revision in decide, "were both accepted"; the
// comparison of revisions in View.Apply, "the gate returned".
func TestChangesInAnyOrder(t *testing.T) {
	template := parse(t, templateText)
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			registry: team.NewRegistry(), view: team.NewView(), template: template,
			answers: make(map[string]team.Outcome), winners: make(map[string]string),
		}
		m.send(t, team.Change{ID: "first", PutTemplate: &template}, "template")
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "change": m.change, "change2": m.change, "resend": m.resend, "restart": m.restart,
			"ask": m.ask, "askFull": m.askFull, "answer": m.answer, "answer2": m.answer,
		})
	})
}

func TestConflictReturnsTheWinner(t *testing.T) {
	registry := team.NewRegistry()
	template := parse(t, templateText)
	registry.Apply(team.Change{ID: "c1", Operator: "ann", PutTemplate: &template})
	refused := registry.Apply(team.Change{ID: "c2", Operator: "ben", PutTemplate: &template})
	want := &team.Winner{ChangeID: "c1", Operator: "ann", Revision: 1}
	if !reflect.DeepEqual(refused.Winner, want) || !strings.Contains(refused.Refusal.Message, "c1") {
		t.Fatalf("outcome %+v", refused)
	}
	registry.Apply(team.Change{ID: "c3", Operator: "ann", BaseRevision: 1, DeleteTemplate: "newsdesk"})
	refused = registry.Apply(team.Change{ID: "c4", Operator: "ben", BaseRevision: 1, PutTemplate: &template})
	if refused.Winner == nil || refused.Winner.ChangeID != "c3" {
		t.Fatalf("after a deletion: %+v", refused)
	}
}

func TestTemplateChangeMustSatisfyItsTeams(t *testing.T) {
	registry := team.NewRegistry()
	template := parse(t, templateText)
	registry.Apply(team.Change{ID: "c1", PutTemplate: &template})
	values := []team.Value{{Name: "model", Value: "wordroom-7b"}, {Name: "rate", Value: "90"}}
	registry.Apply(team.Change{ID: "c2", PutTeam: &team.Team{Name: "council", Template: "newsdesk", Values: values}})
	narrow := parse(t, strings.Replace(templateText, "max = 100", "max = 50", 1))
	if outcome := registry.Apply(team.Change{ID: "c3", BaseRevision: 1, PutTemplate: &narrow}); outcome.Refusal == nil {
		t.Fatal("a template that an existing team's values do not satisfy was accepted")
	}
	if outcome := registry.Apply(team.Change{ID: "c4", BaseRevision: 1, DeleteTemplate: "newsdesk"}); outcome.Refusal == nil {
		t.Fatal("a template in use was deleted")
	}
}
