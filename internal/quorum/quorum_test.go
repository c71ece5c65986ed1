package quorum

import (
	"errors"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"
)

// testGroup is a group of members in memory whose messages the test delivers or drops.
type testGroup struct {
	nodes map[ID]*Node
	// applied holds the data that each member applied, in order.
	applied map[ID][]string
	queue   []Message
	// intercept drops a message if it returns true; nil drops none.
	intercept   func(Message) bool
	reads       map[ID][]ReadState
	partitioned map[ID]bool
}

func testConfig(id ID) Config {
	random := rand.New(rand.NewSource(int64(id)))
	return Config{
		ID: id, ElectionTicks: 10, HeartbeatTicks: 2, MaxAppendBytes: 1 << 10, MaxInflight: 4,
		Rand: random.Intn,
	}
}

func newTestGroup(t *testing.T, ids ...ID) *testGroup {
	t.Helper()
	b := &testGroup{nodes: map[ID]*Node{}, applied: map[ID][]string{}, reads: map[ID][]ReadState{}, partitioned: map[ID]bool{}}
	members := make([]Member, len(ids))
	for i, id := range ids {
		members[i] = Member{ID: id}
	}
	for _, id := range ids {
		node, err := New(testConfig(id), Restored{Snapshot: Bootstrap(NewMembership(members...))})
		if err != nil {
			t.Fatal(err)
		}
		b.nodes[id] = node
	}
	return b
}

func (b *testGroup) ids() []ID { return slices.Sorted(maps.Keys(b.nodes)) }

// settle delivers messages and does the work of all members until none is left.
func (b *testGroup) settle() {
	for busy := true; busy; {
		busy = false
		for _, id := range b.ids() {
			node := b.nodes[id]
			outbox := node.TakeOutbox()
			b.queue = append(b.queue, outbox.Messages...)
			b.reads[id] = append(b.reads[id], outbox.Reads...)
			for _, to := range outbox.Snapshots {
				meta, _ := node.SnapshotMetaAt(node.Applied())
				b.queue = append(b.queue, Message{Type: MsgSnapshot, From: id, To: to, Term: node.Term(), Snapshot: &meta})
			}
			if ready, ok := node.Ready(); ok {
				busy = true
				b.queue = append(b.queue, ready.AfterSync...)
				for _, entry := range ready.Committed {
					if entry.Kind == EntryNormal {
						b.applied[id] = append(b.applied[id], string(entry.Data))
					}
				}
				node.Advance()
			}
		}
		sent := b.queue
		b.queue = nil
		for _, m := range sent {
			busy = true
			if b.intercept != nil && b.intercept(m) {
				continue
			}
			if node := b.nodes[m.To]; node != nil && !b.partitioned[m.To] && !b.partitioned[m.From] {
				node.Step(m)
			}
		}
	}
}

func (b *testGroup) tick(count int) {
	for range count {
		for _, id := range b.ids() {
			b.nodes[id].Tick()
		}
		b.settle()
	}
}

func (b *testGroup) leader(t *testing.T) *Node {
	t.Helper()
	for range 100 {
		for id, node := range b.nodes {
			if node.IsLeader() && !b.partitioned[id] {
				return node
			}
		}
		b.tick(1)
	}
	t.Fatal("no leader after 100 ticks")
	return nil
}

// follower returns a member that is not the leader.
func (b *testGroup) follower(t *testing.T) ID {
	t.Helper()
	leader := b.leader(t).config.ID
	i := slices.IndexFunc(b.ids(), func(id ID) bool { return id != leader })
	return b.ids()[i]
}

func (b *testGroup) propose(t *testing.T, data string) {
	t.Helper()
	if _, _, err := b.leader(t).Propose([]byte(data)); err != nil {
		t.Fatal(err)
	}
	b.settle()
}

func TestGroupCommitsAndElectsAgain(t *testing.T) {
	b := newTestGroup(t, 1, 2, 3)
	b.propose(t, "a")
	first := b.leader(t)
	b.partitioned[first.config.ID] = true
	b.tick(25)
	b.propose(t, "b")
	if first.IsLeader() {
		t.Error("the partitioned leader has not stepped down")
	}
	b.partitioned = map[ID]bool{}
	b.tick(25)
	for id := range b.nodes {
		if got := b.applied[id]; len(got) != 2 || got[0] != "a" || got[1] != "b" {
			t.Errorf("member %v applied %v", id, got)
		}
	}
}

