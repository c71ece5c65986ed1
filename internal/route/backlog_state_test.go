package route

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against batch work that is held back because of requests that no free slot would
// start: those that wait for a probe or for their next try.
func TestOnlyRequestsThatWaitForCapacityAreABacklog(t *testing.T) {
	s := NewShard(Config{Self: "gate-1"}, rand.New(rand.NewPCG(1, 2)))
	s.now = time.Unix(1_000_000, 0)
	s.tellsPace = true
	queued := s.now.Add(-backlogWait)
	s.onlineQueue.list = []*request{
		{queuedAt: queued, awaitedReplica: &replica{}},
		{queuedAt: queued, notBefore: s.now.Add(time.Millisecond)},
		{queuedAt: s.now},
	}
	if n := s.onlineWaiting(); n != 0 || s.hasBacklog() {
		t.Errorf("%d requests count, backlog: %t", n, s.hasBacklog())
	}
	s.onlineQueue.list = append(s.onlineQueue.list, &request{queuedAt: queued, notBefore: s.now})
	if n := s.onlineWaiting(); n != 1 || !s.hasBacklog() {
		t.Errorf("%d requests count, 1 wanted; backlog: %t", n, s.hasBacklog())
	}
}
