package control_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/control"
	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/keeper"
	"slateway.example/slateway/internal/keeper/keeperapi"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
)

// startLeader starts a server that reports a version of the routes as their leader does.
func startLeader(t *testing.T, version uint64) (address string) {
	mux := http.NewServeMux()
	rpc.Handle(mux, keeperapi.ReadRoutes, 1<<20, func(context.Context, *keeperapi.ReadRoutesRequest) (*keeperapi.Reply[keeperapi.ReadRoutesResponse], error) {
		return &keeperapi.Reply[keeperapi.ReadRoutesResponse]{Value: &keeperapi.ReadRoutesResponse{Document: routes.Document{Version: version}}}, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func applyRoutes(t *testing.T, config *keeper.ConfigMachine, index, version uint64) {
	packed, err := routes.Pack(&routes.Document{Version: version, Services: []routes.Service{{Name: "wordroom"}}})
	if err != nil {
		t.Error(err)
	}
	config.Apply(replica.Entry{Index: index, Data: codec.MustMarshal(map[int]any{6: packed})})
}

// A gate confirms its routes before it refuses a key for good. The control VM may not
// have applied the change that added the key yet, so it must catch up with the leader.
func TestRoutesAreConfirmedByTheLeader(t *testing.T) {
	config := keeper.NewConfigMachine()
	applyRoutes(t, config, 1, 5)
	calls := rpc.NewClient(&http.Client{})
	service := control.New(control.Options{
		VM: "control-1", Folder: t.TempDir(), Group: &member{}, Config: config, Calls: calls,
		Keepers: keeperclient.New(calls, []string{startLeader(t, 7)}), Log: zap.NewNop(), Metrics: telemetry.NewMetrics(),
		Roster: roster.Config{ReplicaLifetime: time.Minute, GateLifetime: time.Minute}, AnswerLifetime: time.Second, MaxEntries: 8,
	})
	mux := http.NewServeMux()
	service.Mount(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	time.AfterFunc(200*time.Millisecond, func() { applyRoutes(t, config, 2, 7) })
	response, err := rpc.Call(t.Context(), calls, strings.TrimPrefix(server.URL, "http://"), controlapi.Follow, &controlapi.FollowRequest{
		Gate: roster.Gate{VM: "gate-1", Started: 1, Sequence: 1}, Routes: 5, Confirm: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	if response.Routes == nil || response.Routes.Version != 7 {
		t.Errorf("got routes %+v, want version 7, which was in force at the request", response.Routes)
	}
}
