package test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/internal/load"
	"slateway.example/slateway/standin/announce"
	"slateway.example/slateway/standin/engine"
	"slateway.example/slateway/test/harness"
)

// announcementRecorder is a gate that only records the last announcement.
type announcementRecorder struct {
	mu   sync.Mutex
	last announce.Announcement
}

func (a *announcementRecorder) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = json.NewDecoder(r.Body).Decode(&a.last)
}

func (a *announcementRecorder) get() announce.Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last
}

func isExpectedAnswer(request *load.Request, text string) bool {
	return text == engine.Answer(request.Prompt, request.MaxTokens)
}

var _ = Describe("a stand-in engine", func() {
	var gate *announcementRecorder
	var upstream *harness.Upstream
	BeforeEach(func() {
		gate = &announcementRecorder{}
		server := httptest.NewServer(gate)
		DeferCleanup(server.Close)
		var err error
		upstream, err = newFleet(harness.Options{}).StartEngine("wordroom", "r1", localPlace, "--token-every", "20ms",
			"--announce-every", "100ms", "--leave-grace", "200ms", "--gate", strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return gate.get().Ready }).Should(BeTrue())
	})

	// stream requests an answer of 100 tokens and returns once the engine runs it.
	stream := func() chan load.Result {
		client := load.NewClient([]string{upstream.Address}, "", isExpectedAnswer)
		answered := make(chan load.Result, 1)
		go func() {
			request := load.Request{Model: "small", Prompt: "long", MaxTokens: 100}
			answered <- client.Stream(context.Background(), time.Now(), &request)
		}()
		Eventually(func() int64 { return int64(gate.get().Running) }).Should(BeEquivalentTo(1))
		return answered
	}

	It("that is asked to end announces its leaving, finishes its streams and exits 0", func() {
		answered := stream()
		Expect(upstream.Terminate()).To(Succeed())
		Eventually(func() bool { return gate.get().Leaving }).Should(BeTrue())
		Expect((<-answered).Outcome).To(Equal(load.Answered))
		code, err := upstream.ExitCode(waitTimeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(BeZero(), upstream.LogTail(1000))
	})

	It("that is killed leaves a log of the runs that it began", func() {
		answered := stream()
		upstream.Kill()
		Expect((<-answered).Outcome).To(Equal(load.CutOff))
		first := gate.get().Incarnation
		Expect(upstream.Restart()).To(Succeed())
		Eventually(func() int64 { return gate.get().Incarnation }).Should(BeNumerically(">", first))
		runs, err := upstream.Runs()
		Expect(err).NotTo(HaveOccurred())
		Expect(runs).To(HaveLen(1))
		Expect(runs[0]).To(And(HaveField("Prompt", "long"), HaveField("Outcome", BeEmpty())))
	})
})
