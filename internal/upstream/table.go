package upstream

import (
	"slices"
	"strings"
	"time"

	"slateway.example/slateway/internal/apierr"
)

// ReasonStaleAnnouncement counts announcements of an older incarnation or
// sequence; they arrive late or by a longer way and change nothing.
const ReasonStaleAnnouncement apierr.Reason = "stale_announcement"

// Change says what an announcement meant for the table.
type Change int

// Changes, from least to most.
const (
	ChangeNone     Change = iota // stale: ignored
	ChangeLoad                   // only load, readiness or leaving
	ChangeIdentity               // address, models or abilities
	ChangeRestart                // a new incarnation of a known replica
	ChangeJoin                   // a replica not known before
)

// Entry is one replica as a gate knows it.
type Entry struct {
	Announcement
	Seen time.Time // when the last fresh announcement arrived

	version         uint64 // table version of the last change
	identityVersion uint64 // table version of the last change beyond load
}

// Table holds the entries of one service, in the order of their IDs.
type Table struct {
	lifetime time.Duration
	entries  []*Entry
	version  uint64
}

// NewTable makes an empty table whose entries time out after lifetime without
// a fresh announcement.
func NewTable(lifetime time.Duration) *Table { return &Table{lifetime: lifetime} }

// Bump raises the version and returns it, for changes that are kept elsewhere
// and travel in the same digests.
func (t *Table) Bump() uint64 {
	t.version++
	return t.version
}

// Entries gives all entries in the order of their IDs. The slice is the
// table's own: read it only until the next change.
func (t *Table) Entries() []*Entry { return t.entries }

// Get finds an entry; nil when the replica is unknown.
func (t *Table) Get(id ReplicaID) *Entry {
	if i, found := t.find(id); found {
		return t.entries[i]
	}
	return nil
}

func (t *Table) find(id ReplicaID) (int, bool) {
	return slices.BinarySearchFunc(t.entries, id, func(e *Entry, id ReplicaID) int {
		return strings.Compare(string(e.Replica), string(id))
	})
}

// Announce takes in an announcement. Older incarnations and sequences are
// ignored, since announcements take several ways and overtake each other.
func (t *Table) Announce(now time.Time, a Announcement) (Change, error) {
	if err := a.Validate(); err != nil {
		return ChangeNone, err
	}
	i, found := t.find(a.Replica)
	if !found {
		t.version++
		entry := &Entry{Announcement: a, Seen: now, version: t.version, identityVersion: t.version}
		t.entries = slices.Insert(t.entries, i, entry)
		return ChangeJoin, nil
	}
	return t.update(now, t.entries[i], a), nil
}

func (t *Table) update(now time.Time, e *Entry, a Announcement) Change {
	if !fresher(a.Incarnation, a.Sequence, e) {
		return t.leaveLate(e, &a)
	}
	change := classify(e, &a)
	// A replica that said it leaves may send an older thread's "ready" after
	// it: within one incarnation leaving is never taken back, or new work
	// would reach a process that is shutting down.
	if change != ChangeRestart && e.Leaving {
		a.Leaving = true
	}
	t.version++
	e.Announcement = a
	e.Seen = now
	e.version = t.version
	if change != ChangeLoad {
		e.identityVersion = t.version
	}
	return change
}

// leaveLate takes the news that a replica leaves also from an announcement that
// a later one has overtaken: gates that hear the two in different orders would
// otherwise differ for good.
func (t *Table) leaveLate(e *Entry, a *Announcement) Change {
	if a.Incarnation != e.Incarnation || !a.Leaving || e.Leaving {
		return ChangeNone
	}
	e.Leaving = true
	e.version = t.Bump()
	return ChangeLoad
}

func fresher(incarnation, sequence uint64, e *Entry) bool {
	if incarnation != e.Incarnation {
		return incarnation > e.Incarnation
	}
	return sequence > e.Sequence
}

func classify(e *Entry, a *Announcement) Change {
	if a.Incarnation != e.Incarnation {
		return ChangeRestart
	}
	same := a.Address == e.Address && a.Place == e.Place && a.VM == e.VM && a.Kind == e.Kind &&
		a.CanResume == e.CanResume && a.CanCancel == e.CanCancel &&
		a.ChecksFencing == e.ChecksFencing && a.KVExport == e.KVExport && slices.Equal(a.Models, e.Models)
	if same {
		return ChangeLoad
	}
	return ChangeIdentity
}

// Remove drops an entry, unless a later incarnation is known than the one given.
func (t *Table) Remove(id ReplicaID, incarnation uint64) bool {
	i, found := t.find(id)
	if !found || t.entries[i].Incarnation > incarnation {
		return false
	}
	t.entries = slices.Delete(t.entries, i, i+1)
	return true
}

// Expire drops the entries that have not been announced for the lifetime and
// returns them.
func (t *Table) Expire(now time.Time) []*Entry {
	var gone []*Entry
	kept := t.entries[:0]
	for _, e := range t.entries {
		if now.Sub(e.Seen) > t.lifetime {
			gone = append(gone, e)
			continue
		}
		kept = append(kept, e)
	}
	clear(t.entries[len(kept):])
	t.entries = kept
	return gone
}
