package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// newGates creates gates of one place in front of the same engines, which exchange
// load reports and crash records.
func newGates(count int, engines ...*fakeEngine) []*proxy.Router {
	var routers []*proxy.Router
	var gates []route.Gate
	for i := range count {
		id := fmt.Sprint("gate-", i)
		gates = append(gates, route.Gate{ID: id, Place: "glas-a"})
		routers = append(routers, proxy.New(proxy.Options{
			Self: id, Place: "glas-a", Route: route.Config{FirstTimeout: wait},
			SendReports: func(_ context.Context, gate string, u []proxy.LoadReport) ([]upstream.OwnerLoad, error) {
				to, err := strconv.Atoi(gate[len("gate-"):])
				return routers[to].ApplyLoadReports(u), err
			},
			BroadcastCrashes: func(_ context.Context, service string, crashes []upstream.CrashRecord, _ []crash.Record) []crash.Record {
				for other, r := range routers {
					if other != i {
						r.RecordCrashes(service, crashes)
					}
				}
				return nil
			},
		}))
	}
	for _, r := range routers {
		r.SetGates(gates, 0)
		for _, e := range engines {
			Expect(r.Announce(e.announcement())).To(Succeed())
		}
		DeferCleanup(r.Close)
	}
	for _, e := range engines {
		DeferCleanup(e.server.Close)
	}
	return routers
}

var lastID atomic.Int64

// ask sends an online request through a gate and returns the answer.
func ask(r *proxy.Router, prompt string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r.ServeOnline(w, httptest.NewRequest(http.MethodPost, proxy.PathChat, nil), proxy.OnlineRequest{
		ID: fmt.Sprint("ask-", lastID.Add(1)), Team: "council", Service: "wordroom", Repeatable: true,
		Body:     []byte(fmt.Sprintf(`{"messages":[{"role":"user","content":%q}]}`, prompt)),
		Deadline: time.Now().Add(wait),
	})
	return w
}

var _ = Describe("several gates", func() {
	It("preempt batch items of the owner gate for a request to another gate", func() {
		// Guards against an online request that waits for a batch item to end: it
		// arrives at one gate while another gate has filled the only engine with batch
		// items, and neither gate sees both.
		e := newFakeEngine("r1", 40, 0)
		e.hold = make(chan struct{})
		gates := newGates(2, e)
		owner, other := gates[0], gates[1]
		if gates[0].Upstreams()[0].OwnerGate != "gate-0" {
			owner, other = other, owner
		}
		Expect(other.BatchCapacity("wordroom", route.ThroughputPolicy())).To(BeZero())
		results := make(chan proxy.BatchResult, 4)
		for i := range 4 {
			go func() {
				result, _ := owner.RunBatch(context.Background(), proxy.BatchItem{
					ID: fmt.Sprint("item-", i), Service: "wordroom", Body: []byte(plainBody), Repeatable: true,
					Policy: route.ThroughputPolicy(),
				})
				results <- result
			}()
		}
		Eventually(e.count(func(e *fakeEngine) int { return e.served }), wait).Should(Equal(4))
		answer := make(chan string, 1)
		go func() { answer <- ask(other, "headlines").Body.String() }()
		Eventually(e.count(func(e *fakeEngine) int { return e.stopped }), wait).Should(Equal(1), "one item was preempted")
		close(e.hold)
		var data string
		Eventually(answer, wait).Should(Receive(&data))
		Expect(plainText(data)).To(Equal(words(40)))
		for range 4 {
			var result proxy.BatchResult
			Eventually(results, wait).Should(Receive(&result))
			Expect(plainText(string(result.Body))).To(Equal(words(40)))
		}
	})

	It("lose at most two replicas to a poison request that its caller resends", func() {
		// The request crashes each engine that runs it. Its caller sends it 50 times,
		// alternating between gates, while other callers keep sending requests.
		engines := make([]*fakeEngine, 5)
		for i := range engines {
			engines[i] = newFakeEngine(upstream.ReplicaID(fmt.Sprint("r", i)), 5, time.Millisecond)
		}
		gates := newGates(3, engines...)
		var refusal *apierr.Error
		for n := range 50 {
			refusal = apierr.ParseHTTP(ask(gates[n%3], poison).Body.Bytes())
			Expect(plainText(ask(gates[(n+1)%3], fmt.Sprint("bystander ", n)).Body.String())).To(Equal(words(5)))
		}
		Expect(refusal.Reason).To(Equal(route.ReasonPoison))
		Expect(refusal.Ran).To(Equal(apierr.RanNo))
		Expect(refusal.RetryAfter).To(BeZero(), "the refusal is final")
		dead := 0
		for _, e := range engines {
			dead += e.count(func(e *fakeEngine) int {
				if e.dead {
					return 1
				}
				return 0
			})()
		}
		Expect(dead).To(Equal(2))
	})
})

