package control

import (
	"fmt"
	"testing"
	"time"

	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/upstream"
)

// joiningRoster is a roster that gains replicas each time that it is read.
type joiningRoster struct {
	table   *roster.Table
	perRead int
	known   int
	reads   int
}

func (r *joiningRoster) read(since, unless uint64) (roster.Changes, bool) {
	r.reads++
	for range r.perRead {
		r.known++
		report := shareReport(fmt.Sprint("replica-", r.known), 1, func(a *upstream.Announcement) {
			a.Address = fmt.Sprintf("10.0.%d.%d:80", r.known/250, 1+r.known%250)
		})
		r.table.Announce(time.Now(), report.Replica, 0)
	}
	if r.table.Version() == unless {
		return roster.Changes{}, false
	}
	return r.table.Since(since), true
}

func newJoiningRoster(perRead int) *joiningRoster {
	return &joiningRoster{table: roster.New(roster.Config{ReplicaLifetime: time.Minute, GateLifetime: time.Minute}, time.Now()), perRead: perRead}
}

// While thousands of replicas join, a gate that starts must not wait until the full roster has
// been packed for each gate before it: the calls of the last ones would time out, and the
// gates would start over.
func TestTheFullRosterIsNotPackedForEachGateThatStarts(t *testing.T) {
	r := newJoiningRoster(500)
	var p packedRoster
	first, later := p.get(r.read)
	if len(first.changes.Replicas) != 500 || later != nil {
		t.Fatalf("%d replicas, later %v", len(first.changes.Replicas), later)
	}
	for range 20 {
		p.at = time.Now() // however slow the machine is
		if again, later := p.get(r.read); again.changes.Version != first.changes.Version || later != nil {
			t.Fatalf("version %d, later %v; want the packed one of a moment ago", again.changes.Version, later)
		}
	}
	p.at = time.Now().Add(-2 * packedRosterInterval)
	if again, _ := p.get(r.read); again.changes.Version != r.table.Version() {
		t.Errorf("version %d after the interval, want the newest one, %d", again.changes.Version, r.table.Version())
	}

	r.perRead = 3
	at := p.full.changes.Version
	again, later := p.get(r.read)
	if again.changes.Version != at || later == nil || later.Version != r.table.Version() || len(later.Replicas) != 3 {
		t.Errorf("version %d, later %+v; want the packed one and the three changes after it", again.changes.Version, later)
	}
	p.at = time.Now().Add(-2 * packedRosterLifetime)
	if again, later := p.get(r.read); again.changes.Version != r.table.Version() || later != nil {
		t.Errorf("version %d, later %v after the lifetime, want a new one", again.changes.Version, later)
	}
}

// The followers that a batch wakes must share the changes also while further ones come, but
// must get those after their next poll, and a gate of the previous release that asks for
// everything must get the newest version.
func TestFollowersOfABatchShareThePackedChanges(t *testing.T) {
	r := newJoiningRoster(10)
	var p packedChanges
	r.read(0, noVersion)
	first := p.get(5, r.read)
	for range 20 {
		p.since[5].at = time.Now() // however slow the machine is
		if again := p.get(5, r.read); again.changes.Version != first.changes.Version {
			t.Fatalf("version %d, want the changes that were packed a moment ago", again.changes.Version)
		}
	}
	if next := p.get(first.changes.Version, r.read); next.changes.Version <= first.changes.Version || len(next.changes.Replicas) == 0 {
		t.Errorf("the next poll brings version %d after %d", next.changes.Version, first.changes.Version)
	}
	p.since[5].at = time.Now().Add(-2 * packedChangesLifetime)
	if again := p.get(5, r.read); again.changes.Version != r.table.Version() {
		t.Errorf("version %d after the lifetime, want %d", again.changes.Version, r.table.Version())
	}
	for range 2 {
		if all := p.get(0, r.read); all.changes.Version != r.table.Version() || len(all.changes.Replicas) != r.known {
			t.Errorf("%d of %d replicas for a gate that asks for everything", len(all.changes.Replicas), r.known)
		}
	}
	for since := range uint64(500) {
		p.get(since, r.read)
	}
	if len(p.since) > maxPackedEntries {
		t.Errorf("%d entries are kept", len(p.since))
	}
}
