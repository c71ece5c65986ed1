package control_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/control"
	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/keeper"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
)

// Without batching, the responses grow with the square of the number of gates when all
// gates start together. The test runs on a clock of its own: on a busy machine, some
// gates did not get all responses in two seconds of real time.
func TestGatesThatStartTogetherAreAnsweredTogether(t *testing.T) {
	synctest.Test(t, testGatesThatStartTogether)
}

func testGatesThatStartTogether(t *testing.T) {
	const gates = 120
	calls := localCalls(newControl(t, &member{}, rpc.NewClient(&http.Client{})))
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	var answers, entries atomic.Int64
	var following sync.WaitGroup
	for i := range gates {
		following.Go(func() {
			request := &controlapi.FollowRequest{
				Gate: roster.Gate{VM: fmt.Sprint("gate-", i), Ready: true, Started: 1}, Routes: 5,
				Wait: 500 * time.Millisecond, AcceptsGateChanges: true,
			}
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			for ctx.Err() == nil {
				request.Gate.Sequence++
				response, err := rpc.Call(ctx, calls, "control-1", controlapi.Follow, request)
				if err != nil {
					return
				}
				if err := response.Unpack(); err != nil {
					t.Error(err)
					return
				}
				request.Epoch, request.Since = response.Epoch, response.Changes.Version
				answers.Add(1)
				entries.Add(int64(len(response.Changes.Gates)))
			}
		})
	}
	following.Wait()
	// Each gate must receive each other gate once, with few repetitions.
	if got := entries.Load(); got < gates*gates || got > gates*gates*3/2 {
		t.Errorf("%d entries for %d gates", got, gates)
	}
	// In two seconds each gate gets about 4 responses to expired long polls and 8 with
	// batched changes.
	if got := answers.Load(); got > gates*16 {
		t.Errorf("%d responses for %d gates", got, gates)
	}
}

// shareCounter is a fake control VM that counts the calls that it serves.
type shareCounter struct {
	now, most, calls atomic.Int64

	mu    sync.Mutex
	gates map[string]bool
}

