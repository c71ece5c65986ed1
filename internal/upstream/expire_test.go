package upstream_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"slateway.example/slateway/internal/upstream"
)

// TestExpireMissesNoEntry compares Expire, which looks at the entries only when one may
// have expired, with a check of each entry: a missed entry would keep a lost replica in
// use.
func TestExpireMissesNoEntry(t *testing.T) {
	const lifetime = time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	table := upstream.NewTable(lifetime)
	now := time.Unix(1_000_000, 0)
	lastAnnounced := map[upstream.ReplicaID]time.Time{}
	for n := range 20_000 {
		now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
		id := upstream.ReplicaID(fmt.Sprint("r", rng.IntN(20)))
		switch rng.IntN(5) {
		case 0, 1:
			change, err := table.Announce(now, upstream.Announcement{
				Service: "wordroom", Kind: upstream.KindEngine, Replica: id, Incarnation: 1, Sequence: uint64(n + 1),
				Address: "10.0.0.1:80", Place: "glas-a", Load: upstream.Load{Slots: 2, Ready: true},
			})
			if err != nil || change == upstream.ChangeNone {
				t.Fatalf("announcement of %s: %v, %v", id, change, err)
			}
			lastAnnounced[id] = now
		case 2:
			if rng.IntN(5) == 0 {
				table.Remove(id, 1)
				delete(lastAnnounced, id)
			}
		default:
			for _, e := range table.Expire(now) {
				if now.Sub(lastAnnounced[e.Replica]) <= lifetime {
					t.Fatalf("%s expired after %s", e.Replica, now.Sub(lastAnnounced[e.Replica]))
				}
				delete(lastAnnounced, e.Replica)
			}
			for id, at := range lastAnnounced {
				if now.Sub(at) > lifetime {
					t.Fatalf("%s has not expired after %s", id, now.Sub(at))
				}
			}
		}
	}
}
