package keeper

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"slateway.example/slateway/internal/job"
)

// A small job comes in while 65 gates wait, and its items start half a second
// late: all gates were told of it, all asked for items at once, and the leader
// was busy with sending 63 of them away.
func TestAsManyGatesAreToldOfItemsAsThereAreItemsFor(t *testing.T) {
	g := NewWithT(t)
	o := newOffers()
	now := time.Unix(1_000, 0)
	queue := job.Queue{Service: "wordroom"}
	wants := []job.Want{{Queue: queue, Max: 4}}
	items := 10
	ready := func(_ job.Queue, limit int) int { return min(items, limit) }
	told := func() (count int) {
		for gate := range 65 {
			if o.take(1, job.SessionID(fmt.Sprint("gate-", gate)), wants, ready, now) {
				count++
			}
		}
		return count
	}
	g.Expect(told()).To(Equal(3), "10 items for gates that take up to 4")
	g.Expect(o.take(1, "gate-64", wants, ready, now)).To(BeFalse())
	g.Expect(o.nextEnd(1, now)).To(Equal(offerTime))

	// The first gate leases its four; two of the three are still expected.
	items -= 4
	o.settle(1, "gate-0")
	g.Expect(o.take(1, "gate-64", wants, ready, now)).To(BeFalse())

	// The other two never come: their items are told of again.
	now = now.Add(offerTime)
	g.Expect(o.take(1, "gate-64", wants, ready, now)).To(BeTrue())
	g.Expect(o.take(2, "gate-64", wants, func(job.Queue, int) int { return 0 }, now)).To(BeFalse(), "groups are apart")
	g.Expect(o.nextEnd(2, now)).To(Equal(noOffers))
}
