package exchange

import (
	"github.com/cespare/xxhash/v2"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/upstream"
)

// loads is the digest of what changes each second: one row for each replica of
// the list of identities that List is the hash of, in the order of that list.
// A row of numbers takes about 8 bytes, one with the names of the replica and of
// its fields 84.
type loads struct {
	List uint64    `cbor:"1,keyasint"`
	Rows []loadRow `cbor:"2,keyasint,omitempty"`
	Fed  []fedRow  `cbor:"3,keyasint,omitempty"`
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

// fedRow tells the batch that the sending gate runs on a replica that it feeds.
// Service and replica are named by hashes; two of a place's few hundred replicas
// that share both make the other gates misjudge the batch on one, no more.
type fedRow struct {
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

// with brings a, as it was when its list was spread, up to date.
func (r *loadRow) with(a upstream.Announcement) upstream.Announcement {
	a.Sequence = r.Sequence
	a.Running = r.Running
	a.Queued = r.Queued
	a.Ready = r.Flags&flagReady != 0
	a.Leaving = r.Flags&flagLeaving != 0
	return a
}

// rowsOf gives the rows of a list.
func rowsOf(list []upstream.Digest) []loadRow {
	var rows []loadRow
	for _, digest := range list {
		for i := range digest.Identity {
			rows = append(rows, rowOf(&digest.Identity[i]))
		}
	}
	return rows
}

// feedingOf gives the batch that this gate runs, of all services.
func feedingOf(known []upstream.Digest) []fedRow {
	var rows []fedRow
	for _, digest := range known {
		for _, f := range digest.Feeding {
			rows = append(rows, fedRow{Service: shortHash(digest.Service), Replica: shortHash(string(f.Replica)), Batch: f.Batch})
		}
	}
	return rows
}

// identityList is a list of identities as a sender last spread it.
type identityList struct {
	hash uint64
	list []upstream.Digest
}

// takeList takes in a list of identities.
func (e *Exchange) takeList(sender string, data []byte) {
	var list []upstream.Digest
	if !e.decode(data, &list) {
		return
	}
	e.mu.Lock()
	e.lists[sender] = identityList{hash: xxhash.Sum64(data), list: list}
	e.mu.Unlock()
	e.router.Merge(list)
}

// takeRows takes in the loads of a sender's list. It merges whole announcements,
// not loads alone: a replica that timed out here while its gate was out of reach
// is back with the first load.
func (e *Exchange) takeRows(sender string, data []byte) {
	var l loads
	if !e.decode(data, &l) {
		return
	}
	e.mu.Lock()
	known := e.lists[sender]
	e.mu.Unlock()
	if known.hash != l.List {
		return // the list is on its way
	}
	rows := l.Rows
	var updated []upstream.Digest
	for _, digest := range known.list {
		if len(rows) < len(digest.Identity) {
			return // not of this list after all
		}
		merged := upstream.Digest{Service: digest.Service, Identity: make([]upstream.Announcement, len(digest.Identity))}
		for i := range digest.Identity {
			merged.Identity[i] = rows[i].with(digest.Identity[i])
		}
		rows = rows[len(digest.Identity):]
		updated = append(updated, merged)
	}
	e.router.Merge(updated)
	e.takeFed(l.Fed)
}

// takeFed finds the replicas that the rows mean.
func (e *Exchange) takeFed(rows []fedRow) {
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
			e.router.Fed(r.Service, upstream.Feeding{Replica: r.Replica, Batch: count})
		}
	}
}

func encodeRows(listHash uint64, list, feeding []upstream.Digest) []byte {
	return codec.MustMarshal(loads{List: listHash, Rows: rowsOf(list), Fed: feedingOf(feeding)})
}
