package test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sashabaranov/go-openai"

	"slateway.example/slateway/client"
	"slateway.example/slateway/standin/engine"
	"slateway.example/slateway/test/harness"
)

// readers sends streaming requests continuously until it is stopped.
type readers struct {
	answered atomic.Int64
	mu       sync.Mutex
	failures []string
	done     sync.WaitGroup
}

func (r *readers) start(ctx context.Context, caller *openai.Client, count, tokens int) {
	for i := range count {
		r.done.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				// A request that has started is completed even after the stop.
				prompt := fmt.Sprintf("notice %d of reader %d", n, i)
				if err := readOne(context.WithoutCancel(ctx), caller, prompt, tokens); err != nil {
					r.fail(err)
					return
				}
				r.answered.Add(1)
			}
		})
	}
}

func (r *readers) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, err.Error())
}

func (r *readers) allFailures() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.failures...)
}

// Token interval and answer lengths. Long answers take longer than the time that a
// gate's listener grants to remaining requests once the gate has stopped waiting for
// them. Short answers leave gates idle, so that a stopping gate waits only until the
// directory's answers have expired.
const (
	streamPace  = "50ms"
	longAnswer  = 60
	shortAnswer = 2
)

// readOne sends one request and checks its whole answer.
func readOne(ctx context.Context, caller *openai.Client, prompt string, tokens int) error {
	stream, err := caller.CreateChatCompletionStream(ctx, openai.ChatCompletionRequest{
		Model: model, MaxCompletionTokens: tokens,
		Messages: []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: prompt}},
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	var text strings.Builder
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("after %q: %w", text.String(), err)
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	if want := engine.Answer(prompt, tokens); text.String() != want {
		return fmt.Errorf("answer %q, want %q", text.String(), want)
	}
	return nil
}

// strictTransport does no more than the directory's contract requires: it caches an
// answer for its lifetime, sends each request to one of the listed gates, and does not
// retry at another gate.
type strictTransport struct {
	gates []string // whose directory is queried
	mu    sync.Mutex
	known []string
	until time.Time
}

// RoundTrip sends the request to one of the gates that the directory lists.
func (s *strictTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	gate, err := s.pickGate()
	if err != nil {
		return nil, err
	}
	sent := request.Clone(request.Context())
	sent.URL.Host = gate
	// A reused connection may be closed just as a request is sent on it; that failure
	// would have nothing to do with the directory.
	transport := &http.Transport{DisableKeepAlives: true}
	return transport.RoundTrip(sent)
}

func (s *strictTransport) pickGate() (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.until) {
		return s.known[rand.IntN(len(s.known))], nil
	}
	var failures []error
	for _, gate := range s.gates {
		err := s.refresh(gate)
		if err == nil {
			return s.known[rand.IntN(len(s.known))], nil
		}
		failures = append(failures, err)
	}
	return "", errors.Join(failures...)
}

func (s *strictTransport) refresh(gate string) error {
	asked := time.Now()
	response, err := http.Get("http://" + gate + "/v1/entries")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var answer struct {
		Entries    []client.Entry `json:"entries"`
		LifetimeMS int64          `json:"lifetime_ms"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || len(answer.Entries) == 0 {
		return fmt.Errorf("directory of gate %s lists %d gates (status %d): %w", gate, len(answer.Entries), response.StatusCode, err)
	}
	s.known = nil
	for _, entry := range answer.Entries {
		s.known = append(s.known, entry.Address)
	}
	s.until = asked.Add(time.Duration(answer.LifetimeMS) * time.Millisecond)
	return nil
}

// startReaders starts readers through the gates that the directory lists: of long
// answers with package client, of short answers with strictTransport.
func startReaders(ctx context.Context, fleet *harness.Fleet) *readers {
	GinkgoHelper()
	c, err := client.New(client.Options{Gates: fleet.Callers()})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	running := &readers{}
	running.start(ctx, openAI(c.HTTPClient()), 2, longAnswer)
	running.start(ctx, openAI(&http.Client{Transport: &strictTransport{gates: fleet.Callers()}}), 4, shortAnswer)
	return running
}

func openAI(caller *http.Client) *openai.Client {
	config := openai.DefaultConfig(token)
	config.BaseURL = client.BaseURL
	config.HTTPClient = caller
	return openai.NewClientWithConfig(config)
}

var _ = Describe("callers that follow the directory", func() {
	// All VMs are restarted in turn while callers read streams through gates that they
	// take from cached directory answers. No caller may see an error or an incomplete
	// answer, and each VM must exit with code 0. Guards against gates that exit while
	// callers may still use them.
	It("see nothing of a restart of every gate in turn", func(ctx SpecContext) {
		// The answers' lifetime exceeds the time that a daemon takes to stop if it does not
		// wait for them to expire.
		options := threeVMs()
		options.Settings = strings.Replace(options.Settings, `answer_lifetime = "1s"`, `answer_lifetime = "4s"`, 1)
		Expect(options.Settings).To(ContainSubstring(`"4s"`))
		fleet, _ := startSite(ctx, options, 3, "--token-every", streamPace, "--slots", "16")
		readCtx, stop := context.WithCancel(ctx)
		defer stop()
		running := startReaders(readCtx, fleet)
		for _, vm := range fleet.VMs {
			before := running.answered.Load()
			Eventually(ctx, running.answered.Load).Should(BeNumerically(">=", before+6))
			Expect(vm.Terminate()).To(Succeed())
			code, err := vm.ExitCode(waitTimeout)
			Expect(err).NotTo(HaveOccurred())
			Expect(code).To(BeZero())
			Expect(vm.Start()).To(Succeed())
			Expect(fleet.WaitReady(ctx, map[string]int{"wordroom": 3})).To(Succeed())
			Eventually(ctx, func() []string { return entries(ctx, vm.Callers) }).Should(HaveLen(len(fleet.VMs)))
			Expect(running.allFailures()).To(BeEmpty())
		}
		stop()
		running.done.Wait()
		Expect(running.allFailures()).To(BeEmpty())
	}, NodeTimeout(4*waitTimeout))
})
