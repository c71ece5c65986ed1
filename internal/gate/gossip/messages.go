package gossip

import (
	"github.com/cespare/xxhash/v2"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/upstream"
)

// replicas is the digest of the replicas that announced to a gate, sorted by
// service and ID. It changes with their identities only.
type replicas struct {
	List []upstream.Announcement `cbor:"1,keyasint"`
}

// loads is the digest of what changes each second. Rows follow the order of the
// replicas digest whose hash it names; that saves their names, which are three
// quarters of a row.
type loads struct {
	Replicas uint64    `cbor:"1,keyasint"`
	Rows     []loadRow `cbor:"2,keyasint,omitempty"`
	Fed      []fedRow  `cbor:"3,keyasint,omitempty"`
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

// fedRow tells the batch that the sending gate runs on a replica, named by the
// hash of its ID.
type fedRow struct {
	_       struct{} `cbor:",toarray"`
	Service uint32
	Replica uint32
	Batch   int
}

// shortHash names a service or replica in 32 bits. Two of a place's few hundred
// that share one make the other gates misjudge batch on one of them, no more.
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

// with gives the announcement that a and a later row make together.
func (r *loadRow) with(a upstream.Announcement) upstream.Announcement {
	a.Sequence = r.Sequence
	a.Running = r.Running
	a.Queued = r.Queued
	a.Ready = r.Flags&flagReady != 0
	a.Leaving = r.Flags&flagLeaving != 0
	return a
}

// serviceStrikes are the strikes of one service.
type serviceStrikes struct {
	Service string            `cbor:"1,keyasint"`
	Strikes []upstream.Strike `cbor:"2,keyasint"`
}

type poison struct {
	Services []serviceStrikes `cbor:"1,keyasint"`
}

// strikesAsked asks for a strikesAck once the strikes are known.
type strikesAsked struct {
	ID      uint64         `cbor:"1,keyasint"`
	Strikes serviceStrikes `cbor:"2,keyasint"`
}

type strikesAck struct {
	ID uint64 `cbor:"1,keyasint"`
}

// fed answers a proxy.Usage.
type fed struct {
	Service string           `cbor:"1,keyasint"`
	Feeding upstream.Feeding `cbor:"2,keyasint"`
}

func encode[T poison | replicas | loads | strikesAsked | strikesAck | fed | proxy.Usage](v T) []byte {
	return codec.MustMarshal(v)
}
