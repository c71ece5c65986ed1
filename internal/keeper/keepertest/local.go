// Package keepertest runs keepers within a test process: a Cluster of complete
// keepers on loopback, or a Local proposer, whose groups have a single member,
// apply entries at once and keep no log.
package keepertest

import (
	"context"
	"sync"

	"slateway.example/slateway/internal/replica"
)

// Self is the member that leads all groups of a Local.
var Self = replica.Member{ID: 1, VM: "vm-1", Address: "127.0.0.1:0"}

// Local is a replica.Proposer that applies each entry at once.
type Local struct {
	groups []*localGroup
}

type localGroup struct {
	mu      sync.Mutex
	machine replica.StateMachine
	index   uint64
}

var _ replica.Proposer = (*Local)(nil)

// NewLocal creates a Local with one group for each machine.
func NewLocal(machines ...replica.StateMachine) *Local {
	local := &Local{}
	for _, machine := range machines {
		local.groups = append(local.groups, &localGroup{machine: machine})
	}
	return local
}

// Propose applies data to the machine of the group and returns the result.
func (l *Local) Propose(ctx context.Context, group uint32, data []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	target := l.groups[group]
	target.mu.Lock()
	defer target.mu.Unlock()
	target.index++
	return target.machine.Apply(replica.Entry{Index: target.index, Data: data}), nil
}

// ReadBarrier returns at once, because all entries are applied.
func (l *Local) ReadBarrier(ctx context.Context, _ uint32) error { return ctx.Err() }

// Leader returns Self.
func (l *Local) Leader(uint32) (replica.Member, bool) { return Self, true }

// Groups returns the number of groups.
func (l *Local) Groups() uint32 { return uint32(len(l.groups)) }

// Reopen snapshots a group's machine and restores the snapshot into it, as a
// restart does.
func (l *Local) Reopen(group uint32) error {
	target := l.groups[group]
	target.mu.Lock()
	defer target.mu.Unlock()
	snapshot, err := target.machine.Snapshot()
	if err != nil {
		return err
	}
	return target.machine.Restore(snapshot)
}
