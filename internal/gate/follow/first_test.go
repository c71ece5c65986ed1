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
	"slateway.example/slateway/internal/origin"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
	"slateway.example/slateway/standin/link"
)

// noReplicas is a router that ignores announcements.
type noReplicas struct{}

func (noReplicas) RememberParts([]controlapi.ServiceParts, uint64) {}

func (noReplicas) PartsHash() uint64 { return 0 }

func (noReplicas) RememberBuilds([]origin.Past, time.Duration) {}
func (noReplicas) Confirmed()                                  {}

func (noReplicas) Announce(upstream.Announcement) error        { return nil }
func (noReplicas) Withdraw(string, upstream.ReplicaID, uint64) {}

// controlWithRoutes starts a control VM that returns the first routes at once and never
// answers later requests.
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

// After a power loss of a site, a gate that is back must get the routes from the control VM
// that is back, without waiting for the call timeout of more than a second at each control
// VM that is still down.
func TestAGateFindsTheControlVMThatIsBack(t *testing.T) {
	for range 4 { // asked one at a time in random order, it would be first in 1 of 3 runs
		var seeds []string
		for range 2 {
			dark, err := link.NewBlackhole()
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
			t.Errorf("the first routes took %s, want at most 300 ms", took)
		}
		stop()
		<-done
	}
}

// Callers must not wait at gates without routes when the only control VMs that are back are
// missing from the settings: the gate must follow a control VM that invites it.
func TestAGateFollowsAControlVMThatCallsIt(t *testing.T) {
	var seeds []string
	for range 3 {
		dark, err := link.NewBlackhole()
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
		t.Errorf("the gate has version %d of the routes after %s, want version 7 within 300 ms", f.Routes().Version(), took)
	}
	stop()
	<-done
}
