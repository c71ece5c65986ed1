package follow_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/gate/follow"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
	"slateway.example/slateway/standin/link"
)

// noReplicas is a router that is told of no replica.
type noReplicas struct{}

func (noReplicas) Announce(upstream.Announcement) error        { return nil }
func (noReplicas) Withdraw(string, upstream.ReplicaID, uint64) {}

// controlWithRoutes serves the first routes at once and holds later questions.
func controlWithRoutes(t *testing.T) (address string) {
	mux := http.NewServeMux()
	rpc.Handle(mux, controlapi.Follow, 1<<20, func(ctx context.Context, asked *controlapi.FollowRequest) (*controlapi.FollowResponse, error) {
		if asked.Routes > 0 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return &controlapi.FollowResponse{Epoch: "e", Routes: &routes.Document{Version: 7}}, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// A site has lost its power and comes back one VM after the other. Callers stand at
// a gate that is back, and wait for as long as a call to a control VM may take, more
// than a second, though another control VM is back and has the routes: the gate asks
// one that is still down, and then the next.
func TestAGateFindsTheControlVMThatIsBack(t *testing.T) {
	for range 4 { // by lot, one at a time, it is found first in one of three
		var seeds []string
		for range 2 {
			dark, err := link.NewDark()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(dark.Close)
			seeds = append(seeds, dark.Address)
		}
		f := follow.New(follow.Options{
			Gate: roster.Gate{VM: "gate-1"}, Seeds: append(seeds, controlWithRoutes(t)), Router: noReplicas{},
			Calls: rpc.NewClient(&http.Client{Transport: &http.Transport{}}), Log: zap.NewNop(), Metrics: telemetry.NewMetrics(),
		})
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(done)
		}()
		start := time.Now()
		first, cancel := context.WithTimeout(ctx, 5*time.Second)
		f.Await(first)
		cancel()
		if took := time.Since(start); took > 300*time.Millisecond {
			t.Errorf("the first routes took %s", took)
		}
		stop()
		<-done
	}
}

// Guards against callers who wait at gates without routes while the only control VMs that are back are not in the settings.
func TestAGateFollowsAControlVMThatCallsIt(t *testing.T) {
	var seeds []string
	for range 3 {
		dark, err := link.NewDark()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(dark.Close)
		seeds = append(seeds, dark.Address)
	}
	calls := rpc.NewClient(&http.Client{Transport: &http.Transport{}})
	f := follow.New(follow.Options{
		Gate: roster.Gate{VM: "gate-1"}, Seeds: seeds, Router: noReplicas{},
		Calls: calls, Log: zap.NewNop(), Metrics: telemetry.NewMetrics(),
	})
	mux := http.NewServeMux()
	f.Mount(mux)
	gate := httptest.NewServer(mux)
	t.Cleanup(gate.Close)
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	invite := &controlapi.InviteRequest{Control: controlWithRoutes(t)}
	if _, err := rpc.Call(ctx, calls, strings.TrimPrefix(gate.URL, "http://"), controlapi.Invite, invite); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	f.Await(ctx)
	if took := time.Since(start); took > 300*time.Millisecond || f.Routes().Version() != 7 {
		t.Errorf("routes of version %d after %s", f.Routes().Version(), took)
	}
	stop()
	<-done
}
