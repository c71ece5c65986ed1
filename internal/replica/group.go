package replica

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/wal"
)

// group is one replicated group on this VM. Its mutex guards the consensus node and
// the waiting callers; only the goroutine of run uses the state machine.
type group struct {
	host    *Host
	id      uint32
	store   *store
	machine StateMachine
	wake    chan struct{}

	mu                   sync.Mutex
	node                 *quorum.Node
	applied              uint64
	proposals            map[uint64]*proposal    // by index
	reads                map[uint64]*pendingRead // by ID
	lastReadID           uint64
	wasLeader            bool      // leadership as last reported to metrics and the log
	ticksSinceLeadership int       // ticks since leadership was lost with proposals pending
	syncSince            time.Time // start of the running sync; zero if none is running
	diskStalled          bool      // the running sync counts as stalled
	pendingReplacement   *replacement
	counters             groupCounters
	outgoingSnapshots    map[quorum.ID]uint64 // index of the snapshot that is being sent to each member

	staging staging

	// Used only by the goroutine of run.
	entriesSinceSnapshot uint64 // entries applied since the last snapshot
	bytesSinceSnapshot   int64
	lastSnapshot         storedSnapshot // newest snapshot
}

// groupCounters holds figures that Status reports.
type groupCounters struct {
	snapshotIndex uint64
	snapshotBytes int
}

func openGroup(h *Host, id uint32) (*group, error) {
	folder := filepath.Join(h.config.Folder, groupFolder, strconv.FormatUint(uint64(id), 10))
	s, err := openStore(folder)
	if err != nil {
		return nil, err
	}
	stored, err := s.load()
	if err != nil {
		return nil, err
	}
	if err := s.truncateFiles(stored.Files); err != nil {
		return nil, err
	}
	machine, err := h.config.NewStateMachine(id, s.path(filesFolder))
	if err != nil {
		return nil, fmt.Errorf("create the state machine of group %d: %w", id, err)
	}
	if err := machine.Restore(Snapshot{State: stored.State, Files: stored.Files}); err != nil {
		return nil, fmt.Errorf("restore group %d: %w", id, err)
	}
	return &group{
		host: h, id: id, store: s, machine: machine, lastSnapshot: stored,
		wake:              make(chan struct{}, 1),
		proposals:         map[uint64]*proposal{},
		reads:             map[uint64]*pendingRead{},
		outgoingSnapshots: map[quorum.ID]uint64{},
		staging:           staging{folder: s.path(incomingFolder)},
	}, nil
}

// startNode creates the consensus node from the recovered log and snapshot.
func (g *group) startNode(recovered *recoveredLog) error {
	meta := g.lastSnapshot.Meta
	if meta.Index == 0 && g.host.initial != nil {
		meta = quorum.Bootstrap(g.host.initial.Membership)
	}
	node, err := quorum.New(g.nodeConfig(), quorum.Restored{
		HardState: recovered.state, Snapshot: meta, Entries: recovered.entriesAfter(meta),
	})
	if err != nil {
		return fmt.Errorf("group %d: %w", g.id, err)
	}
	g.node = node
	g.applied = meta.Index
	g.counters.snapshotIndex = meta.Index
	return nil
}

func (g *group) nodeConfig() quorum.Config {
	c := g.host.config
	return quorum.Config{
		ID: g.host.self.ID, ElectionTicks: c.ElectionTicks, HeartbeatTicks: c.HeartbeatTicks,
		MaxAppendBytes: maxAppendBytes, MaxInflight: maxInflight, Rand: rand.IntN,
	}
}

// blank reports whether this member holds no data of the group.
func (g *group) blank() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.node.Status()
	return s.Last == 0 && s.Term == 0
}

// logEmpty reports whether this member's log of the group is empty. Unlike a blank
// member, it may have learned a term.
func (g *group) logEmpty() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Empty()
}

// signal wakes the goroutine of run.
func (g *group) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// flush sends the pending messages that need no disk sync. The caller holds the mutex.
func (g *group) flush() { g.host.transport.send(g.drain()) }

// drain processes the pending output of the consensus node that needs no disk sync and
// returns the messages for the caller to send. It sends appends itself: sent outside
// the mutex, an append could overtake its predecessor and the member would reject it.
// The caller holds the mutex.
func (g *group) drain() outbound {
	outbox := g.node.TakeOutbox()
	isAppend := func(m quorum.Message) bool { return m.Type == quorum.MsgAppend }
	if slices.ContainsFunc(outbox.Messages, isAppend) {
		g.host.transport.send(g.newOutbound(outbox.Messages))
		outbox.Messages = nil
	}
	for _, confirmed := range outbox.Reads {
		if pending := g.reads[confirmed.ID]; pending != nil {
			pending.index = confirmed.Index
			g.finishRead(confirmed.ID, pending)
		}
	}
	for _, to := range outbox.Snapshots {
		g.startTransfer(to)
	}
	if leads := g.node.IsLeader(); leads != g.wasLeader {
		g.wasLeader = leads
		g.recordLeadershipChange()
	}
	g.signal()
	return g.newOutbound(outbox.Messages)
}

func (g *group) newOutbound(messages []quorum.Message) outbound {
	return outbound{group: g.id, members: g.node.Membership(), messages: messages}
}

