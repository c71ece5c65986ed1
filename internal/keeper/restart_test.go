package keeper_test

import (
	"context"
	"fmt"
	"reflect"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/keeper/keepertest"
	"slateway.example/slateway/internal/team"
)

const changeCount = 1000

// All keepers restart after 1000 changes, as after a power failure in the only data
// centre of a small site. Every change must survive, and a resend of the first change
// must return its original answer and not a conflict.
func TestRestartOfAllKeepersAfterManyChanges(t *testing.T) {
	cluster := keepertest.StartCluster(t, 3, 2, nil)
	client := cluster.Client()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	template, err := team.ParseTemplate("newsdesk", nil)
	if err != nil {
		t.Fatal(err)
	}
	first := team.Change{ID: "first", Operator: "ann", PutTemplate: &template}
	answered, err := client.ApplyChange(ctx, first)
	if err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	createTeams(ctx, t, client)
	t.Logf("%d changes by 16 operators in %v", changeCount, time.Since(started))
	for _, k := range cluster.Keepers {
		k.Stop()
	}
	started = time.Now()
	for _, k := range cluster.Keepers {
		cluster.Restart(k)
	}
	full, revision, err := cluster.Client().ReadConfig(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("configuration readable %v after the restart", time.Since(started))
	if revision != changeCount+1 || len(full.Teams) != changeCount {
		t.Errorf("revision %d, %d teams", revision, len(full.Teams))
	}
	again, err := cluster.Client().ApplyChange(ctx, first)
	if err != nil || !reflect.DeepEqual(again, answered) {
		t.Errorf("the first change resent: %+v, %v", again, err)
	}
}

func createTeams(ctx context.Context, t testing.TB, client *keeperclient.Client) {
	var operators errgroup.Group
	operators.SetLimit(uploaders)
	for n := range changeCount {
		operators.Go(func() error {
			name := fmt.Sprint("council-", n)
			_, err := client.ApplyChange(ctx, team.Change{ID: name, Operator: "ann", PutTeam: &team.Team{Name: name, Template: "newsdesk"}})
			return err
		})
	}
	if err := operators.Wait(); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkChanges measures, with KEEPERS keepers, the changes per second, the latency
// for a single operator, and the time without changes after the leader stops and
// hands over, and after the next leader freezes.
func BenchmarkChanges(b *testing.B) {
	template, err := team.ParseTemplate("newsdesk", nil)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		cluster := keepertest.StartCluster(b, setting("KEEPERS", 3), 2, nil)
		client := cluster.Client()
		if _, err := client.ApplyChange(ctx, team.Change{ID: "t", PutTemplate: &template}); err != nil {
			b.Fatal(err)
		}
		started := time.Now()
		createTeams(ctx, b, client)
		b.ReportMetric(changeCount/time.Since(started).Seconds(), "changes/s")
		const single = 100
		started = time.Now()
		for n := range single {
			change(ctx, b, client, fmt.Sprint("single-", n))
		}
		b.ReportMetric(float64(time.Since(started).Microseconds())/single, "µs/change")
		cluster.Leader(0).Stop()
		started = time.Now()
		change(ctx, b, client, "handed-over")
		b.ReportMetric(float64(time.Since(started).Milliseconds()), "handover-ms")
		if len(cluster.Keepers) > 3 { // the cluster tolerates the loss of a second keeper
			cluster.Leader(0).SetIsolation(keepertest.IsolatedFromAll)
			started = time.Now()
			change(ctx, b, client, "frozen")
			b.ReportMetric(float64(time.Since(started).Milliseconds()), "frozen-ms")
		}
		cancel()
	}
}

func change(ctx context.Context, b *testing.B, client *keeperclient.Client, name string) {
	if _, err := client.ApplyChange(ctx, team.Change{ID: name, PutTeam: &team.Team{Name: name, Template: "newsdesk"}}); err != nil {
		b.Fatal(err)
	}
}
