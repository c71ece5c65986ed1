package credit_test

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/gate/credit"
	"slateway.example/slateway/internal/share"
)

// usage is a gate that uses the same cost of many teams in each interval.
type usage struct {
	mu      sync.Mutex
	teams   int
	cost    float64
	charged map[string]float64
	used    float64 // of each team
}

func (u *usage) ShareUsage(time.Time) []share.Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.used += u.cost
	list := make([]share.Usage, u.teams)
	for i := range list {
		list[i] = share.Usage{Key: share.Key{Service: "wordroom", Team: fmt.Sprint("a-team-with-a-long-name-", i)}, Started: u.cost, Waiting: true}
	}
	return list
}

func (u *usage) ChargeShare(charge share.Charge) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.charged[charge.Team] += charge.Cost
	return true
}

func startSharing(t *testing.T, count, teams int) (*gates, []*usage) {
	var users []*usage
	g := startWith(t, count, 20, func(int) credit.Shares {
		user := &usage{teams: teams, cost: 10, charged: map[string]float64{}}
		users = append(users, user)
		return user
	})
	return g, users
}

// Each gate must be charged for what the others start of each team, also if there are more
// teams of an owner than a datagram holds.
func TestGatesAreChargedForEachOther(t *testing.T) {
	const teams = 60
	g, users := startSharing(t, 3, teams)
	time.Sleep(3 * time.Second)
	for i, u := range users {
		u.mu.Lock()
		if len(u.charged) != teams {
			t.Errorf("gate-%d was charged for %d of %d teams", i, len(u.charged), teams)
		}
		for team, charged := range u.charged {
			// The first report and what is in flight is not charged.
			if charged < 2*(u.used-50) || charged > 2*(u.used+10) {
				t.Errorf("gate-%d was charged %g for %s, of which each of the other two used %g", i, charged, team, u.used)
			}
		}
		u.mu.Unlock()
		if n := g.metrics[i].Value("share.owner_unanswered"); n > 0 {
			t.Errorf("gate-%d counted %d unanswered reports", i, n)
		}
		if g.metrics[i].Value("share.charged_remote") == 0 || g.metrics[i].Value("team_cap.unreadable") > 0 {
			t.Errorf("gate-%d: %d charged, %d unreadable", i, g.metrics[i].Value("share.charged_remote"), g.metrics[i].Value("team_cap.unreadable"))
		}
	}
}

// The other gates must go on without an owner that has stopped, and count its missing answers.
func TestAStoppedOwnerIsCounted(t *testing.T) {
	g, _ := startSharing(t, 2, 20)
	time.Sleep(500 * time.Millisecond)
	g.stop[0]()
	time.Sleep(time.Second)
	if g.metrics[1].Value("share.owner_unanswered") < 2 {
		t.Errorf("%d missing answers counted", g.metrics[1].Value("share.owner_unanswered"))
	}
}

// A gate of an older build must ignore reports of shares; this build must ignore kinds of
// datagrams that it does not know, and answer a report only.
func TestUnknownDatagramsAreIgnored(t *testing.T) {
	g := start(t, 1, 20)
	conn, err := net.Dial("udp", g.fleet.Gates()[0].Peers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	report := map[int]any{1: 6, 3: "gate-9/1", 16: []any{map[int]any{1: "wordroom", 2: "council", 3: 1, 4: 12.5, 9: "unknown"}}}
	for _, sent := range []map[int]any{{1: 99, 4: "council"}, {1: 7, 3: "no process", 16: []any{map[int]any{2: "council"}}}, report} {
		if _, err := conn.Write(codec.MustMarshal(sent)); err != nil {
			t.Fatal(err)
		}
	}
	buffer := make([]byte, 2<<10)
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	size, err := conn.Read(buffer)
	if err != nil {
		t.Fatal(err)
	}
	var answer map[int]any
	if err := codec.Unmarshal(buffer[:size], &answer); err != nil {
		t.Fatal(err)
	}
	if answer[1] != uint64(7) || g.metrics[0].Value("team_cap.unreadable") > 0 {
		t.Errorf("the answer to the report: %v; unreadable datagrams: %d", answer, g.metrics[0].Value("team_cap.unreadable"))
	}
}