// A delayed append must not be resent at each heartbeat. When a connection retransmitted
// a lost packet after 0.2 s, all entries in flight were resent meanwhile; on a busy site
// such copies were a quarter of the cost of traffic between places.
func TestDelayedAppendsAreNotSentAgainAndLostOnesAre(t *testing.T) {
	b := newTestGroup(t, 1, 2, 3)
	b.propose(t, "a")
	leader := b.leader(t)
	slow := b.follower(t)
	var appends []Message
	b.intercept = func(m Message) bool {
		held := m.Type == MsgAppend && m.To == slow && len(m.Entries) > 0
		if held {
			appends = append(appends, m)
		}
		return held
	}
	b.propose(t, "b")
	heartbeat := testConfig(slow).HeartbeatTicks
	b.tick((lostAfter - 1) * heartbeat)
	if len(appends) != 1 {
		t.Errorf("the append was sent %d times within %d heartbeats", len(appends), lostAfter-1)
	}
	b.tick(3 * heartbeat)
	if len(appends) < 2 {
		t.Error("a lost append was not sent again")
	}

	// A failed call reports the loss immediately.
	count := len(appends)
	b.propose(t, "c")
	count = max(count, len(appends))
	leader.AppendLost(slow)
	b.tick(heartbeat)
	if len(appends) <= count {
		t.Error("an append known to be lost was not sent again at the next heartbeat")
	}
	b.intercept = nil
	b.tick((lostAfter + 1) * heartbeat) // the loss of the last append was not reported
	if got := b.applied[slow]; len(got) != 3 {
		t.Errorf("the slow member applied %v", got)
	}
}

// A VM freezes for some seconds and resumes. If each heartbeat response triggered
// another copy of the entries, the member would have to process that copy before it
// could send the response that makes it unnecessary: it would never catch up, and the
// leader would send fifteen times the bytes.
func TestAMemberThatWakesIsSentEachEntryAboutOnce(t *testing.T) {
	b := newTestGroup(t, 1, 2, 3)
	b.propose(t, "first")
	frozen := b.follower(t)
	var waiting []Message
	sent := 0
	b.intercept = func(m Message) bool {
		if m.To == frozen {
			waiting = append(waiting, m)
			sent += len(m.Entries)
		}
		return m.To == frozen
	}
	const proposals = 120
	payload := strings.Repeat("x", testConfig(frozen).MaxAppendBytes/2)
	for range proposals {
		b.propose(t, payload)
		b.tick(1)
	}
	// The member processes one message per tick; a heartbeat interval is two ticks.
	for tick := 0; len(b.applied[frozen]) <= proposals; tick++ {
		if tick > 4*proposals {
			t.Fatalf("the member has applied %d of %d entries after %d ticks; %d were sent", len(b.applied[frozen]), proposals, tick, sent)
		}
		if len(waiting) > 0 {
			next := waiting[0]
			waiting = waiting[1:]
			b.nodes[frozen].Step(next)
			b.settle()
		}
		b.tick(1)
	}
	if sent > proposals*5/4 {
		t.Errorf("%d entries were sent to a member that lacked %d", sent, proposals)
	}
}

