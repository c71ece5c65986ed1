package proxy_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/route"
)

func TestProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proxy")
}

const wait = 10 * time.Second

// gate is a Router behind an HTTP server, with fake engines.
type gate struct {
	router *proxy.Router
	server *httptest.Server

	mu     sync.Mutex
	counts map[string]int
	nextID int
}

func (g *gate) Count(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts[name]++
}

func (g *gate) Observe(string, time.Duration) {}

func (g *gate) count(name string) func() int {
	return func() int {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.counts[name]
	}
}

func newGate(config route.Config, engines ...*fakeEngine) *gate {
	g := &gate{counts: make(map[string]int)}
	g.router = proxy.New(proxy.Options{Self: "gate-1", Place: "glas-a", Route: config, Metrics: g})
	g.server = httptest.NewServer(http.HandlerFunc(g.serve))
	for _, e := range engines {
		Expect(g.router.Announce(e.announcement())).To(Succeed())
		DeferCleanup(e.server.Close)
	}
	DeferCleanup(func() {
		g.server.Close()
		g.router.Close()
	})
	return g
}

func (g *gate) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	g.mu.Lock()
	g.nextID++
	id := "req-" + strconv.Itoa(g.nextID)
	g.mu.Unlock()
	g.router.ServeOnline(w, r, proxy.OnlineRequest{
		ID: id, Team: "council", Service: "wordroom", Body: body,
		Stream:     strings.Contains(string(body), `"stream":true`),
		Repeatable: r.Header.Get("Once") == "",
		Deadline:   time.Now().Add(wait),
	})
}

func (g *gate) post(body string, header ...string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, g.server.URL, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for _, name := range header {
		request.Header.Set(name, "1")
	}
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(data)
}

const (
	plainBody  = `{"messages":[{"role":"user","content":"headlines 0"}]}`
	streamBody = `{"stream":true,"messages":[{"role":"user","content":"headlines 0"}]}`
)

// varied changes the prompt, so that prefix affinity does not send all requests to
// one replica.
func varied(body string, n int) string {
	return strings.Replace(body, "headlines 0", "headlines "+strconv.Itoa(n), 1)
}

// streamText returns the text of a stream and whether the stream is complete.
func streamText(data string) (text string, whole bool) {
	for _, line := range strings.Split(data, "\n") {
		content, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if content == "[DONE]" {
			return text, true
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		Expect(json.Unmarshal([]byte(content), &chunk)).To(Succeed())
		for _, choice := range chunk.Choices {
			text += choice.Delta.Content
		}
	}
	return text, false
}

func plainText(data string) string {
	var answer struct {
		Choices []struct{ Message struct{ Content string } }
	}
	Expect(json.Unmarshal([]byte(data), &answer)).To(Succeed())
	Expect(answer.Choices).To(HaveLen(1))
	return answer.Choices[0].Message.Content
}

var _ = Describe("online requests", func() {
	It("passes streams through and assembles plain answers", func() {
		g := newGate(route.Config{}, newFakeEngine("r1", 5, 0))
		status, data := g.post(streamBody)
		Expect(status).To(Equal(http.StatusOK))
		text, whole := streamText(data)
		Expect(whole).To(BeTrue())
		Expect(text).To(Equal(words(5)))
		_, data = g.post(plainBody)
		Expect(plainText(data)).To(Equal(words(5)))
	})

	It("resumes a broken stream on another replica at the token reached", func() {
		// The replica dies in the middle of an answer. Another one must continue it
		// with no token missing and none repeated.
		broken, healthy := newFakeEngine("r1", 8, 0), newFakeEngine("r2", 8, 0)
		broken.breakAt = 4
		g := newGate(route.Config{}, broken, healthy)
		for i := range 12 {
			_, data := g.post(varied(streamBody, i))
			text, whole := streamText(data)
			Expect(whole).To(BeTrue())
			Expect(text).To(Equal(words(8)))
		}
		Expect(healthy.count(func(e *fakeEngine) int { return len(e.resumedAt) })()).To(BeNumerically(">", 0))
		Expect(healthy.resumedAt).To(HaveEach(3))
	})

	It("replaces a stalled connection", func() {
		// The stream stops without an error because a device between gate and engine
		// has dropped the connection's state. Other connections work.
		stalled, healthy := newFakeEngine("r1", 6, 0), newFakeEngine("r2", 6, 0)
		stalled.silentAt = 3
		config := route.Config{FirstTimeout: time.Second, TokenTimeout: 300 * time.Millisecond}
		g := newGate(config, stalled, healthy)
		for i := range 12 {
			_, data := g.post(varied(streamBody, i))
			text, whole := streamText(data)
			Expect(whole).To(BeTrue())
			Expect(text).To(Equal(words(6)))
		}
		Expect(g.count("retried.silent")()).To(BeNumerically(">", 0))
	})

	It("never forwards the answer to another request", func() {
		mixed, healthy := newFakeEngine("r1", 3, 0), newFakeEngine("r2", 3, 0)
		mixed.otherID = true
		g := newGate(route.Config{}, mixed, healthy)
		for i := range 12 {
			status, data := g.post(varied(plainBody, i))
			Expect(status).To(Equal(http.StatusOK))
			Expect(plainText(data)).To(Equal(words(3)))
		}
		Expect(g.count("retried.mismatch")()).To(BeNumerically(">", 0))
	})

	It("does not repeat a non-repeatable request that may have run, and reports that", func() {
		broken, healthy := newFakeEngine("r1", 3, 0), newFakeEngine("r2", 3, 0)
		broken.breakAt = 2
		healthy.breakAt = 2
		g := newGate(route.Config{}, broken, healthy)
		status, data := g.post(plainBody, "Once")
		Expect(status).To(Equal(http.StatusBadGateway))
		refusal := apierr.ParseHTTP([]byte(data))
		Expect(refusal.Reason).To(Equal(route.ReasonUpstreamFailed))
		Expect(refusal.Ran).To(Equal(apierr.RanUnknown))
		Expect(broken.served + healthy.served).To(Equal(1))
	})

	It("refuses at once a request for a service without replicas", func() {
		g := newGate(route.Config{})
		status, data := g.post(plainBody)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(apierr.ParseHTTP([]byte(data)).Ran).To(Equal(apierr.RanNo))
	})

	It("cancels the attempt when the caller disconnects", func() {
		e := newFakeEngine("r1", 1000, 5*time.Millisecond)
		g := newGate(route.Config{}, e)
		ctx, leave := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.server.URL, strings.NewReader(streamBody))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		leave()
		_ = response.Body.Close()
		Eventually(e.count(func(e *fakeEngine) int { return e.stopped }), wait).Should(Equal(1))
		Eventually(g.router.InFlight, wait).Should(BeZero())
	})
})

