package proxy_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/upstream"
)

// fakeEngine speaks the engine protocol and answers "t1 t2 ... tN", one event for
// each token. Tests set its faults.
type fakeEngine struct {
	server *httptest.Server
	id     upstream.ReplicaID

	mu        sync.Mutex
	tokens    int           // length of an answer
	pace      time.Duration // between tokens
	hold      chan struct{} // no token is sent until it is closed; nil: no delay
	breakAt   int           // close the connection before this token; 0: never
	silentAt  int           // stop sending before this token but keep the connection open; 0: never
	otherID   bool          // echo another request's ID
	served    int           // requests that arrived
	resumedAt []int         // resume_from of requests that resume
	dead      bool          // its process has ended
	stopped   int           // requests that ended before their last token
}

func newFakeEngine(id upstream.ReplicaID, tokens int, pace time.Duration) *fakeEngine {
	e := &fakeEngine{id: id, tokens: tokens, pace: pace}
	e.server = httptest.NewServer(e)
	return e
}

func (e *fakeEngine) announcement() upstream.Announcement {
	return upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: e.id, Incarnation: 1, Sequence: 1,
		Address: strings.TrimPrefix(e.server.URL, "http://"), Place: "glas-a", VM: "vm-" + string(e.id),
		Load: upstream.Load{Slots: 4, Ready: true}, CanResume: true,
	}
}

func (e *fakeEngine) with(change func(*fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// poison is a prompt that crashes the engine's process.
const poison = "crash"

// die closes all connections and refuses new ones.
func (e *fakeEngine) die() {
	e.with(func(e *fakeEngine) { e.dead = true })
	_ = e.server.Listener.Close()
	e.server.CloseClientConnections()
}

func (e *fakeEngine) count(of func(*fakeEngine) int) func() int {
	return func() int {
		e.mu.Lock()
		defer e.mu.Unlock()
		return of(e)
	}
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == proxy.PathLoad {
		fmt.Fprint(w, `{"running":0,"queued":0,"slots":4,"incarnation":1}`)
		return
	}
	var body struct {
		Messages []struct{ Content string } `json:"messages"`
		Slateway struct {
			ResumeFrom int    `json:"resume_from"`
			Prefix     string `json:"prefix"`
		} `json:"slateway"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	if len(body.Messages) > 0 && body.Messages[0].Content == poison {
		e.die()
		panic(http.ErrAbortHandler)
	}
	from := body.Slateway.ResumeFrom
	e.with(func(e *fakeEngine) {
		e.served++
		if from > 0 {
			e.resumedAt = append(e.resumedAt, from)
		}
	})
	e.stream(w, r, from)
}

func (e *fakeEngine) stream(w http.ResponseWriter, r *http.Request, from int) {
	echo := r.Header.Get(proxy.HeaderRequestID)
	if e.otherID {
		echo = "of-another-caller"
	}
	w.Header().Set(proxy.HeaderRequestID, echo)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	flusher.Flush()
	for token := from + 1; ; token++ {
		e.mu.Lock()
		last, breakAt, silentAt, pace := e.tokens, e.breakAt, e.silentAt, e.pace
		e.mu.Unlock()
		switch {
		case token > last:
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		case token == breakAt:
			panic(http.ErrAbortHandler)
		case token == silentAt:
			<-r.Context().Done()
		}
		select {
		case <-r.Context().Done():
			e.with(func(e *fakeEngine) { e.stopped++ })
			return
		case <-e.paced(pace):
		}
		fmt.Fprintf(w, "data: {\"id\":\"c\",\"model\":\"m\",\"choices\":[{\"delta\":{\"content\":\"t%d \"}}],\"slateway\":{\"token\":%d}}\n\n", token, token)
		flusher.Flush()
	}
}

// paced returns a channel that is ready when the next token may be sent.
func (e *fakeEngine) paced(pace time.Duration) <-chan struct{} {
	if e.hold != nil {
		return e.hold
	}
	due := make(chan struct{})
	time.AfterFunc(pace, func() { close(due) })
	return due
}

// words returns the text of the tokens up to last.
func words(last int) string {
	var text strings.Builder
	for token := 1; token <= last; token++ {
		fmt.Fprintf(&text, "t%d ", token)
	}
	return text.String()
}
