package replica

import (
	"fmt"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/quorum"
)

func (g *group) snapshotIfDue() error {
	config := g.host.config
	bytes, oldest, several := g.host.log.Size()
	// A quiet group must not keep old segments for good.
	pinning := several && oldest == g.id && bytes > 4*config.SnapshotBytes
	due := g.entriesSinceSnapshot >= config.SnapshotEntries || g.bytesSinceSnapshot >= config.SnapshotBytes
	if g.entriesSinceSnapshot == 0 || !due && !pinning {
		return nil
	}
	return g.takeSnapshot()
}

// takeSnapshot makes the state durable and lets go of the log before it.
func (g *group) takeSnapshot() error {
	taken, err := g.machine.Snapshot()
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	g.mu.Lock()
	meta, ok := g.node.MetaAt(g.applied)
	g.mu.Unlock()
	if !ok {
		return nil // a snapshot of the leader has just replaced the log
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
		return nil // as above: the newer snapshot follows in the next cycle
	}
	stored.State = nil
	g.lastSnapshot = stored
	g.entriesSinceSnapshot, g.bytesSinceSnapshot = 0, 0
	g.host.config.Metrics.Count(metricSnapshots)
	g.host.logger.Debug("snapshot", zap.Uint32("group", g.id), zap.Uint64("index", meta.Index), zap.Int("bytes", bytes))
	return g.host.log.Release(g.id, meta.Index)
}

// entriesToKeep gives how many entries before a snapshot stay in memory. Those
// after a snapshot that is being sent must, and those that a slower member has
// not acknowledged: without them it would need another snapshot, for as long as
// the changes go on faster than a transfer. The mutex is held.
func (g *group) entriesToKeep(index uint64) uint64 {
	needed := g.node.NeededAfter()
	for _, sent := range g.sending {
		needed = min(needed, sent)
	}
	keep := max(g.host.config.KeepEntries, index-min(index, needed))
	return min(keep, maxKeptEntries)
}

// install puts a snapshot that has arrived in full in place of the state.
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
		return fmt.Errorf("installed a snapshot at %d where %d was announced", stored.Meta.Index, meta.Index)
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
	for index, waiting := range g.proposals {
		if index <= meta.Index {
			waiting.done <- outcome{err: &OutcomeUnknownError{Group: g.id, Cause: errLeadershipLost}}
			delete(g.proposals, index)
		}
	}
	return nil
}
