// Package quorum decides agreement on a replicated log among the members of one
// group. It is deterministic: messages, ticks and proposals go in; messages,
// entries to persist and committed entries come out. It starts no goroutine,
// reads no clock and does no I/O.
//
// The algorithm is Raft with pre-vote, check-quorum, learners, one membership
// change at a time (in force from the moment it is appended), read barriers
// confirmed by a round of heartbeats, and leadership transfer.
package quorum

import (
	"errors"
	"fmt"
)

// ID names a member: one disk of one VM. A blank disk on the same VM is another
// member. Zero is no member.
type ID uint64

// None is the ID of no member.
const None ID = 0

// String gives the ID in hexadecimal, as logs and the operator tool show it.
func (id ID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// EntryKind says who reads an entry.
type EntryKind uint8

// Kinds of entries.
const (
	EntryNormal     EntryKind = iota // for the state machine
	EntryBlank                       // first entry of a leader's term
	EntryMembership                  // a new membership of the group
)

// Entry is one position of the log.
type Entry struct {
	Term       uint64      `cbor:"1,keyasint"`
	Index      uint64      `cbor:"2,keyasint"`
	Kind       EntryKind   `cbor:"3,keyasint,omitempty"`
	Data       []byte      `cbor:"4,keyasint,omitempty"`
	Membership *Membership `cbor:"5,keyasint,omitempty"`
}

// entryOverhead is what an entry costs on the wire beside its data, in bytes.
const entryOverhead = 32

func (e *Entry) size() int { return len(e.Data) + entryOverhead }

// HardState must be synced before the messages that depend on it are sent.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   ID     `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"`
}

// SnapshotMeta places a snapshot in the log.
type SnapshotMeta struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
}

// BootstrapIndex and BootstrapTerm place the empty state that a new group
// starts from. They are above zero so that a blank member, whose log is at
// index zero, always takes a snapshot and with it the membership.
const (
	BootstrapIndex uint64 = 1
	BootstrapTerm  uint64 = 1
)

// Bootstrap is the snapshot that every initial member of a new group starts
// from.
func Bootstrap(initial Membership) SnapshotMeta {
	return SnapshotMeta{Index: BootstrapIndex, Term: BootstrapTerm, Membership: initial}
}

// MessageType names the kinds of messages.
type MessageType uint8

// Messages between members.
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
	// MsgSnapshot tells a member that the data of Snapshot has arrived in full.
	// The sending host hands it over together with the last chunk.
	MsgSnapshot
)

// Message is what members of a group exchange.
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
	Hint     uint64        `cbor:"10,keyasint,omitempty"` // rejecting member's last possible match
	HintTerm uint64        `cbor:"11,keyasint,omitempty"` // term of the entry at Hint
	Round    uint64        `cbor:"12,keyasint,omitempty"` // heartbeat: round that confirms reads; append: number of a probe; repeated by the answer
	Transfer bool          `cbor:"13,keyasint,omitempty"` // vote asked on the leader's order
	Snapshot *SnapshotMeta `cbor:"14,keyasint,omitempty"`
	// Committed is, of a heartbeat, the leader's commit index, also beyond what the
	// member holds.
	Committed uint64 `cbor:"15,keyasint,omitempty"`
}

// ReadState says that the read of this ID may be served once the entry at
// Index is applied.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Ready is the work that the shell does between two calls of Advance.
type Ready struct {
	// HardState and Entries are persisted and synced; HardState is nil when it
	// need not be written.
	HardState *HardState
	Entries   []Entry
	// Snapshot replaces the machine's state and the whole log. Its data has
	// arrived before.
	Snapshot *SnapshotMeta
	// AfterSync are sent once HardState, Entries and Snapshot are synced.
	AfterSync []Message
	// Committed are synced here and on a majority: apply them in order.
	Committed []Entry
}

// Outbox is the work that waits for no disk: the shell takes it after every
// call, also while a Ready is in progress.
type Outbox struct {
	Messages []Message
	Reads    []ReadState
	// Snapshots are members that need the newest snapshot. The shell transfers
	// it and calls ReportSnapshot.
	Snapshots []ID
}

// Errors of proposals. Nothing was appended when one is returned.
var (
	ErrNotLeader     = errors.New("quorum: not the leader")
	ErrTransferring  = errors.New("quorum: leadership is being transferred")
	ErrNotCaughtUp   = errors.New("quorum: the learner has not synced the whole log")
	ErrChangePending = errors.New("quorum: another membership change is not committed yet")
	ErrNoSuchMember  = errors.New("quorum: no such member")
	ErrIsMember      = errors.New("quorum: is a member already")
	ErrUnsafeRemoval = errors.New("quorum: the voters that stay in reach would be no majority")
)
