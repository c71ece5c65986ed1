package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sashabaranov/go-openai"

	"slateway.example/slateway/client"
)

// fakeGate serves entries and requests as a gate does.
type fakeGate struct {
	*httptest.Server
	entries         atomic.Pointer[[]string]
	lifetime        time.Duration
	entriesRequests atomic.Int32
	requests        atomic.Int32
	handler         http.HandlerFunc
}

func newFakeGate(t *testing.T, handler http.HandlerFunc) *fakeGate {
	t.Helper()
	g := &fakeGate{handler: handler, lifetime: time.Hour}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/entries", g.serveEntries)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		g.requests.Add(1)
		g.handler(w, r)
	})
	g.Server = httptest.NewServer(mux)
	t.Cleanup(g.Close)
	return g
}

func (g *fakeGate) address() string { return strings.TrimPrefix(g.URL, "http://") }

func (g *fakeGate) setEntries(gates ...*fakeGate) {
	var addresses []string
	for _, gate := range gates {
		addresses = append(addresses, gate.address())
	}
	g.entries.Store(&addresses)
}

func (g *fakeGate) serveEntries(w http.ResponseWriter, _ *http.Request) {
	g.entriesRequests.Add(1)
	var entries []client.Entry
	for _, address := range *g.entries.Load() {
		entries = append(entries, client.Entry{Address: address})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"entries": entries, "lifetime_ms": g.lifetime.Milliseconds(), "revision": 1})
}

func respondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s", text, r.Header.Get("Authorization"), body)
	}
}

// abortRequest reads the request and closes the connection without a response.
func abortRequest(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func newClient(t *testing.T, gates ...*fakeGate) *client.Client {
	t.Helper()
	options := client.Options{Token: "secret"}
	for _, gate := range gates {
		options.Gates = append(options.Gates, gate.address())
	}
	c, err := client.New(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func post(c *client.Client, path, body string, header ...string) (string, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://slateway"+path, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := c.HTTPClient().Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// A gate is killed between two requests of a caller that has cached its address. The
// caller must get its answer from the next gate without an error.
func TestGateKilledBetweenRequests(t *testing.T) {
	g := NewWithT(t)
	one, two := newFakeGate(t, respondWith("one")), newFakeGate(t, respondWith("two"))
	one.setEntries(one, two)
	two.setEntries(two)
	c := newClient(t, one)
	g.Expect(post(c, "/services/plates", "a")).To(Equal("one Bearer secret a"))
	one.Close()
	for range 3 {
		g.Expect(post(c, "/services/plates", "b")).To(Equal("two Bearer secret b"))
	}
}

// If a gate dies after it has read a request, the request may have run. Resending a
// plate confirmation would confirm it twice. A chat request may be resent, and so may
// a request with a key that the gates run at most once.
func TestResendsOnlyWhatMayRunTwice(t *testing.T) {
	cases := []struct {
		name, path string
		header     []string
		again      bool
	}{
		{"plain service", "/services/plates", nil, false},
		{"plain service with key alone", "/services/plates", []string{client.HeaderIdempotencyKey, "k1"}, false},
		{"plain service claimed", "/services/plates", []string{client.HeaderNonIdempotent, "true", client.HeaderIdempotencyKey, "k1"}, true},
		{"plain service repeatable", "/services/plates", []string{client.HeaderRepeatable, "true"}, true},
		{"chat", "/v1/chat/completions", nil, true},
		{"chat marked", "/v1/chat/completions", []string{client.HeaderNonIdempotent, "true"}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			broken, good := newFakeGate(t, abortRequest), newFakeGate(t, respondWith("good"))
			broken.setEntries(broken, good)
			good.setEntries(good)
			text, err := post(newClient(t, broken), test.path, "x", test.header...)
			g.Expect(broken.requests.Load()).To(Equal(int32(1)))
			if test.again {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(text).To(HavePrefix("good"))
				return
			}
			var unreachable *client.UnreachableError
			g.Expect(errors.As(err, &unreachable)).To(BeTrue())
			g.Expect(unreachable.NotRun).To(BeFalse())
			g.Expect(good.requests.Load()).To(BeZero())
		})
	}
}

// A gate that drains or has lost contact refuses a request without running it, and
// the client must try the next gate. A refusal that every gate would give must be
// returned to the caller at once.
func TestRefusals(t *testing.T) {
	refuse := func(reason string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprintf(w, `{"error":{"reason":%q,"ran":"no"}}`, reason)
		}
	}
	g := NewWithT(t)
	draining, good := newFakeGate(t, refuse("draining")), newFakeGate(t, respondWith("good"))
	draining.setEntries(draining, good)
	good.setEntries(good)
	g.Expect(post(newClient(t, draining), "/services/plates", "x")).To(HavePrefix("good"))

	empty := newFakeGate(t, refuse("no_ready_upstream"))
	empty.setEntries(empty, good)
	g.Expect(post(newClient(t, empty), "/services/plates", "x")).To(ContainSubstring("no_ready_upstream"))
}

// A draining gate stops once all entry lists that contain it have expired. A caller
// that used a list for longer would connect to a closed port.
func TestAnswersAreNotKeptPastTheirLifetime(t *testing.T) {
	g := NewWithT(t)
	one, two := newFakeGate(t, respondWith("one")), newFakeGate(t, respondWith("two"))
	one.lifetime = time.Millisecond
	one.setEntries(one)
	two.setEntries(two)
	c := newClient(t, one)
	g.Expect(post(c, "/v1/x", "")).To(HavePrefix("one"))
	one.setEntries(two)
	time.Sleep(2 * time.Millisecond) // a longer sleep is safe: the entries must have expired
	g.Expect(post(c, "/v1/x", "")).To(HavePrefix("two"))
	g.Expect(one.entriesRequests.Load()).To(Equal(int32(2)))
}

func TestNoGateReachable(t *testing.T) {
	g := NewWithT(t)
	gone := newFakeGate(t, nil)
	c := newClient(t, gone)
	gone.Close()
	_, err := post(c, "/services/plates", "x")
	var unreachable *client.UnreachableError
	g.Expect(errors.As(err, &unreachable)).To(BeTrue())
	g.Expect(unreachable.NotRun).To(BeTrue())
	_, err = client.New(client.Options{Gates: []string{"gate"}})
	g.Expect(err).To(MatchError(ContainSubstring("is not IP:port")))
}

// A third-party OpenAI client library must work with only its base address and HTTP
// client changed.
func TestOpenAILibrary(t *testing.T) {
	g := NewWithT(t)
	stream := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, word := range []string{"to", "day"} {
			_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", word)
		}
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
	broken, good := newFakeGate(t, abortRequest), newFakeGate(t, stream)
	broken.setEntries(broken, good)
	good.setEntries(good)
	config := openai.DefaultConfig("team-token")
	config.BaseURL = client.BaseURL
	config.HTTPClient = newClient(t, broken).HTTPClient()
	answer, err := openai.NewClientWithConfig(config).CreateChatCompletionStream(context.Background(), openai.ChatCompletionRequest{Model: "m"})
	g.Expect(err).NotTo(HaveOccurred())
	text := ""
	for {
		chunk, err := answer.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		g.Expect(err).NotTo(HaveOccurred())
		text += chunk.Choices[0].Delta.Content
	}
	g.Expect(answer.Close()).To(Succeed())
	g.Expect(text).To(Equal("today"))
}
