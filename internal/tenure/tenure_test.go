package tenure_test

import (
	"testing"

	"pgregory.net/rapid"

	"slateway.example/slateway/internal/tenure"
)

// A fencing number that is reused after its grant ended, or a delayed End of an old grant
// that ends a new one, would let two orderers of a place send orders to an engine at the
// same time, although the engine checks fencing numbers.
func TestFencingNumbersGrowAndOneHoldsAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &tenure.Table{}
		holder, fence := "", uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				caller := rapid.SampledFrom([]string{"vm-1", "vm-2", "vm-3"}).Draw(t, "asker")
				if holder == "" {
					holder, fence = caller, fence+1
				}
				if got := table.Acquire("glas-a", caller); got.Holder != holder || got.Fence != fence {
					t.Fatalf("Acquire returned %+v, want holder %s with fencing number %d", got, holder, fence)
				}
			case 1:
				ended := rapid.Uint64Range(0, fence).Draw(t, "ended")
				table.End("glas-a", ended)
				if ended == fence {
					holder = ""
				}
			case 2:
				restored, err := tenure.Restore(table.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				table = restored
			case 3:
				table.Acquire("edin-b", "vm-9")
			}
			if got := table.Get("glas-a"); got.Holder != holder || got.Fence != fence {
				t.Fatalf("the current grant is %+v, want holder %s with fencing number %d", got, holder, fence)
			}
		}
	})
}
