package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"slateway.example/slateway/internal/rendezvous"
)

// Guards against keys that move although their candidate is still there.
func TestOnlyTheKeysOfALostCandidateMove(t *testing.T) {
	candidates := []string{"a", "b", "c", "d", "e"}
	left := slices.DeleteFunc(slices.Clone(candidates), func(c string) bool { return c == "c" })
	keys := map[string]int{}
	for i := range 1000 {
		key := fmt.Sprint("key-", i)
		before, after := rendezvous.Best(key, candidates), rendezvous.Best(key, left)
		keys[before]++
		if before != "c" && after != before {
			t.Errorf("%s moves from %s to %s", key, before, after)
		}
	}
	for _, candidate := range candidates {
		if keys[candidate] < 100 {
			t.Errorf("%d of 1000 keys at %s", keys[candidate], candidate)
		}
	}
	if got := rendezvous.Best("key", nil); got != "" {
		t.Errorf("of no candidates: %q", got)
	}
}
