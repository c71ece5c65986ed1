package control

import (
	"sync"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/routes"
)

// packedRoutes keeps the newest document as gates are sent it.
type packedRoutes struct {
	mu      sync.Mutex
	version uint64
	data    routes.Packed
}

func (p *packedRoutes) of(document *routes.Document) (routes.Packed, error) {
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

// packedChanges keeps the changes of the roster up to its newest version as gates
// are sent them, by the version from which they are asked for. After a stop of all
// processes hundreds of gates ask for everything at the same time.
type packedChanges struct {
	mu      sync.Mutex
	version uint64
	since   map[uint64]changesSince
}

// changesSince are changes of the roster; packed if they are large.
type changesSince struct {
	changes roster.Changes
	packed  []byte
}

// minPackedBytes is the least size of encoded changes that are packed.
const minPackedBytes = 4096

// of gives the changes, which are made of the roster only if they are not kept. The
// roster must not change meanwhile.
func (p *packedChanges) of(table *roster.Table, since uint64) (changesSince, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.since == nil || p.version != table.Version() {
		p.version, p.since = table.Version(), make(map[uint64]changesSince)
	}
	if found, kept := p.since[since]; kept {
		return found, nil
	}
	made, err := newChangesSince(table.Since(since))
	if err != nil {
		return changesSince{}, err
	}
	p.since[since] = made
	return made, nil
}

func newChangesSince(changes roster.Changes) (changesSince, error) {
	made := changesSince{changes: changes}
	data, err := codec.Marshal(changes)
	if err != nil || len(data) < minPackedBytes {
		return made, err
	}
	made.packed, err = codec.Compress(data)
	return made, err
}
