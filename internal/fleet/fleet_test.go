package fleet_test

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"slateway.example/slateway/internal/fleet"
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
)

// timeout is far more than a busy machine needs.
const timeout = 20 * time.Second

// received records the data that handlers were called with.
type received struct {
	mu     sync.Mutex
	values map[string][]byte
}

func (r *received) set(key string, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[key] = data
}

func (r *received) get(key string) func() []byte {
	return func() []byte {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.values[key]
	}
}

func startFleet(t *testing.T, name, place string, seeds ...string) (*fleet.Fleet, string, *received) {
	t.Helper()
	mux := http.NewServeMux()
	server := httptest.NewServer(mux) // the fleet listens on its port number by UDP
	t.Cleanup(server.Close)
	address := server.Listener.Addr().(*net.TCPAddr).String()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	f, err := fleet.New(fleet.Options{
		Member:  member.Config{Seeds: seeds, Heartbeat: 50 * time.Millisecond, NearInterval: 100 * time.Millisecond, BytesPerSecond: 1 << 20},
		VM:      member.VM{Name: name, Place: place, Region: "north", Peers: address},
		Client:  rpc.NewClient(&http.Client{Transport: transport}),
		Metrics: telemetry.NewMetrics(),
		Log:     zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	got := &received{values: map[string][]byte{}}
	f.Handle(mux)
	f.OnDigest(fleet.KindPoison, func(vm string, data []byte) { got.set("digest "+vm, data) })
	f.OnDirect(fleet.KindYield, func(vm string, data []byte) { got.set("direct "+vm, data) })
	f.OnSum(fleet.KindPoison, func(place, _ string, data []byte) { got.set("sum "+place, data) })
	f.Start()
	t.Cleanup(f.Close)
	return f, address, got
}

func TestDigestsSumsAndMessagesBetweenSockets(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("fleet", func(t *testing.T) {
		g := NewWithT(t)
		one, seed, fromOthers := startFleet(t, "vm1", "a")
		two, _, _ := startFleet(t, "vm2", "a", seed)
		far, _, fromA := startFleet(t, "vm3", "b", seed)

		large := bytes.Repeat([]byte("x"), 8000) // does not fit a datagram
		g.Expect(two.SetDigest(fleet.KindPoison, large)).To(Succeed())
		g.Eventually(fromOthers.get("digest vm2"), timeout).Should(Equal(large))
		g.Eventually(func() error { return two.Send("vm1", fleet.KindYield, []byte("now")) }, timeout).Should(Succeed())
		g.Eventually(fromOthers.get("direct vm2"), timeout).Should(Equal([]byte("now")))

		one.SetSum(fleet.KindPoison, []byte("9 free"))
		two.SetSum(fleet.KindPoison, []byte("9 free"))
		g.Eventually(fromA.get("sum a"), timeout).Should(Equal([]byte("9 free")))
		g.Eventually(func() int { return len(far.Areas()) }, timeout).Should(Equal(1))

		two.Leave()
		g.Eventually(func() member.State { return one.Members()[1].State }, timeout).Should(Equal(member.Left))
		g.Expect(one.Isolated()).To(BeFalse())
	})
}
