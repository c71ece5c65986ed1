package upstream_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/upstream"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const lifetime = 7 * time.Second

func announcement(replica string, incarnation, sequence uint64) upstream.Announcement {
	return upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: upstream.ReplicaID(replica),
		Incarnation: incarnation, Sequence: sequence, Address: "10.0.0.7:8000", Place: "glas-a",
		Load: upstream.Load{Slots: 8, Ready: true},
	}
}

func TestInvalidAnnouncementsAreRejected(t *testing.T) {
	cases := map[string]struct {
		spoil  func(*upstream.Announcement)
		reason apierr.Reason
	}{
		"host name":   {func(a *upstream.Announcement) { a.Address = "engine-1:8000" }, upstream.ReasonBadAddress},
		"no port":     {func(a *upstream.Announcement) { a.Address = "10.0.0.7" }, upstream.ReasonBadAddress},
		"port 0":      {func(a *upstream.Announcement) { a.Address = "10.0.0.7:0" }, upstream.ReasonBadAddress},
		"unspecified": {func(a *upstream.Announcement) { a.Address = "0.0.0.0:8000" }, upstream.ReasonBadAddress},
		"multicast":   {func(a *upstream.Announcement) { a.Address = "[ff02::1]:8000" }, upstream.ReasonBadAddress},
		"broadcast":   {func(a *upstream.Announcement) { a.Address = "255.255.255.255:8000" }, upstream.ReasonBadAddress},
		"no slots":    {func(a *upstream.Announcement) { a.Slots = 0 }, upstream.ReasonBadAnnouncement},
		"huge slots":  {func(a *upstream.Announcement) { a.Slots = 1 << 30 }, upstream.ReasonBadAnnouncement},
		"no kind":     {func(a *upstream.Announcement) { a.Kind = "" }, upstream.ReasonBadAnnouncement},
		"no service":  {func(a *upstream.Announcement) { a.Service = "" }, upstream.ReasonBadAnnouncement},
		"negative":    {func(a *upstream.Announcement) { a.Queued = -1 }, upstream.ReasonBadAnnouncement},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := announcement("r1", 1, 1)
			c.spoil(&a)
			table := upstream.NewTable(lifetime)
			_, err := table.Announce(start, a)
			if refused := apierr.From(err); err == nil || refused.Reason != c.reason || refused.Remedy == "" {
				t.Errorf("got %v, want reason %s with a remedy", err, c.reason)
			}
			if len(table.Entries()) > 0 {
				t.Error("a rejected announcement changed the table")
			}
		})
	}
}

// An engine announces that it is leaving; a report that one of its threads made
// earlier arrives later, by another path or with a higher sequence. The replica
// must stay marked as leaving until its process has restarted.
func TestLeavingIsNotReset(t *testing.T) {
	table := upstream.NewTable(lifetime)
	leaving := announcement("r1", 1, 5)
	leaving.Leaving = true
	for _, a := range []upstream.Announcement{leaving, announcement("r1", 1, 4), announcement("r1", 1, 6)} {
		if _, err := table.Announce(start, a); err != nil {
			t.Fatal(err)
		}
	}
	if !table.Get("r1").Leaving {
		t.Error("ready again within one incarnation")
	}
	if change, _ := table.Announce(start, announcement("r1", 2, 1)); change != upstream.ChangeRestart || table.Get("r1").Leaving {
		t.Error("the new process is marked as leaving")
	}
	if change, _ := table.Announce(start, leaving); change != upstream.ChangeNone {
		t.Error("an announcement of the old process changed the new one's entry")
	}
}

func TestEntriesExpire(t *testing.T) {
	table := upstream.NewTable(lifetime)
	_, _ = table.Announce(start, announcement("r1", 1, 1))
	_, _ = table.Announce(start, announcement("r2", 1, 1))
	_, _ = table.Announce(start.Add(lifetime), announcement("r2", 1, 2))
	expired := table.Expire(start.Add(lifetime + time.Millisecond))
	if len(expired) != 1 || expired[0].Replica != "r1" || table.Get("r1") != nil || table.Get("r2") == nil {
		t.Errorf("expired entries: %v", expired)
	}
}

