package quorum

import "testing"

// An operator's change is acknowledged. One control VM hears its leader's heartbeats,
// and the entries to it are held up for seconds: a packet of that connection is lost
// again and again. It must know that it lacks the change, or gates that ask it serve
// by the old routes for as long.
func TestAMemberThatIsSentNoEntriesKnowsThatItLags(t *testing.T) {
	b := newBench(t, 1, 2, 3)
	b.propose(t, "first")
	lagging := b.follower(t)
	b.hold = func(m Message) bool { return m.To == lagging && m.Type == MsgAppend }
	b.propose(t, "change")
	const ticks = 12
	b.tick(ticks)
	leader := b.leader(t).config.ID
	if followed := b.nodes[lagging].Leader(); followed != leader {
		t.Fatalf("the lagging member follows %v, not %v: the test shows nothing", followed, leader)
	}
	if lag := b.nodes[lagging].Lag(); lag < ticks/2 {
		t.Errorf("a member lacks the change for %d ticks and counts %d", ticks, lag)
	}
	for _, id := range b.ids() {
		if lag := b.nodes[id].Lag(); id != lagging && lag != 0 {
			t.Errorf("member %v has the change and counts %d ticks", id, lag)
		}
	}
	b.hold = nil
	b.tick(4 * ticks)
	if lag := b.nodes[lagging].Lag(); lag != 0 {
		t.Errorf("the member has caught up and counts %d ticks", lag)
	}
}

// Changes come faster than a member takes them in. It always lacks the newest, and
// none for long.
func TestAMemberOfABusyGroupDoesNotLag(t *testing.T) {
	b := newBench(t, 1, 2, 3)
	for range 40 {
		b.propose(t, "change")
		b.tick(1)
		for _, id := range b.ids() {
			if lag := b.nodes[id].Lag(); lag > 2 {
				t.Fatalf("member %v counts %d ticks", id, lag)
			}
		}
	}
}
