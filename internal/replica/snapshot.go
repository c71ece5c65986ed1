package replica

import (
	"fmt"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/quorum"
)

// snapshotIfDue takes a snapshot if enough entries were applied since the last one, or
// if this group keeps the log from being truncated.
func (g *group) snapshotIfDue() error {
	config := g.host.config
	bytes, oldest, several := g.host.log.Size()
	// An idle group must not pin old log segments indefinitely.
	pinning := several && oldest == g.id && bytes > 4*config.SnapshotBytes
	due := g.entriesSinceSnapshot >= config.SnapshotEntries || g.bytesSinceSnapshot >= config.SnapshotBytes
	if g.entriesSinceSnapshot == 0 || !due && !pinning {
		return nil
	}
	return g.takeSnapshot()
}

// takeSnapshot persists the state and releases the log entries before it.
func (g *group) takeSnapshot() error {
	taken, err := g.machine.Snapshot()
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	g.mu.Lock()
	meta, ok := g.node.SnapshotMetaAt(g.applied)
	g.mu.Unlock()
	if !ok {
		return nil // a snapshot from the leader has just replaced the log
	}
	stored := storedSnapshot{Meta: meta, State: taken.State, Files: taken.Files}
	bytes, err := g.store.save(stored)
	if err != nil {
		return err
	}
	g.mu.Lock()
	_, err = g.node.Compact(meta.Index, g.entriesToKeep(meta.Index))
	g.counters = groupCounters{snapshotIndex: meta.Index, snapshotBytes: bytes}
	g.mu.Unlock()
	if err != nil {
		return nil // same case: the newer snapshot is installed in the next cycle
	}
	stored.State = nil
	g.lastSnapshot = stored
	g.entriesSinceSnapshot, g.bytesSinceSnapshot = 0, 0
	g.host.config.Metrics.Count(metricSnapshots)
	g.host.logger.Debug("snapshot", zap.Uint32("group", g.id), zap.Uint64("index", meta.Index), zap.Int("bytes", bytes))
	return g.host.log.Release(g.id, meta.Index)
}

// entriesToKeep returns how many entries before a snapshot stay in memory: at least
// those after a snapshot that is being sent, and those that a slower member has not
// acknowledged. Without them that member would need another snapshot, repeatedly,
// while changes arrive faster than a transfer completes. The caller holds the mutex.
func (g *group) entriesToKeep(index uint64) uint64 {
	needed := g.node.NeededAfter()
	for _, sent := range g.outgoingSnapshots {
		needed = min(needed, sent)
	}
	keep := max(g.host.config.KeepEntries, index-min(index, needed))
	return min(keep, maxKeptEntries)
}

// install replaces the state with a snapshot that was received completely.
func (g *group) install(meta quorum.SnapshotMeta) error {
	if err := g.staging.moveTo(g.store.path(installFolder)); err != nil {
		return err
	}
	if err := g.store.finishInstall(); err != nil {
		return err
	}
	stored, err := g.store.load()
	if err != nil {
		return err
	}
	if stored.Meta.Index != meta.Index {
		return fmt.Errorf("installed a snapshot at index %d, expected index %d", stored.Meta.Index, meta.Index)
	}
	if err := g.machine.Restore(Snapshot{State: stored.State, Files: stored.Files}); err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	stored.State = nil
	g.lastSnapshot = stored
	g.entriesSinceSnapshot, g.bytesSinceSnapshot = 0, 0
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applied = meta.Index
	g.counters.snapshotIndex = meta.Index
	for index, pending := range g.proposals {
		if index <= meta.Index {
			pending.done <- proposalResult{err: &OutcomeUnknownError{Group: g.id, Cause: errLeadershipLost}}
			delete(g.proposals, index)
		}
	}
	return nil
}
