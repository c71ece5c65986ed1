package quorum

import (
	"fmt"
	"slices"
)

// Role is what a member currently is in its group.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String gives the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config is fixed for the life of a Node.
type Config struct {
	ID ID
	// ElectionTicks without a leader's message start an election; a leader that
	// does not hear a majority for as long steps down. HeartbeatTicks is the
	// interval of heartbeats and must be a fraction of it.
	ElectionTicks  int
	HeartbeatTicks int
	MaxAppendBytes int // size of one append; a single larger entry still goes
	MaxInflight    int // appends sent ahead to one member
	// Rand gives a number in [0, n); it spreads the elections.
	Rand func(n int) int
}

func (c Config) validate() error {
	switch {
	case c.ID == None:
		return fmt.Errorf("quorum: a member needs an ID")
	case c.HeartbeatTicks < 1 || c.ElectionTicks < 3*c.HeartbeatTicks:
		return fmt.Errorf("quorum: %d election ticks are under three heartbeats of %d ticks", c.ElectionTicks, c.HeartbeatTicks)
	case c.MaxAppendBytes < 1 || c.MaxInflight < 1 || c.Rand == nil:
		return fmt.Errorf("quorum: append size, appends in flight and the random source must be set")
	}
	return nil
}

// Restored is what a member finds on its disk. All zero is a blank member.
type Restored struct {
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry // after the snapshot, without gaps
}

// Node is one member of one group.
type Node struct {
	config Config
	log    *log
	role   Role
	term   uint64
	vote   ID
	leader ID

	elapsed int // ticks since the last message of a leader, or since campaigning
	timeout int // elapsed at which to campaign
	// ticks since the start. Heartbeats go by it, so that the groups of a VM
	// send theirs together.
	ticks int

	votes      map[ID]bool
	progress   map[ID]*progress // of a leader only
	transferee ID
	reads      readQueue

	lag lag

	// What was committed at the last two marks, an election timeout apart.
	recentCommit  uint64
	earlierCommit uint64
	sinceMark     int

	saved     HardState // as last handed to the shell
	installed *SnapshotMeta
	outbox    Outbox
	afterSync []Message
	ready     bool // between Ready and Advance
	handing   uint64
	stalled   bool // the shell's disk does not answer
}

// New makes a member from what its disk holds.
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
	n.hasten()
	return n, nil
}

// Begin gives a member whose log is empty the membership that its group began
// with. It says whether it did. The term stays: a leader may have been heard
// before. No vote was given in it, since an empty log votes for nobody.
func (n *Node) Begin(initial Membership) bool {
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
		n.hasten()
	}
	return true
}

// Empty says whether this member holds nothing of the log, nor is about to.
func (n *Node) Empty() bool { return n.log.lastIndex() == 0 && n.installed == nil }

// Tick passes one interval of the shell's clock.
func (n *Node) Tick() {
	n.ticks++
	n.elapsed++
	n.lag.tick(n.log.applied)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.timeout && n.Membership().IsVoter(n.config.ID) && !n.stalled {
		n.campaign(PreCandidate, false)
	}
}

// SetStalled tells whether the shell's disk has stopped answering. A leader
// with a stalled disk would hold its office by heartbeats alone and answer no
// proposal, since it applies only what it has synced: it steps down.
func (n *Node) SetStalled(stalled bool) {
	n.stalled = stalled
	if stalled && n.role == Leader {
		n.becomeFollower(n.term, None)
	}
}

// Propose appends data to the log and gives its index and term. It is committed
// when an entry of this index and term appears in Ready.Committed.
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
		n.adopt()
	}
	n.broadcastAppend()
	return entry.Index
}

// Step takes in a message of another member.
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

// stepHigherTerm says whether m is to be processed further.
func (n *Node) stepHigherTerm(m Message) bool {
	asksVote := m.Type == MsgVote || m.Type == MsgPreVote
	if asksVote && !m.Transfer && n.hearsLeader() {
		// A member that was cut off, or was removed and does not know, comes
		// back and campaigns. While a majority hears a leader within its
		// lease, answering would only depose a working leader.
		return false
	}
	switch {
	case m.Type == MsgPreVote, m.Type == MsgPreVoteResponse && !m.Reject:
		// A pre-vote is about a term that nobody has entered yet.
	case m.Type == MsgAppend || m.Type == MsgHeartbeat || m.Type == MsgSnapshot:
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, None)
	}
	return true
}

func (n *Node) hearsLeader() bool {
	return n.role == Leader || n.leader != None && n.elapsed < n.config.ElectionTicks
}

// stepLowerTerm answers members that are behind. Without it, a member whose
// term is ahead of the leader's (it voted in an election that nobody won) could
// never take an entry again: the answer makes the leader campaign anew.
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
		n.lag.heard(m.Committed)
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

// send queues a message that waits for no disk.
func (n *Node) send(m Message) {
	m.From = n.config.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.outbox.Messages = append(n.outbox.Messages, m)
}

// respond queues the answer to m. Answers that promise something about this
// member's disk wait for it: a vote, or an acknowledged entry, that a restart
// forgot could elect two leaders in a term or lose a committed entry.
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

// Compact tells of a synced snapshot at index. The newest keep entries before
// it stay in memory for followers that are a little behind.
func (n *Node) Compact(index uint64, keep uint64) (SnapshotMeta, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied || index <= n.log.snapshot.Index {
		return SnapshotMeta{}, fmt.Errorf("quorum: no snapshot can be placed at %d", index)
	}
	meta := SnapshotMeta{Index: index, Term: term, Membership: n.log.membershipAt(index)}
	n.log.compact(meta, index-min(index, keep))
	return meta, nil
}

// MetaAt gives the place of a snapshot of the entries up to index.
func (n *Node) MetaAt(index uint64) (SnapshotMeta, bool) {
	term, ok := n.log.term(index)
	return SnapshotMeta{Index: index, Term: term, Membership: n.log.membershipAt(index)}, ok
}

// SnapshotMeta gives the place of this member's newest snapshot.
func (n *Node) SnapshotMeta() SnapshotMeta { return n.log.snapshot }

// Membership gives the membership in force: the newest in the log.
func (n *Node) Membership() Membership { return n.log.membership() }

// Leader gives the leader that this member follows or is; None if unknown. One that
// was removed hears no other leader, and is not told that this one has gone.
func (n *Node) Leader() ID {
	if !n.Membership().IsVoter(n.config.ID) && !n.hearsLeader() {
		return None
	}
	return n.leader
}

// IsLeader says whether this member leads.
func (n *Node) IsLeader() bool { return n.role == Leader }

// Term gives the current term.
func (n *Node) Term() uint64 { return n.term }

// Applied gives the last index handed out in Ready.Committed.
func (n *Node) Applied() uint64 { return n.log.applied }

func (n *Node) memberIDs() []ID {
	members := n.Membership().Members
	ids := make([]ID, len(members))
	for i, member := range members {
		ids[i] = member.ID
	}
	return ids
}

// quorumValue gives the highest value that a majority of the voters reaches.
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
