package replica

import (
	"context"
	"fmt"

	"slateway.example/slateway/internal/quorum"
)

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

func (g *group) finishRead(id uint64, waiting *read) {
	if waiting.index != 0 && waiting.index <= g.applied {
		waiting.done <- nil
		delete(g.reads, id)
	}
}

// failStaleWaiters ends the waits of a member that no longer leads. An entry that
// was proposed here may still be committed by the next leader, so its proposer
// first gets an election timeout in which to learn that.
func (g *group) failStaleWaiters() {
	if g.node.IsLeader() {
		g.ticksSinceLeadership = 0
		return
	}
	for id, waiting := range g.reads {
		waiting.done <- g.notLeader()
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
	if leader.Address == "" {
		leader, _ = g.host.locatedLeader(g.id)
	}
	return &NotLeaderError{Group: g.id, Leader: leader, Address: leader.Address}
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
	g.lastReadID++
	id := g.lastReadID
	waiting := &read{done: make(chan error, 1)}
	g.reads[id] = waiting
	if err := g.node.Read(id); err != nil {
		delete(g.reads, id)
		return 0, nil, g.notLeader()
	}
	g.flush()
	return id, waiting, nil
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
