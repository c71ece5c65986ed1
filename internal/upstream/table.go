package upstream

import (
	"slices"
	"strings"
	"time"

	"slateway.example/slateway/internal/apierr"
)

// ReasonStaleAnnouncement is the reason for ignored announcements of an older
// incarnation or sequence, which were overtaken on the way.
const ReasonStaleAnnouncement apierr.Reason = "stale_announcement"

// Change classifies the effect of an announcement on the table.
type Change int

// Changes, in order of increasing extent.
const (
	ChangeNone     Change = iota // stale announcement, ignored
	ChangeLoad                   // only load, readiness or leaving
	ChangeIdentity               // address, models or capabilities
	ChangeRestart                // a new incarnation of a known replica
	ChangeJoin                   // a previously unknown replica
)

// Entry is a gate's record of one replica.
type Entry struct {
	Announcement
	LastAnnounced time.Time // arrival of the last announcement that was not stale

	version         uint64 // table version of the last change
	identityVersion uint64 // table version of the last change beyond load
}

// Table holds the entries of one service, ordered by replica ID.
type Table struct {
	lifetime time.Duration
	entries  []*Entry
	oldest   time.Time // no entry was last announced before
	version  uint64
}

// NewTable creates an empty table whose entries expire after lifetime without a
// new announcement.
func NewTable(lifetime time.Duration) *Table { return &Table{lifetime: lifetime} }

// NextVersion increments the version and returns it, for changes that are stored
// elsewhere and sent in the same digests.
func (t *Table) NextVersion() uint64 {
	t.version++
	return t.version
}

// Entries returns all entries ordered by replica ID. The table owns the slice:
// it is valid for reading until the next change.
func (t *Table) Entries() []*Entry { return t.entries }

// Get returns the entry of a replica, or nil if the replica is unknown.
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

// Announce applies an announcement. It ignores older incarnations and sequences,
// since announcements take several paths and overtake each other.
func (t *Table) Announce(now time.Time, a Announcement) (Change, error) {
	if err := a.Validate(); err != nil {
		return ChangeNone, err
	}
	i, found := t.find(a.Replica)
	if !found {
		t.version++
		t.limitOldest(now, len(t.entries) == 0)
		entry := &Entry{Announcement: a, LastAnnounced: now, version: t.version, identityVersion: t.version}
		t.entries = slices.Insert(t.entries, i, entry)
		return ChangeJoin, nil
	}
	return t.update(now, t.entries[i], a), nil
}

func (t *Table) update(now time.Time, e *Entry, a Announcement) Change {
	if !isNewer(a.Incarnation, a.Sequence, e) {
		return t.applyStaleLeaving(e, &a)
	}
	change := classifyChange(e, &a)
	// A replica that announced that it is leaving may still send "ready" from
	// another thread. Leaving is therefore never reset within one incarnation;
	// otherwise new work would reach a process that is shutting down.
	if change != ChangeRestart && e.Leaving {
		a.Leaving = true
	}
	t.version++
	t.limitOldest(now, false)
	e.Announcement = a
	e.LastAnnounced = now
	e.version = t.version
	if change != ChangeLoad {
		e.identityVersion = t.version
	}
	return change
}

// applyStaleLeaving marks a replica as leaving even if the announcement is
// stale. Otherwise gates that receive the two announcements in different orders
// would disagree permanently.
func (t *Table) applyStaleLeaving(e *Entry, a *Announcement) Change {
	if a.Incarnation != e.Incarnation || !a.Leaving || e.Leaving {
		return ChangeNone
	}
	e.Leaving = true
	e.version = t.NextVersion()
	return ChangeLoad
}

func isNewer(incarnation, sequence uint64, e *Entry) bool {
	if incarnation != e.Incarnation {
		return incarnation > e.Incarnation
	}
	return sequence > e.Sequence
}

func classifyChange(e *Entry, a *Announcement) Change {
	if a.Incarnation != e.Incarnation {
		return ChangeRestart
	}
	same := a.Address == e.Address && a.Place == e.Place && a.VM == e.VM && a.Kind == e.Kind && a.Build == e.Build &&
		a.CanResume == e.CanResume && a.CanCancel == e.CanCancel &&
		a.ChecksFencing == e.ChecksFencing && a.KVExport == e.KVExport && slices.Equal(a.Models, e.Models)
	if same {
		return ChangeLoad
	}
	return ChangeIdentity
}

// Remove removes the entry of a replica, unless its incarnation is later than
// the given one. It reports whether it removed the entry.
func (t *Table) Remove(id ReplicaID, incarnation uint64) bool {
	i, found := t.find(id)
	if !found || t.entries[i].Incarnation > incarnation {
		return false
	}
	t.entries = slices.Delete(t.entries, i, i+1)
	return true
}

// limitOldest lowers oldest to the time of an announcement that is earlier, or sets it
// if the announcement is the first.
func (t *Table) limitOldest(at time.Time, first bool) {
	if first || at.Before(t.oldest) {
		t.oldest = at
	}
}

// Expire removes the entries without an announcement within the lifetime and
// returns them. It looks at the entries only when one may have expired.
func (t *Table) Expire(now time.Time) []*Entry {
	if len(t.entries) == 0 || now.Sub(t.oldest) <= t.lifetime {
		return nil
	}
	var expired []*Entry
	kept := t.entries[:0]
	t.oldest = now
	for _, e := range t.entries {
		if now.Sub(e.LastAnnounced) > t.lifetime {
			expired = append(expired, e)
			continue
		}
		kept = append(kept, e)
		t.limitOldest(e.LastAnnounced, false)
	}
	clear(t.entries[len(kept):])
	t.entries = kept
	return expired
}
