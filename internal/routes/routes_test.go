package routes_test

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/routes"
)

func document(version uint64, change func(*routes.Document)) *routes.Document {
	d := &routes.Document{
		Version:  version,
		Services: []routes.Service{{Name: "wordroom"}, {Name: "pagedesk"}},
		Routes: []routes.Route{
			{Name: "short", Host: "news.example", Prefix: "/a/", Kind: routes.Idempotent, Timeout: time.Second, Split: []routes.Share{{Service: "wordroom", Weight: 1}}},
			{Name: "long", Host: "news.example", Prefix: "/a/b/", Kind: routes.Streaming, Timeout: time.Second, Split: []routes.Share{{Service: "wordroom", Weight: 90}, {Service: "pagedesk", Weight: 10}}},
		},
	}
	if change != nil {
		change(d)
	}
	return d
}

// Two operators use the same version, an older document arrives late, and a document
// is resent after its answer was lost. All must be acknowledged, while the content
// of the current version never changes and the version never decreases.
func TestHighestVersionIsInForceUnchanged(t *testing.T) {
	r := &routes.Registry{}
	if outcome := r.Replace(document(7, nil)); !outcome.Applied || outcome.Current != 7 {
		t.Fatalf("%+v", outcome)
	}
	other := document(7, func(d *routes.Document) { d.Routes = d.Routes[:1] })
	for name, d := range map[string]*routes.Document{"same again": document(7, nil), "other content": other, "older": document(3, nil)} {
		if outcome := r.Replace(d); outcome.Refusal != nil || outcome.Applied || outcome.Current != 7 {
			t.Errorf("%s: %+v", name, outcome)
		}
	}
	if len(r.Current().Routes) != 2 {
		t.Fatal("the content of version 7 changed")
	}
	restored, err := routes.Restore(r.Snapshot())
	if err != nil || restored.Current().Version != 7 || len(restored.Current().Routes) != 2 {
		t.Fatalf("restored %+v, %v", restored, err)
	}
	if outcome := restored.Replace(document(9, nil)); !outcome.Applied {
		t.Fatalf("%+v", outcome)
	}
}

func TestInvalidDocumentsAreRefusedWithTheirReason(t *testing.T) {
	cases := map[apierr.Reason]func(*routes.Document){
		routes.ReasonNoVersion:       func(d *routes.Document) { d.Version = 0 },
		routes.ReasonUnknownService:  func(d *routes.Document) { d.Services = d.Services[:1] },
		routes.ReasonDuplicatePrefix: func(d *routes.Document) { d.Routes[1].Prefix = "/a/"; d.Routes[1].Host = "NEWS.example:80" },
		routes.ReasonNoTimeout:       func(d *routes.Document) { d.Routes[0].Timeout = 0 },
		routes.ReasonBadRoute:        func(d *routes.Document) { d.Routes[0].Kind = "other" },
		routes.ReasonNoWeight: func(d *routes.Document) {
			d.Routes[1].Split[0].Weight = 0
			d.Routes[1].Split[1].Weight = 0
		},
	}
	for reason, change := range cases {
		r := &routes.Registry{}
		outcome := r.Replace(document(7, change))
		if outcome.Refusal == nil || outcome.Refusal.Reason != reason || outcome.Refusal.Kind != apierr.Invalid {
			t.Errorf("%s: %+v", reason, outcome)
		}
		if r.Current().Version != 0 {
			t.Errorf("%s: the refused document is in force", reason)
		}
	}
}

func TestTheLongestPrefixMatches(t *testing.T) {
	m := routes.NewMatcher(document(7, nil))
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/bx": "short", "/b/": "", "/a": ""} {
		route := m.Match("News.Example:8080", path)
		if got := nameOf(route); got != want {
			t.Errorf("%s: %q, want %q", path, got, want)
		}
	}
	if m.Match("other.example", "/a/x") != nil || m.HasHost("other.example") {
		t.Error("another host matched")
	}
}

func nameOf(r *routes.Route) string {
	if r == nil {
		return ""
	}
	return r.Name
}

func TestPickFollowsWeightsAndSkipsUnusableServices(t *testing.T) {
	route := &document(7, nil).Routes[1]
	all := func(string) bool { return true }
	counts := map[string]int{}
	for i := range 1000 {
		counts[route.Pick(float64(i)/1000, all)]++
	}
	if counts["wordroom"] != 900 || counts["pagedesk"] != 100 {
		t.Fatalf("picked %v", counts)
	}
	only := func(service string) bool { return service == "pagedesk" }
	if got := route.Pick(0.1, only); got != "pagedesk" {
		t.Fatalf("picked %q", got)
	}
	if got := route.Pick(0.1, func(string) bool { return false }); got != "wordroom" {
		t.Fatalf("picked %q without a usable service", got)
	}
}
