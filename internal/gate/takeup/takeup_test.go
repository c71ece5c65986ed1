package takeup_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/gate/takeup"
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/origin"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

const service = "wordroom"

// site is four gates and a control VM that answer each other.
type site struct {
	gates   []*takeup.Service
	servers []*httptest.Server
	members []member.Member
	control *httptest.Server
}

func (s *site) Members() []member.Member { return s.members }

func newSite(t *testing.T) *site {
	s := &site{}
	mux := http.NewServeMux()
	takeup.NewStore().Mount(mux)
	s.control = httptest.NewServer(mux)
	t.Cleanup(s.control.Close)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	matcher := routes.NewMatcher(&routes.Document{Version: 1, Routes: []routes.Route{*route()}})
	for _, name := range []string{"a", "b", "c", "d"} {
		gate := takeup.New(takeup.Options{
			VM: name, Fleet: s, Controls: func() []string { return []string{addressOf(s.control)} }, Calls: rpc.NewClient(&http.Client{}),
			Routes: func() *routes.Matcher { return matcher }, Log: zap.NewNop(), Metrics: telemetry.NewMetrics(),
		})
		mux := http.NewServeMux()
		gate.Mount(mux)
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		go gate.Run(ctx)
		s.gates, s.servers = append(s.gates, gate), append(s.servers, server)
		s.members = append(s.members, member.Member{Record: member.Record{VM: member.VM{Name: name, Place: "place-" + name, Peers: addressOf(server)}}})
	}
	time.Sleep(20 * time.Millisecond) // until Run runs
	for _, gate := range s.gates {
		gate.RememberBuilds(nil, origin.Memory)
		announce(gate, "r1", "v1")
		gate.Confirmed()
	}
	return s
}

func addressOf(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

func route() *routes.Route {
	return &routes.Route{Name: "r", Host: "news.example", Prefix: "/", Kind: routes.Streaming, Timeout: 3 * time.Second, MaxAttempts: 2, Resumable: true, Split: []routes.Share{{Service: service, Weight: 1}}}
}

func announce(gate *takeup.Service, id, build string) {
	gate.Announced(&upstream.Announcement{Service: service, Replica: upstream.ReplicaID(id), Build: build, Incarnation: 1})
}

// kill ends a gate: it answers nothing more.
func (s *site) kill(i int) { s.servers[i].Close() }

func resolve(gate *takeup.Service, id, resumes string) (string, string) {
	found, refusal := gate.Resolve(context.Background(), takeup.TakeUp{ID: id, Resumes: resumes, LastEvent: 3, Route: route(), Service: service})
	if refusal != nil {
		return "", string(refusal.Reason)
	}
	return found.Build, ""
}

func expect(t *testing.T, gate *takeup.Service, id, resumes, build string, reason string) {
	t.Helper()
	if got, refused := resolve(gate, id, resumes); got != build || refused != reason {
		t.Errorf("%s resumes %s: build %q, refused with %q; want %q, %q", id, resumes, got, refused, build, reason)
	}
}

func TestTakeUpsWithOneBuildNeedNoRecord(t *testing.T) {
	s := newSite(t)
	s.kill(0)
	expect(t, s.gates[1], "x2", "x1", "v1", "")
	expect(t, s.gates[1], "x3", "", "v1", "")
}

// Guards against streams that nobody knows because they began before a second build was
// announced, and their gate was killed after it.
func TestRecordsOfEarlierStreamsAreSharedAtARelease(t *testing.T) {
	s := newSite(t)
	s.gates[0].Began(service, "x1", "v1", true)
	for _, gate := range s.gates {
		announce(gate, "r2", "v2")
	}
	s.gates[0].Began(service, "x2", "v2", true)
	time.Sleep(200 * time.Millisecond)
	s.kill(0)
	expect(t, s.gates[1], "y1", "x1", "v1", "")
	expect(t, s.gates[2], "y2", "x2", "v2", "")
	expect(t, s.gates[3], "y3", "x9", "", "stream_origin_unknown")
	expect(t, s.gates[3], "y4", "", "", "stream_origin_unknown")
	time.Sleep(200 * time.Millisecond)
	expect(t, s.gates[3], "z1", "y2", "v2", "") // taken up twice, under the second request's ID
}

// Guards against the loss of all records when all gates are killed at once.
func TestAControlVMKnowsStreamsAfterAllGatesWereKilled(t *testing.T) {
	s := newSite(t)
	for _, gate := range s.gates {
		announce(gate, "r2", "v2")
	}
	s.gates[0].Began(service, "x1", "v2", true)
	time.Sleep(200 * time.Millisecond)
	for i := range 3 {
		s.kill(i)
	}
	for i := range 30 {
		id := string(rune('a' + i))
		s.gates[0].Began(service, id, "v1", true)
	}
	expect(t, s.gates[3], "y1", "x1", "v2", "")
}

// Guards against a stream that is taken for one of the build that the gate recorded at first.
func TestAStreamOfAnUnknownBuildIsRefused(t *testing.T) {
	s := newSite(t)
	for _, gate := range s.gates {
		announce(gate, "r2", "v2")
	}
	s.gates[0].Began(service, "x1", "v1", true)
	s.gates[0].Began(service, "x1", "v1", false)
	time.Sleep(200 * time.Millisecond)
	for _, gate := range s.gates {
		expect(t, gate, "y1", "x1", "", "stream_origin_unknown")
	}
}

// Guards against a caller that waits for gates that are frozen.
func TestFrozenGatesDelayATakeUpBriefly(t *testing.T) {
	s := newSite(t)
	frozen := make(chan struct{})
	t.Cleanup(func() { close(frozen) })
	hanging := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-frozen }))
	t.Cleanup(hanging.CloseClientConnections)
	for i := range 3 {
		s.members[i].VM.Peers = addressOf(hanging)
	}
	announce(s.gates[3], "r2", "v2")
	began := time.Now()
	expect(t, s.gates[3], "y1", "x1", "", "stream_origin_unknown")
	if took := time.Since(began); took > time.Second {
		t.Errorf("the caller waited %s", took)
	}
}
