package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/internal/ctl"
)

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "slatectl")
}

// received is a request that a fake server received.
type received struct {
	call  string // method and path
	query string
	body  string
}

// fakeServer is a server that records requests and answers them from a table.
type fakeServer struct {
	*httptest.Server
	mu       sync.Mutex
	requests []received
}

func newFakeServer(routes map[string]http.HandlerFunc) *fakeServer {
	server := &fakeServer{}
	mux := http.NewServeMux()
	for pattern, handler := range routes {
		mux.HandleFunc(pattern, handler)
	}
	server.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		server.mu.Lock()
		server.requests = append(server.requests, received{r.Method + " " + r.URL.Path, r.URL.RawQuery, string(body)})
		server.mu.Unlock()
		r.Body = io.NopCloser(bytes.NewReader(body))
		mux.ServeHTTP(w, r)
	}))
	DeferCleanup(server.Close)
	return server
}

func (f *fakeServer) calls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var calls []string
	for _, request := range f.requests {
		calls = append(calls, request.call)
	}
	return calls
}

func (f *fakeServer) bodyOf(call string) map[string]any {
	GinkgoHelper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, request := range f.requests {
		if request.call == call {
			body := map[string]any{}
			Expect(json.Unmarshal([]byte(request.body), &body)).To(Succeed())
			return body
		}
	}
	Fail("no call " + call)
	return nil
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprintln(w, body)
	}
}

func refuse(status int, reason string, retryAfterMS int) http.HandlerFunc {
	return answer(status, fmt.Sprintf(`{"name":"x","error":{"message":"it failed","code":%q,"reason":%q,"ran":"no","retry_after_ms":%d,"remedy":"correct it"}}`, reason, reason, retryAfterMS))
}

// dropConnection closes the connection after the request was received.
func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// result holds the exit code and output of one run of slatectl.
type result struct {
	code     int
	out, err string
}

func run(servers []*fakeServer, args ...string) result {
	all := []string{"slatectl", "--retry-for", "1s"}
	for _, server := range servers {
		all = append(all, "--server", server.URL)
	}
	var out, err bytes.Buffer
	code := ctl.Main(context.Background(), append(all, args...), ctl.Streams{In: strings.NewReader(""), Out: &out, Err: &err})
	return result{code, out.String(), err.String()}
}

func writeTemp(content string) string {
	GinkgoHelper()
	name := filepath.Join(GinkgoT().TempDir(), "file")
	Expect(os.WriteFile(name, []byte(content), 0o600)).To(Succeed())
	return name
}

