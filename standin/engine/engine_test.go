package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/standin/engine"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "simulated engine")
}

// neverElapses is a token interval that no test waits for.
const neverElapses = time.Hour

func fastOptions() engine.Options {
	options := engine.Defaults()
	options.FirstToken = time.Millisecond
	options.FirstTokenCached = time.Millisecond
	options.TokenEvery = time.Millisecond
	options.LoadLag = 0
	options.OrderTime = 0
	return options
}

// client sends requests to an engine behind a test server.
type client struct {
	url string
}

func startServer(instance *engine.Engine) client {
	server := httptest.NewServer(instance)
	DeferCleanup(server.Close)
	DeferCleanup(instance.Crash) // ends the runs that a test left unfinished
	return client{server.URL}
}

func (c client) post(ctx context.Context, path, id, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(engine.RequestIDHeader, id)
	return http.DefaultClient.Do(request)
}

func (c client) complete(id, body string) (int, string) {
	GinkgoHelper()
	response, err := c.post(context.Background(), "/v1/completions", id, body)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(text)
}

// startStream sends a streaming request and returns once it has the response headers.
func (c client) startStream(ctx context.Context, id, body string) *bufio.Scanner {
	GinkgoHelper()
	response, err := c.post(ctx, "/v1/chat/completions", id, body)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(response.Body.Close)
	Expect(response.Header.Get(engine.RequestIDHeader)).To(Equal(id))
	return bufio.NewScanner(response.Body)
}

type chunk struct {
	Choices []struct {
		Delta        struct{ Content string }
		FinishReason string `json:"finish_reason"`
	}
	Slateway struct{ Token int }
}

// nextEvent returns the next event of a stream. done is true at its regular end.
func nextEvent(stream *bufio.Scanner) (event chunk, done bool) {
	GinkgoHelper()
	for stream.Scan() {
		data, ok := strings.CutPrefix(stream.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return chunk{}, true
		}
		Expect(json.Unmarshal([]byte(data), &event)).To(Succeed())
		return event, false
	}
	Fail("the stream ended without [DONE]")
	return chunk{}, false
}

// readStream reads a stream to its end and returns the text, the last token number and
// the finish reason.
func readStream(stream *bufio.Scanner) (text string, token int, reason string) {
	GinkgoHelper()
	for {
		event, done := nextEvent(stream)
		if done {
			return text, token, reason
		}
		text += event.Choices[0].Delta.Content
		token = event.Slateway.Token
		reason = event.Choices[0].FinishReason
	}
}

const chat = `{"model":"small","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"hello"}]`

var _ = Describe("an answer", func() {
	It("depends only on its own prompt, streamed or not", func() {
		engineClient := startServer(engine.New(fastOptions()))
		text, token, reason := readStream(engineClient.startStream(context.Background(), "a", chat+"}"))
		Expect(text).To(Equal(engine.Answer("hello", 3)))
		Expect(token).To(Equal(3))
		Expect(reason).To(Equal("length"))

		status, plain := engineClient.complete("b", `{"model":"small@1","max_tokens":2,"prompt":"bye"}`)
		Expect(status).To(Equal(http.StatusOK))
		Expect(plain).To(ContainSubstring(engine.Answer("bye", 2)))
	})

	It("continues after the token given by resume_from", func() {
		instance := engine.New(fastOptions())
		engineClient := startServer(instance)
		prefix := engine.Answer("hello", 2)
		resumed := chat + `,"slateway":{"resume_from":2,"prefix":"` + prefix + `"}}`
		text, token, _ := readStream(engineClient.startStream(context.Background(), "a", resumed))
		Expect(prefix + text).To(Equal(engine.Answer("hello", 3)))
		Expect(token).To(Equal(3))
		Expect(instance.Log().Runs[0].Tokens).To(Equal(1))

		status, refused := engineClient.complete("b", `{"model":"small","prompt":"other","slateway":{"resume_from":2,"prefix":"`+prefix+`"}}`)
		Expect(status).To(Equal(http.StatusBadRequest), refused)
	})

	It("is refused for a model that is not loaded", func() {
		status, _ := startServer(engine.New(fastOptions())).complete("a", `{"model":"large","prompt":"x"}`)
		Expect(status).To(Equal(http.StatusNotFound))
	})
})

