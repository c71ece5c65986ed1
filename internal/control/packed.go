package control

import (
	"sync"

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

// packedChanges caches the roster changes up to the newest version, keyed by the version
// after which they start. After a restart of all processes, hundreds of gates request
// the full roster at the same time.
type packedChanges struct {
	mu      sync.Mutex
	version uint64
	since   map[uint64]changesSince
}

// changesSince holds the roster changes after a version, also in compressed form if they
// are large.
type changesSince struct {
	changes roster.Changes
	packed  []byte
}

// minPackedBytes is the encoded size from which changes are compressed.
const minPackedBytes = 4096

// get returns the changes after version since, from the cache if possible. The roster
// must not change during the call.
func (p *packedChanges) get(table *roster.Table, since uint64) (changesSince, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.since == nil || p.version != table.Version() {
		p.version, p.since = table.Version(), make(map[uint64]changesSince)
	}
	if cached, ok := p.since[since]; ok {
		return cached, nil
	}
	result, err := packChanges(table.Since(since))
	if err != nil {
		return changesSince{}, err
	}
	p.since[since] = result
	return result, nil
}

func packChanges(changes roster.Changes) (changesSince, error) {
	result := changesSince{changes: changes}
	data, err := codec.Marshal(changes)
	if err != nil || len(data) < minPackedBytes {
		return result, err
	}
	result.packed, err = codec.Compress(data)
	return result, err
}
