package upstream

// CacheEvent says that a replica has taken a prompt prefix into its cache or
// dropped it. Events come late and with gaps.
type CacheEvent struct {
	Replica     ReplicaID `json:"replica"`
	Incarnation uint64    `json:"incarnation"`
	Sequence    uint64    `json:"sequence"` // rises by one an event
	Prefix      uint64    `json:"prefix"`   // hash of the prompt prefix
	Dropped     bool      `json:"dropped,omitempty"`
}

// maxHintsPerReplica bounds the memory of hints: 8 bytes each in two fields.
const maxHintsPerReplica = 4096

// CacheHints remembers which prefixes each replica is believed to cache. It is
// a hint only: a wrong one costs a recomputed prefix, never a wrong answer.
type CacheHints struct {
	replicas map[ReplicaID]*replicaHints
}

type replicaHints struct {
	incarnation uint64
	sequence    uint64
	prefixes    map[uint64]struct{}
}

// NewCacheHints makes an empty memory of hints.
func NewCacheHints() *CacheHints { return &CacheHints{replicas: make(map[ReplicaID]*replicaHints)} }

// Observe takes in an event. A gap in the sequence voids all that was believed
// of the replica, since a lost event may have dropped any prefix.
func (h *CacheHints) Observe(e CacheEvent) {
	known := h.replicas[e.Replica]
	if known == nil || e.Incarnation > known.incarnation {
		known = &replicaHints{incarnation: e.Incarnation, prefixes: make(map[uint64]struct{})}
		h.replicas[e.Replica] = known
	}
	if e.Incarnation < known.incarnation || e.Sequence <= known.sequence {
		return
	}
	if e.Sequence != known.sequence+1 || len(known.prefixes) >= maxHintsPerReplica {
		clear(known.prefixes)
	}
	known.sequence = e.Sequence
	if e.Dropped {
		delete(known.prefixes, e.Prefix)
		return
	}
	known.prefixes[e.Prefix] = struct{}{}
}

// Holds says whether the replica is believed to cache the prefix.
func (h *CacheHints) Holds(id ReplicaID, prefix uint64) bool {
	known := h.replicas[id]
	if known == nil {
		return false
	}
	_, held := known.prefixes[prefix]
	return held
}

// Forget drops what was believed of a replica.
func (h *CacheHints) Forget(id ReplicaID) { delete(h.replicas, id) }