func (c *shareCounter) start(t *testing.T) (address string) {
	c.gates = make(map[string]bool)
	mux := http.NewServeMux()
	rpc.Handle(mux, controlapi.Share, controlapi.MaxMessageBytes, func(_ context.Context, request *controlapi.ShareRequest) (*controlapi.ShareResponse, error) {
		c.calls.Add(1)
		c.most.Store(max(c.most.Load(), c.now.Add(1)))
		defer c.now.Add(-1)
		time.Sleep(20 * time.Millisecond)
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, report := range request.Gates {
			c.gates[report.Gate.VM] = true
		}
		return &controlapi.ShareResponse{}, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (c *shareCounter) known() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.gates)
}

// A separate call for each gate that starts would take as many connections to each other
// control VM.
func TestOneCallAtATimeTellsAnotherControlVM(t *testing.T) {
	const gates = 200
	other := &shareCounter{}
	address, calls := startControl(t, &member{}, other.start(t))
	var following sync.WaitGroup
	for i := range gates {
		following.Go(func() {
			request := &controlapi.FollowRequest{Gate: roster.Gate{VM: fmt.Sprint("gate-", i)}, Routes: 4}
			if _, err := rpc.Call(context.Background(), calls, address, controlapi.Follow, request); err != nil {
				t.Error(err)
			}
		})
	}
	following.Wait()
	for deadline := time.Now().Add(5 * time.Second); other.known() < gates && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	if other.known() != gates || other.most.Load() > 1 || other.calls.Load() > gates/4 {
		t.Errorf("%d gates shared in %d calls, %d concurrent", other.known(), other.calls.Load(), other.most.Load())
	}
}

// A candidate contacts leaders only. Without sharing, the other control VMs would not
// know it and refuse to retire it.
func TestCandidatesOfTheLeaderAreKnownToAll(t *testing.T) {
	m := &member{}
	address, calls := startControl(t, m)
	candidates := candidate("store-9")
	_, err := rpc.Call(context.Background(), calls, address, controlapi.Share, &controlapi.ShareRequest{Candidates: candidates})
	if err != nil {
		t.Fatal(err)
	}
	if got := m.noted(); len(got) != 1 || got[0].VM != "store-9" {
		t.Errorf("noted %+v", got)
	}
}

// When all gates request the full roster at once, it must be encoded and compressed once,
// not for each gate.
func TestEverythingIsPackedOnceForAllGates(t *testing.T) {
	address, calls := startControl(t, &member{})
	var gates []roster.GateReport
	for i := range 200 {
		gates = append(gates, roster.GateReport{Gate: roster.Gate{VM: fmt.Sprint("gate-", i), Started: 1, Sequence: 1, Ready: true}})
	}
	ctx := context.Background()
	if _, err := rpc.Call(ctx, calls, address, controlapi.Share, &controlapi.ShareRequest{Gates: gates}); err != nil {
		t.Fatal(err)
	}
	request := &controlapi.FollowRequest{Gate: roster.Gate{VM: "gate-1", Started: 1, Sequence: 1}, Routes: 5, AcceptsGateChanges: true}
	var first []byte
	for range 2 {
		response, err := rpc.Call(ctx, calls, address, controlapi.Follow, request)
		if err != nil {
			t.Fatal(err)
		}
		if len(response.PackedChanges) == 0 || len(response.Changes.Gates) > 0 {
			t.Fatal("the changes are not packed")
		}
		if first == nil {
			first = response.PackedChanges
		} else if !bytes.Equal(first, response.PackedChanges) {
			t.Error("the second response does not reuse the packed changes")
		}
		if err := response.Unpack(); err != nil || len(response.Changes.Gates) != 200 {
			t.Errorf("%d gates, %v", len(response.Changes.Gates), err)
		}
	}
	request.AcceptsGateChanges = false
	response, err := rpc.Call(ctx, calls, address, controlapi.Follow, request)
	if err != nil || len(response.PackedChanges) > 0 || len(response.Changes.Gates) != 200 {
		t.Errorf("a gate of the previous release gets %d gates, %v", len(response.Changes.Gates), err)
	}
}

// Expiry that ran only with each share would send callers to an unresponsive gate for up
// to half a second longer than its lifetime. The test runs on a clock of its own, since on
// a busy machine the test itself may run late.
func TestASilentGateIsLeftOutRightAfterItsLifetime(t *testing.T) { synctest.Test(t, testASilentGate) }

func testASilentGate(t *testing.T) {
	const lifetime = 550 * time.Millisecond
	calls := rpc.NewClient(&http.Client{})
	service := control.New(control.Options{
		VM: "control-1", Folder: t.TempDir(), Group: &member{}, Config: keeper.NewConfigMachine(), Calls: calls,
		Keepers: keeperclient.New(calls, nil), Log: zap.NewNop(), Metrics: telemetry.NewMetrics(),
		Roster: roster.Config{ReplicaLifetime: time.Minute, GateLifetime: lifetime}, AnswerLifetime: time.Second, MaxEntries: 8,
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	go service.Run(ctx)
	time.Sleep(50 * time.Millisecond) // between two ticks
	_, err := rpc.Call(ctx, localCalls(service), "control-1", controlapi.Share, &controlapi.ShareRequest{
		Gates: []roster.GateReport{{Gate: roster.Gate{VM: "gate-1", Place: "a", Callers: "10.0.0.1:80", Started: 1, Sequence: 1, Ready: true}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	reported := time.Now()
	for ctx.Err() == nil {
		if answer, err := service.Entries("a"); err != nil || len(answer.Entries) == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if took := time.Since(reported); took < lifetime || took > lifetime+250*time.Millisecond {
		t.Errorf("the gate was removed from the answers after %s, its lifetime is %s", took, lifetime)
	}
}
