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

// A gate renews its configuration lease just before the leader is isolated from its
// peers. The new leader does not know the gate. It must not report a change as in
// force before the gate's lease ends, while the gate still serves the old revision.
//
// Without the wait of a new leader (Settling), the change was reported as in force
// 0.8 s before the end of the lease.
func TestChangeIsNotInForceBeforeOldLeasesEnd(t *testing.T) {
	cluster := keepertest.StartCluster(t, 3, 2, func(_ *replica.Config, options *keeper.Options) {
		options.ConfigLease = 3 * time.Second
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	operator := cluster.Client()
	template, err := team.ParseTemplate("newsdesk", nil)
	if err != nil {
		t.Fatal(err)
	}
	first, err := operator.ApplyChange(ctx, team.Change{ID: "c1", Operator: "ann", PutTemplate: &template})
	if err != nil {
		t.Fatal(err)
	}
	leader := cluster.Leader(0)
	gate := keeperclient.New(rpc.NewClient(http.DefaultClient), []string{leader.Address})
	sent := time.Now()
	watched, err := gate.WatchConfig(ctx, "vm-gate", first.Revision, 0)
	if err != nil {
		t.Fatal(err)
	}
	leader.SetIsolation(keepertest.IsolatedFromPeers)
	second, err := operator.ApplyChange(ctx, team.Change{ID: "c2", Operator: "ann", PutTeam: &team.Team{Name: "council", Template: "newsdesk"}})
	if err != nil {
		t.Fatal(err)
	}
	shortly, cancelShortly := context.WithTimeout(ctx, time.Second)
	defer cancelShortly()
	if renewed, err := gate.WatchConfig(shortly, "vm-gate", first.Revision, 0); err == nil {
		t.Fatalf("the isolated leader renewed the lease: %+v", renewed)
	}
	progress, err := operator.ChangeStatus(ctx, second.Revision, 15*time.Second)
	if err != nil || !progress.InForce {
		t.Fatalf("the change did not come into force: %+v, %v", progress, err)
	}
	if left := time.Until(sent.Add(watched.Lease)); left > 0 {
		t.Fatalf("in force %v before the gate's lease ends", left)
	}
}
