package replica

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"slateway.example/slateway/internal/wal"
)

// The leader crashes right after it acknowledged a change. Another voter that has the
// change becomes leader; the crashed member restarts and catches up.
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

// A partition isolates the leader without closing a connection. Reads and changes at
// the isolated leader must fail instead of returning stale state or hanging, and it
// must give up leadership while the other members continue. After the partition its
// own unacknowledged change is not applied twice.
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
		t.Errorf("proposal at a leader without a majority returned %v", err)
	}
	if took := time.Since(started); took > testTimeout/2 {
		t.Errorf("read and proposal took %v to fail", took)
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

// A VM loses its disk and starts with a blank one. The blank disk must not bootstrap a
// second group, must not vote under the identity of the old member, and replaces it
// only once it holds the whole log. When a second VM fails right afterwards, all
// acknowledged changes are still there and the group continues.
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

// An operator replaces a member manually by a standby VM.
func TestOperatorReplacesMember(t *testing.T) {
	c := startCluster(t, 4, 3, func(config *Config) { config.Groups = 3 })
	c.propose("first")
	standby := c.vms[3]
	lost := c.others(c.leader())[0]
	lost.kill()
	c.eventually("the replacement request is accepted", func() bool {
		return c.leader().host.ReplaceMember(context.Background(), lost.name, standby.name) == nil
	})
	c.eventually("the standby is a voter and the lost VM is removed", func() bool {
		for _, s := range c.leader().host.LeaderStatus(context.Background()) {
			if !s.Leads || len(s.Members) != 3 || s.Tolerance != 1 {
				return false
			}
		}
		return true
	})
	c.expectApplied(standby, "first")
}

// All VMs restart after a thousand changes and several snapshots. Each change is
// applied exactly once, in files and in memory.
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

// The leader's disk reports one failed sync and then works again. What it holds is
// uncertain, so the VM must stop permanently, and the others continue with everything
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
		t.Error("Err does not report the failed disk")
	}
	var stopped *StoppedError
	if err := c.tryPropose(bad, "third"); !errors.As(err, &stopped) {
		t.Errorf("proposal at a stopped member returned %v, want StoppedError", err)
	}
	c.propose("fourth")
	for _, v := range c.others(bad) {
		c.expectApplied(v, "first")
		c.expectApplied(v, "fourth")
	}
}

// Guards against a leader whose disk hangs in a sync without an error. Its heartbeats
// continue, so the others would follow it indefinitely while every proposal waits. It
// must give up leadership, and catch up when the disk responds again.
func TestDiskOfTheLeaderHangs(t *testing.T) {
	var hanging atomic.Pointer[string]
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	core, logged := observer.New(zap.InfoLevel)
	c := startCluster(t, 3, 3, func(config *Config) {
		config.Logger = zap.New(core)
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
	for _, message := range []string{"disk stalled: this member cannot vote or acknowledge entries", "disk responds again"} {
		if logged.FilterMessage(message).Len() == 0 {
			t.Errorf("no line %q in the log", message)
		}
	}
}

// A middlebox loses its state: existing connections stay open without passing data,
// while new ones work. The members must notice and open new connections; without the
// timeout of a call the group would stop permanently.
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

// A member returns after a long absence. Changes continue and the leader takes further
// snapshots while a snapshot of a few megabytes is sent to the member. It must catch
// up with that one transfer; otherwise a member of a busy group could never catch up.
func TestMemberCatchesUpWhileChangesGoOn(t *testing.T) {
	const size = 16 << 10
	core, logged := observer.New(zap.InfoLevel)
	c := startCluster(t, 3, 3, func(config *Config) {
		config.Logger = zap.New(core)
		config.SnapshotEntries = 20
		config.KeepEntries = 10
		config.TransferRate = 4 << 20
		config.ElectionTicks = 3 * defaultElectionTicks // prevents an election during the test
	})
	// An initial member that the leader contacts before it has adopted the initial
	// membership gets it by a transfer as well, which must not be in progress below.
	c.eventually("all members follow the leader", func() bool {
		return !slices.ContainsFunc(c.leader().host.Status()[0].Members, func(m MemberStatus) bool { return !m.Reachable })
	})
	away := c.others(c.leader())[0]
	away.kill()
	c.eventually("the leader has lost contact with the member", func() bool {
		return c.idleTicks(away) > 3*defaultElectionTicks
	})
	for i := range 100 {
		c.propose(fmt.Sprintf("%0*d", size, i))
	}
	logged.TakeAll()
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
	stopWorkers := sync.OnceFunc(func() {
		close(stop)
		wait.Wait()
	})
	defer stopWorkers()
	c.eventually("the member receives log entries", func() bool {
		m := c.memberStatus(away)
		return m.Reachable && m.Match > reached
	})
	stopWorkers()
	transfers := func() *observer.ObservedLogs {
		return logged.FilterMessageSnippet("snapshot").FilterField(zap.String("to", away.address))
	}
	c.eventually("the leader has logged a transfer to the member", func() bool { return transfers().Len() > 0 })
	if sent := transfers().FilterMessage("snapshot sent").Len(); sent != 1 || transfers().Len() != 1 {
		t.Errorf("%d snapshots sent in %d transfers until member %s had caught up, want 1", sent, transfers().Len(), away.host.self.ID)
		for _, entry := range logged.All() {
			t.Log(entry.Time, entry.Message, entry.ContextMap())
		}
	}
}

// A VM loses its disk, and the VMs restart while one of them is still down. Neither
// the blank disk nor the others may bootstrap a new group; once all VMs are back there
// is one group.
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
		t.Error("a blank disk bootstrapped a group while others hold one")
	}
	c.restart(c.vms[2])
	c.propose("second")
	c.expectApplied(c.vms[1], "first")
	c.expectApplied(c.vms[2], "first")
}
