package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/buffers"
	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/sockets"
	"slateway.example/slateway/internal/upstream"
)

const (
	memoryBudget = 46 << 20 // a quarter of a VM of 184 MB
	socketBytes  = 8 << 10
)

// memoryGate is a gate over TCP with small socket buffers and an engine that streams as
// fast as it is read.
type memoryGate struct {
	account *buffers.Account
	router  *proxy.Router
	address string
	engine  *httptest.Server

	servers []*http.Server
	mu      sync.Mutex
	counts  map[string]int
	running atomic.Int64 // requests at the engine
	started atomic.Int64 // requests that the engine has received
	cut     atomic.Int64 // requests that the gate ended before the engine had sent all
}

func (g *memoryGate) Refused(reason apierr.Reason)  { g.Count("refused." + string(reason)) }
func (g *memoryGate) Set(string, int64)             {}
func (g *memoryGate) Observe(string, time.Duration) {}
func (g *memoryGate) Count(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts[name]++
}

func (g *memoryGate) count(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts[name]
}

func smallSendBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBytes)
	})
}

func smallReceiveBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBytes)
	})
}

func listenSmall(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{Control: smallSendBuffer}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func newMemoryGate(t *testing.T, memory buffers.Options, options proxy.Options) *memoryGate {
	t.Helper()
	g := &memoryGate{counts: make(map[string]int)}
	memory.Metrics, memory.LargestBody = g, 8<<20
	g.account = buffers.New(memory)
	options.Self, options.Place, options.Metrics, options.Memory = "gate-1", "glas-a", g, g.account
	options.Route.HedgeMin, options.Route.EntryLifetime = -1, time.Hour
	g.router = proxy.New(options)
	g.engine = httptest.NewUnstartedServer(http.HandlerFunc(g.serveEngine))
	g.engine.Listener = listenSmall(t)
	g.engine.Start()
	if err := g.router.Announce(upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: "r1", Incarnation: 1, Sequence: 1,
		Address: g.engine.Listener.Addr().String(), Place: "glas-a", Load: upstream.Load{Slots: 2000, Ready: true}, CanResume: true,
	}); err != nil {
		t.Fatal(err)
	}
	listener := listenSmall(t)
	g.address = listener.Addr().String()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: g.account.Handler(http.HandlerFunc(g.serve)), Protocols: protocols}
	g.servers = append(g.servers, server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(g.close)
	return g
}

func (g *memoryGate) close() {
	for _, server := range g.servers {
		_ = server.Close()
	}
	g.router.Close()
	g.engine.Close()
}

func (g *memoryGate) serve(w http.ResponseWriter, r *http.Request) {
	id := fmt.Sprint("m", lastID.Add(1))
	buffers.FromContext(r.Context()).Identify(r.Header.Get("Team"), id)
	body, err := buffers.ReadBody(w, r, 8<<20)
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		err = apierr.New(apierr.TooLarge, apierr.ReasonBodyTooLarge, "", "over %d bytes", tooLarge.Limit)
	}
	if err != nil {
		apierr.WriteHTTP(w, err)
		return
	}
	g.router.ServeOnline(w, r, proxy.OnlineRequest{
		ID: id, Team: r.Header.Get("Team"), Service: "wordroom", Path: proxy.PathCompletions,
		Body: body, Stream: strings.Contains(string(body[:min(len(body), 200)]), `"stream":true`), Repeatable: true, Deadline: time.Now().Add(time.Minute),
	})
}

