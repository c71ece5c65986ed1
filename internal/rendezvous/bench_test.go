package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"

	"slateway.example/slateway/internal/rendezvous"
)

func gateNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("gate-%03d.place-%d.example", i, i%4)
	}
	return names
}

// Processes of older builds must choose the same candidate: the one with the highest hash
// of key, zero byte and candidate.
func TestBestIsTheOneOfOlderBuilds(t *testing.T) {
	candidates := gateNames(50)
	for i := range 500 {
		key := fmt.Sprint("team-", i)
		want, highest := "", uint64(0)
		for _, candidate := range candidates {
			if score := xxhash.Sum64String(key + "\x00" + candidate); score > highest {
				want, highest = candidate, score
			}
		}
		if got := rendezvous.Best(key, candidates); got != want {
			t.Fatalf("%s is assigned to %s, want %s", key, got, want)
		}
	}
}

func BenchmarkBestTwo(b *testing.B) {
	candidates := gateNames(245)
	b.ReportAllocs()
	for range b.N {
		rendezvous.BestTwo("team-0042", candidates)
	}
}
