package exchange_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"slateway.example/slateway/internal/fleet"
	"slateway.example/slateway/internal/gate/exchange"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// eventuallyTimeout is far above what a busy machine needs.
const eventuallyTimeout = 20 * time.Second

// wire passes what one exchange spreads on to another exchange and keeps it for inspection.
type wire struct {
	mu      sync.Mutex
	digests map[member.DigestKind]func(string, []byte)
	sums    map[member.DigestKind]func(string, string, []byte)
	last    map[member.DigestKind][]byte
	to      *wire
	lose    map[member.DigestKind]bool // kinds whose digests are lost
}

func newWire() *wire {
	return &wire{
		digests: map[member.DigestKind]func(string, []byte){}, sums: map[member.DigestKind]func(string, string, []byte){},
		last: map[member.DigestKind][]byte{}, lose: map[member.DigestKind]bool{},
	}
}

func (w *wire) Members() []member.Member  { return nil }
func (w *wire) Areas() []member.PlaceArea { return nil }

func (w *wire) SetDigest(kind member.DigestKind, data []byte) error {
	w.mu.Lock()
	changed := !slices.Equal(w.last[kind], data)
	w.last[kind] = data
	lost := w.lose[kind]
	w.mu.Unlock()
	if changed && !lost && w.to != nil {
		w.to.digests[kind]("g1", data)
	}
	return nil
}

func (w *wire) SetSum(kind member.DigestKind, data []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last[kind] = data
	if w.to != nil && w.to.sums[kind] != nil {
		w.to.sums[kind]("a", "g1", data)
	}
}

func (w *wire) OnDigest(kind member.DigestKind, fn func(string, []byte)) { w.digests[kind] = fn }
func (w *wire) OnSum(kind member.DigestKind, fn func(string, string, []byte)) {
	w.sums[kind] = fn
}
func (w *wire) OnState(func(string, member.State)) {}

func (w *wire) setLost(kind member.DigestKind, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lose[kind] = lost
}

func (w *wire) resend(kind member.DigestKind) {
	w.mu.Lock()
	data := w.last[kind]
	w.mu.Unlock()
	w.to.digests[kind]("g1", data)
}

// start creates a gate with a real router and its exchange.
func start(t *testing.T, w *wire, vm, place string, lifetime time.Duration) (*exchange.Exchange, *proxy.Router) {
	t.Helper()
	router := proxy.New(proxy.Options{Self: vm, Place: place, Route: route.Config{EntryLifetime: lifetime}})
	t.Cleanup(router.Close)
	e := exchange.New(exchange.Options{VM: vm, Place: place, Region: "r", Fleet: w, Log: zap.NewNop(), DirectLifetime: time.Hour})
	e.Attach(router)
	return e, router
}

func run(t *testing.T, e *exchange.Exchange) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
}

func announcement(replica int, sequence uint64) upstream.Announcement {
	return upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: upstream.ReplicaID(fmt.Sprintf("w%02d", replica)), Incarnation: 1,
		Sequence: sequence, Address: "10.0.0.1:80", Place: "a", VM: "u1", Load: upstream.Load{Slots: 8, Ready: true},
	}
}

func row(router *proxy.Router, i int) func() upstream.Load {
	return func() upstream.Load {
		rows := router.Upstreams()
		if i >= len(rows) {
			return upstream.Load{}
		}
		return rows[i].Load
	}
}

// Load and leaving of a replica must reach a gate that the replica does not announce to. If
// the list of replicas is lost once, that gate must not apply load rows to other replicas,
// and must know all replicas once the list is resent.
func TestLoadsAndLeavingReachOtherGates(t *testing.T) {
	g := NewWithT(t)
	one, two := newWire(), newWire()
	one.to = two
	e, _ := start(t, one, "g1", "a", time.Hour)
	_, other := start(t, two, "g2", "a", time.Hour)
	clear(two.sums) // sums are for other places only
	one.setLost(fleet.KindUpstreams, true)
	for i := range 3 {
		g.Expect(e.Announce(announcement(i, 1))).To(Succeed())
	}
	run(t, e)
	g.Eventually(func() int { one.mu.Lock(); defer one.mu.Unlock(); return len(one.last) }, eventuallyTimeout).Should(BeNumerically(">=", 3))
	g.Expect(other.Upstreams()).To(BeEmpty())

	one.setLost(fleet.KindUpstreams, false)
	one.resend(fleet.KindUpstreams) // as the membership protocol does on a loss
	busy := announcement(1, 2)
	busy.Running = 5
	g.Expect(e.Announce(busy)).To(Succeed())
	g.Eventually(row(other, 1), eventuallyTimeout).Should(Equal(busy.Load))
	g.Expect(row(other, 0)().Running).To(BeZero())

	leaving := announcement(2, 2)
	leaving.Leaving = true
	g.Expect(e.Announce(leaving)).To(Succeed())
	g.Eventually(row(other, 2), eventuallyTimeout).Should(Equal(leaving.Load))
}

// The loads of 13 replicas, a gate's share at the planned size, make up most of the bytes
// between gates: 18 peers receive them every second.
func TestLoadDigestIsSmall(t *testing.T) {
	g := NewWithT(t)
	one := newWire()
	e, _ := start(t, one, "g1", "a", time.Hour)
	for i := range 13 {
		busy := announcement(i, 1_000_000)
		busy.Running, busy.Queued = 31, 2
		g.Expect(e.Announce(busy)).To(Succeed())
	}
	g.Expect(e.AnnounceEvery()).To(Equal(13 * 250 * time.Millisecond))
	run(t, e)
	size := func() int {
		one.mu.Lock()
		defer one.mu.Unlock()
		return len(one.last[fleet.KindLoad])
	}
	g.Eventually(size, eventuallyTimeout).Should(BeNumerically(">", 0))
	g.Expect(size()).To(BeNumerically("<=", 160))
}

// Another place must receive a bounded selection of replicas that stays the same while their
// loads change.
func TestOtherPlacesGetABoundedChoice(t *testing.T) {
	g := NewWithT(t)
	one, two := newWire(), newWire()
	one.to = two
	e, _ := start(t, one, "g1", "a", time.Hour)
	_, far := start(t, two, "g2", "b", time.Hour)
	for i := range 20 {
		busy := announcement(i, 1)
		busy.Running = 20 - i
		g.Expect(e.Announce(busy)).To(Succeed())
	}
	one.mu.Lock()
	two.digests[fleet.KindUpstreams] = func(string, []byte) {} // g2 belongs to another place
	two.digests[fleet.KindLoad] = func(string, []byte) {}
	one.mu.Unlock()
	run(t, e)
	names := func() []string {
		var list []string
		for _, r := range far.Upstreams() {
			list = append(list, string(r.Replica))
		}
		return list
	}
	g.Eventually(names, eventuallyTimeout).Should(Equal([]string{"w16", "w17", "w18", "w19"}))
	full := announcement(18, 2)
	full.Running = 8
	g.Expect(e.Announce(full)).To(Succeed())
	g.Eventually(row(far, 2), eventuallyTimeout).Should(Equal(full.Load))
	g.Expect(names()).To(HaveLen(4))
}