var _ = Describe("the batch", func() {
	It("admits requests in order of arrival and cancels running and waiting ones", func() {
		options := fastOptions()
		options.Slots = 1
		options.TokenEvery = neverElapses
		instance := engine.New(options)
		engineClient := startServer(instance)

		first := engineClient.startStream(context.Background(), "first", chat+"}")
		nextEvent(first)
		answered := make(chan string, 2)
		for queued, id := range []string{"second", "third"} {
			go func() {
				defer GinkgoRecover()
				_, text := engineClient.complete(id, `{"model":"small","max_tokens":1,"prompt":"x"}`)
				answered <- id + " " + text
			}()
			Eventually(instance.ActiveRequests).WithTimeout(time.Minute).Should(Equal(queued + 2))
		}
		Expect(instance.Load()).To(Equal(engine.Load{Running: 1, Queued: 2, Slots: 1}))

		Expect(instance.Cancel("third")).To(BeTrue())
		Expect(<-answered).To(ContainSubstring("cancelled"))
		response, err := engineClient.post(context.Background(), "/v1/cancel", "", `{"request_id":"first"}`)
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		_, token, reason := readStream(first)
		Expect(token).To(Equal(1))
		Expect(reason).To(Equal("cancelled"))
		Expect(<-answered).To(ContainSubstring(engine.Answer("x", 1)))
	})

	It("frees the slot of a caller that disconnected", func() {
		options := fastOptions()
		options.Slots = 1
		options.TokenEvery = neverElapses
		instance := engine.New(options)
		ctx, disconnect := context.WithCancel(context.Background())
		nextEvent(startServer(instance).startStream(ctx, "a", chat+"}"))
		disconnect()
		Eventually(instance.ActiveRequests).WithTimeout(time.Minute).Should(BeZero())
		Expect(instance.Log().Cancelled).To(BeEquivalentTo(1))
	})
})

var _ = Describe("the prefix cache", func() {
	It("counts a hit for a cached prefix and evicts the least recently used one", func() {
		options := fastOptions()
		options.CachedPrefixes = 2
		options.PrefixBytes = 1
		instance := engine.New(options)
		engineClient := startServer(instance)
		for _, prompt := range []string{"a1", "b1", "a2", "c1", "b2"} {
			engineClient.complete("", `{"model":"small","max_tokens":1,"prompt":"`+prompt+`"}`)
		}
		Eventually(instance.Load).Should(HaveField("PrefixHits", BeEquivalentTo(1)))
	})
})

var _ = Describe("an order", func() {
	load := func(fence uint64, model string) engine.OrderRequest {
		return engine.OrderRequest{Fence: fence, Order: engine.Order{Kind: engine.OrderLoadModel, Model: model, Version: "1"}}
	}

	It("with an old fencing number is refused by an engine that checks it", func() {
		options := fastOptions()
		options.ChecksFencing = true
		instance := engine.New(options)
		Expect(instance.Execute(load(7, "new"))).To(Succeed())
		Expect(instance.Execute(load(6, "old"))).To(MatchError(ContainSubstring("older than 7")))
		Expect(instance.Models()).To(HaveLen(2))
	})

	It("with an old fencing number is executed by an engine that ignores it", func() {
		instance := engine.New(fastOptions())
		Expect(instance.Execute(load(7, "new"))).To(Succeed())
		Expect(instance.Execute(load(6, "old"))).To(Succeed())
		Expect(instance.OrderReport().Applied).To(HaveLen(2))
	})
})

var _ = Describe("a fault", func() {
	It("crashes the engine and ends all its streams when a request contains the crash marker", func() {
		var lines bytes.Buffer
		options := fastOptions()
		options.TokenEvery = neverElapses
		options.Log = &lines
		instance := engine.New(options)
		engineClient := startServer(instance)
		bystander := engineClient.startStream(context.Background(), "bystander", chat+"}")
		nextEvent(bystander)

		_, err := engineClient.post(context.Background(), "/v1/completions", "poison", `{"model":"small","prompt":"crash-upstream"}`)
		Expect(err).To(HaveOccurred())
		for bystander.Scan() {
			Expect(bystander.Text()).NotTo(ContainSubstring("[DONE]"))
		}
		Expect(bystander.Err()).To(HaveOccurred())
		_, err = engineClient.post(context.Background(), "/v1/completions", "later", `{"model":"small","prompt":"x"}`)
		Expect(err).To(HaveOccurred())
		Eventually(func() int64 { return instance.Log().Crashed }).WithTimeout(time.Minute).Should(BeEquivalentTo(2))
		Expect(strings.Count(lines.String(), "\n")).To(Equal(4))
	})

	It("suspends streams and new requests while the engine is frozen", func() {
		options := fastOptions()
		options.MaxTokens = 2
		options.TokenEvery = 50 * time.Millisecond
		instance := engine.New(options)
		engineClient := startServer(instance)
		stream := engineClient.startStream(context.Background(), "a", `{"model":"small","stream":true,"max_tokens":50,"messages":[]}`)
		nextEvent(stream)
		instance.Freeze(true)
		Expect(instance.Alive()).To(BeFalse())
		answered := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			engineClient.complete("b", `{"model":"small","prompt":"x"}`)
			close(answered)
		}()
		Consistently(answered).Should(Not(BeClosed()))
		instance.Freeze(false)
		Eventually(answered).WithTimeout(time.Minute).Should(BeClosed())
		_, token, _ := readStream(stream)
		Expect(token).To(Equal(50))
	})
})