var _ = Describe("batch items", func() {
	It("are preempted at once by an online request and resume from their prefix", func() {
		// An online request arrives while batch items fill every slot. Its first token
		// must not wait for an item to end, and each preempted item must still complete.
		e := newFakeEngine("r1", 40, 0)
		e.hold = make(chan struct{})
		g := newGate(route.Config{FirstTimeout: wait}, e)
		policy := route.ThroughputPolicy()
		Expect(g.router.BatchCapacity("wordroom", policy)).To(Equal(4))
		results := make(chan proxy.BatchResult, 4)
		for i := range 4 {
			go func() {
				defer GinkgoRecover()
				result, err := g.router.RunBatch(context.Background(), proxy.BatchItem{
					ID: "item-" + string(rune('a'+i)), Service: "wordroom", Body: []byte(plainBody),
					Repeatable: true, Policy: policy,
				})
				Expect(err).NotTo(HaveOccurred())
				results <- result
			}()
		}
		Eventually(e.count(func(e *fakeEngine) int { return e.served }), wait).Should(Equal(4))
		Expect(g.router.BatchCapacity("wordroom", policy)).To(BeZero())
		answer := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, data := g.post(plainBody)
			answer <- data
		}()
		Eventually(g.count("cancel_preempted"), wait).Should(Equal(1))
		close(e.hold)
		var data string
		Eventually(answer, wait).Should(Receive(&data))
		Expect(plainText(data)).To(Equal(words(40)))
		for range 4 {
			var result proxy.BatchResult
			Eventually(results, wait).Should(Receive(&result))
			Expect(result.Outcome).To(Equal(proxy.BatchDone))
			Expect(plainText(string(result.Body))).To(Equal(words(40)))
		}
		Expect(g.count("cancel_preempted")()).To(Equal(1))
	})

	It("are given back unsent when the gate does not hold them any more", func() {
		// Guards against two gates that run the same item: a gate is frozen between its
		// decision to send the item and the sending, its lease expires, and the item is
		// leased to another gate.
		e := newFakeEngine("r1", 5, 0)
		g := newGate(route.Config{}, e)
		expired := apierr.New(apierr.Unavailable, "lease_out", "", "the lease is over")
		result, err := g.router.RunBatch(context.Background(), proxy.BatchItem{
			ID: "item", Service: "wordroom", Body: []byte(plainBody), Repeatable: true,
			CheckLease: func() *apierr.Error { return expired },
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Outcome).To(Equal(proxy.BatchNotRun))
		Expect(result.Err).To(Equal(expired))
		Expect(e.count(func(e *fakeEngine) int { return e.served })()).To(BeZero())
	})

	It("are returned when the gate drains", func() {
		e := newFakeEngine("r1", 1000, 5*time.Millisecond)
		g := newGate(route.Config{}, e)
		done := make(chan proxy.BatchResult, 1)
		go func() {
			result, _ := g.router.RunBatch(context.Background(), proxy.BatchItem{
				ID: "item", Service: "wordroom", Body: []byte(plainBody), Repeatable: true,
			})
			done <- result
		}()
		Eventually(e.count(func(e *fakeEngine) int { return e.served }), wait).Should(Equal(1))
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		Expect(g.router.Drain(ctx)).To(Succeed())
		var result proxy.BatchResult
		Eventually(done, wait).Should(Receive(&result))
		Expect(result.Outcome).To(Equal(proxy.BatchNotRun))
		Expect(result.Err.Reason).To(Equal(route.ReasonDraining))
	})
})
