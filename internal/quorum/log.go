package quorum

import (
	"fmt"
	"sort"
)

// log holds the entries after a compacted prefix and the indexes up to which they
// are synced, committed and applied.
type log struct {
	snapshot SnapshotMeta // newest snapshot of this member
	// offset and offsetTerm are the index and term of the last entry that was
	// compacted away. Some entries before the snapshot are kept for followers that
	// lag slightly.
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	// stable is the last synced index; handed is the last index returned by Ready
	// for the caller to sync.
	stable  uint64
	handed  uint64
	commit  uint64
	applied uint64 // last index returned by Ready for the caller to apply
	// changes holds the memberships set by entries after the snapshot, in log order.
	changes []SnapshotMeta
}

func newLog(snapshot SnapshotMeta, entries []Entry, commit uint64) (*log, error) {
	l := &log{snapshot: snapshot, offset: snapshot.Index, offsetTerm: snapshot.Term, applied: snapshot.Index}
	for _, entry := range entries {
		if entry.Index != l.lastIndex()+1 || entry.Term < l.lastTerm() {
			return nil, fmt.Errorf("quorum: entry %d of term %d cannot follow entry %d of term %d",
				entry.Index, entry.Term, l.lastIndex(), l.lastTerm())
		}
		l.push(entry)
	}
	l.stable = l.lastIndex()
	l.handed = l.stable
	l.commit = max(commit, snapshot.Index)
	if l.commit > l.lastIndex() {
		return nil, fmt.Errorf("quorum: commit index %d is beyond the last entry %d", l.commit, l.lastIndex())
	}
	return l, nil
}

func (l *log) lastIndex() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.offsetTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, and false if the log does not hold it.
func (l *log) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *log) matches(index, term uint64) bool {
	held, ok := l.term(index)
	return ok && held == term
}

func (l *log) push(entry Entry) {
	l.entries = append(l.entries, entry)
	if entry.Membership != nil {
		l.changes = append(l.changes, SnapshotMeta{Index: entry.Index, Term: entry.Term, Membership: *entry.Membership})
	}
}

// truncate removes the entries from index on.
func (l *log) truncate(index uint64) {
	if index <= l.commit {
		panic(fmt.Sprintf("quorum: truncate at %d, which is committed (%d)", index, l.commit))
	}
	// Copied, because the caller may still be reading the old entries.
	l.entries = append([]Entry(nil), l.entries[:index-l.offset-1]...)
	l.stable = min(l.stable, index-1)
	l.handed = min(l.handed, index-1)
	for len(l.changes) > 0 && l.changes[len(l.changes)-1].Index >= index {
		l.changes = l.changes[:len(l.changes)-1]
	}
}

// merge appends entries that follow a matching entry. It truncates the log only at a
// real conflict: a delayed append must not remove entries that a newer append of the
// same leader added and this member acknowledged.
func (l *log) merge(entries []Entry) {
	for i, entry := range entries {
		if entry.Index <= l.offset || l.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= l.lastIndex() {
			l.truncate(entry.Index)
		}
		for _, added := range entries[i:] {
			l.push(added)
		}
		return
	}
}

func (l *log) membershipIndex() uint64 {
	if len(l.changes) == 0 {
		return l.snapshot.Index
	}
	return l.changes[len(l.changes)-1].Index
}

func (l *log) membership() Membership {
	if len(l.changes) == 0 {
		return l.snapshot.Membership
	}
	return l.changes[len(l.changes)-1].Membership
}

// membershipAt returns the membership in effect after the entry at index.
func (l *log) membershipAt(index uint64) Membership {
	i := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].Index > index })
	if i == 0 {
		return l.snapshot.Membership
	}
	return l.changes[i-1].Membership
}

// slice returns the entries in [from, to], up to maxBytes but at least one.
func (l *log) slice(from, to uint64, maxBytes int) []Entry {
	if from > to {
		return nil
	}
	held := l.entries[from-l.offset-1 : to-l.offset]
	size := 0
	for i := range held {
		size += held[i].size()
		if i > 0 && size > maxBytes {
			held = held[:i]
			break
		}
	}
	return held[:len(held):len(held)]
}

// compact records a snapshot that the caller has synced and removes the entries up to
// keepAfter.
func (l *log) compact(meta SnapshotMeta, keepAfter uint64) {
	l.snapshot = meta
	i := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].Index > meta.Index })
	l.changes = l.changes[i:]
	if keepAfter <= l.offset {
		return
	}
	l.offsetTerm, _ = l.term(keepAfter)
	l.entries = append([]Entry(nil), l.entries[keepAfter-l.offset:]...)
	l.offset = keepAfter
}

// reset replaces the whole log with a snapshot.
func (l *log) reset(meta SnapshotMeta) {
	*l = log{
		snapshot: meta, offset: meta.Index, offsetTerm: meta.Term,
		stable: meta.Index, handed: meta.Index, commit: meta.Index, applied: meta.Index,
	}
}

// upToDate reports whether a log that ends at (index, term) is at least as up to date
// as this one.
func (l *log) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}