func (g *group) recordLeadershipChange() {
	name := metricDeposed
	if g.wasLeader {
		name = metricElected
	}
	g.host.config.Metrics.Count(name)
	g.host.logger.Info("leadership", zap.Uint32("group", g.id), zap.Bool("leads", g.wasLeader), zap.Uint64("term", g.node.Term()))
}

func (g *group) step(m quorum.Message) outbound {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.Step(m)
	return g.drain()
}

// appendLost records that an append to the member may not have arrived.
func (g *group) appendLost(to quorum.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.AppendLost(to)
}

// tick advances the node's clock. A sync that runs longer than two election timeouts
// counts as stalled, so that the node gives up leadership.
func (g *group) tick() outbound {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := 2 * g.host.config.electionTimeout()
	stalled := !g.syncSince.IsZero() && time.Since(g.syncSince) > limit
	if stalled && !g.diskStalled {
		g.host.logger.Warn("disk stalled: this member cannot vote or acknowledge entries", zap.Uint32("group", g.id),
			zap.Duration("syncing_for", time.Since(g.syncSince)))
	}
	g.diskStalled = stalled
	g.node.SetDiskStalled(stalled)
	g.node.Tick()
	g.failStaleWaiters()
	return g.drain()
}

// leadership reports whether this member leads, and returns its current term.
func (g *group) leadership() (bool, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.IsLeader(), g.node.Term()
}

func (g *group) leader() (Member, bool) {
	member, ok := g.node.Membership().Find(g.node.Leader())
	return Member{ID: member.ID, VM: member.VM, Address: member.Address}, ok
}

// run executes the work that the consensus node requests, until stop is closed.
func (g *group) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-g.wake:
		}
		for {
			busy, err := g.runCycle()
			if err != nil {
				g.host.fail(fmt.Errorf("group %d: %w", g.id, err))
				return
			}
			if !busy {
				break
			}
		}
	}
}

// runCycle executes one round of work and reports whether there was any. It applies
// committed entries while new ones are being synced.
func (g *group) runCycle() (bool, error) {
	g.mu.Lock()
	ready, ok := g.node.Ready()
	g.mu.Unlock()
	if !ok {
		return false, nil
	}
	if ready.Snapshot != nil {
		if err := g.install(*ready.Snapshot); err != nil {
			return false, err
		}
	}
	synced := g.startSync(ready)
	g.apply(ready.Committed)
	if err := g.waitSync(synced); err != nil {
		return false, err
	}
	g.mu.Lock()
	g.host.transport.send(g.newOutbound(ready.AfterSync))
	g.node.Advance()
	g.flush()
	g.mu.Unlock()
	if ready.Snapshot != nil {
		return true, g.host.log.Release(g.id, ready.Snapshot.Index)
	}
	return true, g.snapshotIfDue()
}

func (g *group) startSync(ready quorum.Ready) <-chan error {
	var records []wal.Record
	if ready.Snapshot != nil {
		records = append(records, wal.Record{Group: g.id, Kind: recordReset, Index: ready.Snapshot.Index})
	}
	if len(ready.Entries) > 0 {
		records = append(records, g.entriesRecord(ready.Entries))
	}
	if ready.HardState != nil {
		records = append(records, wal.Record{Group: g.id, Kind: recordHardState, Latest: true, Data: codec.MustMarshal(ready.HardState)})
	}
	if len(records) == 0 {
		return nil
	}
	g.mu.Lock()
	g.syncSince = time.Now()
	g.mu.Unlock()
	if g.host.config.SyncEach {
		for i := range len(ready.Entries) - 1 {
			g.host.log.StartAppend([]wal.Record{g.entriesRecord(ready.Entries[i : i+1])})
		}
	}
	return g.host.log.StartAppend(records)
}

func (g *group) entriesRecord(entries []quorum.Entry) wal.Record {
	last := entries[len(entries)-1].Index
	return wal.Record{Group: g.id, Kind: recordEntries, Index: last, Data: codec.MustMarshal(entries)}
}

func (g *group) waitSync(synced <-chan error) error {
	if synced == nil {
		return nil
	}
	err := <-synced
	g.mu.Lock()
	defer g.mu.Unlock()
	took := time.Since(g.syncSince)
	g.host.config.Metrics.Observe(metricSync, took)
	if g.diskStalled {
		g.host.logger.Info("disk responds again", zap.Uint32("group", g.id), zap.Duration("sync_took", took), zap.Error(err))
	}
	g.syncSince, g.diskStalled = time.Time{}, false
	return err
}

func (g *group) apply(entries []quorum.Entry) {
	if len(entries) == 0 {
		return
	}
	results := make([][]byte, len(entries))
	for i, entry := range entries {
		if entry.Kind == quorum.EntryNormal {
			results[i] = g.machine.Apply(Entry{Index: entry.Index, Data: entry.Data})
			g.bytesSinceSnapshot += int64(len(entry.Data))
		}
	}
	g.entriesSinceSnapshot += uint64(len(entries))
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, entry := range entries {
		g.finishProposal(entry, results[i])
	}
	g.applied = entries[len(entries)-1].Index
	for id, pending := range g.reads {
		g.finishRead(id, pending)
	}
}
