package memory_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slateway.example/slateway/internal/memory"
)

const budget = 46 << 20 // a quarter of a VM of 184 MB

var start = time.Unix(1_700_000_000, 0)

func open(a *memory.Account, team, request string) *memory.Hold {
	return a.Open(start, memory.Owner{Team: team, Request: request})
}

// Guards against one team that takes the memory of all others with bodies that it
// never finishes.
func TestTeamMayHoldHalfWhileOthersHoldAnything(t *testing.T) {
	a := memory.New(budget, 0)
	if cause := a.ReserveBody(open(a, "parish", "p"), 1000); cause != memory.Granted {
		t.Fatal(cause)
	}
	var held int64
	for i := range 1000 {
		if a.ReserveBody(open(a, "council", fmt.Sprint(i)), 1<<20) == memory.Granted {
			held += 1 << 20
		}
	}
	if held > budget/2 || held < budget*3/8-1<<20 {
		t.Errorf("the team holds %d bytes of %d", held, budget)
	}
	if cause := a.ReserveBody(open(a, "parish", "q"), 1<<20); cause != memory.Granted {
		t.Errorf("the other team is refused: %s", cause)
	}
}

// Guards against a small site where one team is refused although nobody else needs the
// memory.
func TestTeamAloneMayHoldMore(t *testing.T) {
	a := memory.New(budget, 0)
	var held int64
	for i := range 1000 {
		if a.ReserveBody(open(a, "council", fmt.Sprint(i)), 1<<20) == memory.Granted {
			held += 1 << 20
		}
	}
	if held < budget*3/4-1<<20 {
		t.Errorf("the team holds %d bytes of %d", held, budget)
	}
}

// Guards against quick callers with small bodies that are refused because large bodies
// of the same team arrive slowly.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	for _, others := range []bool{false, true} {
		a := memory.New(budget, 0)
		if others {
			a.ReserveBody(open(a, "parish", "p"), 1000)
		}
		for i := range 1000 {
			a.ReserveBody(open(a, "council", fmt.Sprint(i)), 1<<20)
		}
		for i := range 50 {
			if cause := a.ReserveBody(open(a, "council", fmt.Sprint("small", i)), 2000); cause != memory.Granted {
				t.Fatalf("others hold something: %t; small body %d: %s", others, i, cause)
			}
		}
	}
}

// Guards against a VM of 184 MB that refuses every body of the default limit, which
// such VMs have served so far.
func TestLargestBodyFitsSmallVM(t *testing.T) {
	a := memory.New(budget, 8<<20)
	if cause := a.ReserveBody(open(a, "council", "r"), 8<<20); cause != memory.Granted {
		t.Error(cause)
	}
	if cause := a.ReserveBody(open(a, "council", "s"), 8<<20+1); cause != memory.TooLarge {
		t.Errorf("a larger body: %q", cause)
	}
	allowed := open(a, "council", "t")
	allowed.Allow(1 << 30)
	if cause := a.ReserveBody(allowed, 16<<20); cause != memory.Granted {
		t.Errorf("a body that the operators allow: %q", cause)
	}
	if cause := a.ReserveBody(allowed, 8<<20); cause != memory.TooLarge {
		t.Errorf("a body larger than a team's part: %q", cause)
	}
}

// Guards against quick callers that wait for memory because many others do not read
// their responses.
func TestUnreadResponsesLeaveRoomForSmallOnes(t *testing.T) {
	a := memory.New(budget, 0)
	for i := range 300 {
		h := open(a, "council", fmt.Sprint(i))
		for a.ReserveResponse(h, 8<<10) == memory.Granted && h.Bytes() < 512<<10 {
		}
	}
	for i := range 50 {
		if cause := a.ReserveResponse(open(a, "council", fmt.Sprint("quick", i)), 8<<10); cause != memory.Granted {
			t.Fatalf("response %d of a quick caller: %s", i, cause)
		}
	}
}

