package quorum

import (
	"fmt"
	"slices"
)

// Role is the current Raft role of a member.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config holds the settings of a Node. They do not change after New.
type Config struct {
	ID ID
	// ElectionTicks is the election timeout: the time without a message of a leader
	// after which a member starts an election, and without responses of a majority
	// after which a leader steps down. HeartbeatTicks is the heartbeat interval, at
	// most a third of it.
	ElectionTicks  int
	HeartbeatTicks int
	MaxAppendBytes int // limit on the size of an append; a single larger entry is still sent
	MaxInflight    int // limit on unacknowledged appends to one member
	// Rand returns a number in [0, n); it randomizes election timeouts.
	Rand func(n int) int
}

func (c Config) validate() error {
	switch {
	case c.ID == None:
		return fmt.Errorf("quorum: the ID of the member must be set")
	case c.HeartbeatTicks < 1 || c.ElectionTicks < 3*c.HeartbeatTicks:
		return fmt.Errorf("quorum: %d election ticks are under three heartbeats of %d ticks", c.ElectionTicks, c.HeartbeatTicks)
	case c.MaxAppendBytes < 1 || c.MaxInflight < 1 || c.Rand == nil:
		return fmt.Errorf("quorum: append size, appends in flight and the random source must be set")
	}
	return nil
}

// Restored is the state that a member reads from its disk at startup. The zero value
// is the state of a blank disk.
type Restored struct {
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry // after the snapshot, without gaps
}

// Node is the Raft state machine of one member of a group.
type Node struct {
	config Config
	log    *log
	role   Role
	term   uint64
	vote   ID
	leader ID

	elapsed int // ticks since the last message of a leader or the last campaign
	timeout int // value of elapsed at which to campaign
	// ticks counts from the start. Heartbeats are scheduled by it, so that all groups
	// of a VM send theirs at the same time.
	ticks int

	votes      map[ID]bool
	progress   map[ID]*progress // nil unless this member leads
	transferee ID
	reads      readQueue

	lag lag

	// Commit indexes at the last two samples, an election timeout apart.
	recentCommit  uint64
	earlierCommit uint64
	sinceSample   int

	saved       HardState // last one returned by Ready; its commit index may be older
	installed   *SnapshotMeta
	outbox      Outbox
	afterSync   []Message
	ready       bool   // between Ready and Advance
	handedNext  uint64 // last index whose sync the current Ready completes
	diskStalled bool   // the caller's disk does not respond
}

// New creates a member from the state on its disk.
func New(config Config, restored Restored) (*Node, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	held, err := newLog(restored.Snapshot, restored.Entries, restored.HardState.Commit)
	if err != nil {
		return nil, err
	}
	n := &Node{
		config: config,
		log:    held,
		term:   max(restored.HardState.Term, held.lastTerm()),
		vote:   restored.HardState.Vote,
	}
	if n.term != restored.HardState.Term {
		n.vote = None
	}
	n.saved = HardState{Term: n.term, Vote: n.vote}
	n.resetElection()
	n.shortenFirstElection()
	return n, nil
}

// SetInitialMembership starts the log of a member with an empty log from the initial
// membership of its group, and reports whether it did. It never lowers the term, since
// a message of a leader may have raised it already. No vote was cast in that term,
// because a member with an empty log grants no votes.
func (n *Node) SetInitialMembership(initial Membership) bool {
	if !n.Empty() {
		return false
	}
	held, err := newLog(Bootstrap(initial), nil, 0)
	if err != nil {
		return false
	}
	n.log = held
	if n.term < BootstrapTerm {
		n.term = BootstrapTerm
		n.saved.Term = n.term
		n.resetElection()
		n.shortenFirstElection()
	}
	return true
}

// Empty reports whether this member holds no part of the log and is not installing a
// snapshot.
func (n *Node) Empty() bool { return n.log.lastIndex() == 0 && n.installed == nil }

// Tick advances the logical clock by one tick.
func (n *Node) Tick() {
	n.ticks++
	n.elapsed++
	n.lag.tick(n.log.applied)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.timeout && n.Membership().IsVoter(n.config.ID) && !n.diskStalled {
		n.campaign(PreCandidate, false)
	}
}

// SetDiskStalled records whether the caller's disk has stopped responding. A leader
// with a stalled disk steps down: it applies only what it has synced, so it would
// keep leading by heartbeats alone and answer no proposal.
func (n *Node) SetDiskStalled(stalled bool) {
	n.diskStalled = stalled
	if stalled && n.role == Leader {
		n.becomeFollower(n.term, None)
	}
}

// Propose appends data to the log and returns its index and term. It is committed
// when an entry with this index and term appears in Ready.Committed.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.transferee != None {
		return 0, 0, ErrTransferring
	}
	return n.append(Entry{Kind: EntryNormal, Data: data}), n.term, nil
}

func (n *Node) append(entry Entry) uint64 {
	entry.Index = n.log.lastIndex() + 1
	entry.Term = n.term
	n.log.push(entry)
	if entry.Membership != nil {
		n.syncProgress()
	}
	n.broadcastAppend()
	return entry.Index
}

// Step processes a message from another member.
func (n *Node) Step(m Message) {
	if m.To != n.config.ID || m.From == n.config.ID {
		return
	}
	if n.role == Leader {
		if p := n.progress[m.From]; p != nil {
			p.idle = 0
		}
	}
	if m.Term > n.term && !n.stepHigherTerm(m) {
		return
	}
	if m.Term < n.term {
		n.stepLowerTerm(m)
		return
	}
	n.stepSameTerm(m)
}

