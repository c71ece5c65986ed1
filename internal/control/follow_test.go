package control_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/control"
	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/keeper"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
)

// member implements control.Group as a follower with a configurable lag.
type member struct {
	lag time.Duration

	mu         sync.Mutex
	candidates []quorum.Member
}

func (m *member) Leader(uint32) (replica.Member, bool) { return replica.Member{ID: 1}, true }
func (m *member) Lag(uint32) time.Duration             { return m.lag }
func (m *member) Members() []quorum.Member             { return nil }
func (m *member) Candidates() []quorum.Member          { return nil }
func (m *member) Known() []quorum.Member               { return nil }
func (m *member) Retire(context.Context, []string) ([]string, error) {
	return nil, errors.New("not implemented by this fake")
}

func (m *member) LocateLeaders(context.Context) {}

func (m *member) RecordCandidates(members []quorum.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.candidates = append(m.candidates, members...)
}

func (m *member) noted() []quorum.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.candidates
}

func candidate(vm string) []quorum.Member { return []quorum.Member{{VM: vm}} }

// newControl creates a control VM that has applied routes of version 5. The other control
// VMs are at the given addresses.
func newControl(t *testing.T, m *member, calls *rpc.Client, others ...string) *control.Service {
	t.Helper()
	config := keeper.NewConfigMachine()
	packed, err := routes.Pack(&routes.Document{
		Version: 5, Source: []byte("as it was sent"),
		Services: []routes.Service{{Name: "wordroom"}},
		Routes: []routes.Route{{
			Name: "r", Host: "news.example", Prefix: "/", Kind: routes.Idempotent, Timeout: time.Second, MaxAttempts: 1,
			Split: []routes.Share{{Service: "wordroom", Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	config.Apply(replica.Entry{Index: 1, Data: codec.MustMarshal(map[int]any{6: packed})})
	return control.New(control.Options{
		VM: "control-1", Folder: t.TempDir(), Seeds: others, Group: m, Config: config, Calls: calls,
		Keepers: keeperclient.New(calls, nil), Log: zap.NewNop(), Metrics: telemetry.NewMetrics(),
		Roster: roster.Config{ReplicaLifetime: time.Minute, GateLifetime: time.Minute}, AnswerLifetime: time.Second, MaxEntries: 8,
	})
}

// startControl serves a control VM of newControl over HTTP.
func startControl(t *testing.T, m *member, others ...string) (address string, calls *rpc.Client) {
	t.Helper()
	calls = rpc.NewClient(&http.Client{})
	mux := http.NewServeMux()
	newControl(t, m, calls, others...).Mount(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), calls
}

// localTransport serves requests with a handler in the same process. A goroutine that
// waits for a socket would stop the clock of a synctest bubble.
type localTransport struct{ handler http.Handler }

func (l localTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	l.handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// localCalls returns a client whose calls the service itself serves, for any address.
func localCalls(service *control.Service) *rpc.Client {
	mux := http.NewServeMux()
	service.Mount(mux)
	return rpc.NewClient(&http.Client{Transport: localTransport{mux}})
}

// A control VM that receives the leader's heartbeats but no entries would keep its gates
// on the routes before an acknowledged change. It must send them to another control VM.
func TestAControlVMThatLagsSendsItsGatesElsewhere(t *testing.T) {
	m := &member{}
	address, calls := startControl(t, m)
	poll := func() (*controlapi.FollowResponse, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return rpc.Call(ctx, calls, address, controlapi.Follow, &controlapi.FollowRequest{Gate: roster.Gate{VM: "gate-1"}, Routes: 4})
	}
	if response, err := poll(); err != nil || response.Routes == nil || response.Routes.Version != 5 {
		t.Fatalf("got %+v, %v", response, err)
	}
	m.lag = 2 * time.Second
	_, err := poll()
	if apierr.ReasonOf(err) != controlapi.ReasonNoContact {
		t.Errorf("a control VM that lags returns error %v, want reason control_no_contact", err)
	}
}

// Gates of the previous release cannot unpack routes and must get them unpacked. Packed
// routes leave out the operator's source text.
func TestRoutesArePackedForGatesThatTakeIt(t *testing.T) {
	address, calls := startControl(t, &member{})
	for _, packed := range []bool{true, false} {
		response, err := rpc.Call(context.Background(), calls, address, controlapi.Follow,
			&controlapi.FollowRequest{Gate: roster.Gate{VM: "gate-1"}, Routes: 4, AcceptsPacked: packed})
		if err != nil {
			t.Fatal(err)
		}
		if got := len(response.Packed) > 0; got != packed || (response.Routes != nil) == packed {
			t.Fatalf("gate accepts packed: %t, response has packed: %t and unpacked: %t", packed, got, response.Routes != nil)
		}
		if !packed {
			continue
		}
		document, err := response.Packed.Unpack()
		if err != nil || document.Version != 5 || document.Source != nil {
			t.Errorf("unpacked %+v, %v", document, err)
		}
	}
}