// Guards against ending the response of a caller that reads, and against ending more
// responses than are needed.
func TestSlowestReaderEndsFirst(t *testing.T) {
	a := memory.New(budget, 0)
	now := start.Add(time.Minute)
	for i, idle := range []time.Duration{0, 900 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		h := open(a, "council", fmt.Sprint(i))
		a.ReserveResponse(h, 1<<20)
		h.SetUnread(now.Add(-idle))
	}
	running := open(a, "council", "running")
	a.ReserveResponse(running, 1<<20)
	need := int64(1 << 20)
	if first := a.Reclaim(now, memory.Full, "council", need); first == nil || first.Request != "3" {
		t.Fatalf("ended first: %+v", first)
	}
	if again := a.Reclaim(now, memory.Full, "council", need); again != nil {
		t.Errorf("ended a second response, %s, although the first one suffices", again.Request)
	}
	if next := a.Reclaim(now, memory.TeamFull, "parish", need); next != nil {
		t.Errorf("ended a response of another team, %s", next.Request)
	}
	if next := a.Reclaim(now, memory.Full, "council", 2*need); next == nil || next.Request != "2" {
		t.Errorf("ended next: %+v", next)
	}
	if next := a.Reclaim(now, memory.Full, "council", 9*need); next != nil {
		t.Errorf("ended a response that was read within the last second or does not wait: %s", next.Request)
	}
}

// Guards against grants beyond the budget or a team's part, and against bytes that stay
// held when all requests have ended.
func TestAccountProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Int64Range(1<<16, 1<<28).Draw(t, "budget")
		a := memory.New(size, rapid.Int64Range(0, 1<<24).Draw(t, "largest body"))
		var holds []*memory.Hold
		now := start
		held := func(team string) (mine, all int64) {
			for _, h := range holds {
				all += h.Bytes()
				if h.Team == team {
					mine += h.Bytes()
				}
			}
			return mine, all
		}
		n := rapid.Custom(func(t *rapid.T) int64 {
			return rapid.OneOf(rapid.Int64Range(0, 1<<12), rapid.Int64Range(0, size)).Draw(t, "n")
		})
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				team := rapid.SampledFrom([]string{"", "council", "parish"}).Draw(t, "team")
				holds = append(holds, open(a, team, fmt.Sprint(len(holds))))
			},
			"reserve": func(t *rapid.T) {
				if len(holds) == 0 {
					t.Skip()
				}
				h := rapid.SampledFrom(holds).Draw(t, "hold")
				bytes, before := n.Draw(t, "bytes"), h.Bytes()
				reserve := a.ReserveBody
				if rapid.Bool().Draw(t, "response") {
					reserve = a.ReserveResponse
				}
				granted := reserve(h, bytes) == memory.Granted
				if want := before + bytes; granted != (h.Bytes() == want) && bytes > 0 {
					t.Fatalf("granted: %t, from %d to %d bytes", granted, before, h.Bytes())
				}
				mine, all := held(h.Team)
				if all > size {
					t.Fatalf("%d bytes of %d are held", all, size)
				}
				if granted && bytes > 0 && all > mine && mine > size/2 {
					t.Fatalf("team %q was granted %d bytes beside others, of %d", h.Team, mine, size)
				}
			},
			"return": func(t *rapid.T) {
				if len(holds) == 0 {
					t.Skip()
				}
				h := rapid.SampledFrom(holds).Draw(t, "hold")
				if rapid.Bool().Draw(t, "response") {
					a.ReturnResponse(h, n.Draw(t, "bytes"))
				} else {
					a.ReturnBody(h, n.Draw(t, "bytes"))
				}
			},
			"release": func(t *rapid.T) {
				if len(holds) > 0 {
					h := rapid.SampledFrom(holds).Draw(t, "hold")
					a.Release(h)
					a.Release(h)
				}
			},
			"read": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				if len(holds) > 0 {
					rapid.SampledFrom(holds).Draw(t, "hold").SetUnread(now)
				}
			},
			"reclaim": func(t *rapid.T) {
				if h := a.Reclaim(now, memory.Full, "council", n.Draw(t, "bytes")); h != nil && h.Bytes() == 0 {
					t.Fatal("ended a response that holds nothing")
				}
			},
			"": func(t *rapid.T) {
				_, all := held("")
				status := a.Status()
				if status.Held != all || status.Peak < all || status.Peak > size {
					t.Fatalf("%+v, but the holds have %d bytes", status, all)
				}
			},
		})
		for _, h := range holds {
			a.Release(h)
		}
		if status := a.Status(); status.Held != 0 || len(status.Teams) != 0 || len(a.Holds()) != 0 {
			t.Fatalf("after all requests: %+v", status)
		}
	})
}
