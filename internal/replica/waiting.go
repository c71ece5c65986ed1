package replica

import (
	"context"
	"fmt"

	"slateway.example/slateway/internal/quorum"
)

// proposal is a caller of Propose that waits for its entry to be applied.
type proposal struct {
	term uint64
	done chan proposalResult
}

type proposalResult struct {
	result []byte
	err    error
}

// pendingRead is a caller of ReadBarrier. It waits until its index is known and then
// until that index is applied.
type pendingRead struct {
	index uint64 // zero until a majority has confirmed the leader
	done  chan error
}

// finishRead completes a read whose index is known and applied.
func (g *group) finishRead(id uint64, pending *pendingRead) {
	if pending.index != 0 && pending.index <= g.applied {
		pending.done <- nil
		delete(g.reads, id)
	}
}

// failStaleWaiters fails the pending reads and proposals of a member that no longer
// leads. The next leader may still commit an entry that was proposed here, so
// proposals fail only after an election timeout in which this member can learn the
// outcome. The caller holds the mutex.
func (g *group) failStaleWaiters() {
	if g.node.IsLeader() {
		g.ticksSinceLeadership = 0
		return
	}
	for id, pending := range g.reads {
		pending.done <- g.notLeader()
		delete(g.reads, id)
	}
	if len(g.proposals) == 0 {
		g.ticksSinceLeadership = 0
		return
	}
	g.ticksSinceLeadership++
	if g.ticksSinceLeadership > g.host.config.ElectionTicks {
		g.failProposals(errLeadershipLost)
	}
}

// failProposals fails all pending proposals with an unknown outcome.
func (g *group) failProposals(cause error) {
	for index, pending := range g.proposals {
		pending.done <- proposalResult{err: &OutcomeUnknownError{Group: g.id, Cause: cause}}
		delete(g.proposals, index)
	}
}

// notLeader returns an error with the leader that this member knows. The error never
// refers to this VM, which has just rejected the call: the caller would retry here
// immediately and repeatedly. The caller holds the mutex.
func (g *group) notLeader() error {
	leader, _ := g.leader()
	if leader.ID == g.host.self.ID {
		leader = Member{}
	}
	if leader.Address == "" {
		leader, _ = g.host.locatedLeader(g.id)
	}
	return &NotLeaderError{Group: g.id, Leader: leader, Address: leader.Address}
}

func (g *group) propose(ctx context.Context, data []byte) ([]byte, error) {
	pending, err := g.startProposal(data)
	if err != nil {
		return nil, err
	}
	select {
	case result := <-pending.done:
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
		// A newer leader overwrote its entry before this VM became leader again.
		older.done <- proposalResult{err: g.notLeader()}
	}
	pending := &proposal{term: term, done: make(chan proposalResult, 1)}
	g.proposals[index] = pending
	g.flush()
	return pending, nil
}

func (g *group) readBarrier(ctx context.Context) error {
	id, pending, err := g.startRead()
	if err != nil {
		return err
	}
	select {
	case err := <-pending.done:
		return err
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.reads, id)
		return fmt.Errorf("read barrier of group %d: %w", g.id, ctx.Err())
	}
}

func (g *group) startRead() (uint64, *pendingRead, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.host.stopped(); err != nil {
		return 0, nil, err
	}
	g.lastReadID++
	id := g.lastReadID
	pending := &pendingRead{done: make(chan error, 1)}
	g.reads[id] = pending
	if err := g.node.Read(id); err != nil {
		delete(g.reads, id)
		return 0, nil, g.notLeader()
	}
	g.flush()
	return id, pending, nil
}

// finishProposal sends the result to the proposer of the entry at this index. If the
// entry is of another term, the proposed entry was overwritten and never committed.
func (g *group) finishProposal(entry quorum.Entry, result []byte) {
	pending := g.proposals[entry.Index]
	if pending == nil {
		return
	}
	delete(g.proposals, entry.Index)
	if pending.term != entry.Term {
		pending.done <- proposalResult{err: g.notLeader()}
		return
	}
	pending.done <- proposalResult{result: result}
}