var _ = Describe("a change", func() {
	const team = `{"name":"guild","template":"news","parameters":{"model":"small","share":"40"},"revision":12}`

	// If a server is lost after it has accepted a change and before it answers, the
	// request is resent to the next server with the same change ID. With another one
	// the change would take effect twice.
	It("whose answer was lost is sent to the next server with the same change ID", func() {
		first := newFakeServer(map[string]http.HandlerFunc{"GET /v1/teams/guild": answer(200, team), "PUT /v1/teams/guild": dropConnection})
		second := newFakeServer(map[string]http.HandlerFunc{"PUT /v1/teams/guild": answer(200, `{"revision":13,"change_id":"x"}`)})
		got := run([]*fakeServer{first, second}, "team", "set", "--param", "share=50", "guild")
		Expect(got).To(Equal(result{0, "revision 13\n", ""}))
		Expect(second.bodyOf("PUT /v1/teams/guild")).To(Equal(first.bodyOf("PUT /v1/teams/guild")))
		Expect(second.bodyOf("PUT /v1/teams/guild")).To(HaveKeyWithValue("base_revision", BeEquivalentTo(12)))
		Expect(second.bodyOf("PUT /v1/teams/guild")).To(HaveKeyWithValue("parameters", Equal(map[string]any{"model": "small", "share": "50"})))
	})

	It("that lost a race exits 3, and names the remedy and the change ID", func() {
		server := newFakeServer(map[string]http.HandlerFunc{
			"GET /v1/templates/news": refuse(404, "unknown_template", 0),
			"PUT /v1/templates/news": refuse(409, "base_revision_old", 0),
		})
		got := run([]*fakeServer{server}, "template", "apply", "--change-id", "c-7", "news", writeTemp("a = 1"))
		Expect(got.code).To(Equal(ctl.ExitConflict))
		Expect(got.err).To(And(ContainSubstring("correct it"), ContainSubstring("--change-id c-7")))
		Expect(server.bodyOf("PUT /v1/templates/news")).To(And(HaveKeyWithValue("source", "a = 1"), HaveKeyWithValue("base_revision", BeEquivalentTo(0))))
	})

	It("is waited for until it is in force, and the gates without it are listed", func() {
		server := newFakeServer(map[string]http.HandlerFunc{
			"GET /v1/changes/13": answer(200, `{"revision":13,"in_force":false,"waiting_for":["vm-4"]}`),
		})
		got := run([]*fakeServer{server}, "change", "wait", "--wait-for", "1ms", "13")
		Expect(got.code).To(Equal(ctl.ExitUnavailable))
		Expect(got.err).To(ContainSubstring("vm-4"))
	})

	It("deletes a team on the base of its present revision", func() {
		server := newFakeServer(map[string]http.HandlerFunc{
			"GET /v1/teams/guild":    answer(200, team),
			"DELETE /v1/teams/guild": answer(200, `{"revision":14,"change_id":"x"}`),
		})
		Expect(run([]*fakeServer{server}, "--json", "team", "delete", "--change-id", "c", "--operator", "o", "guild").out).
			To(MatchJSON(`{"revision":14,"change_id":"x"}`))
		Expect(server.requests[1].query).To(Equal("base_revision=12&change_id=c&operator=o"))
	})
})

var _ = Describe("a job", func() {
	jobRoutes := func() map[string]http.HandlerFunc {
		return map[string]http.HandlerFunc{
			"POST /v1/jobs":             answer(200, `{"id":"j1","state":"open"}`),
			"PUT /v1/jobs/j1/parts/{n}": answer(200, `{"items":2}`),
			"POST /v1/jobs/j1/seal":     answer(200, `{"id":"j1","state":"sealed","items":5}`),
			"GET /v1/jobs/j1":           answer(200, `{"id":"j1","state":"done","items":5,"done":4,"failed":1}`),
		}
	}

	It("is sent in parts, sealed and waited for; failed items make it exit 1", func() {
		server := newFakeServer(jobRoutes())
		items := writeTemp("{\"custom_id\":\"1\"}\n\n{\"custom_id\":\"2\"}\n{\"custom_id\":\"3\"}\n{\"custom_id\":\"4\"}\n{\"custom_id\":\"5\"}")
		got := run([]*fakeServer{server}, "--token", "t", "job", "submit", "--key", "k", "--part-items", "2", "--wait", items)
		Expect(got.code).To(Equal(ctl.ExitFailed))
		Expect(got.err).To(And(ContainSubstring("items: 5 of 5"), ContainSubstring("1 of 5 items of job j1 failed")))
		Expect(server.calls()).To(Equal([]string{
			"POST /v1/jobs", "PUT /v1/jobs/j1/parts/0", "PUT /v1/jobs/j1/parts/1", "PUT /v1/jobs/j1/parts/2",
			"POST /v1/jobs/j1/seal", "GET /v1/jobs/j1",
		}))
		Expect(server.requests[1].body).To(Equal("{\"custom_id\":\"1\"}\n{\"custom_id\":\"2\"}\n"))
		Expect(server.bodyOf("POST /v1/jobs/j1/seal")).To(HaveKeyWithValue("parts", BeEquivalentTo(3)))
	})

	It("with a broken part ends with exit 6 and names the part's first line", func() {
		routes := jobRoutes()
		routes["PUT /v1/jobs/j1/parts/{n}"] = refuse(400, "broken_line", 0)
		got := run([]*fakeServer{newFakeServer(routes)}, "job", "submit", "--key", "k", writeTemp("\n{}\n"))
		Expect(got.code).To(Equal(ctl.ExitRefused))
		Expect(got.err).To(ContainSubstring("part 0, which begins at line 2"))
	})

	It("returns its results page by page, and the item to continue from after a failure", func() {
		page := func(w http.ResponseWriter, r *http.Request) {
			from, _ := strconv.Atoi(r.URL.Query().Get("from"))
			if from == 4 {
				refuse(404, "unknown_job", 0)(w, r)
				return
			}
			w.Header().Set("Next-From", strconv.Itoa(from+2))
			fmt.Fprintf(w, "{\"index\":%d}\n{\"index\":%d}\n", from, from+1)
		}
		server := newFakeServer(map[string]http.HandlerFunc{"GET /v1/jobs/j1/results": page})
		got := run([]*fakeServer{server}, "job", "results", "--page", "2", "j1")
		Expect(got.out).To(Equal("{\"index\":0}\n{\"index\":1}\n{\"index\":2}\n{\"index\":3}\n"))
		Expect(got.code).To(Equal(ctl.ExitNotFound))
		Expect(got.err).To(ContainSubstring("--from 4"))
	})
})

