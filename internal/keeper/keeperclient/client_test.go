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

// frozen accepts connections and never answers, as a stopped process does.
func frozen(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// serving answers each read of the routes by reply.
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

func answering(t *testing.T) string {
	return serving(t, func(context.Context) *keeperapi.Reply[keeperapi.ReadRoutesResponse] {
		return &keeperapi.Reply[keeperapi.ReadRoutesResponse]{Value: &keeperapi.ReadRoutesResponse{Document: routes.Document{Version: 5}}}
	})
}

// An operator's change is not acknowledged for more than four seconds, though the
// configuration has a new leader after half a second: the leader before it froze,
// and each control VM asked it again and again, with ever more patience.
func TestAFrozenLeaderIsNotAskedTwice(t *testing.T) {
	stopped, well := frozen(t), answering(t)
	const patience = 300 * time.Millisecond
	for name, hint := range map[string]string{"by the next address": "", "by what the VM itself knows": well} {
		client := New(rpc.NewClient(&http.Client{}), []string{stopped, well})
		client.SetPatience(patience)
		client.SetHint(func(uint32) string { return hint })
		client.setLeader(keeperapi.ConfigGroup, stopped)
		began := time.Now()
		document, err := client.ReadRoutes(t.Context())
		if err != nil || document.Version != 5 {
			t.Fatalf("%s: %+v, %v", name, document, err)
		}
		if took := time.Since(began); took > 2*patience {
			t.Errorf("%s: took %s", name, took)
		}
	}
}

// A job stands still for ten seconds though its items are queued, the leader is
// well and gates have room. Thirty gates asked for items at the same moment, and
// the leader took longer for it than the first attempt waits. From then on each
// gate asked only the other keepers, all of which sent it back to the leader.
func TestALeaderThatWasSlowOnceIsAskedAgain(t *testing.T) {
	const patience = 100 * time.Millisecond
	var asked, sentBack atomic.Int64
	slow := serving(t, func(ctx context.Context) *keeperapi.Reply[keeperapi.ReadRoutesResponse] {
		if asked.Add(1) == 1 {
			<-ctx.Done()
		}
		return &keeperapi.Reply[keeperapi.ReadRoutesResponse]{Value: &keeperapi.ReadRoutesResponse{Document: routes.Document{Version: 5}}}
	})
	other := serving(t, func(context.Context) *keeperapi.Reply[keeperapi.ReadRoutesResponse] {
		sentBack.Add(1)
		return &keeperapi.Reply[keeperapi.ReadRoutesResponse]{NotLeader: &keeperapi.NotLeader{Address: slow}}
	})
	client := New(rpc.NewClient(&http.Client{}), []string{slow, other})
	client.SetPatience(patience)
	client.setLeader(keeperapi.ConfigGroup, slow)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	document, err := client.ReadRoutes(ctx)
	if err != nil || document.Version != 5 {
		t.Fatalf("%+v, %v", document, err)
	}
	if n := sentBack.Load(); n > 20 {
		t.Errorf("the other keeper was asked %d times", n)
	}
}
