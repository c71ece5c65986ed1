package control

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/telemetry"
)

// calledGate is a fake gate that counts the invitations of control VMs.
type calledGate struct {
	mu    sync.Mutex
	calls int
}

func (g *calledGate) start(t *testing.T) (address string) {
	mux := http.NewServeMux()
	rpc.Handle(mux, controlapi.Invite, 1<<10, func(context.Context, *controlapi.InviteRequest) (*controlapi.InviteResponse, error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.calls++
		return &controlapi.InviteResponse{}, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (g *calledGate) called() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls
}

func newService(folder string) *Service {
	return New(Options{
		VM: "control-1", Address: "10.0.0.1:7660", Folder: folder, Log: zap.NewNop(), Metrics: telemetry.NewMetrics(),
		Calls:  rpc.NewClient(&http.Client{}),
		Roster: roster.Config{ReplicaLifetime: time.Minute, GateLifetime: time.Minute},
	})
}

// After a restart of the whole site, gates may find no control VM and must be invited.
// Gates that have reported to a control VM must not be called.
func TestAControlVMThatIsBackCallsTheGatesThatItKnew(t *testing.T) {
	folder := t.TempDir()
	var lost, found calledGate
	before := newService(folder)
	for vm, address := range map[string]string{"lost": lost.start(t), "found": found.start(t)} {
		before.table.RecordReport(time.Now(), roster.Gate{VM: vm, Peers: address, Started: 1, Sequence: 1, Ready: true}, 0)
	}
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until) && len(before.journal.load().Gates) < 2; {
		before.persist() // repeated, since it does not wait for a slow disk
	}

	after := newService(folder)
	after.table.RecordReport(time.Now(), roster.Gate{VM: "found", Started: 2, Sequence: 1, Ready: true}, 0)
	if _, content := after.snapshot(); len(content.Gates) != 2 {
		t.Errorf("%d gates would be known after a second restart, want 2", len(content.Gates))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		after.inviteGates(ctx, after.previousGates)
		close(done)
	}()
	for lost.called() == 0 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	after.mu.Lock()
	after.table.RecordReport(time.Now(), roster.Gate{VM: "lost", Started: 2, Sequence: 1}, 0)
	after.mu.Unlock()
	<-done
	if lost.called() > 3 || found.called() > 0 {
		t.Errorf("%d calls to the lost gate, %d to the gate that had reported", lost.called(), found.called())
	}
}