// serveEngine streams the number of tokens in the prompt, each with as many bytes as the
// prompt says, and a pause of so many milliseconds before it.
func (g *memoryGate) serveEngine(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == proxy.PathLoad {
		fmt.Fprint(w, `{"running":0,"queued":0,"slots":2000,"incarnation":1}`)
		return
	}
	data, _ := io.ReadAll(r.Body)
	_, prompt, _ := strings.Cut(string(data), `"prompt":"`)
	var tokens, size, pause int
	_, _ = fmt.Sscanf(prompt, "%d %d %d", &tokens, &size, &pause)
	g.running.Add(1)
	g.started.Add(1)
	defer g.running.Add(-1)
	w.Header().Set(proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID))
	w.Header().Set("Content-Type", "text/event-stream")
	text := strings.Repeat("x", size)
	for token := 1; token <= tokens; token++ {
		select {
		case <-r.Context().Done():
			g.cut.Add(1)
			return
		case <-time.After(time.Duration(pause) * time.Millisecond):
		}
		if _, err := fmt.Fprintf(w, "data: {\"id\":\"c\",\"model\":\"m\",\"choices\":[{\"text\":%q}],\"slateway\":{\"token\":%d}}\n\n", text, token); err != nil {
			g.cut.Add(1)
			return
		}
		w.(http.Flusher).Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func promptBody(stream bool, tokens, size, pause int) string {
	return fmt.Sprintf(`{"model":"small","stream":%t,"prompt":"%d %d %d"}`, stream, tokens, size, pause)
}

// open sends the head of a request with a declared length, and the first bytes of its
// body.
func (g *memoryGate) open(t *testing.T, team string, length int, first string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: smallReceiveBuffer}
	connection, err := dialer.Dial("tcp", g.address)
	if err != nil {
		t.Error(err)
		return nil
	}
	_, _ = fmt.Fprintf(connection, "POST /v1/completions HTTP/1.1\r\nHost: gate\r\nTeam: %s\r\nContent-Length: %d\r\n\r\n%s", team, length, first)
	return connection
}

// ask sends a whole request and returns the status and the time until its last byte.
func (g *memoryGate) ask(client *http.Client, team, body string) (int, string, time.Duration, error) {
	began := time.Now()
	request, err := http.NewRequest(http.MethodPost, "http://"+g.address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return 0, "", 0, err
	}
	request.Header.Set("Team", team)
	response, err := client.Do(request)
	if err != nil {
		return 0, "", 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), time.Since(began), err
}