// Gates receive announcements in different orders, some twice. Once each gate
// has received all of them, their tables must be equal.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []upstream.Announcement
		for range rapid.IntRange(1, 12).Draw(t, "count") {
			a := announcement(fmt.Sprint("r", rapid.IntRange(1, 3).Draw(t, "replica")),
				rapid.Uint64Range(1, 2).Draw(t, "incarnation"), rapid.Uint64Range(1, 4).Draw(t, "sequence"))
			a.Running = int(a.Sequence) // equal sequences have equal content
			a.Leaving = a.Sequence == 2
			all = append(all, a)
		}
		one, other := upstream.NewTable(lifetime), upstream.NewTable(lifetime)
		for _, a := range all {
			_, _ = one.Announce(start, a)
		}
		for _, a := range append(rapid.Permutation(all).Draw(t, "order"), all[0]) {
			_, _ = other.Announce(start, a)
		}
		if !reflect.DeepEqual(contents(one), contents(other)) {
			t.Fatalf("%+v\n%+v", contents(one), contents(other))
		}
	})
}

func contents(table *upstream.Table) []upstream.Announcement {
	digest, _ := table.Changes(0)
	return digest.Identity
}

// A peer that asks with the version that it has receives only the changes since,
// in compact form where only the load changed.
func TestChangesAreSentOnce(t *testing.T) {
	table := upstream.NewTable(lifetime)
	_, _ = table.Announce(start, announcement("r1", 1, 1))
	_, _ = table.Announce(start, announcement("r2", 1, 1))
	_, version := table.Changes(0)
	busy := announcement("r2", 1, 2)
	busy.Running = 3
	_, _ = table.Announce(start, busy)
	digest, next := table.Changes(version)
	if len(digest.Identity) != 0 || len(digest.Loads) != 1 || digest.Loads[0].Load.Running != 3 {
		t.Errorf("got %+v", digest)
	}
	if digest, _ = table.Changes(next); len(digest.Loads) != 0 {
		t.Errorf("change reported twice: %+v", digest)
	}
}

// Crash records and their clearing reach gates in different orders, some twice.
// All gates must then derive the same status for a request.
func TestCrashRecordsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []upstream.CrashRecord
		for range rapid.IntRange(1, 8).Draw(t, "count") {
			all = append(all, upstream.CrashRecord{
				Fingerprint: 7,
				Replica:     upstream.ReplicaID(fmt.Sprint("r", rapid.IntRange(1, 3).Draw(t, "replica"))),
				Incarnation: 1,
				Gate:        fmt.Sprint("g", rapid.IntRange(1, 2).Draw(t, "gate")),
				At:          start,
				Cleared:     rapid.Bool().Draw(t, "cleared"),
			})
		}
		one, other := newCrashRecords(), newCrashRecords()
		for _, record := range all {
			one.Add(record)
		}
		for _, record := range append(rapid.Permutation(all).Draw(t, "order"), all[0]) {
			other.Add(record)
		}
		if a, b := one.Status(start, 7), other.Status(start, 7); a != b {
			t.Fatalf("%v and %v", a, b)
		}
	})
}

func newCrashRecords() *upstream.CrashRecords {
	var version uint64
	return upstream.NewCrashRecords(time.Minute, func() uint64 { version++; return version }, nil)
}

func TestStatusCountsCrashes(t *testing.T) {
	records := newCrashRecords()
	crash := upstream.CrashRecord{Fingerprint: 7, Replica: "r1", Incarnation: 1, Gate: "g1", At: start}
	records.Add(crash)
	crash.Gate = "g2" // the same crash, reported by another gate
	records.Add(crash)
	if status := records.Status(start, 7); status != upstream.StatusSuspect {
		t.Errorf("one crash: %v", status)
	}
	crash.Incarnation = 2
	records.Add(crash)
	if status := records.Status(start, 7); status != upstream.StatusRefused {
		t.Errorf("two crashes: %v", status)
	}
	if status := records.Status(start.Add(time.Hour), 7); status != upstream.StatusClear {
		t.Errorf("after the lifetime: %v", status)
	}
}

// An event that reports an eviction is lost. All hints for the replica must be
// discarded, since a wrong hint would otherwise last for long.
func TestSequenceGapDiscardsCacheHints(t *testing.T) {
	hints := upstream.NewCacheHints()
	event := upstream.CacheEvent{Replica: "r1", Incarnation: 1, Sequence: 1, Prefix: 10}
	hints.Observe(event)
	event.Sequence, event.Prefix = 3, 30
	hints.Observe(event)
	event.Sequence, event.Prefix = 2, 20 // delayed
	hints.Observe(event)
	if hints.Holds("r1", 10) || hints.Holds("r1", 20) || !hints.Holds("r1", 30) {
		t.Error("kept a hint that a lost or delayed event may have changed")
	}
}
