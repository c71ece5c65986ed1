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

// packedChanges caches the roster changes up to the newest version, keyed by the version
// after which they start. Changes are packed without the lock of the roster.
type packedChanges struct {
	mu      sync.Mutex
	version uint64
	since   map[uint64]changesSince
}

// get returns the changes after version since, from the cache if possible.
func (p *packedChanges) get(since uint64, read readChanges) changesSince {
	p.mu.Lock()
	defer p.mu.Unlock()
	unless := uint64(noVersion)
	cached, ok := p.since[since]
	if ok {
		unless = p.version
	}
	changes, changed := read(since, unless)
	if !changed {
		return cached
	}
	if p.since == nil || p.version != changes.Version {
		p.version, p.since = changes.Version, make(map[uint64]changesSince)
	}
	found := packChanges(changes)
	p.since[since] = found
	return found
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
)

// get returns a full roster and the changes since, nil if there are none.
func (p *packedRoster) get(read readChanges) (full changesSince, later *roster.Changes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.at) < packedRosterLifetime {
		changes, changed := read(p.full.changes.Version, p.full.changes.Version)
		if !changed {
			return p.full, nil
		}
		if countChanges(&changes) <= max(minLaterChanges, countChanges(&p.full.changes)/laterFraction) {
			return p.full, &changes
		}
	}
	changes, _ := read(0, noVersion)
	p.full, p.at = packChanges(changes), time.Now()
	return p.full, nil
}

func countChanges(c *roster.Changes) int {
	return len(c.Replicas) + len(c.Gone) + len(c.Gates) + len(c.GatesGone)
}
