package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"slateway.example/slateway/internal/rendezvous"
)

// The removal of a candidate must not move keys of the other candidates.
func TestOnlyTheKeysOfALostCandidateMove(t *testing.T) {
	candidates := []string{"a", "b", "c", "d", "e"}
	remaining := slices.DeleteFunc(slices.Clone(candidates), func(c string) bool { return c == "c" })
	keys := map[string]int{}
	for i := range 1000 {
		key := fmt.Sprint("key-", i)
		before, after := rendezvous.Best(key, candidates), rendezvous.Best(key, remaining)
		keys[before]++
		if before != "c" && after != before {
			t.Errorf("%s moves from %s to %s", key, before, after)
		}
	}
	for _, candidate := range candidates {
		if keys[candidate] < 100 {
			t.Errorf("%d of 1000 keys are assigned to %s, want at least 100", keys[candidate], candidate)
		}
	}
	if got := rendezvous.Best("key", nil); got != "" {
		t.Errorf("got %q without candidates, want an empty string", got)
	}
}
