package upstream_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"slateway.example/slateway/internal/upstream"
)

// TestAnyHoldsCountsTheHolders compares AnyHolds with a look at each replica: a prefix
// that seems to be held by nobody would be computed anew on another replica.
func TestAnyHoldsCountsTheHolders(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	hints := upstream.NewCacheHints()
	sequences := map[upstream.ReplicaID]uint64{}
	for range 20_000 {
		id := upstream.ReplicaID(fmt.Sprint("r", rng.IntN(4)))
		switch n := rng.IntN(100); {
		case n == 0:
			hints.Forget(id)
		case n < 3:
			sequences[id] += 2 // an event is lost
		default:
			sequences[id]++
		}
		hints.Observe(upstream.CacheEvent{
			Replica: id, Incarnation: 1 + sequences[id]/500, Sequence: sequences[id], Prefix: rng.Uint64N(5), Dropped: rng.IntN(2) == 0,
		})
		for prefix := range uint64(5) {
			held := false
			for i := range 4 {
				held = held || hints.Holds(upstream.ReplicaID(fmt.Sprint("r", i)), prefix)
			}
			if hints.AnyHolds(prefix) != held {
				t.Fatalf("any replica holds prefix %d: %t, by a look at each %t", prefix, !held, held)
			}
		}
	}
}
