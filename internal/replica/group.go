package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/wal"
)

// group is one replicated group on this VM. Its mutex guards the decision and
// the callers that wait; the machine belongs to the goroutine of run.
type group struct {
	host    *Host
	id      uint32
	store   *store
	machine Machine
	wake    chan struct{}

	mu        sync.Mutex
	node      *quorum.Node
	applied   uint64
	proposals map[uint64]*proposal // by index
	reads     map[uint64]*read     // by ID
	nextRead  uint64
	leads     bool      // as last counted
	lostLead  int       // ticks since leadership was lost with proposals waiting
	syncSince time.Time // start of the sync that is running
	request   *replacement
	status    groupCounters
	sending   map[quorum.ID]uint64 // index of the snapshot that is on its way to a member

	staging staging

	// Of the goroutine of run only.
	sinceSnapshot uint64 // entries applied since the last snapshot
	bytesSince    int64
	installed     storedSnapshot // newest snapshot
}

// groupCounters are figures for Status.
type groupCounters struct {
	snapshotIndex uint64
	snapshotBytes int
}

// proposal waits for its entry to be applied.
type proposal struct {
	term uint64
	done chan outcome
}

type outcome struct {
	result []byte
	err    error
}

// read waits for a barrier: first for its index, then for that to be applied.
type read struct {
	index uint64 // zero until a majority has confirmed the leader
	done  chan error
}

func openGroup(h *Host, id uint32) (*group, error) {
	folder := filepath.Join(h.config.Folder, groupFolder, strconv.FormatUint(uint64(id), 10))
	held, err := openStore(folder)
	if err != nil {
		return nil, err
	}
	stored, err := held.load()
	if err != nil {
		return nil, err
	}
	if err := held.cutFiles(stored.Files); err != nil {
		return nil, err
	}
	machine, err := h.config.NewMachine(id, held.path(filesFolder))
	if err != nil {
		return nil, fmt.Errorf("make the state machine of group %d: %w", id, err)
	}
	if err := machine.Restore(Snapshot{State: stored.State, Files: stored.Files}); err != nil {
		return nil, fmt.Errorf("restore group %d: %w", id, err)
	}
	return &group{
		host: h, id: id, store: held, machine: machine, installed: stored,
		wake:      make(chan struct{}, 1),
		proposals: map[uint64]*proposal{},
		reads:     map[uint64]*read{},
		sending:   map[quorum.ID]uint64{},
		staging:   staging{folder: held.path(incomingFolder)},
	}, nil
}

// begin makes the decision from what the disk holds.
func (g *group) begin(found *recovered) error {
	meta := g.installed.Meta
	if meta.Index == 0 && g.host.initial != nil {
		meta = quorum.Bootstrap(g.host.initial.Membership)
	}
	node, err := quorum.New(g.nodeConfig(), quorum.Restored{
		HardState: found.state, Snapshot: meta, Entries: found.after(meta),
	})
	if err != nil {
		return fmt.Errorf("group %d: %w", g.id, err)
	}
	g.node = node
	g.applied = meta.Index
	g.status.snapshotIndex = meta.Index
	return nil
}

func (g *group) nodeConfig() quorum.Config {
	c := g.host.config
	return quorum.Config{
		ID: g.host.self.ID, ElectionTicks: c.ElectionTicks, HeartbeatTicks: c.HeartbeatTicks,
		MaxAppendBytes: maxAppendBytes, MaxInflight: maxInflight, Rand: rand.IntN,
	}
}

// blank says whether this member holds nothing of the group.
func (g *group) blank() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.node.Status()
	return s.Last == 0 && s.Term == 0
}

func (g *group) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// flush hands on what waits for no disk. The caller holds the mutex.
func (g *group) flush() {
	outbox := g.node.TakeOutbox()
	g.host.transport.send(g.id, g.node.Membership(), outbox.Messages)
	for _, confirmed := range outbox.Reads {
		if waiting := g.reads[confirmed.ID]; waiting != nil {
			waiting.index = confirmed.Index
			g.finishRead(confirmed.ID, waiting)
		}
	}
	for _, to := range outbox.Snapshots {
		g.startTransfer(to)
	}
	if leads := g.node.IsLeader(); leads != g.leads {
		g.leads = leads
		g.leadChanged()
	}
	g.signal()
}

func (g *group) leadChanged() {
	name := metricDeposed
	if g.leads {
		name = metricElected
	}
	g.host.config.Metrics.Count(name)
	g.host.logger.Info("leadership", zap.Uint32("group", g.id), zap.Bool("leads", g.leads), zap.Uint64("term", g.node.Term()))
}

func (g *group) finishRead(id uint64, waiting *read) {
	if waiting.index != 0 && waiting.index <= g.applied {
		waiting.done <- nil
		delete(g.reads, id)
	}
}

func (g *group) step(m quorum.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.Step(m)
	g.flush()
}

func (g *group) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := 2 * g.host.config.electionTimeout()
	g.node.SetStalled(!g.syncSince.IsZero() && time.Since(g.syncSince) > limit)
	g.node.Tick()
	g.giveUpWaiting()
	g.flush()
}

// giveUpWaiting ends the waits of a member that no longer leads. An entry that
// was proposed here may still be committed by the next leader, so its proposer
// first gets an election timeout in which to learn that.
func (g *group) giveUpWaiting() {
	if g.node.IsLeader() {
		g.lostLead = 0
		return
	}
	for id, waiting := range g.reads {
		waiting.done <- g.notLeader()
		delete(g.reads, id)
	}
	if len(g.proposals) == 0 {
		g.lostLead = 0
		return
	}
	g.lostLead++
	if g.lostLead > g.host.config.ElectionTicks {
		g.failProposals(errLeadershipLost)
	}
}