// A member dies while a snapshot is sent to it. If the leader started the next transfer
// at once, it would read its snapshot from disk twice a second until the member is back.
func TestAFailedTransferIsRepeatedOnceTheMemberAnswers(t *testing.T) {
	b := newTestGroup(t, 1, 2, 3)
	lost := b.follower(t)
	leader := b.leader(t)
	b.partitioned[lost] = true
	for range 20 {
		b.propose(t, "x")
	}
	if _, err := leader.Compact(leader.Applied(), 0); err != nil {
		t.Fatal(err)
	}
	leader.AppendLost(lost) // as the transport reports it
	transfers := 0
	b.intercept = func(m Message) bool {
		if m.Type == MsgSnapshot {
			transfers++
		}
		return m.Type == MsgSnapshot && transfers == 1
	}
	b.partitioned[lost] = false
	for ticks := 0; transfers == 0; ticks++ {
		if ticks > 100 {
			t.Fatal("no snapshot was sent to a member that lacks compacted entries")
		}
		b.tick(1)
	}
	b.partitioned[lost] = true
	leader.ReportSnapshot(lost, 0)
	b.tick(testConfig(lost).ElectionTicks / 2)
	if transfers != 1 {
		t.Errorf("%d transfers to a member that does not answer, want only the one that failed", transfers)
	}
	b.partitioned[lost] = false
	b.tick(2 * testConfig(lost).ElectionTicks)
	if got, want := b.nodes[lost].Applied(), leader.Applied(); got != want || transfers < 2 {
		t.Errorf("the member has applied up to %d of %d after %d transfers", got, want, transfers)
	}
}

func TestSingleMemberLeads(t *testing.T) {
	b := newTestGroup(t, 1)
	b.propose(t, "a")
	if err := b.leader(t).Read(7); err != nil {
		t.Fatal(err)
	}
	b.settle()
	if len(b.applied[1]) != 1 || len(b.reads[1]) != 1 {
		t.Errorf("applied %v, reads %v", b.applied[1], b.reads[1])
	}
}

// A disk is lost, its VM joins as a learner with a blank disk and replaces the old
// member; then a second VM is lost. No acknowledged entry may be lost, and the group
// must continue to accept proposals.
func TestSecondLossRightAfterRepair(t *testing.T) {
	b := newTestGroup(t, 1, 2, 3)
	b.propose(t, "a")
	leader := b.leader(t)
	lost := ID(1)
	if leader.config.ID == lost {
		lost = 2
	}
	delete(b.nodes, lost)
	blank, err := New(testConfig(9), Restored{})
	if err != nil {
		t.Fatal(err)
	}
	b.nodes[9] = blank
	change := func(c Change) {
		t.Helper()
		if _, err := leader.ProposeChange(c); err != nil {
			t.Fatal(err)
		}
		b.settle()
		b.tick(4)
	}
	change(Change{Kind: AddLearner, Member: Member{ID: 9}})
	change(Change{Kind: Promote, Member: Member{ID: 9}})
	change(Change{Kind: Remove, Member: Member{ID: lost}})
	if got := leader.Status().Tolerance; got != 1 {
		t.Errorf("tolerance after the repair is %d, want 1", got)
	}
	delete(b.nodes, leader.config.ID)
	b.tick(25)
	b.propose(t, "b")
	b.tick(3)
	if got := b.applied[9]; len(got) == 0 || got[len(got)-1] != "b" {
		t.Errorf("the new member applied %v", got)
	}
}

// The tolerance must stay at zero until the removal of a lost member is committed. If
// an operator stopped the leader while it alone had the removal, the two other members
// would still count four members and could elect no leader.
func TestToleranceCountsUncommittedRemoval(t *testing.T) {
	b := newTestGroup(t, 1, 2, 3, 4)
	b.propose(t, "a")
	leader := b.leader(t)
	lost := ID(1)
	if leader.config.ID == lost {
		lost = 2
	}
	b.partitioned[lost] = true
	b.tick(20)
	if _, err := leader.ProposeChange(Change{Kind: Remove, Member: Member{ID: lost}}); err != nil {
		t.Fatal(err)
	}
	if got := leader.Status().Tolerance; got != 0 {
		t.Errorf("tolerance is %d before the removal is committed, want 0", got)
	}
	b.settle()
	if got := leader.Status().Tolerance; got != 1 {
		t.Errorf("tolerance is %d after the removal, want 1", got)
	}
}

// elect makes n the leader of a term with the votes of member 2.
func elect(n *Node, term uint64) {
	for n.role != PreCandidate {
		n.Tick()
	}
	n.Step(Message{Type: MsgPreVoteResponse, From: 2, To: n.config.ID, Term: term})
	work(n)
	n.Step(Message{Type: MsgVoteResponse, From: 2, To: n.config.ID, Term: term})
}

func work(n *Node) {
	if _, ok := n.Ready(); ok {
		n.Advance()
	}
}

