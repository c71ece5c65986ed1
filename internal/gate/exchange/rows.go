package exchange

import (
	"github.com/cespare/xxhash/v2"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/upstream"
)

// loadDigest carries what changes every second: one row for each replica in the list of
// identities with hash List, in the order of that list. A row of numbers takes about 8
// bytes; with the replica's name and field names it would take 84.
type loadDigest struct {
	List       uint64          `cbor:"1,keyasint"`
	Rows       []loadRow       `cbor:"2,keyasint,omitempty"`
	OwnedBatch []ownedBatchRow `cbor:"3,keyasint,omitempty"`
}

type loadRow struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Running  int
	Queued   int
	Flags    uint8
}

// Flags of a loadRow.
const (
	flagReady   uint8 = 1
	flagLeaving uint8 = 2
)

// ownedBatchRow is the batch work that the sending gate runs on a replica that it owns.
// Service and replica are identified by short hashes. If two of a place's few hundred
// replicas collide in both, the other gates only misjudge the batch work on one of them.
type ownedBatchRow struct {
	_       struct{} `cbor:",toarray"`
	Service uint32
	Replica uint32
	Batch   int
}

func shortHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func rowOf(a *upstream.Announcement) loadRow {
	row := loadRow{Sequence: a.Sequence, Running: a.Running, Queued: a.Queued}
	if a.Ready {
		row.Flags |= flagReady
	}
	if a.Leaving {
		row.Flags |= flagLeaving
	}
	return row
}

// applyTo returns a, taken from the list as spread, with the row's values.
func (r *loadRow) applyTo(a upstream.Announcement) upstream.Announcement {
	a.Sequence = r.Sequence
	a.Running = r.Running
	a.Queued = r.Queued
	a.Ready = r.Flags&flagReady != 0
	a.Leaving = r.Flags&flagLeaving != 0
	return a
}

// rowsOf returns the load rows of a list.
func rowsOf(list []upstream.Digest) []loadRow {
	var rows []loadRow
	for _, digest := range list {
		for i := range digest.Identity {
			rows = append(rows, rowOf(&digest.Identity[i]))
		}
	}
	return rows
}

// ownedBatchRows returns the batch work of this gate for all services.
func ownedBatchRows(known []upstream.Digest) []ownedBatchRow {
	var rows []ownedBatchRow
	for _, digest := range known {
		for _, f := range digest.OwnerLoads {
			rows = append(rows, ownedBatchRow{Service: shortHash(digest.Service), Replica: shortHash(string(f.Replica)), Batch: f.Batch})
		}
	}
	return rows
}

// identityList is a list of identities as a sender last spread it.
type identityList struct {
	hash uint64
	list []upstream.Digest
}

// receiveIdentities applies a sender's list of identities.
func (e *Exchange) receiveIdentities(sender string, data []byte) {
	var list []upstream.Digest
	if !e.decode(data, &list) {
		return
	}
	e.mu.Lock()
	e.lists[sender] = identityList{hash: xxhash.Sum64(data), list: list}
	e.mu.Unlock()
	e.router.Merge(list)
}

// receiveLoads applies the loads for a sender's list. It merges whole announcements, so
// that a replica that expired here while its gate was unreachable returns with the first
// load.
func (e *Exchange) receiveLoads(sender string, data []byte) {
	var l loadDigest
	if !e.decode(data, &l) {
		return
	}
	e.mu.Lock()
	known := e.lists[sender]
	e.mu.Unlock()
	if known.hash != l.List {
		return // the list has not arrived yet
	}
	rows := l.Rows
	var updated []upstream.Digest
	for _, digest := range known.list {
		if len(rows) < len(digest.Identity) {
			return // the rows do not match the list
		}
		merged := upstream.Digest{Service: digest.Service, Identity: make([]upstream.Announcement, len(digest.Identity))}
		for i := range digest.Identity {
			merged.Identity[i] = rows[i].applyTo(digest.Identity[i])
		}
		rows = rows[len(digest.Identity):]
		updated = append(updated, merged)
	}
	e.router.Merge(updated)
	e.applyOwnedBatch(l.OwnedBatch)
}

// applyOwnedBatch resolves the rows to replicas and updates their batch work.
func (e *Exchange) applyOwnedBatch(rows []ownedBatchRow) {
	if len(rows) == 0 {
		return
	}
	type key struct{ service, replica uint32 }
	batch := make(map[key]int, len(rows))
	for _, row := range rows {
		batch[key{row.Service, row.Replica}] = row.Batch
	}
	for _, r := range e.router.Upstreams() {
		if count, found := batch[key{shortHash(r.Service), shortHash(string(r.Replica))}]; found {
			e.router.ApplyOwnerLoad(r.Service, upstream.OwnerLoad{Replica: r.Replica, Batch: count})
		}
	}
}

func encodeLoads(listHash uint64, list, owned []upstream.Digest) []byte {
	return codec.MustMarshal(loadDigest{List: listHash, Rows: rowsOf(list), OwnedBatch: ownedBatchRows(owned)})
}
