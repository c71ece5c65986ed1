package replica

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"slateway.example/slateway/internal/wal"
)

// The VM that leads is lost right after it acknowledged a change. Another one
// leads, has the change, and goes on; the lost one comes back and catches up.
func TestLeaderIsLost(t *testing.T) {
	c := startCluster(t, 3, 3, nil)
	c.propose("first")
	lost := c.leader()
	lost.kill()
	c.propose("second")
	for _, v := range c.others(lost) {
		c.expectApplied(v, "first")
		c.expectApplied(v, "second")
	}
	c.restart(lost)
	c.expectApplied(lost, "first")
	c.expectApplied(lost, "second")
}

// A partition cuts the leader off without closing a connection. Operators still
// talk to it: its reads and changes must fail instead of showing old state or
// hanging, and it must give up its office, while the others go on. When the
// partition heals, its own change that nobody acknowledged is gone.
func TestLeaderIsIsolatedSilently(t *testing.T) {
	c := startCluster(t, 3, 3, nil)
	c.propose("first")
	isolated := c.leader()
	isolated.network.setHanging(true)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	started := time.Now()
	if err := isolated.host.ReadBarrier(ctx, 0); err == nil {
		t.Error("a leader without a majority confirmed a read")
	}
	err := c.tryPropose(isolated, "lost")
	var unknown *OutcomeUnknownError
	var elsewhere *NotLeaderError
	if !errors.As(err, &unknown) && !errors.As(err, &elsewhere) {
		t.Errorf("a leader without a majority answered %v", err)
	}
	if took := time.Since(started); took > testTimeout/2 {
		t.Errorf("it took %v to fail", took)
	}
	c.eventually("the isolated VM no longer leads", func() bool { return !isolated.host.Status()[0].Leads })
	next := c.leader(isolated)
	if err := c.tryPropose(next, "second"); err != nil {
		t.Fatal(err)
	}
	isolated.network.setHanging(false)
	c.expectApplied(isolated, "second")
	if isolated.machines[0].times("lost") > 1 {
		t.Error("the change was applied twice")
	}
}

// A disk is lost and its VM starts with a blank one. The blank disk must not
// begin a second group, must not vote as the old member, and takes its place
// only with the whole log. Right after that a second VM is lost: everything
// acknowledged is there and the group goes on.
func TestSecondLossRightAfterReplacement(t *testing.T) {
	c := startCluster(t, 3, 3, func(config *Config) {
		config.ReplaceAfter = time.Second
		config.SnapshotEntries = 50
	})
	for i := range 120 {
		c.propose(fmt.Sprint("before-", i))
	}
	lost := c.others(c.leader())[0]
	old := lost.host.Self().ID
	lost.kill()
	if err := os.RemoveAll(lost.folder); err != nil {
		t.Fatal(err)
	}
	c.restart(lost)
	fresh := lost.host.Self().ID
	if fresh == old {
		t.Fatal("the blank disk has the identity of the old one")
	}
	c.eventually("the repair is complete", func() bool {
		s := c.leader().host.Status()[0]
		voters := map[string]bool{}
		for _, m := range s.Members {
			voters[m.ID.String()] = !m.Learner
		}
		return len(s.Members) == 3 && voters[fresh.String()] && s.Tolerance == 1
	})
	second := c.leader()
	second.kill()
	c.propose("after")
	for i := range 120 {
		c.expectApplied(lost, fmt.Sprint("before-", i))
	}
	c.expectApplied(lost, "after")
}

// An operator replaces a member by hand, onto a spare VM.
func TestOperatorReplacesMember(t *testing.T) {
	c := startCluster(t, 4, 3, func(config *Config) { config.Groups = 3 })
	c.propose("first")
	spare := c.vms[3]
	lost := c.others(c.leader())[0]
	lost.kill()
	c.eventually("the order is taken", func() bool {
		return c.leader().host.ReplaceMember(context.Background(), lost.name, spare.name) == nil
	})
	c.eventually("the spare votes and the lost VM is gone", func() bool {
		for _, s := range c.leader().host.LeaderStatus(context.Background()) {
			if !s.Leads || len(s.Members) != 3 || s.Tolerance != 1 {
				return false
			}
		}
		return true
	})
	c.expectApplied(spare, "first")
}

// All VMs restart after a thousand changes, over several snapshots. Each change
// is there once, in files and in memory.
func TestAllRestartAfterThousandChanges(t *testing.T) {
	c := startCluster(t, 3, 3, func(config *Config) { config.SnapshotEntries = 300 })
	var wait sync.WaitGroup
	for worker := range 20 {
		wait.Go(func() {
			for i := range 50 {
				c.propose(fmt.Sprintf("%d-%d", worker, i))
			}
		})
	}
	wait.Wait()
	for _, v := range c.vms {
		v.kill()
	}
	for _, v := range c.vms {
		c.restart(v)
	}
	for _, v := range c.vms {
		for worker := range 20 {
			for i := range 50 {
				c.expectApplied(v, fmt.Sprintf("%d-%d", worker, i))
			}
		}
	}
	c.propose("after")
}

