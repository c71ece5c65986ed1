package credit_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/gate/credit"
	"slateway.example/slateway/internal/limit"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/telemetry"
)

// fleet is the shared list of gates.
type fleet struct {
	mu        sync.Mutex
	gates     []roster.Gate
	callbacks []func()
}

func (f *fleet) Gates() []roster.Gate {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gates
}

func (f *fleet) ExpectedGates() int { return 0 }

func (f *fleet) MissingGates() []roster.Gate { return nil }

func (f *fleet) OnGates(fn func()) { f.callbacks = append(f.callbacks, fn) }

func (f *fleet) set(gates []roster.Gate) {
	f.mu.Lock()
	f.gates = gates
	f.mu.Unlock()
	for _, fn := range f.callbacks {
		fn()
	}
}

// gates is a set of gates on the loopback interface.
type gates struct {
	fleet    *fleet
	services []*credit.Service
	metrics  []*telemetry.Metrics
	stop     []func()
}

func start(t *testing.T, count int, slack float64) *gates {
	return startWith(t, count, slack, noShares)
}

func noShares(int) credit.Shares { return nil }

// startWith starts gates whose usage of shares comes from the given sources.
func startWith(t *testing.T, count int, slack float64, shares func(gate int) credit.Shares) *gates {
	g := create(t, count, slack, shares)
	for i, s := range g.services {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			s.Run(ctx)
			close(done)
		}()
		g.stop[i] = sync.OnceFunc(func() {
			cancel()
			<-done
		})
		t.Cleanup(g.stop[i])
	}
	return g
}

// create creates gates that do not run: they send datagrams and receive none.
func create(t *testing.T, count int, slack float64, shares func(gate int) credit.Shares) *gates {
	g := &gates{fleet: &fleet{}, stop: make([]func(), count)}
	var known []roster.Gate
	for i := range count {
		address := freePort(t)
		metrics := telemetry.NewMetrics()
		s, err := credit.New(credit.Options{
			VM: fmt.Sprint("gate-", i), Listen: address, Fleet: g.fleet, Metrics: metrics, Log: zap.NewNop(),
			Tolerance: limit.Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Slack: slack}, Shares: shares(i),
		})
		if err != nil {
			t.Fatal(err)
		}
		g.services, g.metrics = append(g.services, s), append(g.metrics, metrics)
		known = append(known, roster.Gate{VM: fmt.Sprint("gate-", i), Peers: address, Started: 1})
	}
	g.fleet.set(known)
	return g
}

// closeSockets closes the sockets of gates that do not run.
func (g *gates) closeSockets() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, s := range g.services {
		s.Run(ended)
	}
}

func freePort(t *testing.T) string {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	return socket.LocalAddr().String()
}

func (g *gates) take(ctx context.Context, gate int, team string, c limit.Cap) *apierr.Error {
	return g.services[gate].Take(ctx, &credit.Request{ID: "r", Team: team, Cap: c, Version: 1})
}

