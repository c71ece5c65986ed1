package keeper

import (
	"fmt"
	"testing"
	"time"

	"slateway.example/slateway/internal/job"
)

var (
	offersStart = time.Unix(1_000_000, 0)
	wordroom    = job.Queue{Service: "wordroom"}
)

// stock is the number of items that can be leased.
type stock int

func (s *stock) ready(_ job.Queue, limit int) int { return min(int(*s), limit) }

func wantOf(most, held int) []job.QueueDemand {
	return []job.QueueDemand{{Queue: wordroom, Max: most, Held: held}}
}

func gateSession(i int) job.SessionID { return job.SessionID(fmt.Sprintf("gate-%03d", i)) }

// leaseAll makes all gates wait, lets each one that gets an offer lease its items,
// and returns the number of items that each gate leased.
func leaseAll(o *offers, s *stock, gates int, wants func(i int) []job.QueueDemand, now time.Time) []int {
	got := make([]int, gates)
	for i := range gates {
		o.addWaiter(1, gateSession(i), wants(i))
	}
	for i := range gates {
		if !o.makeOffer(1, gateSession(i), wants(i), s.ready, now) {
			continue
		}
		got[i] = o.limitWants(1, gateSession(i), wants(i), s.ready, now)[0].Max
	}
	for i := range gates {
		*s -= stock(got[i])
		o.remove(1, gateSession(i))
	}
	return got
}

// Guards against one gate leasing all items of a job while the engines of other gates
// are idle.
func TestItemsAreDistributedAmongWaitingGates(t *testing.T) {
	const gates = 130
	o, s := newOffers(), stock(0)
	held := make([]int, gates)
	for round := range 60 {
		s = 10
		got := leaseAll(o, &s, gates, func(i int) []job.QueueDemand { return wantOf(9-held[i], held[i]) }, offersStart.Add(time.Duration(round)*time.Second))
		for i, count := range got {
			held[i] += count
		}
		if s != 0 {
			t.Fatalf("round %d: %d items were not leased although slots are free", round, s)
		}
	}
	for i, count := range held {
		if mean := 60 * 10 / gates; count < mean || count > mean+1 {
			t.Errorf("gate %d holds %d items, the mean is %d", i, count, mean)
		}
	}
}

// Guards against items being withheld from gates when there are more items than free
// slots.
func TestAllSlotsAreUsedWhenItemsExceedThem(t *testing.T) {
	o, s := newOffers(), stock(100)
	got := leaseAll(o, &s, 3, func(int) []job.QueueDemand { return wantOf(8, 0) }, offersStart)
	for i, count := range got {
		if count != 8 {
			t.Errorf("gate %d got %d of 8", i, count)
		}
	}
	if got := o.limitWants(1, "another", wantOf(5, 3), s.ready, offersStart)[0].Max; got != 5 {
		t.Errorf("a gate that leases without waiting gets %d of 5", got)
	}
}

// Guards against items staying reserved for a gate that got an offer and never leases
// them.
func TestItemsOfAnExpiredOfferGoToTheNextGate(t *testing.T) {
	o, s := newOffers(), stock(1)
	o.addWaiter(1, "frozen", wantOf(9, 0))
	o.addWaiter(1, "other", wantOf(4, 5))
	if o.makeOffer(1, "other", wantOf(4, 5), s.ready, offersStart) {
		t.Fatal("a more loaded gate got the first offer")
	}
	if !o.makeOffer(1, "frozen", wantOf(9, 0), s.ready, offersStart) {
		t.Fatal("the least loaded gate got no offer")
	}
	if got := o.limitWants(1, "third", wantOf(9, 0), s.ready, offersStart)[0].Max; got != 0 {
		t.Errorf("another gate may lease %d items that are offered to the first one", got)
	}
	later := offersStart.Add(offerTTL)
	if end := o.nextExpiry(1, offersStart); end > offerTTL {
		t.Errorf("the offer expires only after %s", end)
	}
	if !o.makeOffer(1, "other", wantOf(4, 5), s.ready, later) {
		t.Error("the item of the expired offer is not offered to another gate")
	}
}