var _ = Describe("a call", func() {
	It("skips a listener that does not serve it", func() {
		other := newFakeServer(nil)
		server := newFakeServer(map[string]http.HandlerFunc{"GET /v1/members": answer(200, `[{"vm":"vm-1","state":"alive","groups":[{"group":1,"leader":"vm-2","tolerance":1}]}]`)})
		got := run([]*fakeServer{other, server}, "member", "list")
		Expect(got.out).To(And(ContainSubstring("vm-1"), ContainSubstring("tolerance 1")))
		Expect(other.calls()).To(HaveLen(1))
	})

	// If the answer to a replace call is lost and the call were resent, it would replace
	// the replacement, which is still copying the log.
	It("that must not be repeated is not sent again after its answer was lost", func() {
		first := newFakeServer(map[string]http.HandlerFunc{"POST /v1/members/vm-1/replace": dropConnection})
		second := newFakeServer(nil)
		got := run([]*fakeServer{first, second}, "member", "replace", "vm-1")
		Expect(got.code).To(Equal(ctl.ExitFailed))
		Expect(second.calls()).To(BeEmpty())
	})

	It("is retried while the system cannot serve", func() {
		attempts := 0
		server := newFakeServer(map[string]http.HandlerFunc{"GET /v1/entries": func(w http.ResponseWriter, r *http.Request) {
			attempts++
			if attempts == 1 {
				refuse(503, "no_leader", 1)(w, r)
				return
			}
			answer(200, `{"entries":[{"address":"10.0.0.1:8080","vm":"vm-1","place":"a"}],"lifetime_ms":5000,"revision":3}`)(w, r)
		}})
		Expect(run([]*fakeServer{server}, "entries").out).To(And(ContainSubstring("valid for 5s"), ContainSubstring("10.0.0.1:8080")))
	})

	DescribeTable("ends with an exit code for its kind of refusal",
		func(status, code int) {
			server := newFakeServer(map[string]http.HandlerFunc{"GET /v1/teams": refuse(status, "reason", 0)})
			Expect(run([]*fakeServer{server}, "team", "list").code).To(Equal(code))
		},
		Entry(nil, 401, ctl.ExitRefused), Entry(nil, 404, ctl.ExitNotFound), Entry(nil, 409, ctl.ExitConflict),
		Entry(nil, 422, ctl.ExitRefused), Entry(nil, 500, ctl.ExitFailed), Entry(nil, 503, ctl.ExitUnavailable),
	)

	DescribeTable("with wrong arguments is refused before anything is sent",
		func(args ...string) {
			server := newFakeServer(nil)
			Expect(run([]*fakeServer{server}, args...).code).To(Equal(ctl.ExitUsage))
			Expect(server.calls()).To(BeEmpty())
		},
		Entry(nil, "team", "create", "guild"),
		Entry(nil, "team", "create", "--template", "t", "--param", "novalue", "guild"),
		Entry(nil, "template", "apply", "news"), Entry(nil, "template", "apply", "news", "no-such-file"),
		Entry(nil, "change", "wait", "x"), Entry(nil, "job", "submit", "--deadline", "soon", "-"),
		Entry(nil, "job", "status", "--no-such-flag"), Entry(nil, "nothing"),
	)
})
