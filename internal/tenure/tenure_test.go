package tenure_test

import (
	"testing"

	"pgregory.net/rapid"

	"slateway.example/slateway/internal/tenure"
)

// Two orderers of a place order an engine at the same time, and the engine that
// checks fencing numbers obeys the older one. The number of an ended grant was
// given out again, or a late end of an old grant ended the new one.
func TestFencingNumbersGrowAndOneHoldsAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &tenure.Table{}
		holder, fence := "", uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				asker := rapid.SampledFrom([]string{"vm-1", "vm-2", "vm-3"}).Draw(t, "asker")
				if holder == "" {
					holder, fence = asker, fence+1
				}
				if got := table.Acquire("glas-a", asker); got.Holder != holder || got.Fence != fence {
					t.Fatalf("granted %+v, want %s under %d", got, holder, fence)
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
				t.Fatalf("%+v, want %s under %d", got, holder, fence)
			}
		}
	})
}