// sendThroughAll sends requests of a team through all gates at once and returns how many
// were admitted.
func (g *gates) sendThroughAll(ctx context.Context, team string, c limit.Cap, each int) (ran int64) {
	var count atomic.Int64
	var sending sync.WaitGroup
	for gate := range g.services {
		sending.Go(func() {
			for range each {
				if g.take(ctx, gate, team, c) == nil {
					count.Add(1)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	sending.Wait()
	return count.Load()
}

// ownerOf returns the owner and the standby of a team.
func (g *gates) ownerOf(team string) (owner, standby int) {
	var known []limit.Gate
	for _, gate := range g.fleet.Gates() {
		known = append(known, limit.Gate{VM: gate.VM, Started: gate.Started})
	}
	choice := limit.NewHolders(known, 0, time.Now()).Choose(team)
	_, _ = fmt.Sscanf(choice.Owner, "gate-%d", &owner)
	_, _ = fmt.Sscanf(choice.Standby, "gate-%d", &standby)
	return owner, standby
}

// startupCheckTime exceeds the time in which a gate that has just started asks before start.
const startupCheckTime = 5500 * time.Millisecond

// The cap of a team must not grow with the number of gates.
func TestGatesTogetherKeepToTheCap(t *testing.T) {
	g := start(t, 8, 20)
	c := limit.Cap{Rate: 20, Burst: 20}
	began := time.Now()
	ran := g.sendThroughAll(t.Context(), "council", c, 200)
	most := 1.1*(c.Rate*max(5, time.Since(began).Seconds())+float64(c.Burst)) + 20
	if float64(ran) > most || ran < 8 {
		t.Errorf("%d of 1,600 requests were admitted, want 8 to %.0f", ran, most)
	}
}

// A team that sends less than its cap must not be refused.
func TestNothingBelowTheCapIsRefused(t *testing.T) {
	g := start(t, 8, 20)
	c := limit.Cap{Rate: 50, Burst: 50}
	for i := range 60 {
		if refusal := g.take(t.Context(), i%8, "council", c); refusal != nil {
			t.Fatalf("request %d: %v", i, refusal)
		}
		time.Sleep(25 * time.Millisecond)
	}
}

// While a team has plenty of credit, its requests must not wait for other gates. The test
// runs on a clock of its own, since on a busy machine a goroutine may be late by more than
// an answer takes. No gate runs, as if none answered: reading a socket would stop the clock.
func TestRequestsOfATeamWithPlentyDoNotWait(t *testing.T) {
	synctest.Test(t, testRequestsOfATeamWithPlenty)
}

func testRequestsOfATeamWithPlenty(t *testing.T) {
	g := create(t, 3, 20, noShares)
	defer g.closeSockets()
	owner, _ := g.ownerOf("council")
	c := limit.Cap{Rate: 5, Burst: 5}
	time.Sleep(startupCheckTime)
	for _, gate := range []int{(owner + 1) % 3, (owner + 2) % 3} {
		began := time.Now()
		if refusal := g.take(t.Context(), gate, "council", c); refusal != nil {
			t.Fatal(refusal)
		}
		if took := time.Since(began); took > 5*time.Millisecond {
			t.Errorf("the request waited %s, want at most 5 ms", took)
		}
	}
	time.Sleep(time.Second) // the charges in the background, which nobody answers, time out
}

// While the owner is frozen, the standby must grant credit, and only the first requests may
// wait for the owner's timeout.
func TestTheStandbyGrantsWhileTheOwnerIsSilent(t *testing.T) {
	g := start(t, 3, 40)
	owner, standby := g.ownerOf("council")
	other := 3 - owner - standby
	g.stop[owner]()
	c := limit.Cap{Rate: 5, Burst: 5}
	var slow int
	for i := range 6 {
		began := time.Now()
		if refusal := g.take(t.Context(), other, "council", c); refusal != nil {
			t.Fatalf("request %d: %v", i, refusal)
		}
		if time.Since(began) > 30*time.Millisecond {
			slow++
		}
		time.Sleep(200 * time.Millisecond)
	}
	if slow > 3 { // once in each unresponsiveDuration
		t.Errorf("%d of 6 requests waited for the owner, want at most 3", slow)
	}
}

// When no gate can decide, the caller must get a refusal with a retry time, and soon.
func TestWithoutAnAnswerARequestIsRefusedForAMoment(t *testing.T) {
	g := start(t, 3, 20)
	owner, standby := g.ownerOf("council")
	g.stop[owner]()
	g.stop[standby]()
	c := limit.Cap{Rate: 5, Burst: 5}
	other := 3 - owner - standby
	began := time.Now()
	refusal := g.take(t.Context(), other, "council", c)
	if refusal == nil || refusal.Kind != apierr.Unavailable || refusal.RetryAfter == 0 || refusal.Ran != apierr.RanNo {
		t.Fatalf("%+v", refusal)
	}
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("refused after %s, want at most 200 ms", took)
	}
}

// After an outage, a caller whose request is overdue must wait for a credit that is soon
// available instead of being refused a second time.
func TestALateRequestWaitsForACreditThatIsNear(t *testing.T) {
	g := start(t, 2, 0)
	c := limit.Cap{Rate: 10, Burst: 1}
	request := func(hold time.Duration) *credit.Request {
		return &credit.Request{ID: "r", Team: "council", Cap: c, Version: 1, HoldUntil: time.Now().Add(hold)}
	}
	for range 3 {
		_ = g.services[0].Take(t.Context(), request(0))
	}
	began := time.Now()
	if refusal := g.services[0].Take(t.Context(), request(0)); refusal == nil || time.Since(began) > 100*time.Millisecond {
		t.Errorf("request without HoldUntil: %v after %s, want a refusal within 100 ms", refusal, time.Since(began))
	}
	if refusal := g.services[0].Take(t.Context(), request(3*time.Second)); refusal != nil {
		t.Errorf("request with HoldUntil refused after %s: %v", time.Since(began), refusal)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("waited %s for a credit at 10 per second, want at most 2 s", took)
	}
}

// Invalid datagrams must be counted and must not stop the gate's receiver.
func TestUnreadableDatagramsAreCounted(t *testing.T) {
	g := start(t, 1, 20)
	conn, err := net.Dial("udp", g.fleet.Gates()[0].Peers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("\xff\x00 no packet")); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		if g.metrics[0].Value("team_cap.unreadable") > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the invalid datagram was not counted")
}

// Asks of an older gate lack the fields of overdue asks, and those of a newer gate have fields
// that this build does not know. Both must be answered in a form that the sender can read.
func TestAsksOfOtherBuildsAreAnswered(t *testing.T) {
	g := start(t, 1, 20)
	conn, err := net.Dial("udp", g.fleet.Gates()[0].Peers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	older := map[int]any{1: 1, 2: 7, 3: "gate-old/1", 4: "council", 5: 0.001, 6: 3, 7: 1}
	newer := map[int]any{1: 1, 2: 8, 3: "gate-new/1", 4: "council", 5: 0.001, 6: 3, 7: 1, 13: true, 14: 1000, 99: "unknown"}
	for number, ask := range map[uint64]map[int]any{7: older, 8: newer} {
		if _, err := conn.Write(codec.MustMarshal(ask)); err != nil {
			t.Fatal(err)
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
		if answer[1] != uint64(2) || answer[2] != number || answer[8] != uint64(limit.Granted) {
			t.Errorf("ask %d got %v, want it granted", number, answer)
		}
	}
}

// Guards against overdue requests that are held or granted while callers in time use the cap
// up. Load: 200 callers in time per second at gate 0, cap 20 per second, overdue ones at gate 1.
func TestOverdueRequestsGetTurnsOnly(t *testing.T) {
	g := start(t, 2, 20)
	c := limit.Cap{Rate: 20, Burst: 20}
	var inTime, overdue atomic.Int64
	var sending sync.WaitGroup
	send := func(gate int, count *atomic.Int64, request func() *credit.Request) {
		sending.Go(func() {
			for began := time.Now(); time.Since(began) < 4*time.Second; time.Sleep(5 * time.Millisecond) {
				if g.services[gate].Take(t.Context(), request()) == nil && time.Since(began) > time.Second {
					count.Add(1)
				}
			}
		})
	}
	send(0, &inTime, func() *credit.Request {
		return &credit.Request{ID: "r", Team: "council", Cap: c, Version: 1, UsefulUntil: time.Now().Add(300 * time.Millisecond)}
	})
	send(1, &overdue, func() *credit.Request {
		return &credit.Request{ID: "r", Team: "council", Cap: c, Version: 1, Overdue: true}
	})
	sending.Wait()
	if inTime.Load() < 2*overdue.Load() || overdue.Load() == 0 {
		t.Errorf("%d requests in time and %d overdue ones got a credit, want about 45 and 15", inTime.Load(), overdue.Load())
	}
	if g.metrics[1].Value("team_cap.overdue_refused") == 0 {
		t.Error("no refusal was counted as team_cap.overdue_refused")
	}
}
