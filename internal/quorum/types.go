// Package quorum implements consensus on a replicated log among the members of one
// group. It is a deterministic state machine: its inputs are messages, ticks and
// proposals, its outputs messages, entries to persist and committed entries. It starts
// no goroutine, reads no clock and does no I/O; all of that is left to the caller.
//
// The algorithm is Raft with pre-vote, check-quorum, learners, one membership
// change at a time (in effect as soon as it is appended), read barriers confirmed by a
// round of heartbeats, and leadership transfer.
package quorum

import (
	"errors"
	"fmt"
)

// ID identifies a member, which is one disk of one VM. A blank disk on the same VM is
// a different member. Zero is not a valid ID.
type ID uint64

// None is the ID of no member.
const None ID = 0

// String returns the ID in hexadecimal, as shown in logs and by the operator tool.
func (id ID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// EntryKind determines who interprets an entry.
type EntryKind uint8

// Kinds of entries.
const (
	EntryNormal     EntryKind = iota // for the state machine
	EntryBlank                       // first entry of a leader's term
	EntryMembership                  // a new membership of the group
)

// Entry is an entry of the replicated log.
type Entry struct {
	Term       uint64      `cbor:"1,keyasint"`
	Index      uint64      `cbor:"2,keyasint"`
	Kind       EntryKind   `cbor:"3,keyasint,omitempty"`
	Data       []byte      `cbor:"4,keyasint,omitempty"`
	Membership *Membership `cbor:"5,keyasint,omitempty"`
}

// entryOverhead is the size of an entry on the wire without its data, in bytes.
const entryOverhead = 32

func (e *Entry) size() int { return len(e.Data) + entryOverhead }

// HardState is the persistent state beside the log. It must be synced before the
// messages that depend on it are sent.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   ID     `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"`
}

// SnapshotMeta holds the position of a snapshot in the log and the membership there.
type SnapshotMeta struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
}

// BootstrapIndex and BootstrapTerm are the position of the empty state that a new group
// starts from. They are above zero so that a blank member, whose log is at index zero,
// always installs a snapshot and receives the membership with it.
const (
	BootstrapIndex uint64 = 1
	BootstrapTerm  uint64 = 1
)

// Bootstrap returns the snapshot that every initial member of a new group starts from.
func Bootstrap(initial Membership) SnapshotMeta {
	return SnapshotMeta{Index: BootstrapIndex, Term: BootstrapTerm, Membership: initial}
}

// MessageType is the type of a message between members.
type MessageType uint8

// Types of messages between members.
const (
	MsgAppend MessageType = iota + 1
	MsgAppendResponse
	MsgHeartbeat
	MsgHeartbeatResponse
	MsgPreVote
	MsgPreVoteResponse
	MsgVote
	MsgVoteResponse
	MsgTimeoutNow
	// MsgSnapshot notifies a member that the data of Snapshot has arrived in full. The
	// sending host delivers it together with the last chunk.
	MsgSnapshot
)

// Message is a message between two members of a group. The fields in use depend on its
// Type.
type Message struct {
	Type     MessageType   `cbor:"1,keyasint"`
	From     ID            `cbor:"2,keyasint"`
	To       ID            `cbor:"3,keyasint"`
	Term     uint64        `cbor:"4,keyasint"`
	LogTerm  uint64        `cbor:"5,keyasint,omitempty"` // term of the entry at Index
	Index    uint64        `cbor:"6,keyasint,omitempty"`
	Entries  []Entry       `cbor:"7,keyasint,omitempty"`
	Commit   uint64        `cbor:"8,keyasint,omitempty"`
	Reject   bool          `cbor:"9,keyasint,omitempty"`
	Hint     uint64        `cbor:"10,keyasint,omitempty"` // last possible match in the log of the rejecting member
	HintTerm uint64        `cbor:"11,keyasint,omitempty"` // term of the entry at Hint
	Round    uint64        `cbor:"12,keyasint,omitempty"` // heartbeat: round that confirms reads; append: number of a position query; echoed in the response
	Transfer bool          `cbor:"13,keyasint,omitempty"` // vote request of a leadership transfer
	Snapshot *SnapshotMeta `cbor:"14,keyasint,omitempty"`
	// Committed is the leader's commit index in a heartbeat. Unlike Commit it may be
	// beyond the member's log.
	Committed uint64 `cbor:"15,keyasint,omitempty"`
}

// ReadState is a confirmed read barrier: the read with this ID may be served once the
// entry at Index is applied.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Ready is the work that the caller does before it calls Advance.
type Ready struct {
	// HardState and Entries must be written and synced; HardState is nil if it need
	// not be written.
	HardState *HardState
	Entries   []Entry
	// Snapshot replaces the state of the state machine and the whole log. Its data has
	// already arrived.
	Snapshot *SnapshotMeta
	// AfterSync holds messages to send once HardState, Entries and Snapshot are synced.
	AfterSync []Message
	// Committed holds entries that are synced here and on a majority, to be applied in
	// order.
	Committed []Entry
}

// Outbox is the work that need not wait for a sync. The caller takes it after every
// call of a method, even while a Ready is in progress.
type Outbox struct {
	Messages []Message
	Reads    []ReadState
	// Snapshots lists members that need the newest snapshot. The caller transfers it
	// and calls ReportSnapshot.
	Snapshots []ID
}

// Errors of proposals. If one is returned, nothing was appended.
var (
	ErrNotLeader     = errors.New("quorum: not the leader")
	ErrTransferring  = errors.New("quorum: leadership is being transferred")
	ErrNotCaughtUp   = errors.New("quorum: the learner has not synced the whole log")
	ErrChangePending = errors.New("quorum: another membership change is not committed yet")
	ErrNoSuchMember  = errors.New("quorum: the group has no such member")
	ErrIsMember      = errors.New("quorum: already a member of the group, or already a voter")
	ErrUnsafeRemoval = errors.New("quorum: the reachable voters that remain would not be a majority")
)
