package upstream

// CacheEvent reports that a replica has added a prompt prefix to its cache or
// evicted it. Events may be delayed or lost.
type CacheEvent struct {
	Replica     ReplicaID `json:"replica"`
	Incarnation uint64    `json:"incarnation"`
	Sequence    uint64    `json:"sequence"` // increases by one with each event
	Prefix      uint64    `json:"prefix"`   // hash of the prompt prefix
	Dropped     bool      `json:"dropped,omitempty"`
}

// maxHintsPerReplica bounds the memory that hints use: 8 bytes each in two
// fields.
const maxHintsPerReplica = 4096

// CacheHints records which prefixes each replica probably caches. A wrong hint
// costs the recomputation of a prefix, never a wrong answer.
type CacheHints struct {
	replicas map[ReplicaID]*replicaHints
	holders  map[uint64]int // by prefix: replicas that probably cache it
}

type replicaHints struct {
	incarnation uint64
	sequence    uint64
	prefixes    map[uint64]struct{}
}

// NewCacheHints creates an empty set of hints.
func NewCacheHints() *CacheHints {
	return &CacheHints{replicas: make(map[ReplicaID]*replicaHints), holders: make(map[uint64]int)}
}

// Observe applies an event. A gap in the sequence discards all hints for the
// replica, since the lost event may have evicted any prefix.
func (h *CacheHints) Observe(e CacheEvent) {
	known := h.replicas[e.Replica]
	if known == nil || e.Incarnation > known.incarnation {
		h.dropAll(known)
		known = &replicaHints{incarnation: e.Incarnation, prefixes: make(map[uint64]struct{})}
		h.replicas[e.Replica] = known
	}
	if e.Incarnation < known.incarnation || e.Sequence <= known.sequence {
		return
	}
	if e.Sequence != known.sequence+1 || len(known.prefixes) >= maxHintsPerReplica {
		h.dropAll(known)
	}
	known.sequence = e.Sequence
	_, held := known.prefixes[e.Prefix]
	switch {
	case e.Dropped && held:
		delete(known.prefixes, e.Prefix)
		h.dropHolder(e.Prefix)
	case !e.Dropped && !held:
		known.prefixes[e.Prefix] = struct{}{}
		h.holders[e.Prefix]++
	}
}

// dropAll drops all prefixes of a replica, of which nothing may be known.
func (h *CacheHints) dropAll(known *replicaHints) {
	if known == nil {
		return
	}
	for prefix := range known.prefixes {
		h.dropHolder(prefix)
	}
	clear(known.prefixes)
}

func (h *CacheHints) dropHolder(prefix uint64) {
	if h.holders[prefix]--; h.holders[prefix] == 0 {
		delete(h.holders, prefix)
	}
}

// AnyHolds reports whether any replica probably caches the prefix.
func (h *CacheHints) AnyHolds(prefix uint64) bool { return h.holders[prefix] > 0 }

// Holds reports whether the replica probably caches the prefix.
func (h *CacheHints) Holds(id ReplicaID, prefix uint64) bool {
	known := h.replicas[id]
	if known == nil {
		return false
	}
	_, held := known.prefixes[prefix]
	return held
}

// Forget removes all hints for a replica.
func (h *CacheHints) Forget(id ReplicaID) {
	h.dropAll(h.replicas[id])
	delete(h.replicas, id)
}
