package quorum

import "testing"

// A member receives heartbeats while appends to it are delayed for seconds, because a
// packet of that connection is lost repeatedly. It must report its lag, or gates that
// query this control VM keep serving by old routes after an acknowledged change.
func TestAMemberThatIsSentNoEntriesKnowsThatItLags(t *testing.T) {
	b := newTestGroup(t, 1, 2, 3)
	b.propose(t, "first")
	lagging := b.follower(t)
	b.intercept = func(m Message) bool { return m.To == lagging && m.Type == MsgAppend }
	b.propose(t, "change")
	const ticks = 12
	b.tick(ticks)
	leader := b.leader(t).config.ID
	if followed := b.nodes[lagging].Leader(); followed != leader {
		t.Fatalf("the lagging member follows %v, not %v: the precondition of the test does not hold", followed, leader)
	}
	if lag := b.nodes[lagging].Lag(); lag < ticks/2 {
		t.Errorf("a member lacks the change for %d ticks but reports a lag of %d", ticks, lag)
	}
	for _, id := range b.ids() {
		if lag := b.nodes[id].Lag(); id != lagging && lag != 0 {
			t.Errorf("member %v has the change but reports a lag of %d ticks", id, lag)
		}
	}
	b.intercept = nil
	b.tick(4 * ticks)
	if lag := b.nodes[lagging].Lag(); lag != 0 {
		t.Errorf("the member has caught up but reports a lag of %d ticks", lag)
	}
}

// Changes arrive faster than a member applies them. It always lacks the newest one, but
// none for long, so it must report almost no lag.
func TestAMemberOfABusyGroupDoesNotLag(t *testing.T) {
	b := newTestGroup(t, 1, 2, 3)
	for range 40 {
		b.propose(t, "change")
		b.tick(1)
		for _, id := range b.ids() {
			if lag := b.nodes[id].Lag(); lag > 2 {
				t.Fatalf("member %v reports a lag of %d ticks", id, lag)
			}
		}
	}
}
