package keeperclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/rpc"
)

// frozen starts a listener that accepts connections and never answers, like a stopped
// process. It returns its address.
func frozen(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// serving starts a server that answers each ReadRoutes call with the result of reply.
// It returns its address.
func serving(t *testing.T, reply func(context.Context) *keeperapi.Reply[keeperapi.ReadRoutesResponse]) string {
	t.Helper()
	mux := http.NewServeMux()
	rpc.Handle(mux, keeperapi.ReadRoutes, 1<<20, func(ctx context.Context, _ *keeperapi.ReadRoutesRequest) (*keeperapi.Reply[keeperapi.ReadRoutesResponse], error) {
		return reply(ctx), nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// answering starts a leader, which answers each ReadRoutes call. It returns its
// address.
func answering(t *testing.T) string {
	return serving(t, func(context.Context) *keeperapi.Reply[keeperapi.ReadRoutesResponse] {
		return &keeperapi.Reply[keeperapi.ReadRoutesResponse]{Value: &keeperapi.ReadRoutesResponse{Document: routes.Document{Version: 5}}}
	})
}

// Guards against a call that retries a frozen leader with ever longer timeouts. A
// configuration change then took more than four seconds, although a new leader had
// been elected after half a second.
func TestFrozenLeaderIsNotCalledTwice(t *testing.T) {
	stopped, healthy := frozen(t), answering(t)
	const timeout = 300 * time.Millisecond
	for name, hint := range map[string]string{"next address": "", "leader hint": healthy} {
		client := New(rpc.NewClient(&http.Client{}), []string{stopped, healthy})
		client.SetFirstAttemptTimeout(timeout)
		client.SetLeaderHint(func(uint32) string { return hint })
		client.setLeader(keeperapi.ConfigGroup, stopped)
		began := time.Now()
		document, err := client.ReadRoutes(t.Context())
		if err != nil || document.Version != 5 {
			t.Fatalf("%s: %+v, %v", name, document, err)
		}
		if took := time.Since(began); took > 2*timeout {
			t.Errorf("%s: took %s", name, took)
		}
	}
}

// Guards against a call that never returns to a leader that was slow once. When thirty
// gates leased items at the same time, the leader exceeded the timeout of the first
// attempt. Each gate then called only the other keepers, which all redirected it to the
// leader, and the job made no progress for ten seconds.
func TestSlowLeaderIsCalledAgain(t *testing.T) {
	const timeout = 100 * time.Millisecond
	var calls, redirects atomic.Int64
	slow := serving(t, func(ctx context.Context) *keeperapi.Reply[keeperapi.ReadRoutesResponse] {
		if calls.Add(1) == 1 {
			<-ctx.Done()
		}
		return &keeperapi.Reply[keeperapi.ReadRoutesResponse]{Value: &keeperapi.ReadRoutesResponse{Document: routes.Document{Version: 5}}}
	})
	other := serving(t, func(context.Context) *keeperapi.Reply[keeperapi.ReadRoutesResponse] {
		redirects.Add(1)
		return &keeperapi.Reply[keeperapi.ReadRoutesResponse]{NotLeader: &keeperapi.NotLeader{Address: slow}}
	})
	client := New(rpc.NewClient(&http.Client{}), []string{slow, other})
	client.SetFirstAttemptTimeout(timeout)
	client.setLeader(keeperapi.ConfigGroup, slow)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	document, err := client.ReadRoutes(ctx)
	if err != nil || document.Version != 5 {
		t.Fatalf("%+v, %v", document, err)
	}
	if n := redirects.Load(); n > 20 {
		t.Errorf("the other keeper was called %d times", n)
	}
}