// stepHigherTerm handles a term above the member's own and reports whether m is to be
// processed further.
func (n *Node) stepHigherTerm(m Message) bool {
	asksVote := m.Type == MsgVote || m.Type == MsgPreVote
	if asksVote && !m.Transfer && n.hasActiveLeader() {
		// A member campaigns after a network partition, or because it does not know
		// that it was removed. While this member still receives messages of a leader,
		// an answer would only help to depose a working leader.
		return false
	}
	switch {
	case m.Type == MsgPreVote, m.Type == MsgPreVoteResponse && !m.Reject:
		// A pre-vote carries a term that no member has entered yet.
	case m.Type == MsgAppend || m.Type == MsgHeartbeat || m.Type == MsgSnapshot:
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, None)
	}
	return true
}

func (n *Node) hasActiveLeader() bool {
	return n.role == Leader || n.leader != None && n.elapsed < n.config.ElectionTicks
}

// stepLowerTerm rejects messages of a lower term. A member whose term is ahead of the
// leader's, because it voted in an election without a winner, accepts no append of
// that leader: the rejection carries the higher term and causes a new election.
func (n *Node) stepLowerTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.respond(m, Message{Type: MsgAppendResponse, Reject: true})
	case MsgPreVote:
		n.respond(m, Message{Type: MsgPreVoteResponse, Reject: true})
	}
}

func (n *Node) stepSameTerm(m Message) {
	switch m.Type {
	case MsgPreVote, MsgVote:
		n.handleVote(m)
	case MsgPreVoteResponse, MsgVoteResponse:
		n.handleVoteResponse(m)
	case MsgAppend:
		n.followLeader(m)
		n.handleAppend(m)
	case MsgHeartbeat:
		n.followLeader(m)
		n.commitTo(min(m.Commit, n.log.lastIndex()))
		n.lag.observe(m.Committed)
		n.respond(m, Message{Type: MsgHeartbeatResponse, Round: m.Round})
	case MsgSnapshot:
		n.followLeader(m)
		n.handleSnapshot(m)
	case MsgAppendResponse:
		n.handleAppendResponse(m)
	case MsgHeartbeatResponse:
		n.handleHeartbeatResponse(m)
	case MsgTimeoutNow:
		if n.Membership().IsVoter(n.config.ID) && n.role == Follower {
			n.campaign(Candidate, true)
		}
	}
}

func (n *Node) followLeader(m Message) {
	n.elapsed = 0
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
}

// send queues a message that may be sent before the next sync.
func (n *Node) send(m Message) {
	m.From = n.config.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.outbox.Messages = append(n.outbox.Messages, m)
}

// respond queues the response to m. Vote and append responses wait for the sync: if a
// restart lost a vote or an acknowledged entry, two leaders could be elected in one
// term or a committed entry could be lost.
func (n *Node) respond(m, response Message) {
	response.To = m.From
	response.From = n.config.ID
	if response.Term == 0 {
		response.Term = n.term
	}
	if response.Type == MsgVoteResponse || response.Type == MsgAppendResponse {
		n.afterSync = append(n.afterSync, response)
		return
	}
	n.outbox.Messages = append(n.outbox.Messages, response)
}

// Compact records a synced snapshot at index and removes older entries from memory,
// except the newest keep entries before it, for followers that lag slightly.
func (n *Node) Compact(index uint64, keep uint64) (SnapshotMeta, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied || index <= n.log.snapshot.Index {
		return SnapshotMeta{}, fmt.Errorf("quorum: index %d cannot be compacted: it is not applied, not after the last snapshot, or no longer in the log", index)
	}
	meta := SnapshotMeta{Index: index, Term: term, Membership: n.log.membershipAt(index)}
	n.log.compact(meta, index-min(index, keep))
	return meta, nil
}

// SnapshotMetaAt returns the metadata of a snapshot of the entries up to index, and
// false if the log does not hold the entry at index.
func (n *Node) SnapshotMetaAt(index uint64) (SnapshotMeta, bool) {
	term, ok := n.log.term(index)
	return SnapshotMeta{Index: index, Term: term, Membership: n.log.membershipAt(index)}, ok
}

// SnapshotMeta returns the metadata of this member's newest snapshot.
func (n *Node) SnapshotMeta() SnapshotMeta { return n.log.snapshot }

// Membership returns the membership in effect: the newest in the log.
func (n *Node) Membership() Membership { return n.log.membership() }

// Leader returns the ID of the current leader, which may be this member; None if
// unknown. A member that was removed receives no messages of a later leader, so it
// does not report its last leader beyond an election timeout.
func (n *Node) Leader() ID {
	if !n.Membership().IsVoter(n.config.ID) && !n.hasActiveLeader() {
		return None
	}
	return n.leader
}

// IsLeader reports whether this member is the leader.
func (n *Node) IsLeader() bool { return n.role == Leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Applied returns the last index that was returned in Ready.Committed.
func (n *Node) Applied() uint64 { return n.log.applied }

func (n *Node) memberIDs() []ID {
	members := n.Membership().Members
	ids := make([]ID, len(members))
	for i, member := range members {
		ids[i] = member.ID
	}
	return ids
}

// quorumValue returns the highest value that a majority of the voters has reached.
func (n *Node) quorumValue(value func(*progress) uint64) uint64 {
	var values []uint64
	for _, member := range n.Membership().Members {
		if !member.Learner {
			values = append(values, value(n.progress[member.ID]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
