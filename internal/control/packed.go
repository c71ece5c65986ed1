package control

import (
	"sync"
	"time"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/routes"
)

// packedRoutes caches the packed form of the newest route document, so that it is packed
// once for all gates.
type packedRoutes struct {
	mu      sync.Mutex
	version uint64
	data    routes.Packed
}

func (p *packedRoutes) get(document *routes.Document) (routes.Packed, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version == document.Version && p.data != nil {
		return p.data, nil
	}
	data, err := routes.Pack(document.WithoutSource())
	if err != nil {
		return nil, err
	}
	p.version, p.data = document.Version, data
	return data, nil
}

// readChanges returns the roster changes after a version, or false if the roster has the
// version unless.
type readChanges func(since, unless uint64) (changes roster.Changes, changed bool)

// changesSince holds the roster changes after a version, also in compressed form if they
// are large.
type changesSince struct {
	changes roster.Changes
	packed  []byte
	err     error // of the compression
}

// minPackedBytes is the encoded size from which changes are compressed.
const minPackedBytes = 4096

// packedChanges caches the roster changes after the versions that followers have. Changes are
// packed without the lock of the roster, those after different versions in parallel.
type packedChanges struct {
	mu    sync.Mutex
	since map[uint64]*packedEntry
}

// packedEntry holds the changes after one version.
type packedEntry struct {
	mu    sync.Mutex
	found changesSince
	at    time.Time // zero until the changes are packed
}

const (
	// packedChangesLifetime is how long changes are reused after the roster has changed
	// again. The followers that a batch wakes ask within this time; when thousands of
	// replicas join, each of them would otherwise find another version and wait until its
	// own changes are packed.
	packedChangesLifetime = 20 * time.Millisecond
	// maxPackedEntries is the number of entries from which those that are not in use are
	// dropped: several times the number of versions that followers have at a time.
	maxPackedEntries = 64
)

// get returns the changes after version since, from the cache if possible. They are those up
// to the newest version or, unless since is 0, up to one of packedChangesLifetime ago.
func (p *packedChanges) get(since uint64, read readChanges) changesSince {
	entry := p.entry(since)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	unless := uint64(noVersion)
	if !entry.at.IsZero() {
		if since > 0 && time.Since(entry.at) < packedChangesLifetime {
			return entry.found
		}
		unless = entry.found.changes.Version
	}
	if changes, changed := read(since, unless); changed {
		entry.found, entry.at = packChanges(changes), time.Now()
	}
	return entry.found
}

func (p *packedChanges) entry(since uint64) *packedEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.since[since]
	if entry == nil {
		if p.since == nil || len(p.since) >= maxPackedEntries {
			p.since = make(map[uint64]*packedEntry)
		}
		entry = &packedEntry{}
		p.since[since] = entry
	}
	return entry
}

// noVersion is a version that no roster reaches.
const noVersion = 1<<64 - 1

func packChanges(changes roster.Changes) changesSince {
	result := changesSince{changes: changes}
	data, err := codec.Marshal(changes)
	if err == nil && len(data) >= minPackedBytes {
		result.packed, err = codec.Compress(data)
	}
	result.err = err
	return result
}

// packedRoster caches a packed full roster. When hundreds of gates start while replicas and
// gates join, each of them meets another version. They get the full roster of a moment ago
// and what has changed since.
type packedRoster struct {
	mu   sync.Mutex
	full changesSince
	at   time.Time
}

const (
	// packedRosterLifetime bounds the age of a cached full roster, and with it the number of
	// tombstones and repeated changes in what is sent in addition.
	packedRosterLifetime = 5 * time.Second
	// minLaterChanges and laterFraction bound the changes that are sent in addition to a
	// cached full roster: they are not compressed. Compressed, an entry has about an eighth
	// of its size.
	minLaterChanges = 32
	laterFraction   = 32
	// packedRosterInterval is the least time between two packings. While thousands of
	// replicas join, more changes come during a packing than may be sent in addition. If each
	// gate that starts then waited for a packing of its own, their calls would time out.
	packedRosterInterval = 250 * time.Millisecond
)

// get returns a full roster and the changes since. The latter are nil if there are none, or if
// there are too many and the gate is to ask for them with its next poll.
func (p *packedRoster) get(read readChanges) (full changesSince, later *roster.Changes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if age := time.Since(p.at); age < packedRosterLifetime {
		changes, changed := read(p.full.changes.Version, p.full.changes.Version)
		if !changed {
			return p.full, nil
		}
		if countChanges(&changes) <= max(minLaterChanges, countChanges(&p.full.changes)/laterFraction) {
			return p.full, &changes
		}
		if age < packedRosterInterval {
			return p.full, nil
		}
	}
	changes, _ := read(0, noVersion)
	p.full, p.at = packChanges(changes), time.Now()
	return p.full, nil
}

func countChanges(c *roster.Changes) int {
	return len(c.Replicas) + len(c.Gone) + len(c.Gates) + len(c.GatesGone)
}