// A member requests votes, or replicates an entry, and crashes before its own disk has
// synced. If its own vote or entry counted before the sync, it could vote for another
// member in the same term after the restart, or lose an acknowledged entry.
func TestNothingCountsBeforeTheSync(t *testing.T) {
	b := newTestGroup(t, 1, 2, 3)
	n := b.nodes[1]
	n.campaign(Candidate, false)
	for _, m := range n.TakeOutbox().Messages {
		t.Errorf("a message of type %d is sent before the vote is synced", m.Type)
	}
	ready, _ := n.Ready()
	if ready.HardState == nil || ready.HardState.Vote != 1 || len(ready.AfterSync) != 2 {
		t.Errorf("Ready returns %+v after a campaign, want own vote and two vote requests", ready)
	}
	n.Advance()
	n.Step(Message{Type: MsgVoteResponse, From: 2, To: 1, Term: n.term})
	n.Step(Message{Type: MsgAppendResponse, From: 2, To: 1, Term: n.term, Index: 2})
	if n.log.commit >= 2 {
		t.Error("an entry is committed that only one of three disks holds")
	}
	work(n)
	if n.log.commit != 2 {
		t.Errorf("commit is %d after the sync, want 2", n.log.commit)
	}
	_, _, _ = n.Propose([]byte("synced"))
	n.Ready()
	_, _, _ = n.Propose([]byte("not in a Ready yet"))
	n.Step(Message{Type: MsgAppendResponse, From: 2, To: 1, Term: n.term, Index: 4})
	n.Advance()
	if n.log.commit != 3 {
		t.Errorf("commit is %d, but the leader has synced up to 3", n.log.commit)
	}
}

// Two leaders of successive terms each append a membership change before either is
// committed, or one leader appends two: the resulting memberships can have majorities
// without a common member.
func TestOneChangeAtATime(t *testing.T) {
	b := newTestGroup(t, 1, 2, 3)
	n := b.nodes[1]
	elect(n, 2)
	if _, err := n.ProposeChange(Change{Kind: AddLearner, Member: Member{ID: 8}}); !errors.Is(err, ErrChangePending) {
		t.Errorf("a change before the first commit of the term: got error %v, want ErrChangePending", err)
	}
	b.settle()
	if _, err := n.ProposeChange(Change{Kind: AddLearner, Member: Member{ID: 8}}); err != nil {
		t.Error(err)
	}
	if _, err := n.ProposeChange(Change{Kind: AddLearner, Member: Member{ID: 9}}); !errors.Is(err, ErrChangePending) {
		t.Errorf("a second change: got error %v, want ErrChangePending", err)
	}
}

// A leader of an earlier term replicated an entry to a majority and was lost before it
// committed the entry. A member with a newer entry can still overwrite it, so counting
// copies must not commit it; only an entry of the current term may.
func TestEarlierTermIsNotCommittedByCount(t *testing.T) {
	snapshot := Bootstrap(NewMembership(Member{ID: 1}, Member{ID: 2}, Member{ID: 3}))
	old := []Entry{{Term: 2, Index: 2, Data: []byte("old")}}
	n, err := New(testConfig(1), Restored{HardState: HardState{Term: 3}, Snapshot: snapshot, Entries: old})
	if err != nil {
		t.Fatal(err)
	}
	elect(n, 4)
	work(n)
	n.Step(Message{Type: MsgAppendResponse, From: 2, To: 1, Term: 4, Index: 2})
	if n.log.commit >= 2 {
		t.Fatal("an entry of an earlier term was committed by counting its copies")
	}
	n.Step(Message{Type: MsgAppendResponse, From: 2, To: 1, Term: 4, Index: 3})
	if n.log.commit != 3 {
		t.Errorf("commit is %d, want 3", n.log.commit)
	}
}

func TestTransfer(t *testing.T) {
	b := newTestGroup(t, 1, 2, 3)
	b.propose(t, "a")
	old := b.leader(t)
	to := ID(1)
	if old.config.ID == to {
		to = 2
	}
	if err := old.Transfer(to); err != nil {
		t.Fatal(err)
	}
	b.settle()
	if !b.nodes[to].IsLeader() {
		t.Error("leadership was not transferred")
	}
}
