package replica

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/wal"
)

var errLeadershipLost = errors.New("leadership was lost while the change was in progress")

// Host runs the replicated groups of one VM. It implements Proposer.
type Host struct {
	config          Config
	logger          *zap.Logger
	self            Member
	lock            *os.File
	log             *wal.Log
	transport       *transport
	groups          []*group
	transferLimiter *transferLimiter

	ctx          context.Context
	cancel       context.CancelFunc
	wait         sync.WaitGroup
	done         chan struct{}
	shutdownOnce sync.Once

	mu         sync.Mutex
	initial    *initialRecord
	candidates map[quorum.ID]candidate
	seeds      []string // as currently configured
	retiring   []string // VMs that must not be members of any group
	locations  map[uint32]groupLocation
	failure    error
	stopping   bool
}

var _ Proposer = (*Host)(nil)

// Open recovers the groups from the data folder. The caller then mounts the host's
// handlers, starts to listen, and calls Start.
func Open(config Config) (*Host, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	lock, err := lockFolder(config.Folder)
	if err != nil {
		return nil, err
	}
	h := &Host{
		config: config, logger: config.Logger, lock: lock,
		done: make(chan struct{}), candidates: map[quorum.ID]candidate{},
		transferLimiter: newTransferLimiter(config.TransferRate), seeds: config.Seeds, locations: make(map[uint32]groupLocation),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	if err := h.recover(); err != nil {
		h.cancel()
		_ = lock.Close()
		return nil, err
	}
	return h, nil
}

// SetSeeds replaces the configured seeds. A blank member that still looks for the
// other members contacts the new seeds as well; which VMs may bootstrap the groups
// depends only on the seeds passed to Open.
func (h *Host) SetSeeds(seeds []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seeds = seeds
}

// appendLost is called by the transport for each append that may not have arrived.
func (h *Host) appendLost(group uint32, to quorum.ID) { h.groups[group].appendLost(to) }

func (h *Host) recover() error {
	folder := h.config.Folder
	disk, err := loadDisk(folder)
	if err != nil {
		return err
	}
	h.self = Member{ID: memberID(h.config.VM, disk), VM: h.config.VM, Address: h.config.Address}
	h.transport = newTransport(h.config, h.self, h.appendLost)
	if err := h.loadInitial(); err != nil {
		return err
	}
	recovered := make([]recoveredLog, h.config.Groups)
	h.log, err = wal.Open(filepath.Join(folder, logFolder), h.config.WAL, func(record wal.Record) error {
		if record.Group >= h.config.Groups {
			return fmt.Errorf("the log holds records of group %d but the settings configure %d groups; the number cannot be changed after bootstrap, restore the previous setting", record.Group, h.config.Groups)
		}
		return recovered[record.Group].addRecord(record)
	})
	if err != nil {
		return err
	}
	for id := range h.config.Groups {
		g, err := openGroup(h, id)
		if err == nil {
			err = g.startNode(&recovered[id])
		}
		if err != nil {
			return errors.Join(err, h.log.Close())
		}
		h.groups = append(h.groups, g)
	}
	return nil
}

// Mount registers the handlers for calls from other members on mux.
func (h *Host) Mount(mux *http.ServeMux) {
	rpc.Handle(mux, procedureMessages, maxBody, h.serveMessages)
	rpc.Handle(mux, procedureChunk, maxBody, h.serveChunk)
	rpc.Handle(mux, procedureHello, maxBody, h.serveHello)
	rpc.Handle(mux, procedureReplace, maxBody, h.serveReplace)
	rpc.Handle(mux, procedureStatus, maxBody, h.serveStatus)
	rpc.Handle(mux, procedureRetire, maxBody, h.serveRetire)
}

func (h *Host) serveMessages(_ context.Context, b *batch) (*ack, error) {
	if err := h.stopped(); err != nil {
		return nil, err
	}
	h.transport.recordAddress(b.From, b.Address)
	responses := make([]outbound, 0, len(b.Envelopes))
	for _, e := range b.Envelopes {
		if e.Group < uint32(len(h.groups)) {
			responses = append(responses, h.groups[e.Group].step(e.Message))
		}
	}
	h.transport.send(responses...)
	return &ack{}, nil
}

// Start begins participation in the groups. The host's handlers must already be
// served.
func (h *Host) Start() {
	for _, g := range h.groups {
		h.wait.Go(func() { g.run(h.ctx.Done()) })
		g.signal()
	}
	h.wait.Go(h.runTicks)
	h.wait.Go(h.runJoin)
	h.wait.Go(h.runReconcile)
}

// spawn runs fn in a goroutine that shutdown waits for. It does nothing once the host
// is stopping.
func (h *Host) spawn(fn func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.stopping {
		h.wait.Go(fn)
	}
}

func (h *Host) runTicks() {
	ticker := time.NewTicker(h.config.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
			sent := make([]outbound, 0, len(h.groups))
			for _, g := range h.groups {
				sent = append(sent, g.tick())
			}
			h.transport.send(sent...)
		}
	}
}

