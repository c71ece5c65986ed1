package origin_test

import (
	"fmt"
	"testing"
	"time"

	"slateway.example/slateway/internal/origin"
	"slateway.example/slateway/internal/upstream"
)

var start = time.Unix(2_000_000, 0)

func announced(id, build string, incarnation uint64) *upstream.Announcement {
	return &upstream.Announcement{Service: service, Replica: upstream.ReplicaID(id), Build: build, Incarnation: incarnation}
}

// history returns a History that has known one replica of v1 for longer than a window.
func history() (*origin.History, time.Time) {
	h := origin.NewHistory(start)
	h.Announced(start, announced("r1", "v1", 1))
	now := start.Add(2 * window)
	h.Confirm(now)
	return h, now
}

func TestSoleBuild(t *testing.T) {
	check := func(name string, wanted origin.Doubt, change func(h *origin.History, now *time.Time)) {
		t.Run(name, func(t *testing.T) {
			h, now := history()
			change(h, &now)
			build, doubt := h.Sole(now, service, window)
			if doubt != wanted || (doubt == "" && build != "v1") {
				t.Errorf("build %q, doubt %q, want %q", build, doubt, wanted)
			}
		})
	}
	check("one build for longer than the window", "", func(*origin.History, *time.Time) {})
	check("two builds serve", origin.DoubtSeveral, func(h *origin.History, now *time.Time) { h.Announced(*now, announced("r2", "v2", 1)) })
	check("a replica has restarted with another build", origin.DoubtSeveral, func(h *origin.History, now *time.Time) { h.Announced(*now, announced("r1", "v2", 2)) })
	check("another build left within the window", origin.DoubtSeveral, func(h *origin.History, now *time.Time) {
		h.Announced(*now, announced("r2", "v2", 1))
		h.Withdrawn(*now, "r2", 1)
		*now = now.Add(window)
		h.Confirm(*now)
	})
	check("another build left before the window", "", func(h *origin.History, now *time.Time) {
		h.Announced(*now, announced("r2", "v2", 1))
		h.Withdrawn(*now, "r2", 1)
		*now = now.Add(window + time.Second)
		h.Confirm(*now)
	})
	check("a late announcement of an ended process", "", func(h *origin.History, now *time.Time) {
		h.Announced(*now, announced("r1", "v1", 3))
		h.Announced(*now, announced("r1", "v2", 2))
	})
	check("a late withdrawal of an ended process", "", func(h *origin.History, now *time.Time) {
		h.Announced(*now, announced("r1", "v1", 3))
		h.Withdrawn(*now, "r1", 2)
		*now = now.Add(origin.Memory + time.Second)
		h.Confirm(*now)
	})
	check("cut off from the control VMs", origin.DoubtOld, func(_ *origin.History, now *time.Time) { *now = now.Add(origin.MaxConfirmAge + time.Millisecond) })
	check("another service has two builds", "", func(h *origin.History, now *time.Time) {
		h.Announced(*now, &upstream.Announcement{Service: "other", Replica: "r8", Build: "v7"})
	})
}

func TestHistoryOfAGateThatHasJustStarted(t *testing.T) {
	h := origin.NewHistory(start)
	h.Announced(start, announced("r1", "v1", 1))
	h.Confirm(start)
	if _, doubt := h.Sole(start, service, window); doubt != origin.DoubtYoung {
		t.Errorf("doubt %q without a history", doubt)
	}
	h.Remember(start, []origin.Past{{Service: service, Build: "v1"}}, time.Minute)
	if build, doubt := h.Sole(start, service, window); doubt != "" || build != "v1" {
		t.Errorf("build %q, doubt %q with the history of a control VM", build, doubt)
	}
	h.Remember(start, []origin.Past{{Service: service, Build: "v0", Age: window / 2}}, time.Minute)
	if _, doubt := h.Sole(start, service, window); doubt != origin.DoubtSeveral {
		t.Errorf("doubt %q with a build that left before the gate started", doubt)
	}
}

