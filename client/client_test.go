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

// fakeGate answers for entries and requests as a gate does.
type fakeGate struct {
	*httptest.Server
	entries  atomic.Pointer[[]string]
	lifetime time.Duration
	asked    atomic.Int32
	requests atomic.Int32
	answer   http.HandlerFunc
}

func newGate(t *testing.T, answer http.HandlerFunc) *fakeGate {
	t.Helper()
	g := &fakeGate{answer: answer, lifetime: time.Hour}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/entries", g.serveEntries)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		g.requests.Add(1)
		g.answer(w, r)
	})
	g.Server = httptest.NewServer(mux)
	t.Cleanup(g.Close)
	return g
}

func (g *fakeGate) address() string { return strings.TrimPrefix(g.URL, "http://") }

func (g *fakeGate) list(gates ...*fakeGate) {
	var addresses []string
	for _, gate := range gates {
		addresses = append(addresses, gate.address())
	}
	g.entries.Store(&addresses)
}

func (g *fakeGate) serveEntries(w http.ResponseWriter, _ *http.Request) {
	g.asked.Add(1)
	var entries []client.Entry
	for _, address := range *g.entries.Load() {
		entries = append(entries, client.Entry{Address: address})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"entries": entries, "lifetime_ms": g.lifetime.Milliseconds(), "revision": 1})
}

func say(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s", text, r.Header.Get("Authorization"), body)
	}
}

// breakOff reads the request and closes the connection without an answer.
func breakOff(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func connect(t *testing.T, gates ...*fakeGate) *client.Client {
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

// A gate is killed between two requests of a caller that keeps its address. The
// caller must get its answer from the next gate and see no error.
func TestGateKilledBetweenRequests(t *testing.T) {
	g := NewWithT(t)
	one, two := newGate(t, say("one")), newGate(t, say("two"))
	one.list(one, two)
	two.list(two)
	c := connect(t, one)
	g.Expect(post(c, "/services/plates", "a")).To(Equal("one Bearer secret a"))
	one.Close()
	for range 3 {
		g.Expect(post(c, "/services/plates", "b")).To(Equal("two Bearer secret b"))
	}
}

// A gate reads a request and dies before it answers: the request may have run.
// A plate confirmation sent again would be confirmed twice; a chat may be sent
// again, and so may whatever has a key that the gates run once.
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
			broken, good := newGate(t, breakOff), newGate(t, say("good"))
			broken.list(broken, good)
			good.list(good)
			text, err := post(connect(t, broken), test.path, "x", test.header...)
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

// A gate that drains or is cut off says that it did not run the request; the
// next one is asked. A refusal that every gate would give is passed on at once.
func TestRefusals(t *testing.T) {
	refuse := func(reason string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprintf(w, `{"error":{"reason":%q,"ran":"no"}}`, reason)
		}
	}
	g := NewWithT(t)
	draining, good := newGate(t, refuse("draining")), newGate(t, say("good"))
	draining.list(draining, good)
	good.list(good)
	g.Expect(post(connect(t, draining), "/services/plates", "x")).To(HavePrefix("good"))

	empty := newGate(t, refuse("no_ready_upstream"))
	empty.list(empty, good)
	g.Expect(post(connect(t, empty), "/services/plates", "x")).To(ContainSubstring("no_ready_upstream"))
}

// A gate drains: it stops when all answers that name it have run out. A caller
// that used an answer for longer would meet a closed port.
func TestAnswersAreNotKeptPastTheirLifetime(t *testing.T) {
	g := NewWithT(t)
	one, two := newGate(t, say("one")), newGate(t, say("two"))
	one.lifetime = time.Millisecond
	one.list(one)
	two.list(two)
	c := connect(t, one)
	g.Expect(post(c, "/v1/x", "")).To(HavePrefix("one"))
	one.list(two)
	time.Sleep(2 * time.Millisecond) // longer only makes the answer older
	g.Expect(post(c, "/v1/x", "")).To(HavePrefix("two"))
	g.Expect(one.asked.Load()).To(Equal(int32(2)))
}

func TestNoGateReachable(t *testing.T) {
	g := NewWithT(t)
	gone := newGate(t, nil)
	c := connect(t, gone)
	gone.Close()
	_, err := post(c, "/services/plates", "x")
	var unreachable *client.UnreachableError
	g.Expect(errors.As(err, &unreachable)).To(BeTrue())
	g.Expect(unreachable.NotRun).To(BeTrue())
	_, err = client.New(client.Options{Gates: []string{"gate"}})
	g.Expect(err).To(MatchError(ContainSubstring("is not IP:port")))
}

// A client library that others wrote works unchanged but for its base address.
func TestOpenAILibrary(t *testing.T) {
	g := NewWithT(t)
	stream := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, word := range []string{"to", "day"} {
			_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", word)
		}
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
	broken, good := newGate(t, breakOff), newGate(t, stream)
	broken.list(broken, good)
	good.list(good)
	config := openai.DefaultConfig("team-token")
	config.BaseURL = client.BaseURL
	config.HTTPClient = connect(t, broken).HTTPClient()
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