// The disk under the leader reports one failed sync, then works again. What it
// holds is uncertain: the VM must stop for good and the others go on with all
// that was acknowledged.
func TestSyncErrorStopsTheMember(t *testing.T) {
	var failing atomic.Pointer[string]
	c := startCluster(t, 3, 3, func(config *Config) {
		name := config.VM
		config.WAL.Create = func(path string) (wal.File, error) {
			file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
			return failSync{file, func() bool {
				target := failing.Load()
				return target != nil && *target == name
			}}, err
		}
	})
	c.propose("first")
	bad := c.leader()
	failing.Store(&bad.name)
	_ = c.tryPropose(bad, "second")
	failing.Store(nil)
	<-bad.host.Done()
	if bad.host.Err() == nil {
		t.Error("the failed disk is not reported")
	}
	var stopped *StoppedError
	if err := c.tryPropose(bad, "third"); !errors.As(err, &stopped) {
		t.Errorf("a stopped member answered %v", err)
	}
	c.propose("fourth")
	for _, v := range c.others(bad) {
		c.expectApplied(v, "first")
		c.expectApplied(v, "fourth")
	}
}

// The disk under the leader hangs in a sync without an error. Its heartbeats go
// on, so the others would follow it for good while every change that it takes
// waits. It must give up its office; when the disk answers again, the member
// catches up.
func TestDiskOfTheLeaderHangs(t *testing.T) {
	var hanging atomic.Pointer[string]
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	c := startCluster(t, 3, 3, func(config *Config) {
		name := config.VM
		config.WAL.Create = func(path string) (wal.File, error) {
			file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
			return failSync{file, func() bool {
				if target := hanging.Load(); target != nil && *target == name {
					<-released
				}
				return false
			}}, err
		}
	})
	t.Cleanup(release)
	c.propose("first")
	bad := c.leader()
	hanging.Store(&bad.name)
	c.propose("second")
	if c.leader() == bad {
		t.Error("the VM with the hanging disk still leads")
	}
	hanging.Store(nil)
	release()
	c.expectApplied(bad, "second")
}

// Something between the VMs loses track of their connections: they stay open
// and nothing passes, while new ones work. The members must notice and open new
// ones; without the bound on a call the group would stand still for good.
func TestConnectionsGoSilent(t *testing.T) {
	c := startCluster(t, 3, 3, nil)
	for i := range 3 {
		c.propose(fmt.Sprint("before-", i))
		for _, v := range c.vms {
			v.network.blackholeConnections()
		}
		c.propose(fmt.Sprint("after-", i))
	}
	for _, v := range c.vms {
		c.expectApplied(v, "after-2")
	}
}

// A member was away for long. While a snapshot of some megabytes is on its way
// to it, changes go on and the leader takes further snapshots. The member must
// catch up by that one transfer, or a busy group could never be made whole.
func TestMemberCatchesUpWhileChangesGoOn(t *testing.T) {
	const size = 16 << 10
	core, logged := observer.New(zap.InfoLevel)
	c := startCluster(t, 3, 3, func(config *Config) {
		config.Logger = zap.New(core)
		config.SnapshotEntries = 20
		config.KeepEntries = 10
		config.TransferRate = 4 << 20
		config.ElectionTicks = 3 * defaultElectionTicks // no other leader meanwhile
	})
	away := c.others(c.leader())[0]
	away.kill()
	c.eventually("the member counts as away", func() bool {
		return c.idleTicks(away) > 3*defaultElectionTicks
	})
	for i := range 100 {
		c.propose(fmt.Sprintf("%0*d", size, i))
	}
	c.restart(away)
	reached := c.leader().host.Status()[0].Commit
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for worker := range 4 {
		wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
					_ = c.tryPropose(c.leader(), fmt.Sprintf("busy-%d-%d", worker, i))
				}
			}
		})
	}
	c.eventually("the member takes entries one by one", func() bool {
		m := c.memberStatus(away)
		return m.Reachable && m.Match > reached
	})
	close(stop)
	wait.Wait()
	if sent := c.leader().host.config.Metrics.Value(metricTransfers); sent != 1 {
		t.Errorf("%d snapshots were sent to catch up %s", sent, away.host.self.ID)
		for _, entry := range logged.FilterMessageSnippet("snapshot").All() {
			t.Log(entry.Time, entry.Message, entry.ContextMap())
		}
	}
}

// All VMs start for the first time and one loses its disk before the group has
// begun, while another is down. Neither the blank disk nor the rest may begin a
// group of their own; with all of them back there is one group.
func TestBootstrapWaitsForAll(t *testing.T) {
	c := startCluster(t, 3, 3, func(config *Config) {})
	c.propose("first")
	for _, v := range c.vms {
		v.kill()
	}
	first := c.vms[0] // chooses the initial membership
	if err := os.RemoveAll(first.folder); err != nil {
		t.Fatal(err)
	}
	c.restart(first)
	c.restart(c.vms[1])
	time.Sleep(5 * minHelloInterval)
	if first.host.hasGroups() && len(first.host.Status()[0].Members) == 0 || first.host.Status()[0].Leads {
		t.Error("a blank disk began a group while others hold one")
	}
	c.restart(c.vms[2])
	c.propose("second")
	c.expectApplied(c.vms[1], "first")
	c.expectApplied(c.vms[2], "first")
}
