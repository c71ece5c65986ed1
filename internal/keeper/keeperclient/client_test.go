package keeperclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
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

func answering(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	rpc.Handle(mux, keeperapi.ReadRoutes, 1<<20, func(context.Context, *keeperapi.ReadRoutesRequest) (*keeperapi.Reply[keeperapi.ReadRoutesResponse], error) {
		return &keeperapi.Reply[keeperapi.ReadRoutesResponse]{Value: &keeperapi.ReadRoutesResponse{Document: routes.Document{Version: 5}}}, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
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
