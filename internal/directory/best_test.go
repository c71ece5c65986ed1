package directory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// TestBestIsTheStartOfTheSortedList guards the order of an answer: callers use the first
// gates of it.
func TestBestIsTheStartOfTheSortedList(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		candidates := make([]candidate, rng.IntN(40))
		for i := range candidates {
			candidates[i] = candidate{entry: Entry{VM: fmt.Sprint(i)}, tier: tier(rng.IntN(4)), key: float64(rng.IntN(10))}
		}
		sorted := slices.Clone(candidates)
		slices.SortStableFunc(sorted, func(a, b candidate) int { return compareCandidates(&a, &b) })
		limit := rng.IntN(12)
		first := best(candidates, limit)
		if len(first) != min(limit, len(candidates)) {
			t.Fatalf("got %d of %d candidates with a limit of %d", len(first), len(candidates), limit)
		}
		for i := range first {
			if *first[i] != sorted[i] {
				t.Fatalf("candidate %d is %+v, want %+v", i, *first[i], sorted[i])
			}
		}
	}
}