// askQuickly has quickCallers callers ask for short streams until ctx ends, and returns the times
// that the answers took.
func (g *memoryGate) askQuickly(t *testing.T, ctx context.Context, team string) []time.Duration {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: quickCallers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var times []time.Duration
	var callers sync.WaitGroup
	for range quickCallers {
		callers.Go(func() {
			for ctx.Err() == nil {
				status, text, took, err := g.ask(client, team, promptBody(true, 20, 20, 5))
				if err != nil || status != http.StatusOK || !strings.Contains(text, "[DONE]") {
					t.Errorf("a quick caller got %d, %v: %.300s", status, err, text)
					return
				}
				mu.Lock()
				times = append(times, took)
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	slices.Sort(times)
	return times
}

func during(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// watchHeap records the largest heap in use until ctx ends.
func watchHeap(ctx context.Context, peak *atomic.Uint64) {
	for ctx.Err() == nil {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak.Store(max(peak.Load(), stats.HeapInuse))
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitNothingHeld fails the test unless the account is empty within a few seconds.
func (g *memoryGate) awaitNothingHeld(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if g.account.Requests() == 0 && g.account.Status().Held == 0 {
			return
		}
	}
	t.Errorf("%d requests still hold %d bytes", g.account.Requests(), g.account.Status().Held)
}

// Guards against a gate whose memory is used up by callers that stop in the middle of
// their bodies or do not read their responses, and against quick callers that wait for
// them or are refused.
func TestStalledCallersDoNotHarmQuickOnes(t *testing.T) {
	for _, quickTeam := range []string{"parish", "council"} {
		t.Run("quick team "+quickTeam, func(t *testing.T) {
			g := newMemoryGate(t, buffers.Options{Budget: memoryBudget, BodyTimeout: 2 * time.Second, WriteTimeout: 30 * time.Second}, proxy.Options{UnreadTimeout: time.Second})
			// The same callers at a gate without the others show what the load of the machine
			// costs them.
			control := newMemoryGate(t, buffers.Options{Budget: memoryBudget}, proxy.Options{})
			ctx := during(5 * time.Second)
			var heap atomic.Uint64
			var callers sync.WaitGroup
			callers.Go(func() { watchHeap(ctx, &heap) })
			var refused, ended atomic.Int64
			half := bytes.Repeat([]byte("y"), 2<<20)
			for i := range stalledCallers {
				start := make(chan struct{})
				time.AfterFunc(time.Duration(2*i)*time.Millisecond, func() { close(start) })
				callers.Go(func() {
					<-start
					if connection := g.open(t, "council", 4<<20, ""); connection != nil {
						sendAndStop(ctx, connection, half, &refused)
					}
				})
				callers.Go(func() {
					<-start
					body := promptBody(true, 500, 8000, 40)
					if connection := g.open(t, "council", len(body), body); connection != nil {
						readSlowly(ctx, connection, &ended)
					}
				})
			}
			var alone []time.Duration
			callers.Go(func() { alone = control.askQuickly(t, ctx, quickTeam) })
			beside := g.askQuickly(t, ctx, quickTeam)
			callers.Wait()
			status := g.account.Status()
			if len(alone) == 0 || len(beside) == 0 {
				t.Fatalf("%d quick callers were answered alone, %d beside the others", len(alone), len(beside))
			}
			t.Logf("quick callers alone: %s; beside the others: %s", timesOf(alone), timesOf(beside))
			t.Logf("held at most %d of %d bytes, heap %d MB; %d bodies refused, %d responses ended; counts %v",
				status.Peak, status.Budget, heap.Load()>>20, refused.Load(), ended.Load(), g.counts)
			if status.Peak > status.Budget {
				t.Errorf("%d bytes were held, of %d", status.Peak, status.Budget)
			}
			if most, usual := percentile(beside, 100), percentile(alone, 100); most > usual+addedWait {
				t.Errorf("a quick caller waited %s, without the others %s", most, usual)
			}
			g.awaitNothingHeld(t)
		})
	}
}

// percentile returns the time within which the given part of the sorted times lie.
func percentile(sorted []time.Duration, of int) time.Duration { return sorted[(len(sorted)-1)*of/100] }

func timesOf(sorted []time.Duration) string {
	return fmt.Sprintf("%d answers, median %s, 99%% within %s, longest %s", len(sorted),
		percentile(sorted, 50).Round(time.Millisecond), percentile(sorted, 99).Round(time.Millisecond), percentile(sorted, 100).Round(time.Millisecond))
}

// sendAndStop sends a part of a body, waits for the response and counts it if it is a
// refusal.
func sendAndStop(ctx context.Context, connection net.Conn, part []byte, refused *atomic.Int64) {
	defer connection.Close()
	go func() { _, _ = connection.Write(part) }()
	deadline, _ := ctx.Deadline()
	_ = connection.SetReadDeadline(deadline)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err == nil && response.StatusCode >= 400 {
		refused.Add(1)
	}
}

// readSlowly reads one byte a second.
func readSlowly(ctx context.Context, connection net.Conn, ended *atomic.Int64) {
	defer connection.Close()
	for ctx.Err() == nil {
		if _, err := connection.Read(make([]byte, 1)); err != nil {
			ended.Add(1)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// Guards against a body that is refused only after it was read, or after the caller has
// stopped sending: the refusal must come at once, and nothing may have run.
func TestRefusalComesBeforeTheBody(t *testing.T) {
	const most = memoryBudget / 2 * 3 / 4 // that one team may hold in large bodies beside others
	cases := []struct {
		name, team string
		held       map[string]int64 // by team
		length     int
		status     int
		reason     apierr.Reason
	}{
		{"memory is used up", "parish", map[string]int64{"council": most, "hall": most}, 4 << 20, 503, buffers.ReasonFull},
		{"the team has its part", "council", map[string]int64{"council": most, "hall": 1000}, 4 << 20, 429, buffers.ReasonTeam},
		{"larger than any body", "council", nil, 8<<20 + 1, 413, apierr.ReasonBodyTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newMemoryGate(t, buffers.Options{Budget: memoryBudget, BodyTimeout: time.Minute}, proxy.Options{})
			for team, bytes := range c.held {
				holder := g.account.NewRequest(team, "holder of "+team)
				defer holder.Release()
				if !holder.ReserveResponse(bytes) {
					t.Fatal("no room")
				}
			}
			began := time.Now()
			connection := g.open(t, c.team, c.length, "{")
			defer connection.Close()
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil {
				t.Fatal(err)
			}
			data, _ := io.ReadAll(response.Body)
			refusal := apierr.ParseHTTP(data)
			if refusal == nil || response.StatusCode != c.status || refusal.Reason != c.reason || refusal.Ran != apierr.RanNo {
				t.Errorf("got %d: %s", response.StatusCode, data)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("the refusal took %s", took)
			}
			if g.started.Load() != 0 {
				t.Error("the request was run")
			}
		})
	}
}

// Guards against a body that never ends and keeps its memory and its connection. A
// body that makes progress must not be ended, however long it takes.
func TestBodyMustMakeProgress(t *testing.T) {
	const limit = 300 * time.Millisecond
	g := newMemoryGate(t, buffers.Options{Budget: memoryBudget, BodyTimeout: limit}, proxy.Options{})
	connection := g.open(t, "council", 1000, "{")
	defer connection.Close()
	reader := bufio.NewReader(connection)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	data, _ := io.ReadAll(response.Body)
	if refusal := apierr.ParseHTTP(data); response.StatusCode != http.StatusRequestTimeout || refusal == nil || refusal.Reason != buffers.ReasonBodyTooSlow || refusal.Ran != apierr.RanNo {
		t.Errorf("got %d: %s", response.StatusCode, data)
	}
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection is not closed: %v", err)
	}
	g.awaitNothingHeld(t)

	padding := strings.Repeat(" ", 16<<10)
	body := promptBody(true, 3, 10, 0)
	steady := g.open(t, "council", len(body)+6*len(padding), "")
	defer steady.Close()
	for range 6 {
		time.Sleep(limit / 2)
		_, _ = io.WriteString(steady, padding)
	}
	_, _ = io.WriteString(steady, body)
	response, err = http.ReadResponse(bufio.NewReader(steady), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("a steady body: %v, %v", response, err)
	}
}

// Guards against a deadline of one request that ends the next one on the same
// connection, and against one that ends a slow response.
func TestDeadlinesEndWithTheirRequest(t *testing.T) {
	const limit = 200 * time.Millisecond
	for _, version := range []int{1, 2} {
		t.Run(fmt.Sprint("HTTP/", version), func(t *testing.T) {
			g := newMemoryGate(t, buffers.Options{Budget: memoryBudget, BodyTimeout: limit, WriteTimeout: limit}, proxy.Options{})
			protocols := new(http.Protocols)
			protocols.SetHTTP1(version == 1)
			protocols.SetUnencryptedHTTP2(version == 2)
			var dialled atomic.Int64
			transport := &http.Transport{Protocols: protocols, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				dialled.Add(1)
				return new(net.Dialer).DialContext(ctx, network, address)
			}}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			for i := range 3 {
				status, text, _, err := g.ask(client, "council", promptBody(true, 3, 10, 300))
				if err != nil || status != http.StatusOK || !strings.Contains(text, "[DONE]") {
					t.Fatalf("request %d: %d, %v, %s", i, status, err, text)
				}
				time.Sleep(2 * limit)
			}
			if dialled.Load() != 1 {
				t.Errorf("%d connections were opened", dialled.Load())
			}
		})
	}
}

// Guards against a caller that does not read and has a replica keep its slot and the
// gate its memory; and against a stream that was cut and looks complete.
func TestUnreadStreamEnds(t *testing.T) {
	g := newMemoryGate(t, buffers.Options{Budget: memoryBudget, WriteTimeout: 30 * time.Second}, proxy.Options{UnreadTimeout: 300 * time.Millisecond})
	body := promptBody(true, 20000, 2000, 0)
	connection := g.open(t, "council", len(body), body)
	defer connection.Close()
	began := time.Now()
	for g.cut.Load() == 0 {
		if time.Since(began) > 5*time.Second {
			t.Fatalf("the stream still runs at the engine; %d bytes are held", g.account.Status().Held)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if n := g.count("ended.reader_too_slow"); n != 1 {
		t.Errorf("%d responses are counted as ended", n)
	}
	if peak := g.account.Status().Peak; peak > 1<<20 {
		t.Errorf("%d bytes were held for one caller", peak)
	}
	g.awaitNothingHeld(t)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(response.Body)
	if err == nil || strings.Contains(string(data), "[DONE]") {
		t.Errorf("a stream that was cut looks complete after %d bytes: %v", len(data), err)
	}
}

// Guards against a response that was received whole and is lost because its caller reads
// late.
func TestWholeResponseIsKept(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			g := newMemoryGate(t, buffers.Options{Budget: memoryBudget, WriteTimeout: 30 * time.Second}, proxy.Options{UnreadTimeout: 100 * time.Millisecond})
			body := promptBody(stream, 100, 1000, 0)
			connection := g.open(t, "council", len(body), body)
			defer connection.Close()
			time.Sleep(time.Second)
			if g.running.Load() != 0 {
				t.Error("the replica's slot is still in use")
			}
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil {
				t.Fatal(err)
			}
			data, err := io.ReadAll(response.Body)
			if err != nil || len(data) < 100*1000 {
				t.Errorf("read %d bytes: %v", len(data), err)
			}
			g.awaitNothingHeld(t)
		})
	}
}

// Guards against a response that looks complete, and counts as answered, although the gate
// needed its memory for others before its caller had read it.
func TestReclaimedResponseIsIncomplete(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			g := newMemoryGate(t, buffers.Options{Budget: memoryBudget, WriteTimeout: 30 * time.Second}, proxy.Options{})
			// more than the socket buffers take
			body := promptBody(stream, 200, 1000, 0)
			if !stream {
				body = promptBody(stream, 800, 10_000, 0)
			}
			connection := g.open(t, "council", len(body), body)
			defer connection.Close()
			time.Sleep(1500 * time.Millisecond)
			other := g.account.NewRequest("hall", "other")
			defer other.Release()
			for end := time.Now().Add(5 * time.Second); !other.ReserveResponse(memoryBudget * 3 / 4); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d bytes are still held", g.account.Status().Held)
				}
			}
			if done, ended := g.count("online_done"), g.count("ended.memory_reclaimed"); stream && done != 0 || ended != 1 {
				t.Errorf("%d requests count as answered, %d as ended", done, ended)
			}
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil {
				return // nothing was sent
			}
			if data, err := io.ReadAll(response.Body); err == nil {
				t.Errorf("the response looks complete after %d bytes", len(data))
			}
		})
	}
}