// Propose implements Proposer.
func (h *Host) Propose(ctx context.Context, group uint32, data []byte) ([]byte, error) {
	if group >= uint32(len(h.groups)) || len(data) > maxProposalSize {
		return nil, fmt.Errorf("propose %d bytes to group %d: the group does not exist or the entry exceeds %d bytes", len(data), group, maxProposalSize)
	}
	return h.groups[group].propose(ctx, data)
}

// ReadBarrier implements Proposer.
func (h *Host) ReadBarrier(ctx context.Context, group uint32) error {
	if group >= uint32(len(h.groups)) {
		return fmt.Errorf("read barrier: group %d does not exist", group)
	}
	return h.groups[group].readBarrier(ctx)
}

// Leader implements Proposer.
func (h *Host) Leader(group uint32) (Member, bool) {
	if group >= uint32(len(h.groups)) {
		return Member{}, false
	}
	g := h.groups[group]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader()
}

// Lag returns how long this VM has lacked an entry of the group that its leader had
// committed; 0 if it lacks none, or only newer ones.
func (h *Host) Lag(group uint32) time.Duration {
	if group >= uint32(len(h.groups)) {
		return 0
	}
	g := h.groups[group]
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.node.Lag()) * h.config.Tick
}

// Groups implements Proposer.
func (h *Host) Groups() uint32 { return uint32(len(h.groups)) }

// Self returns this VM's own member.
func (h *Host) Self() Member { return h.self }

// Done returns a channel that is closed when the host has stopped; Err then returns
// the failure of its disk, if that was the cause.
func (h *Host) Done() <-chan struct{} { return h.done }

// Err returns the failure that stopped the host, or nil.
func (h *Host) Err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failure
}

// stopped returns a StoppedError if the host is stopping or has stopped.
func (h *Host) stopped() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.stopping {
		return nil
	}
	return &StoppedError{Cause: h.failure}
}

// Fail stops the host permanently after a state machine failed to access its files.
// Before Start there is nothing to stop, and Open returns the error.
func (h *Host) Fail(cause error) {
	if h != nil {
		h.fail(cause)
	}
}

// fail stops the host permanently. A member whose disk does not keep written data must
// not vote or acknowledge entries; the other members continue without it.
func (h *Host) fail(cause error) {
	h.logger.Error("replica host stopping after a failure", zap.Error(cause))
	h.mu.Lock()
	if h.failure == nil && !h.stopping {
		h.failure = cause
	}
	h.mu.Unlock()
	go h.shutdown()
}

// Stop shuts the host down and returns when its files are closed. It first transfers
// leadership, where another voter holds the whole log.
func (h *Host) Stop() {
	h.transferLeadership()
	h.shutdown()
}

func (h *Host) shutdown() {
	h.shutdownOnce.Do(func() {
		h.mu.Lock()
		h.stopping = true
		h.mu.Unlock()
		h.cancel()
		h.transport.stop()
		h.wait.Wait()
		h.failWaiters()
		err := errors.Join(h.log.Close(), h.lock.Close())
		if err != nil {
			h.logger.Warn("failed to close the data folder", zap.Error(err))
		}
		close(h.done)
	})
	<-h.done
}

// failWaiters ends all pending proposals and reads.
func (h *Host) failWaiters() {
	for _, g := range h.groups {
		g.mu.Lock()
		g.failProposals(&StoppedError{Cause: h.Err()})
		for id, pending := range g.reads {
			pending.done <- &StoppedError{Cause: h.Err()}
			delete(g.reads, id)
		}
		g.mu.Unlock()
	}
}

// transferLeadership transfers the leadership of each group that this VM leads and
// waits for completion, at most an election timeout.
func (h *Host) transferLeadership() {
	deadline := time.Now().Add(h.config.electionTimeout())
	for _, g := range h.groups {
		g.transferLeadership()
	}
	for h.leadsAnyGroup() && time.Now().Before(deadline) {
		time.Sleep(h.config.Tick / 2)
	}
}

func (h *Host) leadsAnyGroup() bool {
	for _, g := range h.groups {
		g.mu.Lock()
		leads := g.node.IsLeader() && g.node.Membership().Voters() > 1
		g.mu.Unlock()
		if leads {
			return true
		}
	}
	return false
}

// transferLeadership requests that the reachable voter with the longest synced log
// become leader.
func (g *group) transferLeadership() {
	g.mu.Lock()
	defer g.mu.Unlock()
	var best quorum.MemberStatus
	for _, member := range g.node.Status().Members {
		if member.Reachable && !member.Learner && member.ID != g.host.self.ID && member.Match >= best.Match {
			best = member
		}
	}
	if best.ID == quorum.None {
		return
	}
	if err := g.node.Transfer(best.ID); err == nil {
		g.flush()
	}
}
