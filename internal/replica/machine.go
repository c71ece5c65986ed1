// Package replica hosts the replicated groups of one VM. It drives the consensus nodes
// of package quorum, which perform no I/O, with clocks, one shared write-ahead log and
// calls between processes, and applies committed entries to the state machines.
package replica

import (
	"context"

	"slateway.example/slateway/internal/quorum"
)

// Entry is one committed log entry.
type Entry struct {
	Index uint64
	Data  []byte
}

// StateMachine is the state that a group's log determines. The host calls it from one
// goroutine at a time per group.
type StateMachine interface {
	// Apply executes an entry. It must be deterministic: after a restart the same
	// entries are applied again on top of the last snapshot. The result is returned to
	// the proposer that waits on this VM.
	Apply(entry Entry) (result []byte)
	// Snapshot describes the state after the last applied entry. It syncs the state
	// machine's files before it returns.
	Snapshot() (Snapshot, error)
	// Restore replaces the state with a snapshot. The files are already in the state
	// machine's folder, truncated to the stated lengths. A snapshot with no state and
	// no files is the empty state before the first entry.
	Restore(s Snapshot) error
}

// Snapshot is the state of a state machine at one index of its log.
type Snapshot struct {
	State []byte
	Files []File
}

// File is an append-only file in the state machine's folder. Its first Length bytes
// belong to a snapshot and never change.
type File struct {
	Name   string // relative to the state machine's folder, without separators
	Length int64
}

// Member is a voter or learner of the groups: one disk of one VM.
type Member struct {
	ID      quorum.ID
	VM      string
	Address string // peer address, IP and port
}

// Proposer changes and reads replicated state on behalf of services.
type Proposer interface {
	// Propose returns the result of Apply once data is committed by a majority that
	// synced it and is applied on this VM. On a VM that does not lead the group it
	// fails with *NotLeaderError and proposes nothing. *OutcomeUnknownError means that
	// the entry may still be committed.
	Propose(ctx context.Context, group uint32, data []byte) (result []byte, err error)
	// ReadBarrier returns when the state of the group on this VM, which must lead it,
	// includes every write that was acknowledged before the call.
	ReadBarrier(ctx context.Context, group uint32) error
	// Leader returns the member that this VM follows as the group's leader.
	Leader(group uint32) (Member, bool)
	// Groups returns the number of groups; they are numbered from 0.
	Groups() uint32
}
