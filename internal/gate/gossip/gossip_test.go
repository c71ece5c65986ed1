package gossip_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"slateway.example/slateway/internal/gate/gossip"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// mesh hands digests and messages between fake fleets at once.
type mesh struct {
	mu      sync.Mutex
	fleets  map[string]*fakeFleet
	members []member.Member
	drop    int // direct messages to lose
}

type fakeFleet struct {
	mesh    *mesh
	vm      string
	digests map[member.DigestKind]func(string, []byte)
	directs map[member.DigestKind]func(string, []byte)
	sent    map[member.DigestKind][]byte
	state   func(string, member.State)
}

func newMesh() *mesh { return &mesh{fleets: map[string]*fakeFleet{}} }

func (m *mesh) fleet(vm string) *fakeFleet {
	f := &fakeFleet{
		mesh: m, vm: vm, digests: map[member.DigestKind]func(string, []byte){},
		directs: map[member.DigestKind]func(string, []byte){}, sent: map[member.DigestKind][]byte{},
	}
	m.fleets[vm] = f
	m.members = append(m.members, member.Member{Record: member.Record{
		VM: member.VM{Name: vm, Place: "a", Callers: vm + ":1"}, State: member.Alive,
	}})
	return f
}

func (f *fakeFleet) Members() []member.Member {
	f.mesh.mu.Lock()
	defer f.mesh.mu.Unlock()
	members := slices.Clone(f.mesh.members)
	for i := range members {
		members[i].Self = members[i].VM.Name == f.vm
	}
	return members
}

func (f *fakeFleet) Areas() []member.PlaceArea { return nil }

func (f *fakeFleet) SetDigest(kind member.DigestKind, data []byte) error {
	if slices.Equal(f.sent[kind], data) {
		return nil
	}
	f.sent[kind] = data
	for _, other := range f.mesh.fleets {
		if fn := other.digests[kind]; other != f && fn != nil {
			fn(f.vm, data)
		}
	}
	return nil
}

func (f *fakeFleet) SetSum(member.DigestKind, []byte) {}

func (f *fakeFleet) Send(vm string, kind member.DigestKind, data []byte) error {
	f.mesh.mu.Lock()
	lost := f.mesh.drop > 0
	if lost {
		f.mesh.drop--
	}
	f.mesh.mu.Unlock()
	if other := f.mesh.fleets[vm]; !lost && other != nil {
		other.directs[kind](f.vm, data)
	}
	return nil
}

func (f *fakeFleet) OnDigest(kind member.DigestKind, fn func(string, []byte)) { f.digests[kind] = fn }
func (f *fakeFleet) OnSum(member.DigestKind, func(string, string, []byte))    {}
func (f *fakeFleet) OnDirect(kind member.DigestKind, fn func(string, []byte)) { f.directs[kind] = fn }
func (f *fakeFleet) OnState(fn func(string, member.State))                    { f.state = fn }

// start makes a gate: a real router and its gossip.
func start(t *testing.T, m *mesh, vm string) (*gossip.Gossip, *proxy.Router) {
	t.Helper()
	router := proxy.New(proxy.Options{Self: vm, Place: "a", Route: route.Config{EntryLifetime: time.Hour}})
	t.Cleanup(router.Close)
	g := gossip.New(gossip.Options{
		Self: vm, Place: "a", Fleet: m.fleet(vm), Router: router,
		Metrics: telemetry.NewMetrics(), Log: zap.NewNop(), Interval: 20 * time.Millisecond,
	})
	return g, router
}

func announcement(sequence uint64) upstream.Announcement {
	return upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: "w1", Incarnation: 1, Sequence: sequence,
		Address: "10.0.0.1:80", Place: "a", VM: "u1", Load: upstream.Load{Slots: 8, Ready: true},
	}
}

// A replica says to the one gate that it announces to that it is leaving. Other
// gates went on sending it new work until the next digest; it must be at once.
func TestLeavingSpreadsAtOnce(t *testing.T) {
	g := NewWithT(t)
	m := newMesh()
	one, _ := start(t, m, "g1")
	_, other := start(t, m, "g2")
	g.Expect(one.Announce(announcement(1))).To(Succeed())
	g.Expect(other.Upstreams()).To(HaveLen(1))
	g.Expect(other.Upstreams()[0].Ready).To(BeTrue())

	leaving := announcement(2)
	leaving.Leaving = true
	g.Expect(one.Announce(leaving)).To(Succeed())
	g.Expect(other.Upstreams()[0].Leaving).To(BeTrue())
}

func TestLoadsSpreadEachInterval(t *testing.T) {
	g := NewWithT(t)
	m := newMesh()
	one, _ := start(t, m, "g1")
	_, other := start(t, m, "g2")
	g.Expect(one.Announce(announcement(1))).To(Succeed())
	busy := announcement(2)
	busy.Running = 5
	g.Expect(one.Announce(busy)).To(Succeed())
	g.Expect(other.Upstreams()[0].Running).To(BeZero()) // load alone is not urgent
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		one.Run(ctx)
	}()
	g.Eventually(func() int { return other.Upstreams()[0].Running }, 20*time.Second).Should(Equal(5))
	stop()
	<-done
}

// A request kills a replica, and the datagram that tells the other gates is
// lost. The caller, told too early, would send it again through another gate and
// kill the next replica. Spread returns only when the others know.
func TestSpreadReturnsWhenOthersKnow(t *testing.T) {
	g := NewWithT(t)
	m := newMesh()
	one, _ := start(t, m, "g1")
	_, other := start(t, m, "g2")
	m.drop = 2
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	print := upstream.FingerprintOf("wordroom", []byte("poison"))
	strike := upstream.Strike{Fingerprint: print, Replica: "w1", Incarnation: 1, Gate: "g1", At: time.Now()}
	one.Spread(ctx, "wordroom", []upstream.Strike{strike})
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	digests, _ := other.Digest(nil)
	g.Expect(digests).To(HaveLen(1))
	g.Expect(digests[0].Strikes).To(HaveLen(1))

	// A gate that is gone is not waited for longer than the caller allows.
	m.drop = 1 << 30
	short, cancelShort := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancelShort()
	one.Spread(short, "wordroom", []upstream.Strike{strike})
	g.Expect(short.Err()).To(HaveOccurred())
}
