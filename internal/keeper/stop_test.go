package keeper_test

import (
	"context"
	"testing"
	"time"

	"slateway.example/slateway/internal/keeper/keepertest"
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