// Guards against a caller that is taken for dead because it does not read for longer than
// timeouts.unanswered: TCP_USER_TIMEOUT ends such a connection, and the response that is
// kept for it is lost.
func TestLateReaderIsNotTakenForDead(t *testing.T) {
	const unanswered = 500 * time.Millisecond
	g := newMemoryGate(t, buffers.Options{Budget: memoryBudget, WriteTimeout: 30 * time.Second, UnackedTimeout: unanswered}, proxy.Options{})
	go g.account.Run(during(10 * time.Second))
	listener, err := sockets.Listen(context.Background(), "127.0.0.1:0", 30*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	g.address = listener.Addr().String()
	server := &http.Server{Handler: g.account.Handler(http.HandlerFunc(g.serve)), ConnContext: g.account.ConnContext}
	g.servers = append(g.servers, server)
	go func() { _ = server.Serve(sockets.NewLimitedListener(listener, 100, nil)) }()
	body := promptBody(false, 800, 10_000, 0)
	connection := g.open(t, "council", len(body), body)
	defer connection.Close()
	time.Sleep(6 * unanswered)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil || len(data) < 800*10_000 {
		t.Errorf("read %d bytes: %v", len(data), err)
	}
	if n := g.count("caller_unacknowledged"); n != 0 {
		t.Errorf("%d callers were taken for dead", n)
	}
}

// Guards against a stream that hangs for ever because one event is larger than the
// bound.
func TestEventLargerThanBoundPasses(t *testing.T) {
	g := newMemoryGate(t, buffers.Options{Budget: memoryBudget}, proxy.Options{UnreadBytes: 1000})
	status, text, _, err := g.ask(http.DefaultClient, "council", promptBody(true, 3, 100_000, 0))
	if err != nil || status != http.StatusOK || !strings.Contains(text, "[DONE]") || len(text) < 300_000 {
		t.Errorf("%d, %d bytes, %v", status, len(text), err)
	}
}

// Guards against a stream that is resumed elsewhere, or a replica that is probed, because
// one caller reads slowly. Each would run the request again at the cost of others.
func TestPauseIsNotAStall(t *testing.T) {
	g := newMemoryGate(t, buffers.Options{Budget: memoryBudget, WriteTimeout: 30 * time.Second}, proxy.Options{
		UnreadTimeout: 10 * time.Second,
		Route:         route.Config{StallMin: 300 * time.Millisecond, ProbeAfter: 300 * time.Millisecond, TokenTimeout: 600 * time.Millisecond},
	})
	body := promptBody(true, 7000, 2000, 0)
	connection := g.open(t, "council", len(body), body)
	defer connection.Close()
	time.Sleep(1500 * time.Millisecond)
	if started, running := g.started.Load(), g.running.Load(); started != 1 || running != 1 {
		t.Errorf("the engine has received %d requests and runs %d", started, running)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil || !strings.Contains(string(data), "[DONE]") || g.started.Load() != 1 {
		t.Errorf("read %d bytes, %v; the engine has received %d requests", len(data), err, g.started.Load())
	}
}

// Guards against bytes or goroutines that remain after a request has ended in any way.
func TestNothingIsHeldAfterTheEnd(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	g := newMemoryGate(t, buffers.Options{Budget: memoryBudget, BodyTimeout: 200 * time.Millisecond, WriteTimeout: time.Second, Log: zap.NewNop()},
		proxy.Options{UnreadTimeout: 200 * time.Millisecond})
	client := &http.Client{Transport: &http.Transport{}}
	streaming := promptBody(true, 2000, 2000, 0)
	// begin opens a request and waits until bytes are held for it.
	begin := func(t *testing.T, length int, body string) net.Conn {
		connection := g.open(t, "council", length, body)
		for end := time.Now().Add(5 * time.Second); g.account.Status().Held == 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("nothing is held for the request")
			}
		}
		return connection
	}
	item := func(ctx context.Context, body string) {
		_, _ = g.router.RunBatch(ctx, proxy.BatchItem{
			ID: fmt.Sprint("item", lastID.Add(1)), Team: "council", Service: "wordroom", Path: proxy.PathCompletions, Body: []byte(body), Repeatable: true,
		})
	}
	ends := map[string]func(t *testing.T){
		"answered":             func(*testing.T) { _, _, _, _ = g.ask(client, "council", promptBody(true, 5, 100, 1)) },
		"answered whole":       func(*testing.T) { _, _, _, _ = g.ask(client, "council", promptBody(false, 50, 10_000, 0)) },
		"body stops":           func(t *testing.T) { t.Cleanup(closeLater(begin(t, 4<<20, streaming))) },
		"caller leaves":        func(t *testing.T) { _ = begin(t, len(streaming), streaming).Close() },
		"caller does not read": func(t *testing.T) { t.Cleanup(closeLater(begin(t, len(streaming), streaming))) },
		"caller leaves body":   func(t *testing.T) { _ = begin(t, 4<<20, streaming).Close() },
		"replica breaks": func(t *testing.T) {
			t.Cleanup(closeLater(begin(t, len(streaming), streaming)))
			time.Sleep(50 * time.Millisecond)
			g.engine.CloseClientConnections()
		},
		"gate ends the response": func(t *testing.T) {
			t.Cleanup(closeLater(begin(t, len(streaming), streaming)))
			time.Sleep(50 * time.Millisecond)
			other := g.account.NewRequest("hall", "other")
			defer other.Release()
			for !other.ReserveResponse(memoryBudget * 3 / 4) {
				time.Sleep(10 * time.Millisecond)
			}
		},
		"item of a job":   func(*testing.T) { item(context.Background(), promptBody(false, 50, 10_000, 0)) },
		"item is stopped": func(*testing.T) { item(during(50*time.Millisecond), promptBody(false, 1000, 1000, 10)) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			end(t)
			g.awaitNothingHeld(t)
		})
	}
	_ = g.router.Drain(during(5 * time.Second))
	client.CloseIdleConnections()
	g.close()
	http.DefaultClient.CloseIdleConnections()
	time.Sleep(time.Second) // the server waits half a second when it closes a connection with an unread body
	if err := goleak.Find(ignore); err != nil {
		t.Error(err)
	}
}

func closeLater(connection net.Conn) func() { return func() { _ = connection.Close() } }