func (g *group) failProposals(cause error) {
	for index, waiting := range g.proposals {
		waiting.done <- outcome{err: &OutcomeUnknownError{Group: g.id, Cause: cause}}
		delete(g.proposals, index)
	}
}

// notLeader names the leader that this member knows. It never names this VM,
// which has just refused: a caller would come back at once, again and again.
// The mutex is held.
func (g *group) notLeader() error {
	leader, _ := g.leader()
	if leader.ID == g.host.self.ID {
		leader = Member{}
	}
	return &NotLeaderError{Group: g.id, Leader: leader, Address: leader.Address}
}

func (g *group) leader() (Member, bool) {
	member, ok := g.node.Membership().Find(g.node.Leader())
	return Member{ID: member.ID, VM: member.VM, Address: member.Address}, ok
}

func (g *group) propose(ctx context.Context, data []byte) ([]byte, error) {
	waiting, err := g.startProposal(data)
	if err != nil {
		return nil, err
	}
	select {
	case result := <-waiting.done:
		return result.result, result.err
	case <-ctx.Done():
		return nil, &OutcomeUnknownError{Group: g.id, Cause: ctx.Err()}
	}
}

func (g *group) startProposal(data []byte) (*proposal, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.host.stopped(); err != nil {
		return nil, err
	}
	if limit := g.host.config.MaxProposals; len(g.proposals) >= limit {
		return nil, &OverloadedError{Group: g.id, Limit: limit}
	}
	index, term, err := g.node.Propose(data)
	if err != nil {
		return nil, g.notLeader()
	}
	if older := g.proposals[index]; older != nil {
		// Its entry was overwritten by a newer leader before this VM led again.
		older.done <- outcome{err: g.notLeader()}
	}
	waiting := &proposal{term: term, done: make(chan outcome, 1)}
	g.proposals[index] = waiting
	g.flush()
	return waiting, nil
}

func (g *group) readBarrier(ctx context.Context) error {
	id, waiting, err := g.startRead()
	if err != nil {
		return err
	}
	select {
	case err := <-waiting.done:
		return err
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.reads, id)
		return fmt.Errorf("read barrier of group %d: %w", g.id, ctx.Err())
	}
}

func (g *group) startRead() (uint64, *read, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.host.stopped(); err != nil {
		return 0, nil, err
	}
	g.nextRead++
	id := g.nextRead
	waiting := &read{done: make(chan error, 1)}
	g.reads[id] = waiting
	if err := g.node.Read(id); err != nil {
		delete(g.reads, id)
		return 0, nil, g.notLeader()
	}
	g.flush()
	return id, waiting, nil
}

// run does the work that the decision hands out, until the host stops.
func (g *group) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-g.wake:
		}
		for {
			busy, err := g.cycle()
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

// cycle does one round of work; false if there was none. Committed entries are
// applied while the new ones are being synced.
func (g *group) cycle() (bool, error) {
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
	g.host.transport.send(g.id, g.node.Membership(), ready.AfterSync)
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
			g.host.log.Start([]wal.Record{g.entriesRecord(ready.Entries[i : i+1])})
		}
	}
	return g.host.log.Start(records)
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
	g.host.config.Metrics.Observe(metricSync, time.Since(g.syncSince))
	g.syncSince = time.Time{}
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
			g.bytesSince += int64(len(entry.Data))
		}
	}
	g.sinceSnapshot += uint64(len(entries))
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, entry := range entries {
		g.finishProposal(entry, results[i])
	}
	g.applied = entries[len(entries)-1].Index
	for id, waiting := range g.reads {
		g.finishRead(id, waiting)
	}
}

// finishProposal answers the proposer of the entry's index. An entry of another
// term there proves that its own was overwritten and never committed.
func (g *group) finishProposal(entry quorum.Entry, result []byte) {
	waiting := g.proposals[entry.Index]
	if waiting == nil {
		return
	}
	delete(g.proposals, entry.Index)
	if waiting.term != entry.Term {
		waiting.done <- outcome{err: g.notLeader()}
		return
	}
	waiting.done <- outcome{result: result}
}

func (g *group) snapshotIfDue() error {
	config := g.host.config
	bytes, oldest, several := g.host.log.Size()
	// A quiet group must not keep old segments for good.
	pinning := several && oldest == g.id && bytes > 4*config.SnapshotBytes
	due := g.sinceSnapshot >= config.SnapshotEntries || g.bytesSince >= config.SnapshotBytes
	if g.sinceSnapshot == 0 || !due && !pinning {
		return nil
	}
	return g.snapshot()
}

// snapshot makes the state durable and lets go of the log before it.
func (g *group) snapshot() error {
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
	g.status = groupCounters{snapshotIndex: meta.Index, snapshotBytes: bytes}
	g.mu.Unlock()
	if err != nil {
		return nil // as above: the newer snapshot follows in the next cycle
	}
	stored.State = nil
	g.installed = stored
	g.sinceSnapshot, g.bytesSince = 0, 0
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
	if err := g.staging.handOver(g.store.path(installFolder)); err != nil {
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
	g.installed = stored
	g.sinceSnapshot, g.bytesSince = 0, 0
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applied = meta.Index
	g.status.snapshotIndex = meta.Index
	for index, waiting := range g.proposals {
		if index <= meta.Index {
			waiting.done <- outcome{err: &OutcomeUnknownError{Group: g.id, Cause: errLeadershipLost}}
			delete(g.proposals, index)
		}
	}
	return nil
}
