package keeper_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"slateway.example/slateway/internal/keeper"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/keeper/keepertest"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/team"
)

// A gate's long poll that is open at a leader that stops must be answered by the next
// leader. Guards against an error of the stopping keeper that its clients take for final.
func TestACallAtALeaderThatStopsIsSentToTheNext(t *testing.T) {
	cluster := keepertest.StartCluster(t, 3, 2, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	client := cluster.Client()
	template, err := team.ParseTemplate("newsdesk", nil)
	if err != nil {
		t.Fatal(err)
	}
	first, err := client.ApplyChange(ctx, team.Change{ID: "c1", Operator: "ann", PutTemplate: &template})
	if err != nil {
		t.Fatal(err)
	}
	stopping := cluster.Leader(0)
	stopped := make(chan struct{})
	time.AfterFunc(100*time.Millisecond, func() {
		defer close(stopped)
		stopping.Host.Stop()
	})
	if _, err := client.WatchConfig(ctx, "vm-gate", first.Revision, time.Second); err != nil {
		t.Errorf("the poll that was open while its leader stopped: %v", err)
	}
	<-stopped
}

// A leader must answer a gate's first poll at once. Guards against a lease that expires
// while the poll that would renew it waits for a change: the gate then refuses all requests
// although a leader is there.
func TestANewLeaderRenewsAGatesLeaseAtOnce(t *testing.T) {
	const lease = 3 * time.Second
	cluster := keepertest.StartCluster(t, 3, 2, func(_ *replica.Config, options *keeper.Options) {
		options.ConfigLease = lease
	})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	gate := cluster.Client()
	poll := func() time.Duration {
		began := time.Now()
		if _, err := gate.WatchConfig(ctx, "vm-gate", 0, time.Second); err != nil {
			t.Fatal(err)
		}
		return time.Since(began)
	}
	const atOnce = lease / 8 // a poll that waits takes a quarter of the lease
	poll()
	if took := poll(); took < atOnce {
		t.Errorf("the second poll at a leader took %s, want a long poll", took)
	}
	cluster.Leader(0).Host.Stop()
	next := cluster.Leader(0)
	gate = keeperclient.New(rpc.NewClient(http.DefaultClient), []string{next.Address})
	if took := poll(); took > atOnce {
		t.Errorf("the first poll at the next leader took %s, want less than %s", took, atOnce)
	}
}
