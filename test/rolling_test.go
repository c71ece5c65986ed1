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

// readers send streaming requests one after the other until they are stopped.
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
				// A request that has begun is finished, also after the stop.
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

func (r *readers) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.failures...)
}

// Pace and lengths of answers. Long ones take longer than a gate's listener
// gives requests that are left when the gate has stopped waiting for them. Short
// ones leave gates idle, which then wait for the directory's answers alone.
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

// strictCaller uses the directory as it is meant, and no more: it keeps an
// answer for its lifetime, connects to one of the gates that it names, and never
// tries another one.
type strictCaller struct {
	gates []string // that it asks
	mu    sync.Mutex
	known []string
	until time.Time
}

// RoundTrip sends the request to one gate of the directory's answer.
func (s *strictCaller) RoundTrip(request *http.Request) (*http.Response, error) {
	gate, err := s.pick()
	if err != nil {
		return nil, err
	}
	sent := request.Clone(request.Context())
	sent.URL.Host = gate
	// A kept connection may close just as it is used, which says nothing about
	// the directory.
	transport := &http.Transport{DisableKeepAlives: true}
	return transport.RoundTrip(sent)
}

func (s *strictCaller) pick() (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.until) {
		return s.known[rand.IntN(len(s.known))], nil
	}
	var failures []error
	for _, gate := range s.gates {
		err := s.ask(gate)
		if err == nil {
			return s.known[rand.IntN(len(s.known))], nil
		}
		failures = append(failures, err)
	}
	return "", errors.Join(failures...)
}

func (s *strictCaller) ask(gate string) error {
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
		return fmt.Errorf("gate %s names %d gates (status %d): %w", gate, len(answer.Entries), response.StatusCode, err)
	}
	s.known = nil
	for _, entry := range answer.Entries {
		s.known = append(s.known, entry.Address)
	}
	s.until = asked.Add(time.Duration(answer.LifetimeMS) * time.Millisecond)
	return nil
}

// startReaders begins reading through the gates that the directory names: long
// answers by the client package, short ones strictly.
func startReaders(ctx context.Context, fleet *harness.Fleet) *readers {
	GinkgoHelper()
	c, err := client.New(client.Options{Gates: fleet.Callers()})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	running := &readers{}
	running.start(ctx, openAI(c.HTTPClient()), 2, longAnswer)
	running.start(ctx, openAI(&http.Client{Transport: &strictCaller{gates: fleet.Callers()}}), 4, shortAnswer)
	return running
}

func openAI(caller *http.Client) *openai.Client {
	config := openai.DefaultConfig(token)
	config.BaseURL = client.BaseURL
	config.HTTPClient = caller
	return openai.NewClientWithConfig(config)
}

var _ = Describe("callers that follow the directory", func() {
	// An operator restarts all VMs, one after the other, on a working day. The
	// callers keep the directory's answers for their lifetime, connect by them,
	// and read streams all the while. None of them may see an error or half an
	// answer, and each VM must end by itself with 0.
	It("see nothing of a restart of every gate in turn", func(ctx SpecContext) {
		fleet, _ := startGuild(ctx, 3, "--token-every", streamPace, "--slots", "16")
		reading, stop := context.WithCancel(ctx)
		defer stop()
		running := startReaders(reading, fleet)
		for _, vm := range fleet.VMs {
			before := running.answered.Load()
			Eventually(ctx, running.answered.Load).Should(BeNumerically(">=", before+6))
			Expect(vm.Terminate()).To(Succeed())
			code, err := vm.ExitCode(patience)
			Expect(err).NotTo(HaveOccurred())
			Expect(code).To(BeZero())
			Expect(vm.Start()).To(Succeed())
			Expect(fleet.WaitReady(ctx, map[string]int{"wordroom": 3})).To(Succeed())
			Eventually(ctx, func() []string { return entries(ctx, vm.Callers) }).Should(HaveLen(len(fleet.VMs)))
			Expect(running.all()).To(BeEmpty())
		}
		stop()
		running.done.Wait()
		Expect(running.all()).To(BeEmpty())
	}, NodeTimeout(4*patience))
})