var _ = Describe("plain services", func() {
	serve := func(handler http.HandlerFunc, repeatable bool) (*httptest.ResponseRecorder, *atomic.Int64) {
		var calls atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == proxy.PathLoad {
				return
			}
			calls.Add(1)
			handler(w, r)
		}))
		DeferCleanup(server.Close)
		router := proxy.New(proxy.Options{Self: "gate-1", Place: "glas-a", Route: route.Config{OutageWait: 4 * time.Second}})
		DeferCleanup(router.Close)
		Expect(router.Announce(upstream.Announcement{
			Service: "plate-app", Kind: upstream.KindService, Replica: "p1", Incarnation: 1, Sequence: 1,
			Address: server.Listener.Addr().String(), Place: "glas-a", Load: upstream.Load{Slots: 4, Ready: true},
		})).To(Succeed())
		w := httptest.NewRecorder()
		router.ServeService(w, httptest.NewRequest(http.MethodPost, "/", nil), proxy.ServiceRequest{
			ID: "call-1", Team: "registry", Service: "plate-app", Method: http.MethodPost, Path: "/plates?state=tx",
			Header: http.Header{"Idempotency-Key": {"k1"}, "Authorization": {"Bearer secret"}}, Body: []byte("confirm"),
			Repeatable: repeatable, Deadline: time.Now().Add(wait),
		})
		return w, &calls
	}

	It("receive the call unchanged but for the caller's token", func() {
		w, _ := serve(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Plate", r.URL.Query().Get("state")+r.Header.Get("Authorization"))
			w.WriteHeader(http.StatusTeapot)
		}, false)
		Expect(w.Code).To(Equal(http.StatusTeapot))
		Expect(w.Header().Get("X-Plate")).To(Equal("tx"))
	})

	It("are the only upstreams of a service call, under absolute paths", func() {
		e := newFakeEngine("r1", 5, 0)
		router := newGates(1, e)[0]
		call := func(path string) *apierr.Error {
			w := httptest.NewRecorder()
			router.ServeService(w, httptest.NewRequest(http.MethodPost, "/", nil), proxy.ServiceRequest{
				ID: "call-" + path, Service: "wordroom", Method: http.MethodPost, Path: path, Deadline: time.Now().Add(wait),
			})
			return apierr.ParseHTTP(w.Body.Bytes())
		}
		Expect(call("/v1/orders").Reason).To(Equal(route.ReasonNoUpstream))
		Expect(call("@10.0.0.9/").Reason).To(Equal(proxy.ReasonBadPath))
		result, err := router.RunBatch(context.Background(), proxy.BatchItem{ID: "item", Service: "wordroom", Path: "/v1/orders"})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Err.Reason).To(Equal(proxy.ReasonBadPath))
		Expect(e.count(func(e *fakeEngine) int { return e.served })()).To(BeZero())
	})

	It("run a non-repeatable call once, even with an idempotency key", func() {
		// The connection ends after the service has run the call. net/http would retry
		// a request with an idempotency key by itself.
		w, calls := serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false)
		Expect(w.Code).To(Equal(http.StatusBadGateway))
		Expect(apierr.ParseHTTP(w.Body.Bytes()).Ran).To(Equal(apierr.RanUnknown))
		Expect(calls.Load()).To(BeEquivalentTo(1))
	})

	It("never have a truncated answer forwarded as complete", func() {
		w, calls := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
		}, true)
		Expect(w.Code).To(Equal(http.StatusBadGateway))
		Expect(apierr.ParseHTTP(w.Body.Bytes()).Reason).To(Equal(route.ReasonAttemptsSpent))
		Expect(calls.Load()).To(BeNumerically(">", 1))
	})
})