func gatesIn(places, each int) []origin.Gate {
	var gates []origin.Gate
	for i := range places * each {
		gates = append(gates, origin.Gate{ID: fmt.Sprint("gate-", i), Place: fmt.Sprint("place-", i%places)})
	}
	return gates
}

func TestHoldersAreInDifferentPlaces(t *testing.T) {
	for n := range 200 {
		request := fmt.Sprint("request-", n)
		places := map[string]bool{}
		for _, g := range origin.Rank(request, gatesIn(3, 80), origin.Holders) {
			places[g.Place] = true
		}
		if len(places) != 3 {
			t.Fatalf("%s: the holders are in %d places", request, len(places))
		}
	}
	if ranked := origin.Rank("r", gatesIn(1, 2), origin.Asked); len(ranked) != 2 {
		t.Errorf("%d of 2 gates are asked", len(ranked))
	}
}

// Guards against records that are not found after a third of the gates, or all gates of a
// place, were killed: some as holders, some no longer listed, some back and empty.
func TestRecordsAreFoundAfterGatesWereKilled(t *testing.T) {
	for name, killed := range map[string]func(n int, g origin.Gate) bool{
		"a third":        func(n int, g origin.Gate) bool { return (n+int(g.ID[len(g.ID)-1]))%3 == 0 },
		"all of a place": func(_ int, g origin.Gate) bool { return g.Place == "place-1" },
		"one":            func(n int, g origin.Gate) bool { return g.ID == fmt.Sprint("gate-", n%9) },
	} {
		for copies := 1; copies <= origin.Holders; copies++ {
			share := shareFound(copies, killed)
			t.Logf("%s of nine gates killed, %d copies: %.3f of the records are found", name, copies, share)
			if copies == origin.Holders && share < 0.9 {
				t.Errorf("%s killed: %.3f of the records are found", name, share)
			}
		}
	}
}

// shareFound returns the share of requests whose record a gate finds that has not been killed.
func shareFound(copies int, killed func(n int, g origin.Gate) bool) float64 {
	const requests = 3000
	gates := gatesIn(3, 3)
	found := 0
	for n := range requests {
		request := fmt.Sprint("request-", n)
		holds := map[string]bool{}
		for _, g := range origin.Rank(request, gates, copies) {
			holds[g.ID] = !killed(n, g)
		}
		var listed []origin.Gate
		for i, g := range gates {
			if !killed(n, g) || i%2 == 0 {
				listed = append(listed, g)
			}
		}
		for _, g := range origin.Rank(request, listed, origin.Asked) {
			if holds[g.ID] {
				found++
				break
			}
		}
	}
	return float64(found) / requests
}

func TestRecordsAreBounded(t *testing.T) {
	r := origin.NewRecords(start)
	for n := range 200_000 {
		r.Put(start, fmt.Sprint(n), origin.Record{Service: service, Build: "v1"})
	}
	if r.Len() > 40_000 {
		t.Errorf("%d records are held", r.Len())
	}
	if _, found := r.Get("199999"); !found {
		t.Error("the newest record is gone")
	}
	late := start.Add(3 * origin.RecordLifetime)
	r.Put(late, "a", origin.Record{})
	r.Put(late.Add(origin.RecordLifetime), "b", origin.Record{})
	if r.Len() != 2 {
		t.Errorf("%d records are held after their lifetime", r.Len())
	}
}

// Guards against a later copy of a record that makes a stream known again whose build was
// found to be unknown.
func TestAnUnknownBuildStaysUnknown(t *testing.T) {
	r := origin.NewRecords(start)
	r.Put(start, "a", origin.Record{Service: service, Build: "v1"})
	r.Put(start, "a", origin.Record{Service: service, Unknown: true})
	r.Put(start, "a", origin.Record{Service: service, Build: "v1"})
	if record, _ := r.Get("a"); !record.Unknown {
		t.Errorf("the record is %+v", record)
	}
}
