// Package replica hosts the replicated groups of one VM: it drives the pure
// decisions of package quorum with clocks, one shared write-ahead log and calls
// between processes, and applies committed entries to the state machines.
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

// Machine is the state that a group's log drives. The host calls it from one
// goroutine at a time per group.
type Machine interface {
	// Apply executes an entry. It must be deterministic: after a restart the
	// same entries are applied again on top of the last snapshot. The result
	// goes to the proposer that waits on this VM.
	Apply(entry Entry) (result []byte)
	// Snapshot describes the state after the last applied entry. It syncs the
	// machine's files before it returns.
	Snapshot() (Snapshot, error)
	// Restore replaces the state by a snapshot. The files already lie in the
	// machine's folder, cut to the stated lengths. A snapshot with no state and
	// no files is the empty state before the first entry.
	Restore(s Snapshot) error
}

// Snapshot is the state of a machine at one index of its log.
type Snapshot struct {
	State []byte
	Files []File
}

// File is an append-only file in the machine's folder, of which a prefix of
// Length bytes belongs to a snapshot. Bytes of that prefix never change.
type File struct {
	Name   string // relative to the machine's folder, without separators
	Length int64
}

// Member is a voter or learner of the groups: one disk of one VM.
type Member struct {
	ID      quorum.ID
	VM      string
	Address string // peer address, IP and port
}

// Proposer is what services use to change and read replicated state.
type Proposer interface {
	// Propose returns when data is committed by a majority that synced it and
	// is applied on this VM, with the result of Apply. On a VM that does not
	// lead the group it fails with *NotLeaderError; the entry was not proposed.
	// *OutcomeUnknownError says that the entry may still be committed.
	Propose(ctx context.Context, group uint32, data []byte) (result []byte, err error)
	// ReadBarrier returns when the state of the group on this (leading) VM is
	// as new as any write that was acknowledged before the call.
	ReadBarrier(ctx context.Context, group uint32) error
	// Leader gives the member that this VM takes for the group's leader.
	Leader(group uint32) (Member, bool)
	// Groups is the number of groups; they are numbered from 0.
	Groups() uint32
}
